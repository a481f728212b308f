package log

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// leaderState is the volatile state of a leader during its term.
type leaderState struct {
	electedAt     time.Time
	noopIndex     uint64 // index of the first entry of the term
	nextHeartbeat time.Time
	lastRound     uint64
	rounds        []heartbeatRound // rounds whose replies still count
	leaseStart    time.Time        // send time of the latest heartbeat answered by a quorum
	peers         map[fleet.Host]*peer
	afterTransfer bool // the leader of the previous term gave up its lease
	transfer      transfer
}

// heartbeatRound is one round of heartbeats to all peers.
type heartbeatRound struct {
	sequence uint64
	sentAt   time.Time
}

// peer is the replication progress of one other member.
type peer struct {
	addedAt      time.Time   // when this leader began to send to it
	identity     DirectoryID // of the directory that replies; zero until the first reply
	match        uint64      // last index known to match and to be synced there
	next         uint64      // next index to send
	inflight     int         // number of unanswered appends, as far as known
	probing      bool        // next is an estimate; send one empty append at a time
	waitingSince time.Time   // time of the last reply, probe or chunk, or of the first append after a pause; see retryTimeout
	confirmedAt  time.Time   // send time of the latest heartbeat it answered
	outgoing     *outgoingSnapshot
}

// outgoingSnapshot is a snapshot being sent to a peer.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   uint64
	sentAt   time.Time // of the last chunk; zero if the next may be sent immediately
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.opts.Self, nil
	n.leaderState = leaderState{electedAt: n.now, noopIndex: n.log.last() + 1, nextHeartbeat: n.now, peers: make(map[fleet.Host]*peer), afterTransfer: n.afterTransfer}
	n.updatePeers()
	n.appendEntry(Entry{Kind: Noop})
	n.sendHeartbeats()
}

// updatePeers adapts the peers to a changed membership.
func (n *Node) updatePeers() {
	members := n.log.members()
	for _, x := range members {
		if n.leaderState.peers[x.Host] == nil && x.Host != n.opts.Self {
			n.leaderState.peers[x.Host] = n.newPeer(x.Identity)
		}
	}
	for h := range n.leaderState.peers {
		if _, ok := members.Find(h); !ok {
			delete(n.leaderState.peers, h)
		}
	}
}

// newPeer returns the progress of a member that has not replied yet. A member that
// is added or replaced during the term is probed first; after an election the append
// of the first entry of the term serves as the probe.
func (n *Node) newPeer(id DirectoryID) *peer {
	p := &peer{addedAt: n.now, identity: id, next: n.log.last() + 1, waitingSince: n.now}
	if n.log.last() >= n.leaderState.noopIndex {
		p.probing, p.waitingSince = true, time.Time{}
	}
	return p
}

// probeIndex returns the next index to try after a missing reply. As long as no
// entry is known to match, the peer most likely has the entries that this leader
// had when it was elected.
func (n *Node) probeIndex(p *peer) uint64 {
	if p.match > 0 {
		return p.match + 1
	}
	return max(n.leaderState.noopIndex, n.log.base+1)
}

// appendEntry appends e in this leader's term and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append(e)
	n.unwritten++
	if e.Kind == Members {
		n.updatePeers()
	}
	return e.Index
}

// stepDown ends the leadership of this node. Its open proposals wait for their
// outcome for two more leases.
func (n *Node) stepDown() {
	for i := range n.openProposals {
		n.openProposals[i].expires = n.now.Add(2 * n.opts.Lease)
	}
	n.failReads()
	if n.leaderState.transfer.started() {
		n.actions = append(n.actions, TransferEnded{ID: n.leaderState.transfer.id})
	}
	n.leaderState = leaderState{}
}

