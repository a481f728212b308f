package log_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// sim runs nodes in virtual time with simulated messages, disks and faults, all
// derived from one seed.
type sim struct {
	rng        *rand.Rand
	now        time.Duration // true time; the clocks of hosts differ from it
	queue      eventQueue
	lastSerial uint64
	hosts      []*host
	mutations  log.Mutation
	opts       log.Options // durations and Retain

	delay time.Duration // usual maximum delay of a message
	loss  float64
	cut   map[[2]int]bool // links that lose all messages: sending and receiving host

	appliedAt      map[uint64]appliedEntry // first entry applied at each index by any host
	maxApplied     uint64                  // highest index applied by any host
	rejected       map[uint64]bool         // IDs of proposals reported as not committed
	appliedIDs     map[uint64]bool         // IDs of proposals applied by any host
	commits        int
	events         int
	leaseSamples   int // checks at which a host held the lease
	nextID         uint64
	directoryLost  bool
	kind           scheduleKind
	firstCandidate map[uint64]fleet.Host // first candidate of each term (ruleFaults)
	elections      int                   // number seen, increased at random to vary the faults (ruleFaults)
	rule           testedRule            // rule under test (ruleFaults)
	farHost        int                   // index of the host with slow links (leaseFaults); beyond the last host if none
	leaders        map[uint64]fleet.Host // by term
	settling       bool                  // no new faults or requests
	violation      string
}

// appliedEntry identifies an applied entry by its term and the digest of the state
// after it.
type appliedEntry struct {
	term   uint64
	digest uint64
}

type scheduledEvent struct {
	at     time.Duration
	serial uint64
	f      func()
}

// eventQueue is a heap of events, ordered by time and then by serial number.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].serial < q[j].serial)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

var epoch = time.Unix(1_000_000, 0)

const lease = time.Second

// maxEvents limits the events of one schedule. Members whose logs differ below the
// commit index would exchange probes and rejections forever.
const maxEvents = 500_000

// scheduleKind selects the faults and conditions of a schedule.
type scheduleKind uint8

const (
	// generalFaults chooses from all faults, with random delays, losses and group
	// sizes.
	generalFaults scheduleKind = iota
	// leaseFaults tests the lease: clocks at the limits of the rate margin, fast
	// disks, few proposals (so that more hosts can win an election), and cuts and
	// restarts around a leader.
	leaseFaults
	// ruleFaults tests one rule, with fast disks: crashes right after votes,
	// elections while entries have reached only some of the voters, pre-votes near
	// the end of a lease, or leadership transfers.
	ruleFaults
	// directoryFaults has no random faults; the test replaces data directories.
	directoryFaults
)

// newSim returns a simulation with started hosts and its first events scheduled.
func newSim(seed uint64, mutations log.Mutation, kind scheduleKind) *sim {
	s := &sim{
		kind: kind, leaders: make(map[uint64]fleet.Host), firstCandidate: make(map[uint64]fleet.Host),
		rng: rand.New(rand.NewPCG(seed, 1)), mutations: mutations, cut: make(map[[2]int]bool),
		appliedAt: make(map[uint64]appliedEntry), rejected: make(map[uint64]bool), appliedIDs: make(map[uint64]bool),
	}
	s.opts = log.Options{Lease: lease, Heartbeat: lease / 5, LongestAction: s.oneOf(time.Microsecond, lease/2, lease), Retain: uint64(1 + s.rng.IntN(20))}
	s.delay = s.oneOf(100*time.Microsecond, time.Millisecond, 20*time.Millisecond, 150*time.Millisecond)
	s.loss = []float64{0, 0, 0.02, 0.2}[s.rng.IntN(4)]
	voters, joiners := 3+2*s.rng.IntN(2), 2
	if kind != generalFaults {
		s.delay, s.loss, s.opts.LongestAction = 100*time.Microsecond, 0, time.Microsecond
		voters, joiners = 3, 0
		s.farHost = s.rng.IntN(2 * voters)
	}
	if kind == ruleFaults {
		s.chooseRule()
	}
	var first []fleet.Host
	for i := range voters + joiners {
		h := &host{s: s, index: i, name: fleet.Host(rune('a' + i)), rate: 0.9952 + 0.0097*s.rng.Float64()}
		if kind == leaseFaults || s.rng.IntN(2) == 0 {
			h.rate = []float64{0.9952, 1.0049}[s.rng.IntN(2)] // the limits of the margin
		}
		h.maxSync = s.oneOf(10*time.Microsecond, 5*time.Millisecond, 200*time.Millisecond)
		if kind != generalFaults {
			h.maxSync = 10 * time.Microsecond
		}
		s.hosts = append(s.hosts, h)
		if i < voters {
			first = append(first, h.name)
		}
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk.Snapshot = log.BootstrapSnapshot(log.NewMembership(first...))
			h.disk.Hard.Term = 1
		}
		h.identity = log.DirectoryID(s.rng.Uint64() | 1)
		h.start()
	}
	if kind == ruleFaults {
		s.startRuleFaults()
		return s
	}
	if kind == directoryFaults {
		return s
	}
	s.after(s.randomUpTo(lease), s.sendRequest)
	s.after(s.randomUpTo(3*lease), s.injectFault)
	return s
}

func (s *sim) oneOf(d ...time.Duration) time.Duration { return d[s.rng.IntN(len(d))] }

func (s *sim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d))) + 1
}

func (s *sim) after(d time.Duration, f func()) {
	s.lastSerial++
	heap.Push(&s.queue, scheduledEvent{s.now + d, s.lastSerial, f})
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// run returns the first violation, or an empty string. A panic of a node counts as
// a violation.
func (s *sim) run(length time.Duration) (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprintf("at %v: panic: %v", s.now, p)
		}
	}()
	s.runUntil(length)
	if s.violation == "" && !s.directoryLost && s.mutations == 0 {
		s.settle()
	}
	return s.violation
}

func (s *sim) runUntil(end time.Duration) {
	for s.violation == "" && s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		if s.events++; s.events > maxEvents {
			s.fail("more than %d events", maxEvents)
		}
		e.f()
		s.check()
	}
	s.now = end
}

// settle ends all faults and verifies that the group commits again and that all
// members apply everything committed. Schedules with a lost directory do not
// settle, since a group of two voters may have lost its quorum that way.
func (s *sim) settle() {
	s.settling, s.loss = true, 0
	clear(s.cut)
	for _, h := range s.hosts {
		h.pausedUntil = 0
		if h.node == nil {
			h.start()
		}
	}
	s.runUntil(s.now + 20*lease)
	if s.violation != "" {
		return
	}
	for _, h := range s.hosts {
		if !h.node.Lease().Held(h.localTime()) {
			continue
		}
		before := s.commits
		h.step(log.Propose{Proposals: []log.Proposal{{ID: 1 << 60, Command: binary.LittleEndian.AppendUint64(nil, 1<<60)}}})
		s.runUntil(s.now + 5*lease)
		for _, x := range h.node.CurrentMembers() {
			o := s.hosts[slices.IndexFunc(s.hosts, func(o *host) bool { return o.name == x.Host })]
			if o.lastApplied != s.maxApplied || s.commits == before {
				s.fail("%d commits after the faults; host %s has applied %d of %d", s.commits-before, x.Host, o.lastApplied, s.maxApplied)
			}
		}
		return
	}
	s.fail("no host holds a lease 20 leases after the last fault")
}
