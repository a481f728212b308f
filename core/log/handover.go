package log

import (
	"time"

	"papayarock/core/fleet"
)

// release is the end of a leader's term at its own wish.
type release struct {
	id        uint64
	at        time.Time // the lease is given up from here on; zero while it is not
	successor fleet.Host
	asked     time.Time // when the successor was last asked to stand
}

func (r release) given() bool { return !r.at.IsZero() }

// handOver gives up the lease. A leader that may not act yet refuses: actions of
// its predecessor may still run, and its successor would not wait for them.
func (n *Node) handOver(id uint64) {
	switch {
	case n.role != Leader:
		n.out = append(n.out, Decided{ID: id, Outcome: NotLeader, Leader: n.leader})
	case n.lead.release.given():
		n.out = append(n.out, Decided{ID: id, Outcome: NotCommitted, Reason: HandingOver})
	case !n.Lease().Held(n.now):
		n.out = append(n.out, Decided{ID: id, Outcome: NotCommitted, Reason: NoLease})
	default:
		n.lead.release = release{id: id, at: n.now}
	}
}

// handOverFailed reports that no successor was elected within a lease. The node
// steps down, since it cannot act in this term any more.
func (n *Node) handOverFailed() bool {
	return n.lead.release.given() && n.now.Sub(n.lead.release.at) >= n.o.Lease
}

// askSuccessor asks a voter that holds every entry to stand for election, and
// asks again once per heartbeat interval, since the message may be lost.
func (n *Node) askSuccessor() {
	r := &n.lead.release
	if !r.given() || (!r.asked.IsZero() && n.now.Sub(r.asked) < n.o.Heartbeat) {
		return
	}
	if !n.caughtUp(r.successor) {
		r.successor = n.successor()
	}
	if r.successor == "" {
		return
	}
	r.asked = n.now
	n.send(Message{Kind: Stand, To: r.successor})
}

// successor returns the voter with every entry that was heard from last, or
// nothing.
func (n *Node) successor() (best fleet.Host) {
	for _, x := range n.log.members() {
		if n.caughtUp(x.Host) && (best == "" || n.lead.peers[x.Host].acked.After(n.lead.peers[best].acked)) {
			best = x.Host
		}
	}
	return best
}

func (n *Node) caughtUp(h fleet.Host) bool {
	p := n.lead.peers[h]
	return p != nil && p.match == n.log.last() && n.log.members().Voter(h)
}

// receiveStand starts an election at once, without a pre-vote, at the wish of
// the leader.
func (n *Node) receiveStand(m Message) {
	if m.Term != n.hard.Term || n.role != Follower || n.leader != m.From || !n.electable() {
		return
	}
	n.resetCampaign()
	n.startElection(true)
}
