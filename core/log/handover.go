package log

import (
	"time"

	"papayarock/core/fleet"
)

// transfer is the state of a leadership transfer that this leader has started.
type transfer struct {
	id          uint64
	startedAt   time.Time // the lease is given up from here on; zero if no transfer has started
	successor   fleet.Host
	requestedAt time.Time // time of the last TimeoutNow sent
}

func (r transfer) started() bool { return !r.startedAt.IsZero() }

// transferLeadership gives up the lease and starts a leadership transfer. A
// leader that may not act yet refuses: actions of its predecessor may still be
// running, and its successor would not wait for them.
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

// transferTimedOut reports whether no successor was elected within one lease. The
// node then steps down, since it can no longer act in this term.
func (n *Node) transferTimedOut() bool {
	return n.leaderState.transfer.started() && n.now.Sub(n.leaderState.transfer.startedAt) >= n.opts.Lease
}

// requestElection sends TimeoutNow to a voter that has every entry, and resends it
// once per heartbeat interval, since the message may be lost.
func (n *Node) requestElection() {
	r := &n.leaderState.transfer
	if !r.started() || (!r.requestedAt.IsZero() && n.now.Sub(r.requestedAt) < n.opts.Heartbeat) {
		return
	}
	if !n.caughtUp(r.successor) {
		r.successor = n.chooseSuccessor()
	}
	if r.successor == "" {
		return
	}
	r.requestedAt = n.now
	n.send(Message{Kind: TimeoutNow, To: r.successor})
}

// chooseSuccessor returns, of the voters that have every entry, the one with the
// most recently confirmed heartbeat, or an empty host if there is none.
func (n *Node) chooseSuccessor() (best fleet.Host) {
	for _, x := range n.log.members() {
		if n.caughtUp(x.Host) && (best == "" || n.leaderState.peers[x.Host].confirmedAt.After(n.leaderState.peers[best].confirmedAt)) {
			best = x.Host
		}
	}
	return best
}

func (n *Node) caughtUp(h fleet.Host) bool {
	p := n.leaderState.peers[h]
	return p != nil && p.match == n.log.last() && n.log.members().Voter(h)
}

// receiveTimeoutNow starts an election immediately, without a pre-vote, at the
// request of the leader.
func (n *Node) receiveTimeoutNow(m Message) {
	if m.Term != n.hard.Term || n.role != Follower || n.leader != m.From || !n.electable() {
		return
	}
	n.resetElectionTimeout()
	n.startElection(true)
}
