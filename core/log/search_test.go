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

// search runs schedules and returns the first seed found with a violation.
func search(weak log.Weakness, aim aim, first, count uint64) (seed uint64, verdict string, commits, holders int64) {
	var next, found, c, h atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for found.Load() == 0 {
				i := next.Add(1) - 1
				if i >= count {
					return
				}
				s := newSim(first+i, weak, aim)
				v := s.run(scheduleLength)
				c.Add(uint64(s.commits))
				h.Add(uint64(s.holders))
				if v != "" {
					mu.Lock()
					if verdict == "" || first+i < seed {
						seed, verdict = first+i, v
					}
					mu.Unlock()
					found.Store(1)
				}
			}
		})
	}
	wg.Wait()
	return seed, verdict, int64(c.Load()), int64(h.Load())
}

// Guards against two lease holders, lost or reverted entries, diverging logs or
// states, wrong outcomes of proposals and stale reads, under random faults.
func TestSearch(t *testing.T) {
	first := *seedFlag
	t.Logf("first seed %d", first)
	for name, c := range map[string]struct {
		aim   aim
		count uint64
	}{
		"broad": {broad, *schedulesFlag},
		"sharp": {sharp, *schedulesFlag},
		// A third as many, to bound the time of a CI run.
		"aimed": {aimed, (*schedulesFlag + 2) / 3},
	} {
		t.Run(name, func(t *testing.T) {
			seed, verdict, commits, holders := search(0, c.aim, first, c.count)
			if verdict != "" {
				t.Fatalf("run with -run=TestSearch/%s -seed=%d -schedules=1: %s", name, seed, verdict)
			}
			t.Logf("%d commits, %d samples with a lease holder in %d schedules", commits, holders, c.count)
			if commits < int64(c.count) || holders < int64(c.count) {
				t.Fatalf("only %d commits and %d samples with a lease holder", commits, holders)
			}
		})
	}
}

// Guards against a search that would not notice a broken rule.
func TestSearchFindsBrokenRules(t *testing.T) {
	rules := map[string]struct {
		weak log.Weakness
		aim  aim
		skip uint64 // schedules passed over to keep the test short
	}{
		"entries and votes count before sync": {log.CountUnsynced, broad, 0},
		"lease promise does not bind votes":   {log.BreakPromise, sharp, 0},
		"restart forgets the promise":         {log.ForgetPromise, sharp, 0},
		"candidate's log is not compared":     {log.VoteForAnyLog, broad, 0},
		"new leader acts at once":             {log.ActAtOnce, broad, 0},
		"lease without clock-rate margin":     {log.NoMargin, sharp, 8000},
		"lease counted from the reply":        {log.LeaseFromReply, sharp, 0},
		"several membership changes at once":  {log.ManyChanges, broad, 0},
		"replaced directory counts as old":    {log.IgnoreIdentity, broad, 0},
		"vote is not persisted":               {log.ForgetVote, aimed, 0},
		"old terms are committed by counting": {log.CommitAnyTerm, aimed, 0},
		"pre-vote ignores the lease":          {log.PreVoteIgnoresLease, aimed, 0},
		"leader keeps its lease at hand-over": {log.KeepLease, aimed, 0},
		"hand-over while an action runs":      {log.HandOverAtOnce, aimed, 0},
	}
	const limit = 30000
	for name, c := range rules {
		t.Run(name, func(t *testing.T) {
			first := *seedFlag + c.skip
			t.Logf("first seed %d", first)
			seed, verdict, _, _ := search(c.weak, c.aim, first, limit)
			if verdict == "" {
				t.Fatalf("no violation in %d schedules", limit)
			}
			t.Logf("found by schedule %d: %s", seed-first, verdict)
		})
	}
}
