package log

// follow accepts the sender of m as the leader and renews the promise to it.
// It reports false, and answers, when the sender's term has passed.
func (n *Node) follow(m Message, reply MessageKind) bool {
	if m.Term < n.hard.Term {
		n.send(Message{Kind: reply, To: m.From, Reject: true, Index: m.Index, Sequence: m.Sequence})
		return false
	}
	if n.role == Leader {
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.promise = n.now.Add(n.o.Lease)
	return true
}

func (n *Node) receiveHeartbeat(m Message) {
	if !n.follow(m, HeartbeatReply) {
		return
	}
	n.advanceFollower(m.Commit)
	// The reply needs no write: a restart waits one lease before it votes, so
	// it keeps the promise even if the term was lost.
	n.send(Message{Kind: HeartbeatReply, To: m.From, Sequence: m.Sequence})
}

// advanceFollower takes over the leader's commit index, which must not exceed
// what is known to match the leader's log.
func (n *Node) advanceFollower(commit uint64) {
	n.commit = max(n.commit, min(commit, n.log.last()))
}

func (n *Node) receiveAppend(m Message) {
	if !n.follow(m, AppendReply) {
		return
	}
	reply := Message{Kind: AppendReply, To: m.From}
	if m.Index < n.commit || m.Index < n.log.base {
		// Everything up to the commit index matches already.
		reply.Index = n.commit
		n.sendSynced(reply)
		return
	}
	if m.Index > n.log.last() || n.log.term(m.Index) != m.LogTerm {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, n.hint(m.Index)
		n.send(reply)
		return
	}
	n.merge(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.advanceFollower(min(m.Commit, reply.Index))
	n.sendSynced(reply)
}

// hint returns an index below which the logs may match.
func (n *Node) hint(refused uint64) uint64 {
	if refused > n.log.last() {
		return n.log.last()
	}
	return max(n.commit, n.log.firstOfTerm(refused)-1)
}

// merge appends the entries that the log lacks, and replaces those that
// conflict.
func (n *Node) merge(list []Entry) {
	for i, e := range list {
		if e.Index <= n.log.last() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			n.truncate(e.Index)
		}
		n.log.append(list[i:]...)
		n.fresh += len(list) - i
		return
	}
}

func (n *Node) truncate(index uint64) {
	kept := n.log.last() - uint64(n.fresh)
	n.log.truncate(index)
	n.fresh = int(max(index-1, kept) - kept)
	if index <= n.commit {
		panic("log: a committed entry would be replaced")
	}
}

// incoming is a snapshot that is being received.
type incoming struct {
	index, term uint64
	data        []byte
}

func (n *Node) receiveChunk(m Message) {
	if !n.follow(m, ChunkReply) {
		return
	}
	if m.Index <= n.log.last() && m.Index > n.commit && n.log.term(m.Index) == m.LogTerm {
		// The log holds what the snapshot covers. The entries after it stay:
		// the leader may have counted them.
		n.advanceFollower(m.Index)
	}
	if m.Index <= n.commit {
		n.incoming = incoming{}
		n.sendSynced(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	in := &n.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incoming{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.Total {
		n.send(Message{Kind: ChunkReply, To: m.From, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	n.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data})
	n.sendSynced(Message{Kind: AppendReply, To: m.From, Index: m.Index})
}

func (n *Node) install(s Snapshot) {
	n.incoming = incoming{}
	n.log.install(s)
	n.replaced, n.fresh = true, 0
	n.commit, n.handed = s.Index, s.Index
	n.out = append(n.out, Restore{s})
	n.skipProposals(s.Index)
}
