package log

import "papayarock/core/fleet"

// receive handles one message.
func (n *Node) receive(m Message) {
	if m.To != n.o.Self || !n.meant(m) {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.receiveVoteRequest(m)
		return
	case ReadIndex:
		n.receiveReadIndex(m)
		return
	case ReadIndexReply:
		n.receiveReadIndexReply(m)
		return
	case Stand:
		n.receiveStand(m)
		return
	}
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
	case Chunk:
		n.receiveChunk(m)
	case AppendReply, HeartbeatReply, ChunkReply:
		n.receiveReply(m)
	}
}

// meant reports whether m addresses this data directory and, as far as the
// membership tells, comes from the directory it names.
func (n *Node) meant(m Message) bool {
	if n.weak&ignoreIdentity != 0 {
		return true
	}
	if m.ToIdentity != 0 && m.ToIdentity != n.o.Identity {
		return false
	}
	x, ok := n.log.members().Find(m.From)
	return !ok || x.Identity == 0 || x.Identity == m.FromIdentity
}

func (n *Node) becomeFollower(term uint64, leader fleet.Host) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.dirty = true
	}
	if n.role == Leader {
		n.stepDown()
	}
	if n.role != Follower || leader != "" {
		n.resetCampaign()
	}
	n.role, n.leader = Follower, leader
	n.votes = nil
}

// startPreVote asks whether an election could succeed, without a new term.
func (n *Node) startPreVote() {
	n.role, n.leader = PreCandidate, ""
	n.votes = make(map[fleet.Host]bool)
	n.askVotes(PreVote, n.hard.Term+1)
	n.receiveVoteReply(Message{Kind: PreVoteReply, From: n.o.Self, FromIdentity: n.o.Identity, Term: n.hard.Term + 1})
}

// startElection stands in a new term. With succeeds, the leader of the term
// before has given its lease up.
func (n *Node) startElection(succeeds bool) {
	n.role, n.leader, n.succeeds = Candidate, "", succeeds
	n.votes = make(map[fleet.Host]bool)
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.o.Self}
	n.dirty = true
	// Requests leave after the new term is synced: a reply to a request from
	// before a crash must not count for a shorter log.
	n.askVotes(Vote, n.hard.Term)
	n.sendSynced(Message{Kind: VoteReply, To: n.o.Self})
}

func (n *Node) askVotes(kind MessageKind, term uint64) {
	last := n.log.last()
	for _, x := range n.log.members() {
		if x.Learner || x.Host == n.o.Self {
			continue
		}
		m := Message{Kind: kind, To: x.Host, Term: term, Index: last, LogTerm: n.log.term(last)}
		if kind == Vote {
			if n.succeeds {
				m.Sequence = term - 1
			}
			n.sendSynced(m)
		} else {
			n.send(m)
		}
	}
}

// promised reports whether this node has promised not to help the sender of m.
func (n *Node) promised(m Message) bool {
	if n.weak&breakPromise != 0 || (m.Kind == PreVote && n.weak&preVoteIgnoresLease != 0) {
		return false
	}
	if m.Kind == Vote && m.Sequence != 0 && m.Sequence+1 == m.Term {
		// The leader of the term before gave its lease up, and those of earlier
		// terms ended before it was elected. A leader of this or a later term
		// was elected by a quorum that refuses this vote.
		return false
	}
	return n.now.Before(n.promise)
}

func (n *Node) receiveVoteRequest(m Message) {
	// The term of the request is ignored as well: taking it over would end the
	// lease that was promised.
	if n.promised(m) || !n.mayVote(m) {
		return
	}
	reply := Message{Kind: VoteReply, To: m.From, Term: m.Term}
	if m.Kind == PreVote {
		reply.Kind = PreVoteReply
	}
	if m.Kind == Vote && m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	if m.Term < n.hard.Term || (m.Kind == PreVote && m.Term == n.hard.Term) || !n.upToDate(m) {
		reply.Reject, reply.Term = true, n.hard.Term
		n.send(reply)
		return
	}
	if m.Kind == PreVote {
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
		n.dirty = true
	}
	n.resetCampaign()
	n.sendSynced(reply)
}

// mayVote refuses votes of an empty directory. Until the leader has recorded
// the identity of this directory, a directory without entries may be a
// replacement for one that had some, so it helps only candidates without
// entries.
func (n *Node) mayVote(m Message) bool {
	if n.weak&ignoreIdentity != 0 {
		return true
	}
	last := n.log.last()
	if last == 0 {
		return false
	}
	return last > bootstrapIndex || m.Index <= bootstrapIndex || m.ToIdentity == n.o.Identity
}

func (n *Node) upToDate(m Message) bool {
	if n.weak&voteForAnyLog != 0 {
		return true
	}
	last := n.log.last()
	term := n.log.term(last)
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= last)
}

func (n *Node) receiveVoteReply(m Message) {
	if m.Reject || !n.log.members().Voter(m.From) {
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
