package log_test

import (
	"encoding/binary"
	"time"

	"papayarock/core/log"
)

// testedRule is the rule that a ruleFaults schedule tries to break.
type testedRule uint8

const (
	votePersistence testedRule = iota
	currentTermCommit
	preVoteDuringLease
	leadershipTransfer
)

// fullAppendBytes is the size of a command that fills an append, so that the
// entries before and after it are sent in separate messages.
const fullAppendBytes = 256 << 10

// chooseRule chooses the rule under test and sets the options that it needs.
func (s *sim) chooseRule() {
	s.rule = testedRule(s.rng.IntN(4))
	if s.rule == leadershipTransfer {
		s.delay = s.oneOf(100*time.Microsecond, 20*time.Millisecond, 150*time.Millisecond)
		s.loss = []float64{0, 0.02, 0.2}[s.rng.IntN(3)]
		s.opts.LongestAction = s.oneOf(lease/2, lease)
	}
}

// startRuleFaults schedules the first faults for the rule under test.
func (s *sim) startRuleFaults() {
	a := s.rng.IntN(len(s.hosts))
	b := (a + 1 + s.rng.IntN(len(s.hosts)-1)) % len(s.hosts)
	switch s.rule {
	case votePersistence:
		// Two hosts that cannot reach each other become candidates in the same term.
		s.cutFor(6*lease, [2]int{a, b}, [2]int{b, a})
	case preVoteDuringLease:
		s.after(s.randomUpTo(3*lease), s.cutNearLeaseEnd)
	case leadershipTransfer:
		s.after(2*lease+s.randomUpTo(2*lease), s.transferLeadership)
		s.after(s.randomUpTo(lease), s.sendRequest)
	}
}

// transferLeadership starts a leadership transfer at each leader and injects
// faults around it. The transfer waits for the leader's last action to end, except
// with TransferDuringAction.
func (s *sim) transferLeadership() {
	if s.settling {
		return
	}
	s.after(s.randomUpTo(2*lease), s.transferLeadership)
	for _, h := range s.hosts {
		if h.node == nil || h.node.LeadingTerm() == 0 || h.transferring {
			continue
		}
		h.transferring = true
		run := h.starts
		wait := max(h.actionEnd-s.now, 0) + 1
		if s.mutations&log.TransferDuringAction != 0 {
			wait = 1
		}
		s.after(wait, func() {
			if h.starts == run {
				h.step(log.TransferLeadership{ID: transferID})
			}
		})
		o := s.hosts[s.rng.IntN(len(s.hosts))]
		s.after(wait+s.randomUpTo(s.oneOf(s.delay, 4*s.delay, lease)), func() {
			switch s.rng.IntN(6) {
			case 0:
				s.crash(o)
			case 1:
				s.cutUpTo(2*lease, s.links(o, s.rng.IntN(2) == 0)...)
			case 2:
				o.pausedUntil = max(o.pausedUntil, s.now+s.randomUpTo(2*lease))
			}
		})
	}
}

// transferID is the ID of every leadership transfer.
const transferID = 1 << 61

// onSend injects the faults that follow a message, and returns the extra delay of
// the message.
func (s *sim) onSend(h, to *host, m log.Message) time.Duration {
	if s.kind != ruleFaults || s.settling {
		return 0
	}
	switch {
	case s.rule == currentTermCommit && m.Kind == log.Append && len(m.Entries) > 0 && s.rng.IntN(2) == 0:
		return s.randomUpTo(lease) // so that followers have only some of the entries for a while
	case s.rule != votePersistence:
	case m.Kind == log.VoteRequest && s.firstCandidate[m.Term] == "":
		s.firstCandidate[m.Term] = h.name
		return s.randomUpTo(lease / 2)
	case m.Kind == log.VoteRequest && s.firstCandidate[m.Term] != h.name:
		// The request of the second candidate of a term arrives after the voter
		// has restarted and waited one lease.
		return lease + s.randomUpTo(lease/2)
	case m.Kind == log.VoteReply && !m.Reject && s.rng.IntN(4) > 0:
		run := h.starts
		s.after(s.randomUpTo(2*s.delay), func() {
			if h.starts != run || s.settling {
				return
			}
			s.crash(h)
			s.cutFor(3*lease, [2]int{h.index, to.index}, [2]int{to.index, h.index})
			s.after(s.randomUpTo(lease/20), func() {
				if h.node == nil {
					h.start()
				}
			})
		})
	}
	return 0
}

// onElection injects the faults that follow the election of h. As in figure 8 of
// the Raft paper, leaders are isolated before their entries have reached a quorum,
// and return later.
func (s *sim) onElection(h *host) {
	if s.kind != ruleFaults || s.settling {
		return
	}
	if s.rule != currentTermCommit {
		s.proposeCommand(h, 8)
		return
	}
	s.elections++
	if s.rng.IntN(8) == 0 {
		s.elections++ // vary the order of the faults
	}
	switch s.elections % 3 {
	case 1:
		// A voter without entries does not vote for a candidate that has some, so
		// the first leader replicates before it is isolated with an entry that
		// only it has.
		s.after(lease/2, func() {
			s.isolate(h)
			s.proposeCommand(h, fullAppendBytes)
		})
	case 2: // isolated immediately, with the first entry of its term
		s.isolate(h)
	default: // the former leader returns and is isolated again while it replicates
		s.after(s.randomUpTo(s.oneOf(20*s.delay, lease/2)), func() {
			s.isolate(h)
			if s.rng.IntN(3) == 0 {
				s.crash(h)
			}
		})
	}
}

// isolate cuts all links of h and restores all others, such as those of the host
// that was isolated before.
func (s *sim) isolate(h *host) {
	if s.settling {
		return
	}
	clear(s.cut)
	for _, l := range append(s.links(h, true), s.links(h, false)...) {
		s.cut[l] = true
	}
}

// proposeCommand proposes a command of size bytes at h.
func (s *sim) proposeCommand(h *host, size int) {
	if h.node == nil || s.settling {
		return
	}
	s.nextID++
	data := make([]byte, size)
	p := log.Proposal{ID: s.nextID, Command: data}
	binary.LittleEndian.PutUint64(data, p.ID)
	// The proposal is a separate event, since the caller may be within a step of h.
	s.after(1, func() { h.step(log.Propose{Proposals: []log.Proposal{p}}) })
}

// cutNearLeaseEnd cuts the links between the leader and one follower and, up to one
// lease later, the link from the leader to the other follower. The first follower
// then requests pre-votes near the end of the lease.
func (s *sim) cutNearLeaseEnd() {
	if s.settling {
		return
	}
	s.after(lease+s.randomUpTo(3*lease), s.cutNearLeaseEnd)
	for _, h := range s.hosts {
		if h.node == nil || h.node.LeadingTerm() == 0 {
			continue
		}
		o := s.hosts[(h.index+1+s.rng.IntN(len(s.hosts)-1))%len(s.hosts)]
		x := s.hosts[len(s.hosts)-h.index-o.index] // the third of three: 0+1+2 = 3
		s.cutUpTo(4*lease, [2]int{h.index, o.index}, [2]int{o.index, h.index})
		s.after(s.randomUpTo(lease), func() {
			s.cutUpTo(2*lease, [2]int{h.index, x.index})
		})
	}
}
