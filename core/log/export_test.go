package log

import "time"

// Mutation is a set of disabled rules.
type Mutation = mutation

// Mutations that a test may apply. The last two are not rules of the node: the
// simulation applies TransferDuringAction, and SetMutations applies
// ForgetLeaseGrant.
const (
	CountUnsynced        = countUnsynced
	IgnoreLeaseGrant     = ignoreLeaseGrant
	SkipVoteWrite        = skipVoteWrite
	CommitAnyTerm        = commitAnyTerm
	VoteForAnyLog        = voteForAnyLog
	SkipActionWait       = skipActionWait
	NoClockMargin        = noClockMargin
	ConcurrentChanges    = concurrentChanges
	IgnoreIdentity       = ignoreIdentity
	LeaseFromReply       = leaseFromReply
	PreVoteIgnoresLease  = preVoteIgnoresLease
	KeepLeaseInTransfer  = keepLeaseInTransfer
	TransferDuringAction = 1 << 29 // a host starts a leadership transfer while an action runs
	ForgetLeaseGrant     = 1 << 30 // a restart does not wait for the end of a granted lease
)

// SetMutations disables the rules in m. It must be called before the first Step.
func (n *Node) SetMutations(m Mutation) {
	n.mutations = m
	if m&ForgetLeaseGrant != 0 {
		n.leaseGrantEnd = time.Time{}
	}
}

// LeaseEnd returns the end of n's lease, even if n may not act yet, or the zero time
// if n is not leader.
func (n *Node) LeaseEnd() time.Time {
	if n.role != Leader {
		return time.Time{}
	}
	return n.leaseEnd()
}

// LeadingTerm returns the term in which n is leader, or 0.
func (n *Node) LeadingTerm() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.hard.Term
}

// CurrentMembers returns the latest membership known to n.
func (n *Node) CurrentMembers() Membership { return n.log.members() }

// LastIndex returns the last index of n's log.
func (n *Node) LastIndex() uint64 { return n.log.last() }
