package log_test

import (
	"encoding/binary"
	"time"

	"papayarock/core/log"
)

// target is the rule that an aimed schedule tries.
type target uint8

const (
	persistedVotes target = iota
	ownTermCommits
	leasedPreVotes
	handOvers
)

// bigCommand is the size in bytes of a command that fills an append, so that
// the entries before and after it travel apart from it.
const bigCommand = 256 << 10

// aimAt draws the rule of an aimed schedule, and the options that it needs.
func (s *sim) aimAt() {
	s.target = target(s.r.IntN(4))
	if s.target == handOvers {
		s.delay = s.pick(100*time.Microsecond, 20*time.Millisecond, 150*time.Millisecond)
		s.loss = []float64{0, 0.02, 0.2}[s.r.IntN(3)]
		s.opts.LongestAction = s.pick(lease/2, lease)
	}
}

func (s *sim) startAimed() {
	a := s.r.IntN(len(s.hosts))
	b := (a + 1 + s.r.IntN(len(s.hosts)-1)) % len(s.hosts)
	switch s.target {
	case persistedVotes:
		// Two hosts that cannot hear each other stand in the same term.
		s.cutFor(6*lease, [2]int{a, b}, [2]int{b, a})
	case leasedPreVotes:
		s.after(s.upTo(3*lease), s.lapse)
	case handOvers:
		s.after(2*lease+s.upTo(2*lease), s.handOver)
		s.after(s.upTo(lease), s.propose)
	}
}

// handOver makes a leader hand over, mostly after its last action, and injects
// a fault around it.
func (s *sim) handOver() {
	if s.quiet {
		return
	}
	s.after(s.upTo(2*lease), s.handOver)
	for _, h := range s.hosts {
		if h.node == nil || h.node.Leads() == 0 || h.idle {
			continue
		}
		h.idle = true
		life := h.life
		wait := max(h.actionEnd-s.now, 0) + 1
		if s.weak&log.HandOverAtOnce != 0 {
			wait = 1
		}
		s.after(wait, func() {
			if h.life == life {
				h.step(log.HandOver{ID: handOverID})
			}
		})
		o := s.hosts[s.r.IntN(len(s.hosts))]
		s.after(wait+s.upTo(s.pick(s.delay, 4*s.delay, lease)), func() {
			switch s.r.IntN(6) {
			case 0:
				s.crash(o)
			case 1:
				s.partition(2*lease, s.links(o, s.r.IntN(2) == 0)...)
			case 2:
				o.paused = max(o.paused, s.now+s.upTo(2*lease))
			}
		})
	}
}

// handOverID is the id of every HandOver.
const handOverID = 1 << 61

// onSend injects the faults that follow a message, and returns how much later
// than others it arrives.
func (s *sim) onSend(h, to *host, m log.Message) time.Duration {
	if s.aim != aimed || s.quiet {
		return 0
	}
	switch {
	case s.target == ownTermCommits && m.Kind == log.Append && len(m.Entries) > 0 && s.r.IntN(2) == 0:
		return s.upTo(lease) // so that followers hold a part of the entries for a while
	case s.target != persistedVotes:
	case m.Kind == log.Vote && s.asked[m.Term] == "":
		s.asked[m.Term] = h.name
		return s.upTo(lease / 2)
	case m.Kind == log.Vote && s.asked[m.Term] != h.name:
		// The second candidate of a term asks once the voter has restarted and
		// has waited one lease.
		return lease + s.upTo(lease/2)
	case m.Kind == log.VoteReply && !m.Reject && s.r.IntN(4) > 0:
		life := h.life
		s.after(s.upTo(2*s.delay), func() {
			if h.life != life || s.quiet {
				return
			}
			s.crash(h)
			s.cutFor(3*lease, [2]int{h.index, to.index}, [2]int{to.index, h.index})
			s.after(s.upTo(lease/20), func() {
				if h.node == nil {
					h.start()
				}
			})
		})
	}
	return 0
}

// onElection injects the faults that follow the election of h: as in figure 8
// of the Raft paper, leaders are lost before their entries have reached a
// quorum, and come back.
func (s *sim) onElection(h *host) {
	if s.aim != aimed || s.quiet {
		return
	}
	if s.target != ownTermCommits {
		s.command(h, 8)
		return
	}
	s.elections++
	if s.r.IntN(8) == 0 {
		s.elections++ // another order of the same faults
	}
	switch s.elections % 3 {
	case 1:
		// A voter without entries helps no candidate that has some, so a first
		// leader replicates before it is lost with an entry that only it has.
		s.after(lease/2, func() {
			s.lose(h)
			s.command(h, bigCommand)
		})
	case 2: // lost at once, with the first entry of its term
		s.lose(h)
	default: // the former leader returns, and is lost while it replicates
		s.after(s.upTo(s.pick(20*s.delay, lease/2)), func() {
			s.lose(h)
			if s.r.IntN(3) == 0 {
				s.crash(h)
			}
		})
	}
}

// lose cuts h off from all others, and connects the host that was cut off
// before.
func (s *sim) lose(h *host) {
	if s.quiet {
		return
	}
	clear(s.cut)
	for _, l := range append(s.links(h, true), s.links(h, false)...) {
		s.cut[l] = true
	}
}

// command proposes one command of size bytes at h.
func (s *sim) command(h *host, size int) {
	if h.node == nil || s.quiet {
		return
	}
	s.nextID++
	data := make([]byte, size)
	p := log.Proposal{ID: s.nextID, Command: data}
	binary.LittleEndian.PutUint64(data, p.ID)
	// The proposal is a step of its own: the caller may be within one of h.
	s.after(1, func() { h.step(log.Propose{Proposals: []log.Proposal{p}}) })
}

// lapse cuts one follower off from the leader, and the other one for about one
// lease later on, so that the first asks for pre-votes near the lease's end.
func (s *sim) lapse() {
	if s.quiet {
		return
	}
	s.after(lease+s.upTo(3*lease), s.lapse)
	for _, h := range s.hosts {
		if h.node == nil || h.node.Leads() == 0 {
			continue
		}
		o := s.hosts[(h.index+1+s.r.IntN(len(s.hosts)-1))%len(s.hosts)]
		x := s.hosts[len(s.hosts)-h.index-o.index] // the third of three: 0+1+2 = 3
		s.partition(4*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		s.after(s.upTo(lease), func() {
			s.partition(2*lease, [2]int{h.index, x.index})
		})
	}
}
