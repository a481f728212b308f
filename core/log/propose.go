package log

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

func (n *Node) propose(list []Proposal) {
	for _, p := range list {
		switch {
		case n.role != Leader:
			n.out = append(n.out, Decided{ID: p.ID, Outcome: NotLeader, Leader: n.leader})
		case n.lead.release.given():
			n.out = append(n.out, Decided{ID: p.ID, Outcome: NotCommitted, Reason: HandingOver})
		case len(p.Command) > MaxCommandBytes:
			n.out = append(n.out, Decided{ID: p.ID, Outcome: NotCommitted, Reason: TooLarge})
		case n.log.last()-n.commit >= maxPendingEntries || n.pending > maxPendingBytes:
			n.out = append(n.out, Decided{ID: p.ID, Outcome: NotCommitted, Reason: Busy})
		default:
			n.track(p.ID, n.appendOwn(Entry{Kind: Command, Command: p.Command}), len(p.Command))
		}
	}
}

func (n *Node) track(id, index uint64, size int) {
	n.proposals = append(n.proposals, proposal{id: id, index: index, term: n.hard.Term, size: size})
	n.pending += size
}

// decide reports the outcome of the proposals at the indexes of list.
func (n *Node) decide(list []Entry) {
	first, top := list[0].Index, list[len(list)-1].Index
	n.proposals = slices.DeleteFunc(n.proposals, func(p proposal) bool {
		if p.index > top {
			return false
		}
		d := Decided{ID: p.id, Outcome: NotCommitted, Reason: Replaced}
		if list[p.index-first].Term == p.term {
			d = Decided{ID: p.id, Outcome: Committed, Index: p.index}
		}
		n.drop(p, d)
		return true
	})
}

func (n *Node) drop(p proposal, d Decided) {
	n.pending -= p.size
	n.out = append(n.out, d)
}

// skipProposals handles a snapshot that covers proposals of this node: it does
// not tell which entries were committed.
func (n *Node) skipProposals(top uint64) {
	n.proposals = slices.DeleteFunc(n.proposals, func(p proposal) bool {
		if p.index <= top {
			n.drop(p, Decided{ID: p.id, Outcome: Uncertain, Reason: LostLead})
		}
		return p.index <= top
	})
}

// expireProposals bounds the time for which a former leader's proposals stay
// open.
func (n *Node) expireProposals() {
	n.proposals = slices.DeleteFunc(n.proposals, func(p proposal) bool {
		late := !n.now.Before(p.expires)
		if late {
			n.drop(p, Decided{ID: p.id, Outcome: Uncertain, Reason: LostLead})
		}
		return late
	})
}

// promoteLag is the number of entries by which a learner may trail the leader
// when it becomes a voter: about one round trip at full load.
const promoteLag = 1024

func (n *Node) change(c Change) {
	if n.role != Leader {
		n.out = append(n.out, Decided{ID: c.ID, Outcome: NotLeader, Leader: n.leader})
		return
	}
	members, reason := n.changed(c)
	if n.changing() {
		reason = ChangePending
	}
	if n.lead.release.given() {
		reason = HandingOver
	}
	if reason == "" && !identified(members) {
		reason = Unidentified
	}
	if reason != "" {
		n.out = append(n.out, Decided{ID: c.ID, Outcome: NotCommitted, Reason: reason})
		return
	}
	n.track(c.ID, n.appendOwn(Entry{Kind: Members, Members: members}), 0)
}

// identified reports whether the directories of all voters are recorded. A first
// voter without entries whose directory is not recorded does not help to elect
// candidates with entries, so no quorum may come to depend on one.
func identified(m Membership) bool {
	return !slices.ContainsFunc(m, func(x Member) bool { return !x.Learner && x.Identity == 0 })
}

// changing reports whether another change must wait. Until an entry of the own
// term is committed, a change of an earlier leader may still compete.
func (n *Node) changing() bool {
	if n.weak&manyChanges != 0 {
		return false
	}
	return !n.ready() || n.log.configs[len(n.log.configs)-1].index > n.commit
}

func (n *Node) changed(c Change) (Membership, Reason) {
	members := slices.Clone(n.log.members())
	i := slices.IndexFunc(members, func(x Member) bool { return x.Host == c.Host })
	switch {
	case c.Kind == AddLearner && i < 0 && c.Host != "":
		members = append(members, Member{Host: c.Host, Learner: true})
		slices.SortFunc(members, func(a, b Member) int { return compareHosts(a.Host, b.Host) })
	case c.Kind == Promote && i >= 0 && members[i].Learner:
		p := n.lead.peers[c.Host]
		if p == nil || p.identity == 0 || p.match+promoteLag < n.log.last() || p.match < n.log.snapshot.Index {
			return nil, NotCaughtUp
		}
		members[i].Learner, members[i].Identity = false, p.identity
	case c.Kind == Remove && i >= 0:
		members = slices.Delete(members, i, i+1)
		if !slices.ContainsFunc(members, func(x Member) bool { return !x.Learner }) {
			return nil, BadChange
		}
	default:
		return nil, BadChange
	}
	return members, ""
}

