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
			n.actions = append(n.actions, Decided{ID: p.ID, Outcome: NotLeader, Leader: n.leader})
		case n.leaderState.transfer.started():
			n.actions = append(n.actions, Decided{ID: p.ID, Outcome: NotCommitted, Reason: TransferInProgress})
		case len(p.Command) > MaxCommandBytes:
			n.actions = append(n.actions, Decided{ID: p.ID, Outcome: NotCommitted, Reason: TooLarge})
		case n.log.last()-n.commit >= maxPendingEntries || n.openBytes > maxPendingBytes:
			n.actions = append(n.actions, Decided{ID: p.ID, Outcome: NotCommitted, Reason: Busy})
		default:
			n.trackProposal(p.ID, n.appendEntry(Entry{Kind: Command, Command: p.Command}), len(p.Command))
		}
	}
}

func (n *Node) trackProposal(id, index uint64, size int) {
	n.openProposals = append(n.openProposals, openProposal{id: id, index: index, term: n.hard.Term, size: size})
	n.openBytes += size
}

// reportOutcomes reports the outcomes of the proposals up to the last index of
// list, a run of entries that are being applied.
func (n *Node) reportOutcomes(list []Entry) {
	first, top := list[0].Index, list[len(list)-1].Index
	n.openProposals = slices.DeleteFunc(n.openProposals, func(p openProposal) bool {
		if p.index > top {
			return false
		}
		d := Decided{ID: p.id, Outcome: NotCommitted, Reason: Replaced}
		if list[p.index-first].Term == p.term {
			d = Decided{ID: p.id, Outcome: Committed, Index: p.index}
		}
		n.closeProposal(p, d)
		return true
	})
}

func (n *Node) closeProposal(p openProposal, d Decided) {
	n.openBytes -= p.size
	n.actions = append(n.actions, d)
}

// closeCoveredProposals reports proposals covered by a received snapshot as
// uncertain: a snapshot does not show which entries were committed.
func (n *Node) closeCoveredProposals(top uint64) {
	n.openProposals = slices.DeleteFunc(n.openProposals, func(p openProposal) bool {
		if p.index <= top {
			n.closeProposal(p, Decided{ID: p.id, Outcome: Uncertain, Reason: LeadershipLost})
		}
		return p.index <= top
	})
}

// expireProposals reports as uncertain the proposals that this node appended as a
// leader and whose outcome it has not learned within two leases of stepping down.
func (n *Node) expireProposals() {
	n.openProposals = slices.DeleteFunc(n.openProposals, func(p openProposal) bool {
		expired := !n.now.Before(p.expires)
		if expired {
			n.closeProposal(p, Decided{ID: p.id, Outcome: Uncertain, Reason: LeadershipLost})
		}
		return expired
	})
}

// maxPromoteLag is the maximum number of entries by which a learner may lag behind
// the leader when it becomes a voter: about one round trip at full load.
const maxPromoteLag = 1024

func (n *Node) proposeChange(c ChangeMembership) {
	if n.role != Leader {
		n.actions = append(n.actions, Decided{ID: c.ID, Outcome: NotLeader, Leader: n.leader})
		return
	}
	members, reason := n.changedMembership(c)
	if n.changePending() {
		reason = ChangePending
	}
	if n.leaderState.transfer.started() {
		reason = TransferInProgress
	}
	if reason == "" && !votersIdentified(members) {
		reason = IdentityUnknown
	}
	if reason != "" {
		n.actions = append(n.actions, Decided{ID: c.ID, Outcome: NotCommitted, Reason: reason})
		return
	}
	n.trackProposal(c.ID, n.appendEntry(Entry{Kind: Members, Members: members}), 0)
}

// votersIdentified reports whether the directory identities of all voters in m are
// recorded. A quorum must not depend on an initial voter whose identity is not
// recorded: as long as it has no entries, it votes only for candidates without
// entries.
func votersIdentified(m Membership) bool {
	return !slices.ContainsFunc(m, func(x Member) bool { return !x.Learner && x.Identity == 0 })
}

// changePending reports whether a new membership change must wait for an earlier
// one. Until an entry of the current term is committed, a change by an earlier
// leader may still conflict.
func (n *Node) changePending() bool {
	if n.mutations&concurrentChanges != 0 {
		return false
	}
	return !n.termCommitted() || n.log.configs[len(n.log.configs)-1].index > n.commit
}

// changedMembership returns the membership after c, or the reason why c is not
// possible.
func (n *Node) changedMembership(c ChangeMembership) (Membership, Reason) {
	members := slices.Clone(n.log.members())
	i := slices.IndexFunc(members, func(x Member) bool { return x.Host == c.Host })
	switch {
	case c.Kind == AddLearner && i < 0 && c.Host != "":
		members = append(members, Member{Host: c.Host, Learner: true})
		slices.SortFunc(members, func(a, b Member) int { return compareHosts(a.Host, b.Host) })
	case c.Kind == Promote && i >= 0 && members[i].Learner:
		p := n.leaderState.peers[c.Host]
		if p == nil || !n.caughtUp(p) {
			return nil, NotCaughtUp
		}
		members[i].Learner, members[i].Identity = false, p.identity
	case c.Kind == Remove && i >= 0:
		members = slices.Delete(members, i, i+1)
		if !slices.ContainsFunc(members, func(x Member) bool { return !x.Learner }) {
			return nil, InvalidChange
		}
	default:
		return nil, InvalidChange
	}
	return members, ""
}

