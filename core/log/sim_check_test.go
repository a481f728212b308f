package log_test

import (
	"time"

	"papayarock/core/log"
)

// check verifies the leases of all hosts at the current time, checks new leaders and
// injects the faults that follow their election, and lets each lease holder begin an
// action.
func (s *sim) check() {
	holder := -1
	for i, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if term := h.node.LeadingTerm(); term > h.lastLed {
			h.lastLed = term
			s.checkElection(h, term)
			s.onElection(h)
		}
		if !h.node.Lease().Held(h.localTime()) {
			continue
		}
		s.leaseSamples++
		if holder >= 0 {
			s.fail("hosts %s and %s both hold a lease", s.hosts[holder].name, h.name)
		}
		holder = i
		for _, o := range s.hosts {
			if o != h && s.now < o.actionEnd {
				s.fail("host %s may act while an action of %s runs until %v", h.name, o.name, o.actionEnd)
			}
		}
		if h.transferring {
			continue
		}
		h.actionEnd = s.now + time.Duration(float64(s.opts.LongestAction)/h.rate)
	}
}

// checkPreVote verifies, in groups of three, that no voter grants a pre-vote while
// the third host holds a lease. Either the voter or the pre-candidate granted that
// lease, and a pre-candidate requests pre-votes only after its own grant has ended.
func (s *sim) checkPreVote(h, to *host, m log.Message) {
	if s.kind == generalFaults || m.Kind != log.PreVoteReply || m.Reject || to.node == nil || to.node.Status().Role != log.PreCandidate {
		return
	}
	for _, o := range s.hosts {
		if o != h && o != to && o.node != nil && o.localTime().Before(o.node.LeaseEnd()) {
			s.fail("host %s grants %s a pre-vote while the lease of %s runs", h.name, to.name, o.name)
		}
	}
}

// checkElection verifies that a term has one leader and that no lease of an
// earlier term is still running at an election.
func (s *sim) checkElection(h *host, term uint64) {
	if x, ok := s.leaders[term]; ok && x != h.name {
		s.fail("hosts %s and %s both lead term %d", x, h.name, term)
	}
	s.leaders[term] = h.name
	for _, o := range s.hosts {
		if o != h && o.node != nil && o.node.LeadingTerm() != 0 && o.node.LeadingTerm() < term && o.localTime().Before(o.node.LeaseEnd()) {
			s.fail("host %s leads term %d while the lease of %s for term %d runs", h.name, term, o.name, o.node.LeadingTerm())
		}
	}
}