// identify records the directories of the first voters once they have synced
// an entry. From then on a replaced directory no longer counts as the voter.
func (n *Node) identify() {
	if n.changing() {
		return
	}
	var next Membership
	for i, x := range n.log.members() {
		id := n.o.Identity
		if p := n.lead.peers[x.Host]; p != nil {
			id = p.identity
			if p.match <= bootstrapIndex {
				id = 0
			}
		}
		if x.Learner || x.Identity != 0 || id == 0 {
			continue
		}
		if next == nil {
			next = slices.Clone(n.log.members())
		}
		next[i].Identity = id
	}
	if next != nil {
		n.appendOwn(Entry{Kind: Members, Members: next})
	}
}

// read is a read that waits for its index, or for the leader to know it.
type read struct {
	id      uint64
	from    fleet.Host // that asked; this node itself or a follower
	since   time.Time
	index   uint64
	indexed bool // index is known
}

func (n *Node) read(id uint64) {
	switch {
	case len(n.reads)+len(n.asked) >= maxReads, n.role != Leader && n.leader == "":
		n.out = append(n.out, ReadFailed{ID: id, Leader: n.leader})
	case n.role == Leader:
		n.addRead(read{id: id, from: n.o.Self, since: n.now})
	default:
		if n.asked == nil {
			n.asked = make(map[uint64]time.Time)
		}
		n.asked[id] = n.now.Add(n.o.Lease)
		n.send(Message{Kind: ReadIndex, To: n.leader, Sequence: id})
	}
}

func (n *Node) addRead(r read) {
	n.reads = append(n.reads, r)
	if !n.leased() {
		n.lead.nextBeat = n.now
	}
}

// leased reports whether no other leader can have been elected yet.
func (n *Node) leased() bool { return n.role == Leader && n.now.Before(n.leaseEnd()) }

func (n *Node) receiveReadIndex(m Message) {
	if n.role != Leader || len(n.reads) >= maxReads {
		n.send(Message{Kind: ReadIndexReply, To: m.From, Sequence: m.Sequence, Reject: true})
		return
	}
	n.addRead(read{id: m.Sequence, from: m.From, since: n.now})
}

func (n *Node) receiveReadIndexReply(m Message) {
	if _, ok := n.asked[m.Sequence]; !ok {
		return
	}
	delete(n.asked, m.Sequence)
	if m.Reject {
		n.out = append(n.out, ReadFailed{ID: m.Sequence, Leader: n.leader})
		return
	}
	n.reads = append(n.reads, read{id: m.Sequence, from: n.o.Self, since: n.now, index: m.Index, indexed: true})
}

// answerReads answers reads whose index is known and applied here.
func (n *Node) answerReads() {
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		if !r.indexed && n.ready() && (n.leased() || !n.lead.confirmed.Before(r.since)) {
			r.index, r.indexed = n.commit, true
		}
		switch {
		case !r.indexed:
			return false
		case r.from != n.o.Self:
			n.send(Message{Kind: ReadIndexReply, To: r.from, Sequence: r.id, Index: r.index})
		case n.handed >= r.index:
			n.out = append(n.out, ReadReady{ID: r.id, Index: r.index})
		default:
			return false
		}
		return true
	})
}

// failReads ends the reads that a former leader cannot answer.
func (n *Node) failReads() {
	for _, r := range n.reads {
		if r.from == n.o.Self {
			n.out = append(n.out, ReadFailed{ID: r.id, Leader: n.leader})
		} else {
			n.send(Message{Kind: ReadIndexReply, To: r.from, Sequence: r.id, Reject: true})
		}
	}
	n.reads = nil
}

func (n *Node) expireReads() {
	for id, expires := range n.asked {
		if !n.now.Before(expires) {
			delete(n.asked, id)
			n.out = append(n.out, ReadFailed{ID: id, Leader: n.leader})
		}
	}
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		late := n.now.Sub(r.since) >= n.o.Lease
		if late {
			n.out = append(n.out, ReadFailed{ID: r.id, Leader: n.leader})
		}
		return late
	})
}
