package log

import (
	"time"

	"papayarock/core/fleet"
)

// transfer is the state of a leadership transfer that this leader has started.
type transfer struct {
	id          uint64
	startedAt   time.Time // when the leader gave up its lease; zero if no transfer has started
	successor   fleet.Host
	requestedAt time.Time // time of the last TimeoutNow sent
}

func (t transfer) started() bool { return !t.startedAt.IsZero() }

// transferLeadership gives up the lease and starts a leadership transfer. It rejects
// the request unless this leader may act now: before that, actions of the previous
// leader may still be running, and the next leader would not wait for them.
func (n *Node) transferLeadership(id uint64) {
	switch {
	case n.role != Leader:
		n.actions = append(n.actions, Decided{ID: id, Outcome: NotLeader, Leader: n.leader})
	case n.leaderState.transfer.started():
		n.actions = append(n.actions, Decided{ID: id, Outcome: NotCommitted, Reason: TransferInProgress})
	case !n.Lease().Held(n.now):
		n.actions = append(n.actions, Decided{ID: id, Outcome: NotCommitted, Reason: NoLease})
	default:
		n.leaderState.transfer = transfer{id: id, startedAt: n.now}
	}
}

// transferTimedOut reports whether this node still leads one lease after it started
// a transfer. It then steps down, since it can no longer act in this term.
func (n *Node) transferTimedOut() bool {
	return n.leaderState.transfer.started() && n.now.Sub(n.leaderState.transfer.startedAt) >= n.opts.Lease
}

// sendTimeoutNow sends TimeoutNow during a transfer to a voter that has every entry,
// and resends it once per heartbeat interval, since the message may be lost.
func (n *Node) sendTimeoutNow() {
	t := &n.leaderState.transfer
	if !t.started() || (!t.requestedAt.IsZero() && n.now.Sub(t.requestedAt) < n.opts.Heartbeat) {
		return
	}
	if !n.hasAllEntries(t.successor) {
		t.successor = n.chooseSuccessor()
	}
	if t.successor == "" {
		return
	}
	t.requestedAt = n.now
	n.send(Message{Kind: TimeoutNow, To: t.successor})
}

// chooseSuccessor returns, of the voters that have every entry, the one with the
// most recently confirmed heartbeat, or an empty host if there is none.
func (n *Node) chooseSuccessor() (best fleet.Host) {
	for _, x := range n.log.members() {
		if n.hasAllEntries(x.Host) && (best == "" || n.leaderState.peers[x.Host].confirmedAt.After(n.leaderState.peers[best].confirmedAt)) {
			best = x.Host
		}
	}
	return best
}

// hasAllEntries reports whether h is a voter that has synced every entry of this
// leader's log.
func (n *Node) hasAllEntries(h fleet.Host) bool {
	p := n.leaderState.peers[h]
	return p != nil && p.match == n.log.last() && n.log.members().IsVoter(h)
}

// receiveTimeoutNow starts an election at the request of the leader, without a
// pre-vote and without waiting for the end of the lease.
func (n *Node) receiveTimeoutNow(m Message) {
	if m.Term != n.hard.Term || n.role != Follower || n.leader != m.From || !n.electable() {
		return
	}
	n.resetElectionTimeout()
	n.startElection(true)
}
