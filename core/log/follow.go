package log

// acceptLeader accepts the sender of m as the leader, renews the lease granted to
// it, and reports whether m was accepted. If the sender's term is outdated, it sends
// a rejection of the given reply kind.
func (n *Node) acceptLeader(m Message, reply MessageKind) bool {
	if m.Term < n.hard.Term {
		n.send(replyTo(m, Message{Kind: reply, Reject: true, Index: m.Index, Sequence: m.Sequence}))
		return false
	}
	if n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.leaderIdentity = m.FromIdentity
	n.leaseGrantEnd = n.now.Add(n.opts.Lease)
	return true
}

func (n *Node) receiveHeartbeat(m Message) {
	if !n.acceptLeader(m, HeartbeatReply) {
		return
	}
	n.advanceFollowerCommit(m.Commit)
	// The reply does not depend on a write: after a restart the node waits one
	// lease before it votes, so it honours the grant even if the term was lost.
	n.send(replyTo(m, Message{Kind: HeartbeatReply, Sequence: m.Sequence}))
}

// advanceFollowerCommit adopts the leader's commit index. The caller ensures that
// commit does not exceed the last index known to match the leader's log.
func (n *Node) advanceFollowerCommit(commit uint64) {
	n.commit = max(n.commit, min(commit, n.log.last()))
}

func (n *Node) receiveAppend(m Message) {
	if !n.acceptLeader(m, AppendReply) {
		return
	}
	reply := replyTo(m, Message{Kind: AppendReply})
	if m.Index < n.commit || m.Index < n.log.base {
		// Everything up to the commit index matches already.
		reply.Index = n.commit
		n.sendAfterSync(reply)
		return
	}
	if m.Index > n.log.last() || n.log.term(m.Index) != m.LogTerm {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, n.conflictHint(m.Index)
		n.send(reply)
		return
	}
	n.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.advanceFollowerCommit(min(m.Commit, reply.Index))
	n.sendAfterSync(reply)
}

// conflictHint returns the last index at which the logs may match, given that they
// differ at index rejected.
func (n *Node) conflictHint(rejected uint64) uint64 {
	if rejected > n.log.last() {
		return n.log.last()
	}
	return max(n.commit, n.log.firstOfTerm(rejected)-1)
}

// mergeEntries appends entries missing from the log and replaces conflicting
// ones.
func (n *Node) mergeEntries(list []Entry) {
	for i, e := range list {
		if e.Index <= n.log.last() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			n.truncate(e.Index)
		}
		n.log.append(list[i:]...)
		n.unwritten += len(list) - i
		return
	}
}

// truncate removes the entry at index and all after it. It panics if one of them is
// committed.
func (n *Node) truncate(index uint64) {
	lastWritten := n.log.last() - uint64(n.unwritten)
	n.log.truncate(index)
	n.unwritten = int(max(index-1, lastWritten) - lastWritten)
	if index <= n.commit {
		panic("log: a committed entry would be replaced")
	}
}

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

func (n *Node) receiveChunk(m Message) {
	if !n.acceptLeader(m, SnapshotChunkReply) {
		return
	}
	if m.Index <= n.log.last() && m.Index > n.commit && n.log.term(m.Index) == m.LogTerm {
		// The log already contains what the snapshot covers. The entries after
		// it are kept, since the leader may have counted them as replicated.
		n.advanceFollowerCommit(m.Index)
	}
	if m.Index <= n.commit {
		n.incoming = incomingSnapshot{}
		n.sendAfterSync(replyTo(m, Message{Kind: AppendReply, Index: n.commit}))
		return
	}
	in := &n.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.Total {
		n.send(replyTo(m, Message{Kind: SnapshotChunkReply, Index: m.Index, Offset: uint64(len(in.data))}))
		return
	}
	n.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data})
	n.sendAfterSync(replyTo(m, Message{Kind: AppendReply, Index: m.Index}))
}

func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = incomingSnapshot{}
	n.log.install(s)
	n.rewriteLog, n.unwritten = true, 0
	n.commit, n.applied = s.Index, s.Index
	n.actions = append(n.actions, Restore{s})
	n.closeCoveredProposals(s.Index)
}
