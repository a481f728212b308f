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

// A sim runs nodes on one virtual time line with a message queue, disks and
// faults, all drawn from one seed.
type sim struct {
	r      *rand.Rand
	now    time.Duration // real time, which no host knows exactly
	queue  queue
	serial uint64
	hosts  []*host
	weak   log.Weakness
	opts   log.Options // durations

	delay time.Duration // longest usual delay of a message
	loss  float64
	cut   map[[2]int]bool

	chain     map[uint64]applied // what was first applied at each index
	top       uint64             // highest index applied anywhere
	refused   map[uint64]bool    // proposals reported as not committed
	ran       map[uint64]bool    // proposals applied anywhere
	commits   int
	events    int
	holders   int // samples in which some host held the lease
	nextID    uint64
	wiped     bool
	aim       aim
	asked     map[uint64]fleet.Host // who first asked for votes in a term, in aimed schedules
	elections int                   // seen, in aimed schedules
	target    target                // of an aimed schedule
	far       int                   // index of a host with long links in sharp schedules; past the last for none
	leaders   map[uint64]fleet.Host // by term
	quiet     bool                  // no new faults and requests
	verdict   string
}

type applied struct {
	term   uint64
	digest uint64
}

type timed struct {
	at     time.Duration
	serial uint64
	f      func()
}

type queue []timed

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].serial < q[j].serial)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

var epoch = time.Unix(1_000_000, 0)

const lease = time.Second

// maxEvents bounds the events of one schedule. Members whose logs differ below
// the commit index exchange probes and refusals without end.
const maxEvents = 500_000

// aim is what the faults of a schedule aim at.
type aim uint8

const (
	// broad draws from all faults.
	broad aim = iota
	// sharp has fast disks, clocks at the ends of the margin, few proposals (so
	// that more hosts can win an election) and faults that aim at the lease.
	sharp
	// aimed has fast disks too. It draws one of three: crashes right after
	// votes, elections while entries have reached a part of the voters, and
	// pre-votes near the end of a lease.
	aimed
)

// newSim returns a schedule.
func newSim(seed uint64, weak log.Weakness, aim aim) *sim {
	s := &sim{
		aim: aim, leaders: make(map[uint64]fleet.Host), asked: make(map[uint64]fleet.Host),
		r: rand.New(rand.NewPCG(seed, 1)), weak: weak, cut: make(map[[2]int]bool),
		chain: make(map[uint64]applied), refused: make(map[uint64]bool), ran: make(map[uint64]bool),
	}
	s.opts = log.Options{Lease: lease, Heartbeat: lease / 5, LongestAction: s.pick(time.Microsecond, lease/2, lease), Retain: uint64(1 + s.r.IntN(20))}
	s.delay = s.pick(100*time.Microsecond, time.Millisecond, 20*time.Millisecond, 150*time.Millisecond)
	s.loss = []float64{0, 0, 0.02, 0.2}[s.r.IntN(4)]
	voters, joiners := 3+2*s.r.IntN(2), 2
	if aim != broad {
		s.delay, s.loss, s.opts.LongestAction = 100*time.Microsecond, 0, time.Microsecond
		voters, joiners = 3, 0
		s.far = s.r.IntN(2 * voters)
	}
	if aim == aimed {
		s.aimAt()
	}
	var first []fleet.Host
	for i := range voters + joiners {
		h := &host{s: s, index: i, name: fleet.Host(rune('a' + i)), rate: 0.9952 + 0.0097*s.r.Float64()}
		if aim == sharp || s.r.IntN(2) == 0 {
			h.rate = []float64{0.9952, 1.0049}[s.r.IntN(2)] // the ends of the margin
		}
		h.slow = s.pick(10*time.Microsecond, 5*time.Millisecond, 200*time.Millisecond)
		if aim != broad {
			h.slow = 10 * time.Microsecond
		}
		s.hosts = append(s.hosts, h)
		if i < voters {
			first = append(first, h.name)
		}
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk.Snapshot = log.Bootstrap(log.Voters(first...))
			h.disk.Hard.Term = 1
		}
		h.identity = log.Identity(s.r.Uint64() | 1)
		h.start()
	}
	if aim == aimed {
		s.startAimed()
		return s
	}
	s.after(s.upTo(lease), s.propose)
	s.after(s.upTo(3*lease), s.fault)
	return s
}

func (s *sim) pick(d ...time.Duration) time.Duration { return d[s.r.IntN(len(d))] }

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) + 1 }

func (s *sim) after(d time.Duration, f func()) {
	s.serial++
	heap.Push(&s.queue, timed{s.now + d, s.serial, f})
}

func (s *sim) fail(format string, args ...any) {
	if s.verdict == "" {
		s.verdict = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// run returns the first violation, or nothing. A panic of a node is one too.
func (s *sim) run(length time.Duration) (verdict string) {
	defer func() {
		if p := recover(); p != nil {
			verdict = fmt.Sprintf("at %v: panic: %v", s.now, p)
		}
	}()
	s.runUntil(length)
	if s.verdict == "" && !s.wiped && s.weak == 0 {
		s.settle()
	}
	return s.verdict
}

func (s *sim) runUntil(end time.Duration) {
	for s.verdict == "" && s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(timed)
		s.now = e.at
		if s.events++; s.events > maxEvents {
			s.fail("more than %d events", maxEvents)
		}
		e.f()
		s.check()
	}
	s.now = end
}

// settle ends all faults and requires that the group commits again and that
// all members apply what was committed. A lost directory may have cost a group
// of two voters its quorum, so such schedules are left out.
func (s *sim) settle() {
	s.quiet, s.loss = true, 0
	clear(s.cut)
	for _, h := range s.hosts {
		h.paused = 0
		if h.node == nil {
			h.start()
		}
	}
	s.runUntil(s.now + 20*lease)
	if s.verdict != "" {
		return
	}
	for _, h := range s.hosts {
		if !h.node.Lease().Held(h.local()) {
			continue
		}
		before := s.commits
		h.step(log.Propose{Proposals: []log.Proposal{{ID: 1 << 60, Command: binary.LittleEndian.AppendUint64(nil, 1<<60)}}})
		s.runUntil(s.now + 5*lease)
		for _, x := range h.node.Current() {
			o := s.hosts[slices.IndexFunc(s.hosts, func(o *host) bool { return o.name == x.Host })]
			if o.at != s.top || s.commits == before {
				s.fail("%d commits after the faults; host %s has applied %d of %d", s.commits-before, x.Host, o.at, s.top)
			}
		}
		return
	}
	s.fail("no host holds a lease 20 leases after the last fault")
}
