package log_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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

type host struct {
	s         *sim
	index     int
	name      fleet.Host
	rate      float64
	identity  log.Identity
	node      *log.Node     // nil while down
	life      int           // counts starts
	tick      time.Duration // of the next tick
	paused    time.Duration
	disk      log.Stored
	pending   []log.Persist
	slow      time.Duration // longest sync
	digest    uint64
	at        uint64 // index of the last applied entry
	snap      uint64
	actionEnd time.Duration // end of the last action begun under a lease
	idle      bool          // begins no action, since it hands over
	led       uint64        // last term seen to be led
	reads     map[uint64]uint64
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

// local returns the time on h's clock.
func (h *host) local() time.Time {
	return epoch.Add(time.Duration(h.index) * time.Hour).Add(time.Duration(float64(h.s.now) * h.rate))
}

func (h *host) start() {
	h.life++
	h.tick = 0
	o := h.s.opts
	o.Self, o.Identity, o.Random = h.name, h.identity, rand.New(rand.NewPCG(h.s.r.Uint64(), 2))
	o.Stored = log.Stored{Hard: h.disk.Hard, Snapshot: h.disk.Snapshot, Entries: slices.Clone(h.disk.Entries)}
	h.node = log.New(h.local(), o)
	h.node.Weaken(h.s.weak)
	h.pending, h.idle = nil, false
	h.reads = make(map[uint64]uint64)
	h.restore(h.disk.Snapshot)
	h.schedule()
}

func (h *host) restore(s log.Snapshot) {
	h.at, h.snap, h.digest = s.Index, s.Index, 0
	if len(s.Data) > 0 {
		h.digest = binary.LittleEndian.Uint64(s.Data)
	}
	if want, ok := h.s.chain[s.Index]; ok && want.digest != h.digest {
		h.s.fail("host %s restores another state at %d", h.name, s.Index)
	}
}

// schedule arranges a tick at the time the node asks for, unless an earlier one
// is arranged already.
func (h *host) schedule() {
	wait := time.Duration(float64(h.node.Wake().Sub(h.local())) / h.rate)
	at := h.s.now + max(wait, 0)
	if h.tick > h.s.now && h.tick <= at {
		return
	}
	at += h.s.upTo(lease / 50)
	h.tick = at
	life := h.life
	h.s.after(at-h.s.now, func() {
		if h.life == life && h.node != nil && h.tick == at {
			h.step(log.Tick{})
			h.schedule()
		}
	})
}

// step runs ev now, or when the pause of the host ends.
func (h *host) step(ev log.Event) {
	if h.node == nil {
		return
	}
	if h.paused > h.s.now {
		life := h.life
		h.s.after(h.paused-h.s.now+h.s.upTo(time.Millisecond), func() {
			if h.life == life {
				h.step(ev)
			}
		})
		return
	}
	for _, a := range h.node.Step(h.local(), ev) {
		h.act(a)
	}
	h.schedule()
	if h.at >= h.snap+10 && h.s.r.IntN(4) == 0 {
		h.snap = h.at
		h.step(log.Snapshotted{Index: h.at, Data: binary.LittleEndian.AppendUint64(nil, h.digest)})
	}
}

func (h *host) act(a log.Action) {
	switch a := a.(type) {
	case log.Persist:
		h.pending = append(h.pending, a)
		life := h.life
		h.s.after(h.s.upTo(h.slow), func() {
			if h.life == life && h.node != nil {
				h.sync(a.Sequence)
			}
		})
	case log.Send:
		h.send(a.Message)
	case log.Apply:
		for _, e := range a.Entries {
			h.apply(e)
		}
	case log.Restore:
		h.restore(a.Snapshot)
	case log.Decided:
		h.decided(a)
	case log.HandedOver:
		h.idle = false
	case log.ReadReady:
		if want := h.reads[a.ID]; a.Index < want || h.at < want {
			h.s.fail("host %s answers a read at %d, applied %d, but %d was committed before", h.name, a.Index, h.at, want)
		}
	}
}

func (h *host) sync(sequence uint64) {
	for len(h.pending) > 0 && h.pending[0].Sequence <= sequence {
		h.write(h.pending[0])
		h.pending = h.pending[1:]
	}
	h.step(log.Synced{Sequence: sequence})
}

func (h *host) write(p log.Persist) {
	if p.Hard != nil {
		h.disk.Hard = *p.Hard
	}
	if p.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *p.Snapshot, nil
	}
	if len(p.Entries) == 0 {
		return
	}
	keep, _ := slices.BinarySearchFunc(h.disk.Entries, p.Entries[0].Index, func(e log.Entry, i uint64) int { return int(e.Index) - int(i) })
	h.disk.Entries = append(slices.Clip(h.disk.Entries[:keep]), p.Entries...)
}