func (n *Node) tickLeader() {
	if quorumSeen := later(n.leaderState.electedAt, n.leaderState.leaseStart); n.now.Sub(quorumSeen) >= n.opts.Lease || n.transferTimedOut() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if !n.now.Before(n.leaderState.nextHeartbeat) {
		n.sendHeartbeats()
	}
	n.recordIdentities()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendHeartbeats starts a heartbeat round. The leader grants the lease to itself as
// well, from the send time of the heartbeats.
func (n *Node) sendHeartbeats() {
	n.leaderState.lastRound++
	n.leaderState.nextHeartbeat = n.now.Add(n.opts.Heartbeat)
	n.leaderState.rounds = slices.DeleteFunc(n.leaderState.rounds, func(r heartbeatRound) bool { return n.now.Sub(r.sentAt) > n.opts.Lease })
	n.leaderState.rounds = append(n.leaderState.rounds, heartbeatRound{n.leaderState.lastRound, n.now})
	n.leaseGrantEnd = n.now.Add(n.opts.Lease)
	for _, x := range n.log.members() {
		if p := n.leaderState.peers[x.Host]; p != nil {
			n.send(Message{Kind: Heartbeat, To: x.Host, Sequence: n.leaderState.lastRound, Commit: min(n.commit, p.match)})
		}
	}
	n.updateLeaseStart()
}

// updateLeaseStart sets the start of the lease to the send time of the latest
// heartbeat that a quorum of voters has answered. The leader counts as having
// answered its own.
func (n *Node) updateLeaseStart() {
	var confirmed []time.Time
	members := n.log.members()
	for _, x := range members {
		switch p := n.leaderState.peers[x.Host]; {
		case x.Learner:
		case p != nil:
			confirmed = append(confirmed, p.confirmedAt)
		case x.Host == n.opts.Self && len(n.leaderState.rounds) > 0:
			confirmed = append(confirmed, n.leaderState.rounds[len(n.leaderState.rounds)-1].sentAt)
		}
	}
	if q := members.Quorum(); q <= len(confirmed) {
		slices.SortFunc(confirmed, func(a, b time.Time) int { return b.Compare(a) })
		if n.mutations&leaseFromReply != 0 && confirmed[q-1].After(n.leaderState.leaseStart) {
			confirmed[q-1] = n.now
		}
		n.leaderState.leaseStart = later(n.leaderState.leaseStart, confirmed[q-1])
	}
}

// leaseEnd returns the time at which the lease ends, or the zero time if this leader
// has no lease yet or has given it up for a transfer. The lease runs from the send
// time of the heartbeat and is shortened by the clock-rate margin.
func (n *Node) leaseEnd() time.Time {
	if n.leaderState.leaseStart.IsZero() || (n.leaderState.transfer.started() && n.mutations&keepLeaseInTransfer == 0) {
		return time.Time{}
	}
	if n.mutations&noClockMargin != 0 {
		return n.leaderState.leaseStart.Add(n.opts.Lease)
	}
	return n.leaderState.leaseStart.Add(n.opts.Lease - n.opts.Lease/marginDivisor)
}

// mayActFrom returns the time from which a new leader may begin external actions.
// The voters that elected it waited for the end of the previous lease. At the
// returned time the longest action begun under that lease has ended as well, if the
// clocks keep within the rate margin. After a leadership transfer there is no wait,
// since the previous lease and its actions ended before the election.
func (n *Node) mayActFrom() time.Time {
	if n.mutations&skipActionWait != 0 || n.leaderState.afterTransfer {
		return n.leaderState.electedAt
	}
	return n.leaderState.electedAt.Add(n.opts.LongestAction + 2*n.opts.LongestAction/marginDivisor)
}

// termCommitted reports whether this leader has committed an entry of its term,
// so that its commit index covers everything committed before.
func (n *Node) termCommitted() bool { return n.role == Leader && n.commit >= n.leaderState.noopIndex }

// receiveReply handles replies to a leader.
func (n *Node) receiveReply(m Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	p := n.leaderState.peers[m.From]
	if p == nil || !n.acceptIdentity(p, m) {
		return
	}
	switch m.Kind {
	case HeartbeatReply:
		n.receiveHeartbeatReply(p, m)
	case SnapshotChunkReply:
		if s := p.outgoing; s != nil && s.snapshot.Index == m.Index {
			s.offset, s.sentAt = min(m.Offset, uint64(len(s.snapshot.Data))), time.Time{}
		}
	case AppendReply:
		n.receiveAppendReply(p, m)
	}
}

// acceptIdentity records the identity of the peer's directory and reports whether
// the reply m is to be processed. If a learner's directory was replaced, its
// progress is reset; replies from a voter whose directory was replaced are ignored.
func (n *Node) acceptIdentity(p *peer, m Message) bool {
	if p.identity == 0 || n.mutations&ignoreIdentity != 0 {
		p.identity = m.FromIdentity
	}
	if p.identity == m.FromIdentity {
		return true
	}
	if n.log.members().IsVoter(m.From) {
		return false
	}
	*p = *n.newPeer(m.FromIdentity)
	return true
}

func (n *Node) receiveHeartbeatReply(p *peer, m Message) {
	for _, r := range n.leaderState.rounds {
		if r.sequence != m.Sequence {
			continue
		}
		p.confirmedAt = later(p.confirmedAt, r.sentAt)
		n.updateLeaseStart()
	}
}

func (n *Node) receiveAppendReply(p *peer, m Message) {
	if m.Reject {
		if m.Index > p.match {
			p.next = min(max(p.match, m.Hint)+1, n.log.last()+1)
			p.inflight, p.waitingSince = 0, n.now
			// An empty append only locates the last match; entries are sent after
			// its reply.
			p.probing = true
			n.probe(p, m.From)
		}
		return
	}
	if m.Index > n.log.last() {
		return
	}
	p.inflight = max(0, p.inflight-1)
	p.waitingSince = n.now
	if p.probing || m.Index >= p.next {
		p.probing, p.inflight = false, 0
		p.next = max(p.match, m.Index) + 1
	}
	p.match = max(p.match, m.Index)
	if p.outgoing != nil && p.match >= p.outgoing.snapshot.Index {
		p.outgoing = nil
	}
}

// advanceCommit advances the commit index to what a quorum has synced. Only
// entries of the current term are committed by counting replicas; earlier ones
// are committed along with them.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	var match []uint64
	members := n.log.members()
	for _, x := range members {
		switch p := n.leaderState.peers[x.Host]; {
		case x.Learner:
		case p != nil:
			match = append(match, p.match)
		case n.mutations&countUnsynced != 0:
			match = append(match, n.log.last())
		default:
			match = append(match, n.log.stable)
		}
	}
	slices.Sort(match)
	q := members.Quorum()
	if q > len(match) {
		return
	}
	index := match[len(match)-q]
	if index > n.commit && (n.log.term(index) == n.hard.Term || n.mutations&commitAnyTerm != 0) {
		n.commit = index
	}
}

