package log

import (
	"time"

	"papayarock/core/fleet"
)

// Lease is the authority of a leader at one time.
type Lease struct {
	Term    uint64
	From    time.Time // a leader may act from here
	Expires time.Time // zero when this node holds no lease
}

// Held reports whether the lease allows outward actions at now. An action must
// also end before Expires.
func (l Lease) Held(now time.Time) bool {
	return !l.Expires.IsZero() && !now.Before(l.From) && now.Before(l.Expires)
}

// Lease returns the lease of this node. It is empty unless the node leads and
// has applied everything committed before its term.
func (n *Node) Lease() Lease {
	if !n.ready() || n.handed < n.lead.noop {
		return Lease{Term: n.hard.Term}
	}
	return Lease{Term: n.hard.Term, From: n.actFrom(), Expires: n.leaseEnd()}
}

// PeerStatus is the progress of one other member as the leader knows it.
type PeerStatus struct {
	Match, Next uint64
	Inflight    int
	Identity    Identity
	Confirmed   time.Time // send time of the last heartbeat it answered
}

// Status is a copy of the state of a node.
type Status struct {
	Self                                fleet.Host
	Identity                            Identity
	Role                                Role
	Term                                uint64
	Vote, Leader                        fleet.Host
	First, Last, Stable, Commit, Handed uint64
	SnapshotIndex                       uint64
	Members                             Membership
	Lease                               Lease
	Peers                               map[fleet.Host]PeerStatus // of a leader
	Proposals, Reads                    int
	Failed                              bool
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		Self: n.o.Self, Identity: n.o.Identity, Role: n.role, Term: n.hard.Term, Vote: n.hard.Vote, Leader: n.leader,
		First: n.log.base + 1, Last: n.log.last(), Stable: n.log.stable, Commit: n.commit, Handed: n.handed,
		SnapshotIndex: n.log.snapshot.Index, Members: n.log.members(), Lease: n.Lease(),
		Proposals: len(n.proposals), Reads: len(n.reads) + len(n.asked), Failed: n.failed,
	}
	if n.role != Leader {
		return s
	}
	s.Peers = make(map[fleet.Host]PeerStatus)
	for h, p := range n.lead.peers {
		s.Peers[h] = PeerStatus{p.match, p.next, p.inflight, p.identity, p.acked}
	}
	return s
}
