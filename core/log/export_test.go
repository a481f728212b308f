package log

import "time"

// Weakness is a set of rules to break.
type Weakness = weakness

// Rules that a test may break.
const (
	CountUnsynced       = countUnsynced
	BreakPromise        = breakPromise
	ForgetVote          = forgetVote
	CommitAnyTerm       = commitAnyTerm
	VoteForAnyLog       = voteForAnyLog
	ActAtOnce           = actAtOnce
	NoMargin            = noMargin
	ManyChanges         = manyChanges
	IgnoreIdentity      = ignoreIdentity
	LeaseFromReply      = leaseFromReply
	PreVoteIgnoresLease = preVoteIgnoresLease
	KeepLease           = keepLease
	HandOverAtOnce      = 1 << 29 // a host hands over while an action runs
	ForgetPromise       = 1 << 30 // a restart does not wait for the old promise
)

// Weaken makes n break the rules in w from its start on.
func (n *Node) Weaken(w Weakness) {
	n.weak = w
	if w&ForgetPromise != 0 {
		n.promise = time.Time{}
	}
}

// LeaseEnd returns the end of the lease of a leader, whether or not it may act.
func (n *Node) LeaseEnd() time.Time {
	if n.role != Leader {
		return time.Time{}
	}
	return n.leaseEnd()
}

// Leads returns the term that n leads, or 0.
func (n *Node) Leads() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.hard.Term
}

// Current returns the newest membership that n knows.
func (n *Node) Current() Membership { return n.log.members() }

// Last returns the last index of n's log.
func (n *Node) Last() uint64 { return n.log.last() }
