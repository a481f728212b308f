package log

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Node is one member of the replicated log. Use New to make one.
type Node struct {
	o      Options
	now    time.Time
	weak   weakness
	failed bool

	hard   HardState
	role   Role
	leader fleet.Host // empty when not known
	log    entries
	commit uint64
	handed uint64 // last index handed out by Apply or Restore

	promise  time.Time // until then no other leader gets this node's help
	campaign time.Time // next election, unless a leader is heard from
	votes    map[fleet.Host]bool
	succeeds bool // a Candidate stands because the leader of the last term gave its lease up

	lead      leading
	proposals []proposal           // by index; appended by this node and not decided
	pending   int                  // bytes of proposals
	reads     []read               // of this node as a leader
	asked     map[uint64]time.Time // reads for which the leader was asked, with their deadline
	incoming  incoming

	dirty    bool // the hard state is to be written
	fresh    int  // entries at the end of the log that are to be written
	replaced bool // the whole log is to be written
	sequence uint64
	synced   uint64
	writes   []write
	waiting  []Message // to be held until the writes of this step are synced
	held     []heldMessage
	out      []Action
}

// write is one Persist that is not reported synced.
type write struct{ sequence, index, term uint64 }

// heldMessage may be sent once the write with sequence is synced.
type heldMessage struct {
	sequence uint64
	message  Message
}

type proposal struct {
	id, index, term uint64
	size            int
	expires         time.Time // zero while this node leads
}

// weakness switches off one rule. Only tests set it, to show that they notice.
type weakness uint

const (
	countUnsynced       weakness = 1 << iota // entries and votes count before they are synced
	breakPromise                             // a promise does not hold back votes
	forgetVote                               // the vote is not persisted
	commitAnyTerm                            // entries of older terms are committed by counting
	voteForAnyLog                            // the candidate's log is not compared
	actAtOnce                                // a new leader does not wait for old actions
	noMargin                                 // the lease has no clock-rate margin
	manyChanges                              // several membership changes at once
	ignoreIdentity                           // a replaced directory counts as the old voter
	leaseFromReply                           // the lease is counted from the reply
	preVoteIgnoresLease                      // a pre-vote is granted during a lease
	keepLease                                // a leader that hands over keeps its lease
)

// New returns a node that continues from o.Stored. It gives no vote and starts
// no election until a promise given before the restart has ended.
func New(now time.Time, o Options) *Node {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.LongestAction = cmp.Or(o.LongestAction, DefaultLongestAction)
	o.Retain = cmp.Or(o.Retain, DefaultRetain)
	n := &Node{o: o, now: now, hard: o.Stored.Hard}
	n.log = newEntries(o.Stored)
	n.commit = n.log.snapshot.Index
	n.handed = n.commit
	n.promise = now.Add(o.Lease)
	n.resetCampaign()
	n.o.Stored = Stored{}
	return n
}

// Step advances the node to now by one event. The time never decreases.
func (n *Node) Step(now time.Time, ev Event) []Action {
	if now.After(n.now) {
		n.now = now
	}
	n.out = nil
	if n.failed {
		n.refuse(ev)
		return n.out
	}
	switch ev := ev.(type) {
	case Tick:
	case Receive:
		n.receive(ev.Message)
	case Propose:
		n.propose(ev.Proposals)
	case Change:
		n.change(ev)
	case HandOver:
		n.handOver(ev.ID)
	case Read:
		n.read(ev.ID)
	case Synced:
		n.release(ev.Sequence)
	case Snapshotted:
		n.snapshotted(ev)
	case Failed:
		n.fail()
		return n.out
	}
	n.tick()
	n.finish()
	return n.out
}

// finish carries out what follows from the event: commit, apply, replicate,
// write. Messages to this node itself are handled here too.
func (n *Node) finish() {
	n.advanceCommit()
	n.apply()
	if n.role == Leader {
		n.replicate()
		n.askSuccessor()
	}
	n.answerReads()
	n.flush()
}

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.expireProposals()
	n.expireReads()
	if n.now.Before(n.campaign) {
		return
	}
	n.resetCampaign()
	if n.electable() && (!n.now.Before(n.promise) || n.weak&breakPromise != 0) {
		n.startPreVote()
	}
}

// electable reports whether this node may become leader: the newest or the
// committed membership has it as a voter with this data directory. A voter whose
// removal is not committed may be the only one that holds the removal, and the
// group cannot go on without it.
func (n *Node) electable() bool {
	for _, members := range []Membership{n.log.members(), n.log.membersAt(n.commit)} {
		x, ok := members.Find(n.o.Self)
		if ok && !x.Learner && (x.Identity == 0 || x.Identity == n.o.Identity) {
			return true
		}
	}
	return false
}

// Wake returns the time at which the next Tick is due.
func (n *Node) Wake() time.Time {
	if n.role == Leader {
		return n.lead.nextBeat
	}
	return n.campaign
}

