package log

import (
	"time"

	"papayarock/core/fleet"
)

// Lease is the period during which a leader may begin external actions.
type Lease struct {
	Term    uint64
	From    time.Time // time from which the leader may begin actions
	Expires time.Time // zero if this node holds no lease
}

// Held reports whether the lease allows an external action to begin at now. The
// caller must also set a deadline for the action that is before Expires.
func (l Lease) Held(now time.Time) bool {
	return !l.Expires.IsZero() && !now.Before(l.From) && now.Before(l.Expires)
}

// Lease returns the lease of this node. Only the term is set unless the node leads
// and has applied everything committed before its term.
func (n *Node) Lease() Lease {
	if !n.termCommitted() || n.applied < n.leaderState.noopIndex {
		return Lease{Term: n.hard.Term}
	}
	return Lease{Term: n.hard.Term, From: n.mayActFrom(), Expires: n.leaseEnd()}
}

// PeerStatus is the replication progress of another member as known to the leader.
type PeerStatus struct {
	Match, Next uint64
	Inflight    int
	Identity    DirectoryID
	Added       time.Time // when this leader began to send to it
	Confirmed   time.Time // send time of the last heartbeat it answered
	CaughtUp    bool      // it has nearly all entries, so that a learner can be promoted
}

// Status is a copy of a node's state. Handed is the last index passed to the state
// machine; First, Last and Stable are the first, last and last synced index of the
// log in memory.
type Status struct {
	Self                                fleet.Host
	Identity                            DirectoryID
	Role                                Role
	Term                                uint64
	Vote, Leader                        fleet.Host
	First, Last, Stable, Commit, Handed uint64
	SnapshotIndex                       uint64
	Members                             Membership
	MembersCommitted                    bool // leader only: Members is committed, and may be changed
	Lease                               Lease
	ElectedAt                           time.Time                 // leader only
	Peers                               map[fleet.Host]PeerStatus // leader only
	Proposals, Reads                    int
	Failed                              bool
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	s := Status{
		Self: n.opts.Self, Identity: n.opts.Identity, Role: n.role, Term: n.hard.Term, Vote: n.hard.Vote, Leader: n.leader,
		First: n.log.base + 1, Last: n.log.last(), Stable: n.log.stable, Commit: n.commit, Handed: n.applied,
		SnapshotIndex: n.log.snapshot.Index, Members: n.log.members(), Lease: n.Lease(),
		Proposals: len(n.openProposals), Reads: len(n.reads) + len(n.forwardedReads), Failed: n.failed,
	}
	if n.role != Leader {
		return s
	}
	s.MembersCommitted, s.ElectedAt = !n.changePending(), n.leaderState.electedAt
	s.Peers = make(map[fleet.Host]PeerStatus)
	for h, p := range n.leaderState.peers {
		s.Peers[h] = PeerStatus{p.match, p.next, p.inflight, p.identity, p.addedAt, p.confirmedAt, n.caughtUp(p)}
	}
	return s
}
