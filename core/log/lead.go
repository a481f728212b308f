package log

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// leading is the state of a leader in its term.
type leading struct {
	since     time.Time // of the election
	noop      uint64    // index of the first entry of the term
	nextBeat  time.Time
	round     uint64
	rounds    []round   // heartbeat rounds that may still be answered
	confirmed time.Time // latest send time that a quorum has confirmed
	peers     map[fleet.Host]*peer
	inherited bool // the leader of the term before gave its lease up
	release   release
}

type round struct {
	sequence uint64
	at       time.Time
}

// peer is the progress of one other member.
type peer struct {
	identity Identity // of the directory that answers; zero until it has
	match    uint64   // last index known to match and to be synced
	next     uint64   // next index to send
	inflight int
	probing  bool      // next is a guess; one empty append at a time
	heard    time.Time // last progress, or last send after a pause
	acked    time.Time // send time of the latest confirmed heartbeat
	sending  *sending
}

// sending is a snapshot on its way to a peer.
type sending struct {
	snapshot Snapshot
	offset   uint64
	at       time.Time // of the last chunk sent; zero when the next may go at once
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.o.Self, nil
	n.lead = leading{since: n.now, noop: n.log.last() + 1, nextBeat: n.now, peers: make(map[fleet.Host]*peer), inherited: n.succeeds}
	n.trackPeers()
	n.appendOwn(Entry{Kind: Noop})
	n.beat()
}

// trackPeers follows a change of the membership.
func (n *Node) trackPeers() {
	members := n.log.members()
	for _, x := range members {
		if n.lead.peers[x.Host] == nil && x.Host != n.o.Self {
			n.lead.peers[x.Host] = n.newPeer(x.Identity)
		}
	}
	for h := range n.lead.peers {
		if _, ok := members.Find(h); !ok {
			delete(n.lead.peers, h)
		}
	}
}

// newPeer returns the progress of a member that has not answered. The first
// append after the last entry serves as the probe.
func (n *Node) newPeer(id Identity) *peer {
	p := &peer{identity: id, next: n.log.last() + 1, heard: n.now}
	if n.log.last() >= n.lead.noop {
		p.probing, p.heard = true, time.Time{}
	}
	return p
}

// guess returns the next index to try after an answer is missing. While nothing
// is known to match, the peer most likely holds what this leader held when it
// was elected.
func (n *Node) guess(p *peer) uint64 {
	if p.match > 0 {
		return p.match + 1
	}
	return max(n.lead.noop, n.log.base+1)
}

// appendOwn appends one entry of this leader's term and returns its index.
func (n *Node) appendOwn(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append(e)
	n.fresh++
	if e.Kind == Members {
		n.trackPeers()
	}
	return e.Index
}

func (n *Node) stepDown() {
	for i := range n.proposals {
		n.proposals[i].expires = n.now.Add(2 * n.o.Lease)
	}
	n.failReads()
	if n.lead.release.given() {
		n.out = append(n.out, HandedOver{ID: n.lead.release.id})
	}
	n.lead = leading{}
}