func (n *Node) resetCampaign() {
	spread := time.Duration(n.o.Random.Int64N(int64(n.o.Lease)))
	n.campaign = n.now.Add(n.o.Lease + n.o.Lease/10 + spread)
}

// send queues a message that depends on no write.
func (n *Node) send(m Message) {
	n.address(&m)
	n.out = append(n.out, Send{m})
}

// sendSynced queues a message that leaves once all writes up to the end of this
// step are synced.
func (n *Node) sendSynced(m Message) {
	if n.weak&countUnsynced != 0 && m.To != n.o.Self {
		n.send(m)
		return
	}
	n.address(&m)
	n.waiting = append(n.waiting, m)
}

func (n *Node) address(m *Message) {
	m.From, m.FromIdentity = n.o.Self, n.o.Identity
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if x, ok := n.log.members().Find(m.To); ok {
		m.ToIdentity = x.Identity
	}
}

// flush hands the changes of this step to the storage.
func (n *Node) flush() {
	if n.dirty || n.fresh > 0 || n.replaced {
		n.sequence++
		p := Persist{Sequence: n.sequence}
		if n.dirty || n.replaced {
			hard := n.hard
			if n.weak&forgetVote != 0 {
				hard.Vote = ""
			}
			p.Hard = &hard
		}
		if n.replaced {
			s := n.log.snapshot
			p.Snapshot, p.Entries = &s, n.log.list
		} else {
			p.Entries = n.log.list[len(n.log.list)-n.fresh:]
		}
		n.writes = append(n.writes, write{n.sequence, n.log.last(), n.log.term(n.log.last())})
		n.out = append(n.out, p)
		n.dirty, n.replaced, n.fresh = false, false, 0
	}
	waiting := n.waiting
	n.waiting = nil
	for _, m := range waiting {
		if n.sequence == n.synced {
			n.deliver(m)
			continue
		}
		n.held = append(n.held, heldMessage{n.sequence, m})
	}
}

// release handles the report that writes are synced.
func (n *Node) release(sequence uint64) {
	n.synced = max(n.synced, sequence)
	i := 0
	for ; i < len(n.writes) && n.writes[i].sequence <= n.synced; i++ {
		w := n.writes[i]
		// An entry with the same index and term has the same predecessors, so
		// everything up to it is durable even if it was replaced and returned.
		if n.log.base <= w.index && w.index <= n.log.last() && n.log.term(w.index) == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	n.writes = slices.Delete(n.writes, 0, i)
	j := 0
	for ; j < len(n.held) && n.held[j].sequence <= n.synced; j++ {
		n.deliver(n.held[j].message)
	}
	n.held = slices.Delete(n.held, 0, j)
}

func (n *Node) deliver(m Message) {
	if m.To == n.o.Self {
		n.receive(m)
		return
	}
	n.out = append(n.out, Send{m})
}

func (n *Node) apply() {
	top := min(n.commit, n.log.stable)
	if n.weak&countUnsynced != 0 {
		top = n.commit
	}
	if top <= n.handed {
		return
	}
	list := n.log.slice(n.handed+1, top+1)
	n.handed = top
	n.out = append(n.out, Apply{list})
	n.decide(list)
	for _, e := range list {
		if e.Kind == Members && n.role == Leader && !e.Members.Voter(n.o.Self) && !n.log.members().Voter(n.o.Self) {
			n.becomeFollower(n.hard.Term, "")
		}
	}
}

// snapshotted shortens the log below a snapshot of the machine.
func (n *Node) snapshotted(ev Snapshotted) {
	if ev.Index > n.handed || ev.Index <= n.log.snapshot.Index {
		return
	}
	n.log.compact(Snapshot{
		Index: ev.Index, Term: n.log.term(ev.Index), Members: n.log.membersAt(ev.Index), Data: ev.Data,
	}, n.o.Retain)
	n.replaced = true
}

func (n *Node) fail() {
	n.failed = true
	n.role, n.leader = Follower, ""
	n.lead = leading{}
	for _, p := range n.proposals {
		n.out = append(n.out, Decided{ID: p.id, Outcome: Uncertain, Reason: StorageFailed})
	}
	n.failReads()
	n.proposals, n.held, n.waiting, n.writes = nil, nil, nil, nil
}

func (n *Node) refuse(ev Event) {
	switch ev := ev.(type) {
	case Propose:
		for _, p := range ev.Proposals {
			n.out = append(n.out, Decided{ID: p.ID, Outcome: NotCommitted, Reason: StorageFailed})
		}
	case Change:
		n.out = append(n.out, Decided{ID: ev.ID, Outcome: NotCommitted, Reason: StorageFailed})
	case HandOver:
		n.out = append(n.out, Decided{ID: ev.ID, Outcome: NotLeader, Reason: StorageFailed})
	case Read:
		n.out = append(n.out, ReadFailed{ID: ev.ID})
	}
}
