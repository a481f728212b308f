package log_test

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"

	"papayarock/core/log"
)

var (
	seedFlag      = flag.Uint64("seed", 1, "first seed of the search")
	schedulesFlag = flag.Uint64("schedules", 1000, "number of schedules to search")
)

const (
	scheduleLength = 15 * lease
	workers        = 4
)

// search runs up to count schedules in parallel until one has a violation, and
// returns the lowest seed found with one.
func search(mutations log.Mutation, kind scheduleKind, first, count uint64) (seed uint64, violation string, commits, leaseSamples int64) {
	var next, found, commitSum, sampleSum atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for found.Load() == 0 {
				i := next.Add(1) - 1
				if i >= count {
					return
				}
				s := newSim(first+i, mutations, kind)
				v := s.run(scheduleLength)
				commitSum.Add(uint64(s.commits))
				sampleSum.Add(uint64(s.leaseSamples))
				if v != "" {
					mu.Lock()
					if violation == "" || first+i < seed {
						seed, violation = first+i, v
					}
					mu.Unlock()
					found.Store(1)
				}
			}
		})
	}
	wg.Wait()
	return seed, violation, int64(commitSum.Load()), int64(sampleSum.Load())
}

// Guards against two lease holders, lost or replaced committed entries, diverging
// logs or states, wrong outcomes of proposals and stale reads, under random faults.
func TestSearch(t *testing.T) {
	first := *seedFlag
	t.Logf("first seed %d", first)
	for name, c := range map[string]struct {
		kind  scheduleKind
		count uint64
	}{
		"general": {generalFaults, *schedulesFlag},
		"lease":   {leaseFaults, *schedulesFlag},
		// A third as many, to limit the duration of a CI run.
		"rules": {ruleFaults, (*schedulesFlag + 2) / 3},
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation, commits, leaseSamples := search(0, c.kind, first, c.count)
			if violation != "" {
				t.Fatalf("run with -run=TestSearch/%s -seed=%d -schedules=1: %s", name, seed, violation)
			}
			t.Logf("%d commits, %d samples with a lease holder in %d schedules", commits, leaseSamples, c.count)
			if commits < int64(c.count) || leaseSamples < int64(c.count) {
				t.Fatalf("only %d commits and %d samples with a lease holder", commits, leaseSamples)
			}
		})
	}
}

// Guards against a search that does not detect a broken rule: each rule is disabled
// in turn, and the search must find a violation.
func TestSearchFindsBrokenRules(t *testing.T) {
	rules := map[string]struct {
		mutation log.Mutation
		kind     scheduleKind
		skip     uint64 // schedules to skip, to keep the test short
	}{
		"entries and votes take effect before sync":   {log.CountUnsynced, generalFaults, 0},
		"lease grant does not prevent votes":          {log.IgnoreLeaseGrant, leaseFaults, 0},
		"restart forgets the lease grant":             {log.ForgetLeaseGrant, leaseFaults, 0},
		"candidate's log is not compared":             {log.VoteForAnyLog, generalFaults, 0},
		"new leader does not wait for old actions":    {log.SkipActionWait, generalFaults, 0},
		"lease without clock-rate margin":             {log.NoClockMargin, leaseFaults, 8000},
		"lease counted from the reply":                {log.LeaseFromReply, leaseFaults, 0},
		"several uncommitted membership changes":      {log.ConcurrentChanges, generalFaults, 0},
		"replaced directory counts as the same voter": {log.IgnoreIdentity, generalFaults, 0},
		"vote is not persisted":                       {log.SkipVoteWrite, ruleFaults, 0},
		"old terms are committed by counting":         {log.CommitAnyTerm, ruleFaults, 0},
		"pre-vote ignores the lease":                  {log.PreVoteIgnoresLease, ruleFaults, 0},
		"leader keeps its lease during a transfer":    {log.KeepLeaseInTransfer, ruleFaults, 0},
		"transfer while an action runs":               {log.TransferDuringAction, ruleFaults, 0},
	}
	const limit = 30000
	for name, c := range rules {
		t.Run(name, func(t *testing.T) {
			first := *seedFlag + c.skip
			t.Logf("first seed %d", first)
			seed, violation, _, _ := search(c.mutation, c.kind, first, limit)
			if violation == "" {
				t.Fatalf("no violation in %d schedules", limit)
			}
			t.Logf("found by schedule %d: %s", seed-first, violation)
		})
	}
}
