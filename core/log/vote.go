package log

import "papayarock/core/fleet"

func (n *Node) receive(m Message) {
	if m.To != n.opts.Self || !n.identityMatches(m) {
		return
	}
	switch m.Kind {
	case PreVoteRequest, VoteRequest:
		n.receiveVoteRequest(m)
		return
	case ReadIndex:
		n.receiveReadIndex(m)
		return
	case ReadIndexReply:
		n.receiveReadIndexReply(m)
		return
	case TimeoutNow:
		n.receiveTimeoutNow(m)
		return
	}
	// A granted pre-vote carries the term of an election that has not started.
	if m.Term > n.hard.Term && (m.Kind != PreVoteReply || m.Reject) {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case PreVoteReply, VoteReply:
		n.receiveVoteReply(m)
	case Append:
		n.receiveAppend(m)
	case Heartbeat:
		n.receiveHeartbeat(m)
	case SnapshotChunk:
		n.receiveChunk(m)
	case AppendReply, HeartbeatReply, SnapshotChunkReply:
		n.receiveReply(m)
	}
}

// identityMatches reports whether m is addressed to this data directory and comes
// from a directory that may send it. What counts for a quorum must come from the
// directory that the membership records. The membership may be older than the
// sender's, after a snapshot or while entries are missing, so it does not decide who
// leads: a leader was elected under its own directory, and the term and the log
// position in its messages are checked. A candidate is accepted if its log, and
// with it its membership, is at least as new as that of this node.
func (n *Node) identityMatches(m Message) bool {
	if n.mutations&ignoreIdentity != 0 {
		return true
	}
	if m.ToIdentity != 0 && m.ToIdentity != n.opts.Identity {
		return false
	}
	x, ok := n.log.members().Find(m.From)
	if !ok || x.Identity == 0 || x.Identity == m.FromIdentity {
		return true
	}
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk, TimeoutNow, ReadIndexReply:
		return true
	case PreVoteRequest, VoteRequest:
		return n.upToDate(m)
	}
	return false
}

func (n *Node) becomeFollower(term uint64, leader fleet.Host) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardChanged = true
	}
	if n.role == Leader {
		n.stepDown()
	}
	if n.role != Follower || leader != "" {
		n.resetElectionTimeout()
	}
	n.role, n.leader = Follower, leader
	n.votes = nil
}

// startPreVote asks the voters whether an election could succeed, without
// starting a new term.
func (n *Node) startPreVote() {
	n.role, n.leader = PreCandidate, ""
	n.votes = make(map[fleet.Host]bool)
	n.requestVotes(PreVoteRequest, n.hard.Term+1)
	n.receiveVoteReply(Message{Kind: PreVoteReply, From: n.opts.Self, FromIdentity: n.opts.Identity, Term: n.hard.Term + 1})
}

// startElection becomes a candidate in a new term. afterTransfer is true if the
// leader of the previous term has given up its lease.
func (n *Node) startElection(afterTransfer bool) {
	n.role, n.leader, n.afterTransfer = Candidate, "", afterTransfer
	n.votes = make(map[fleet.Host]bool)
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.opts.Self}
	n.hardChanged = true
	// Requests are sent after the new term is synced: a reply to a request sent
	// before a crash must not count for the shorter log after it.
	n.requestVotes(VoteRequest, n.hard.Term)
	n.sendAfterSync(Message{Kind: VoteReply, To: n.opts.Self})
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	last := n.log.last()
	for _, x := range n.log.members() {
		if x.Learner || x.Host == n.opts.Self {
			continue
		}
		m := Message{Kind: kind, To: x.Host, Term: term, Index: last, LogTerm: n.log.term(last)}
		if kind == VoteRequest {
			if n.afterTransfer {
				m.Sequence = term - 1
			}
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// leaseBlocksVote reports whether a lease that this node granted forbids it to
// answer the vote or pre-vote request m.
func (n *Node) leaseBlocksVote(m Message) bool {
	if n.mutations&ignoreLeaseGrant != 0 || (m.Kind == PreVoteRequest && n.mutations&preVoteIgnoresLease != 0) {
		return false
	}
	if m.Kind == VoteRequest && m.Sequence != 0 && m.Sequence+1 == m.Term {
		// The leader of the previous term gave up its lease, and the leases of
		// earlier terms ended before it was elected. If this or a later term already
		// has a leader, the quorum that elected it rejects m.
		return false
	}
	return n.now.Before(n.leaseGrantEnd)
}

func (n *Node) receiveVoteRequest(m Message) {
	// The term of an ignored request is not adopted: with a higher term this node
	// would reject the leader to which it granted a lease.
	if n.leaseBlocksVote(m) || !n.mayVote(m) {
		return
	}
	reply := replyTo(m, Message{Kind: VoteReply, Term: m.Term})
	if m.Kind == PreVoteRequest {
		reply.Kind = PreVoteReply
	}
	if m.Kind == VoteRequest && m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	if m.Term < n.hard.Term || (m.Kind == PreVoteRequest && m.Term == n.hard.Term) || !n.upToDate(m) {
		reply.Reject, reply.Term = true, n.hard.Term
		n.send(reply)
		return
	}
	if m.Kind == PreVoteRequest {
		n.send(reply)
		return
	}
	if n.hard.Vote != "" && n.hard.Vote != m.From {
		reply.Reject = true
		n.send(reply)
		return
	}
	if n.hard.Vote == "" {
		n.hard.Vote = m.From
		n.hardChanged = true
	}
	n.resetElectionTimeout()
	n.sendAfterSync(reply)
}

// mayVote reports whether this directory may answer the vote or pre-vote request
// m. An empty directory never votes. A directory that has only the bootstrap snapshot
// may have replaced one that had entries, unless the request names its identity,
// which the sender knows only once a leader has recorded it. Until then it votes only
// for candidates without entries.
func (n *Node) mayVote(m Message) bool {
	if n.mutations&ignoreIdentity != 0 {
		return true
	}
	last := n.log.last()
	if last == 0 {
		return false
	}
	return last > bootstrapIndex || m.Index <= bootstrapIndex || m.ToIdentity == n.opts.Identity
}

// upToDate reports whether the candidate's log is at least as up to date as this
// node's.
func (n *Node) upToDate(m Message) bool {
	if n.mutations&voteForAnyLog != 0 {
		return true
	}
	last := n.log.last()
	term := n.log.term(last)
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= last)
}

func (n *Node) receiveVoteReply(m Message) {
	if m.Reject || !n.log.members().IsVoter(m.From) {
		return
	}
	switch {
	case m.Kind == PreVoteReply && n.role == PreCandidate && m.Term == n.hard.Term+1:
	case m.Kind == VoteReply && n.role == Candidate && m.Term == n.hard.Term:
	default:
		return
	}
	n.votes[m.From] = true
	if len(n.votes) < n.log.members().Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}