func (n *Node) tickLeader() {
	if quorumSeen := later(n.lead.since, n.lead.confirmed); n.now.Sub(quorumSeen) >= n.o.Lease || n.handOverFailed() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if !n.now.Before(n.lead.nextBeat) {
		n.beat()
	}
	n.identify()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beat starts a heartbeat round. The leader's own promise runs from the same
// time as the lease.
func (n *Node) beat() {
	n.lead.round++
	n.lead.nextBeat = n.now.Add(n.o.Heartbeat)
	n.lead.rounds = slices.DeleteFunc(n.lead.rounds, func(r round) bool { return n.now.Sub(r.at) > n.o.Lease })
	n.lead.rounds = append(n.lead.rounds, round{n.lead.round, n.now})
	n.promise = n.now.Add(n.o.Lease)
	for _, x := range n.log.members() {
		if p := n.lead.peers[x.Host]; p != nil {
			n.send(Message{Kind: Heartbeat, To: x.Host, Sequence: n.lead.round, Commit: min(n.commit, p.match)})
		}
	}
	n.confirm()
}

// confirm recomputes the time from which the lease runs.
func (n *Node) confirm() {
	var acked []time.Time
	members := n.log.members()
	for _, x := range members {
		switch p := n.lead.peers[x.Host]; {
		case x.Learner:
		case p != nil:
			acked = append(acked, p.acked)
		case x.Host == n.o.Self && len(n.lead.rounds) > 0:
			acked = append(acked, n.lead.rounds[len(n.lead.rounds)-1].at)
		}
	}
	if q := members.Quorum(); q <= len(acked) {
		slices.SortFunc(acked, func(a, b time.Time) int { return b.Compare(a) })
		if n.weak&leaseFromReply != 0 && acked[q-1].After(n.lead.confirmed) {
			acked[q-1] = n.now
		}
		n.lead.confirmed = later(n.lead.confirmed, acked[q-1])
	}
}

// leaseEnd returns the time at which the confirmed lease ends. It is counted
// from the send time, less the margin for clocks of different rates.
func (n *Node) leaseEnd() time.Time {
	if n.lead.confirmed.IsZero() || (n.lead.release.given() && n.weak&keepLease == 0) {
		return time.Time{}
	}
	if n.weak&noMargin != 0 {
		return n.lead.confirmed.Add(n.o.Lease)
	}
	return n.lead.confirmed.Add(n.o.Lease - n.o.Lease/marginDivisor)
}

// actFrom returns the time from which a new leader may act: the voters that
// elected it waited for the end of the old lease, and the longest action begun
// under that lease has ended since, by any clock within the margin. A leader
// that was handed over to need not wait: both had ended before.
func (n *Node) actFrom() time.Time {
	if n.weak&actAtOnce != 0 || n.lead.inherited {
		return n.lead.since
	}
	return n.lead.since.Add(n.o.LongestAction + 2*n.o.LongestAction/marginDivisor)
}

// ready reports whether this leader has committed an entry of its term, so that
// its commit index covers everything committed before.
func (n *Node) ready() bool { return n.role == Leader && n.commit >= n.lead.noop }

// receiveReply handles the answers to a leader.
func (n *Node) receiveReply(m Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil || !n.recognise(p, m) {
		return
	}
	switch m.Kind {
	case HeartbeatReply:
		n.receiveHeartbeatReply(p, m)
	case ChunkReply:
		if s := p.sending; s != nil && s.snapshot.Index == m.Index {
			s.offset, s.at = min(m.Offset, uint64(len(s.snapshot.Data))), time.Time{}
		}
	case AppendReply:
		n.receiveAppendReply(p, m)
	}
}

// recognise notes the directory behind a peer. A learner may replace its
// directory and then starts over; the answers of a replaced voter do not count.
func (n *Node) recognise(p *peer, m Message) bool {
	if p.identity == 0 || n.weak&ignoreIdentity != 0 {
		p.identity = m.FromIdentity
	}
	if p.identity == m.FromIdentity {
		return true
	}
	if n.log.members().Voter(m.From) {
		return false
	}
	*p = *n.newPeer(m.FromIdentity)
	return true
}

func (n *Node) receiveHeartbeatReply(p *peer, m Message) {
	for _, r := range n.lead.rounds {
		if r.sequence != m.Sequence {
			continue
		}
		p.acked = later(p.acked, r.at)
		n.confirm()
	}
}

func (n *Node) receiveAppendReply(p *peer, m Message) {
	if m.Reject {
		if m.Index > p.match {
			p.next = min(max(p.match, m.Hint)+1, n.log.last()+1)
			p.inflight, p.heard = 0, n.now
			// An empty append only finds the place; the entries follow its answer.
			p.probing = true
			n.probe(p, m.From)
		}
		return
	}
	if m.Index > n.log.last() {
		return
	}
	p.inflight = max(0, p.inflight-1)
	p.heard = n.now
	if p.probing || m.Index >= p.next {
		p.probing, p.inflight = false, 0
		p.next = max(p.match, m.Index) + 1
	}
	p.match = max(p.match, m.Index)
	if p.sending != nil && p.match >= p.sending.snapshot.Index {
		p.sending = nil
	}
}

// advanceCommit commits what a quorum has synced. Only entries of the own term
// count; older ones are committed along with them.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	var match []uint64
	members := n.log.members()
	for _, x := range members {
		switch p := n.lead.peers[x.Host]; {
		case x.Learner:
		case p != nil:
			match = append(match, p.match)
		case n.weak&countUnsynced != 0:
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
	if index > n.commit && (n.log.term(index) == n.hard.Term || n.weak&commitAnyTerm != 0) {
		n.commit = index
	}
}

// replicate sends each peer what it lacks, as far as its window allows.
func (n *Node) replicate() {
	for _, x := range n.log.members() {
		if p := n.lead.peers[x.Host]; p != nil {
			n.replicateTo(p, x.Host)
		}
	}
}

// retry is the time after which an unanswered append or chunk is sent again.
func (n *Node) retry() time.Duration { return 3 * n.o.Heartbeat }

func (n *Node) replicateTo(p *peer, h fleet.Host) {
	late := n.now.Sub(p.heard) >= n.retry()
	if p.sending != nil || p.next <= n.log.base {
		n.sendChunk(p, h)
		return
	}
	// The window is no measure of what is missing: a duplicated answer opens it
	// for an append that was lost.
	if late && (p.probing || p.match+1 < p.next) {
		p.next, p.inflight, p.probing, p.heard = n.guess(p), 0, true, n.now
		if p.next <= n.log.base {
			n.sendChunk(p, h)
			return
		}
		n.probe(p, h)
	}
	for !p.probing && p.inflight < maxInflight && p.next <= n.log.last() {
		if p.inflight == 0 {
			p.heard = n.now
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

// sendChunk sends the next part of the snapshot, one at a time.
func (n *Node) sendChunk(p *peer, h fleet.Host) {
	if p.sending == nil {
		p.sending = &sending{snapshot: n.log.snapshot}
		p.probing, p.inflight = true, 0
	}
	s := p.sending
	if !s.at.IsZero() && n.now.Sub(s.at) < n.retry() {
		return
	}
	s.at, p.heard = n.now, n.now
	end := min(s.offset+chunkBytes, uint64(len(s.snapshot.Data)))
	n.send(Message{
		Kind: Chunk, To: h, Index: s.snapshot.Index, LogTerm: s.snapshot.Term, Members: s.snapshot.Members,
		Offset: s.offset, Total: uint64(len(s.snapshot.Data)), Data: s.snapshot.Data[s.offset:end],
	})
}