// caughtUp reports whether p has replied and lacks at most maxPromoteLag entries, all of
// which can be sent without a snapshot.
func (n *Node) caughtUp(p *peer) bool {
	return p.identity != 0 && p.match+maxPromoteLag >= n.log.last() && p.match >= n.log.snapshot.Index
}

// recordIdentities records the directory identities of the initial voters once
// they have synced an entry. From then on a replaced directory no longer counts as
// the voter.
func (n *Node) recordIdentities() {
	if n.changePending() {
		return
	}
	var next Membership
	for i, x := range n.log.members() {
		id := n.opts.Identity
		if p := n.leaderState.peers[x.Host]; p != nil {
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
		n.appendEntry(Entry{Kind: Members, Members: next})
	}
}

// pendingRead is a read that waits for its index to be known, or to be applied.
type pendingRead struct {
	id          uint64
	requester   fleet.Host // this node or a follower
	requestedAt time.Time
	index       uint64
	hasIndex    bool // index is known
}

func (n *Node) startRead(id uint64) {
	switch {
	case len(n.reads)+len(n.forwardedReads) >= maxPendingReads, n.role != Leader && n.leader == "":
		n.actions = append(n.actions, ReadFailed{ID: id, Leader: n.leader})
	case n.role == Leader:
		n.addRead(pendingRead{id: id, requester: n.opts.Self, requestedAt: n.now})
	default:
		if n.forwardedReads == nil {
			n.forwardedReads = make(map[uint64]time.Time)
		}
		n.forwardedReads[id] = n.now.Add(n.opts.Lease)
		n.send(Message{Kind: ReadIndex, To: n.leader, ToIdentity: n.leaderIdentity, Sequence: id})
	}
}

// addRead adds a read at the leader. Without a lease, the read waits for a heartbeat
// round, which is started immediately.
func (n *Node) addRead(r pendingRead) {
	n.reads = append(n.reads, r)
	if !n.holdsLease() {
		n.leaderState.nextHeartbeat = n.now
	}
}

// holdsLease reports whether this node leads and its lease rules out that another
// leader has been elected.
func (n *Node) holdsLease() bool { return n.role == Leader && n.now.Before(n.leaseEnd()) }

func (n *Node) receiveReadIndex(m Message) {
	if n.role != Leader || len(n.reads) >= maxPendingReads {
		n.send(replyTo(m, Message{Kind: ReadIndexReply, Sequence: m.Sequence, Reject: true}))
		return
	}
	n.addRead(pendingRead{id: m.Sequence, requester: m.From, requestedAt: n.now})
}

func (n *Node) receiveReadIndexReply(m Message) {
	if _, ok := n.forwardedReads[m.Sequence]; !ok {
		return
	}
	delete(n.forwardedReads, m.Sequence)
	if m.Reject {
		n.actions = append(n.actions, ReadFailed{ID: m.Sequence, Leader: n.leader})
		return
	}
	n.reads = append(n.reads, pendingRead{id: m.Sequence, requester: n.opts.Self, requestedAt: n.now, index: m.Index, hasIndex: true})
}

// answerReads assigns an index to reads that have none, replies to followers
// whose index is known, and completes local reads whose index is applied.
func (n *Node) answerReads() {
	n.reads = slices.DeleteFunc(n.reads, func(r pendingRead) bool {
		if !r.hasIndex && n.termCommitted() && (n.holdsLease() || !n.leaderState.leaseStart.Before(r.requestedAt)) {
			r.index, r.hasIndex = n.commit, true
		}
		switch {
		case !r.hasIndex:
			return false
		case r.requester != n.opts.Self:
			n.send(Message{Kind: ReadIndexReply, To: r.requester, Sequence: r.id, Index: r.index})
		case n.applied >= r.index:
			n.actions = append(n.actions, ReadReady{ID: r.id, Index: r.index})
		default:
			return false
		}
		return true
	})
}

// failReads fails the reads in n.reads when this node stops leading or fails. Reads
// forwarded to another leader are not affected.
func (n *Node) failReads() {
	for _, r := range n.reads {
		if r.requester == n.opts.Self {
			n.actions = append(n.actions, ReadFailed{ID: r.id, Leader: n.leader})
		} else {
			n.send(Message{Kind: ReadIndexReply, To: r.requester, Sequence: r.id, Reject: true})
		}
	}
	n.reads = nil
}

func (n *Node) expireReads() {
	for id, expires := range n.forwardedReads {
		if !n.now.Before(expires) {
			delete(n.forwardedReads, id)
			n.actions = append(n.actions, ReadFailed{ID: id, Leader: n.leader})
		}
	}
	n.reads = slices.DeleteFunc(n.reads, func(r pendingRead) bool {
		expired := n.now.Sub(r.requestedAt) >= n.opts.Lease
		if expired {
			n.actions = append(n.actions, ReadFailed{ID: r.id, Leader: n.leader})
		}
		return expired
	})
}