func (h *host) send(m log.Message) {
	s := h.s
	to := slices.IndexFunc(s.hosts, func(x *host) bool { return x.name == m.To })
	if to < 0 {
		return
	}
	s.checkPreVote(h, s.hosts[to], m)
	late := s.onSend(h, s.hosts[to], m)
	if s.cut[[2]int{h.index, to}] || s.r.Float64() < s.loss {
		return
	}
	copies := 1
	if s.r.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := s.upTo(s.delay)
		if s.aim == sharp && (h.index == s.far || to == s.far) {
			d += 50 * time.Millisecond
		}
		if s.r.IntN(100) == 0 {
			d = s.upTo(2 * lease)
		}
		s.after(d+late, func() {
			if !s.cut[[2]int{h.index, to}] {
				s.hosts[to].step(log.Receive{Message: m})
			}
		})
	}
}

func (h *host) apply(e log.Entry) {
	if e.Index != h.at+1 {
		h.s.fail("host %s applies %d after %d", h.name, e.Index, h.at)
	}
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, h.digest)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = append(b, e.Command...)
	h.digest, h.at = xxhash.Sum64(b), e.Index
	got := applied{e.Term, h.digest}
	if want, ok := h.s.chain[e.Index]; !ok {
		h.s.chain[e.Index] = got
		h.s.top = max(h.s.top, e.Index)
	} else if want != got {
		h.s.fail("host %s applies another entry at %d: term %d, not %d", h.name, e.Index, e.Term, want.term)
	}
	if e.Kind == log.Command {
		id := binary.LittleEndian.Uint64(e.Command)
		h.s.ran[id] = true
		if h.s.refused[id] {
			h.s.fail("proposal %d was refused but is committed at %d", id, e.Index)
		}
	}
}

func (h *host) decided(d log.Decided) {
	if d.ID == handOverID {
		h.idle = false
		return
	}
	switch d.Outcome {
	case log.Committed:
		h.s.commits++
		if _, ok := h.s.chain[d.Index]; !ok {
			h.s.fail("proposal %d is reported committed at %d but not applied", d.ID, d.Index)
		}
	case log.NotLeader, log.NotCommitted:
		h.s.refused[d.ID] = true
		if h.s.ran[d.ID] {
			h.s.fail("proposal %d is reported refused but was committed", d.ID)
		}
	}
}

// check looks at the leases of all hosts at this moment.
func (s *sim) check() {
	holder := -1
	for i, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if term := h.node.Leads(); term > h.led {
			h.led = term
			s.checkElection(h, term)
			s.onElection(h)
		}
		if !h.node.Lease().Held(h.local()) {
			continue
		}
		s.holders++
		if holder >= 0 {
			s.fail("hosts %s and %s both hold a lease", s.hosts[holder].name, h.name)
		}
		holder = i
		for _, o := range s.hosts {
			if o != h && s.now < o.actionEnd {
				s.fail("host %s may act while an action of %s runs until %v", h.name, o.name, o.actionEnd)
			}
		}
		if h.idle {
			continue
		}
		h.actionEnd = s.now + time.Duration(float64(s.opts.LongestAction)/h.rate)
	}
}

// checkPreVote verifies that a voter of three does not help a host that still
// asks for pre-votes while a lease runs: the voters that confirmed the lease
// include one of the two.
func (s *sim) checkPreVote(h, to *host, m log.Message) {
	if s.aim == broad || m.Kind != log.PreVoteReply || m.Reject || to.node == nil || to.node.Status().Role != log.PreCandidate {
		return
	}
	for _, o := range s.hosts {
		if o != h && o != to && o.node != nil && o.local().Before(o.node.LeaseEnd()) {
			s.fail("host %s grants %s a pre-vote while the lease of %s runs", h.name, to.name, o.name)
		}
	}
}

// checkElection verifies that a term has one leader and that no lease of an
// older term runs at an election.
func (s *sim) checkElection(h *host, term uint64) {
	if x, ok := s.leaders[term]; ok && x != h.name {
		s.fail("hosts %s and %s both lead term %d", x, h.name, term)
	}
	s.leaders[term] = h.name
	for _, o := range s.hosts {
		if o != h && o.node != nil && o.node.Leads() != 0 && o.node.Leads() < term && o.local().Before(o.node.LeaseEnd()) {
			s.fail("host %s leads term %d while the lease of %s for term %d runs", h.name, term, o.name, o.node.Leads())
		}
	}
}