// replicate sends each peer the entries that it lacks, with at most maxInflight
// unanswered appends.
func (n *Node) replicate() {
	for _, x := range n.log.members() {
		if p := n.leaderState.peers[x.Host]; p != nil {
			n.replicateTo(p, x.Host)
		}
	}
}

// retryTimeout is the time after which an unanswered append or chunk is resent.
func (n *Node) retryTimeout() time.Duration { return 3 * n.opts.Heartbeat }

func (n *Node) replicateTo(p *peer, h fleet.Host) {
	timedOut := n.now.Sub(p.waitingSince) >= n.retryTimeout()
	if p.outgoing != nil || p.next <= n.log.base {
		n.sendChunk(p, h)
		return
	}
	// Unanswered entries are detected from p.match and p.next rather than p.inflight:
	// a duplicated reply lowers p.inflight although another append was lost.
	if timedOut && (p.probing || p.match+1 < p.next) {
		p.next, p.inflight, p.probing, p.waitingSince = n.probeIndex(p), 0, true, n.now
		if p.next <= n.log.base {
			n.sendChunk(p, h)
			return
		}
		n.probe(p, h)
	}
	for !p.probing && p.inflight < maxInflight && p.next <= n.log.last() {
		if p.inflight == 0 {
			p.waitingSince = n.now
		}
		list := n.log.batch(p.next)
		n.sendAppend(p, h, list)
		p.next += uint64(len(list))
		p.inflight++
	}
}

// probe sends an empty append to learn whether the entry before p.next matches.
func (n *Node) probe(p *peer, h fleet.Host) {
	if p.next <= n.log.base {
		return
	}
	n.sendAppend(p, h, nil)
}

func (n *Node) sendAppend(p *peer, h fleet.Host, list []Entry) {
	n.send(Message{Kind: Append, To: h, Index: p.next - 1, LogTerm: n.log.term(p.next - 1), Commit: n.commit, Entries: list})
}

// sendChunk sends the next chunk of the snapshot. Only one chunk is in flight at
// a time.
func (n *Node) sendChunk(p *peer, h fleet.Host) {
	if p.outgoing == nil {
		p.outgoing = &outgoingSnapshot{snapshot: n.log.snapshot}
		p.probing, p.inflight = true, 0
	}
	s := p.outgoing
	if !s.sentAt.IsZero() && n.now.Sub(s.sentAt) < n.retryTimeout() {
		return
	}
	s.sentAt, p.waitingSince = n.now, n.now
	end := min(s.offset+maxChunkBytes, uint64(len(s.snapshot.Data)))
	n.send(Message{
		Kind: SnapshotChunk, To: h, Index: s.snapshot.Index, LogTerm: s.snapshot.Term, Members: s.snapshot.Members,
		Offset: s.offset, Total: uint64(len(s.snapshot.Data)), Data: s.snapshot.Data[s.offset:end],
	})
}
