package log

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Node is one member of the replication group. Use New to create one.
type Node struct {
	opts      Options
	now       time.Time
	mutations mutation
	failed    bool

	hard   HardState
	role   Role
	leader fleet.Host // empty if unknown
	// leaderIdentity is that of the data directory of leader, from its last message. It
	// may be newer than the one in the membership.
	leaderIdentity DirectoryID
	log            memoryLog
	commit         uint64
	applied        uint64 // last index passed to the state machine by Apply or Restore

	leaseGrantEnd   time.Time // until then this node votes for no other leader
	electionTimeout time.Time // time of the next election, unless a leader is heard from
	votes           map[fleet.Host]bool
	afterTransfer   bool // Candidate only: the leader of the previous term gave up its lease

	leaderState    leaderState
	openProposals  []openProposal       // sorted by index; appended by this node, outcome unknown
	openBytes      int                  // total size of openProposals
	reads          []pendingRead        // waiting for an index, or for their index to be applied here
	forwardedReads map[uint64]time.Time // deadlines of reads sent to the leader, by ID
	incoming       incomingSnapshot

	hardChanged    bool // hard must be written
	unwritten      int  // number of entries at the end of the log that must be written
	rewriteLog     bool // snapshot and log must be written as a whole
	lastWrite      uint64
	lastSynced     uint64
	unsyncedWrites []unsyncedWrite
	deferred       []Message // messages of this step that wait for its writes to be synced
	awaitingSync   []deferredMessage
	actions        []Action
}

// unsyncedWrite is a Persist that has not been reported synced, with the index and
// term of the last entry of the log at that time.
type unsyncedWrite struct{ sequence, index, term uint64 }

// deferredMessage is a message to send once the write with sequence is synced.
type deferredMessage struct {
	sequence uint64
	message  Message
}

// openProposal is a proposal whose outcome is not known yet.
type openProposal struct {
	id, index, term uint64
	size            int
	expires         time.Time // zero while this node leads
}

// mutation disables one rule of the algorithm. Only tests set it, to verify that
// they detect the violation.
type mutation uint

const (
	countUnsynced       mutation = 1 << iota // entries and votes take effect before they are synced
	ignoreLeaseGrant                         // a lease grant does not prevent votes
	skipVoteWrite                            // the vote is not persisted
	commitAnyTerm                            // entries of earlier terms are committed by counting replicas
	voteForAnyLog                            // the candidate's log may be behind the voter's
	skipActionWait                           // a new leader does not wait for its predecessor's actions
	noClockMargin                            // the lease is not shortened by the clock-rate margin
	concurrentChanges                        // several membership changes may be uncommitted at once
	ignoreIdentity                           // a replaced directory counts as the previous voter
	leaseFromReply                           // the lease starts when the reply arrives
	preVoteIgnoresLease                      // pre-votes are granted during a lease
	keepLeaseInTransfer                      // a leader keeps its lease during a leadership transfer
)

// New returns a node that continues from o.Stored. The node neither votes nor
// starts an election until any lease that it granted before the restart has
// ended.
func New(now time.Time, o Options) *Node {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.LongestAction = cmp.Or(o.LongestAction, DefaultLongestAction)
	o.Retain = cmp.Or(o.Retain, DefaultRetain)
	o.RetainBytes = cmp.Or(o.RetainBytes, DefaultRetainBytes)
	n := &Node{opts: o, now: now, hard: o.Stored.Hard}
	n.log = newMemoryLog(o.Stored)
	n.commit = n.log.snapshot.Index
	n.applied = n.commit
	n.leaseGrantEnd = now.Add(o.Lease)
	n.resetElectionTimeout()
	n.opts.Stored = Stored{}
	return n
}

// Step processes one event at time now and returns the resulting actions. If now
// is before the latest time passed so far, that time is used.
func (n *Node) Step(now time.Time, ev Event) []Action {
	if now.After(n.now) {
		n.now = now
	}
	n.actions = nil
	if n.failed {
		n.rejectAfterFailure(ev)
		return n.actions
	}
	switch ev := ev.(type) {
	case Tick:
	case Receive:
		n.receive(ev.Message)
	case Propose:
		n.propose(ev.Proposals)
	case ChangeMembership:
		n.proposeChange(ev)
	case TransferLeadership:
		n.transferLeadership(ev.ID)
	case Read:
		n.startRead(ev.ID)
	case Synced:
		n.onSynced(ev.Sequence)
	case SnapshotTaken:
		n.compact(ev)
	case StorageFailure:
		n.fail()
		return n.actions
	}
	n.tick()
	n.advance()
	return n.actions
}

// advance performs what follows from an event: it commits, applies, replicates,
// answers reads and persists. persist also delivers messages that the node sends to
// itself.
func (n *Node) advance() {
	n.advanceCommit()
	n.apply()
	if n.role == Leader {
		n.replicate()
		n.sendTimeoutNow()
	}
	n.answerReads()
	n.persist()
}

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.expireProposals()
	n.expireReads()
	if n.now.Before(n.electionTimeout) {
		return
	}
	n.resetElectionTimeout()
	if !n.electable() {
		// Nobody tells a removed learner of its removal; without a leader it joins again.
		n.leader = ""
		return
	}
	if !n.now.Before(n.leaseGrantEnd) || n.mutations&ignoreLeaseGrant != 0 {
		n.startPreVote()
	}
}

// electable reports whether this node may become leader: it must be a voter with
// this data directory in the latest or in the committed membership. A voter
// whose removal is not committed may be the only one that holds the entry of the
// removal, and the group cannot make progress without it.
func (n *Node) electable() bool {
	for _, members := range []Membership{n.log.members(), n.log.membersAt(n.commit)} {
		x, ok := members.Find(n.opts.Self)
		if ok && !x.Learner && (x.Identity == 0 || x.Identity == n.opts.Identity) {
			return true
		}
	}
	return false
}

// NextTick returns the time of the next Tick that the node needs.
func (n *Node) NextTick() time.Time {
	if n.role == Leader {
		return n.leaderState.nextHeartbeat
	}
	return n.electionTimeout
}

// resetElectionTimeout sets the election timeout to a random time between 1.1 and
// 2.1 leases from now.
func (n *Node) resetElectionTimeout() {
	spread := time.Duration(n.opts.Random.Int64N(int64(n.opts.Lease)))
	n.electionTimeout = n.now.Add(n.opts.Lease + n.opts.Lease/10 + spread)
}

// send queues a message that does not depend on any write.
func (n *Node) send(m Message) {
	n.setAddresses(&m)
	n.actions = append(n.actions, Send{m})
}

// sendAfterSync queues a message that is sent once all writes up to the end of
// this step are synced.
func (n *Node) sendAfterSync(m Message) {
	if n.mutations&countUnsynced != 0 && m.To != n.opts.Self {
		n.send(m)
		return
	}
	n.setAddresses(&m)
	n.deferred = append(n.deferred, m)
}

// replyTo returns m addressed to the directory that sent request, which may be newer
// than the one in the membership.
func replyTo(request, m Message) Message {
	m.To, m.ToIdentity = request.From, request.FromIdentity
	return m
}

func (n *Node) setAddresses(m *Message) {
	m.From, m.FromIdentity = n.opts.Self, n.opts.Identity
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.ToIdentity != 0 {
		return
	}
	if x, ok := n.log.members().Find(m.To); ok {
		m.ToIdentity = x.Identity
	}
}

// persist passes the changes of this step to storage.
func (n *Node) persist() {
	if n.hardChanged || n.unwritten > 0 || n.rewriteLog {
		n.lastWrite++
		p := Persist{Sequence: n.lastWrite}
		if n.hardChanged || n.rewriteLog {
			hard := n.hard
			if n.mutations&skipVoteWrite != 0 {
				hard.Vote = ""
			}
			p.Hard = &hard
		}
		if n.rewriteLog {
			s := n.log.snapshot
			p.Snapshot, p.Entries = &s, n.log.entries
		} else {
			p.Entries = n.log.entries[len(n.log.entries)-n.unwritten:]
		}
		n.unsyncedWrites = append(n.unsyncedWrites, unsyncedWrite{n.lastWrite, n.log.last(), n.log.term(n.log.last())})
		n.actions = append(n.actions, p)
		n.hardChanged, n.rewriteLog, n.unwritten = false, false, 0
	}
	waiting := n.deferred
	n.deferred = nil
	for _, m := range waiting {
		if n.lastWrite == n.lastSynced {
			n.deliver(m)
			continue
		}
		n.awaitingSync = append(n.awaitingSync, deferredMessage{n.lastWrite, m})
	}
}

// onSynced handles the report that all writes up to sequence are synced.
func (n *Node) onSynced(sequence uint64) {
	n.lastSynced = max(n.lastSynced, sequence)
	i := 0
	for ; i < len(n.unsyncedWrites) && n.unsyncedWrites[i].sequence <= n.lastSynced; i++ {
		w := n.unsyncedWrites[i]
		// An entry with the same index and term has the same predecessors, so
		// everything up to it is durable even if it was replaced in between and
		// then appended again.
		if n.log.base <= w.index && w.index <= n.log.last() && n.log.term(w.index) == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	n.unsyncedWrites = slices.Delete(n.unsyncedWrites, 0, i)
	j := 0
	for ; j < len(n.awaitingSync) && n.awaitingSync[j].sequence <= n.lastSynced; j++ {
		n.deliver(n.awaitingSync[j].message)
	}
	n.awaitingSync = slices.Delete(n.awaitingSync, 0, j)
}

func (n *Node) deliver(m Message) {
	if m.To == n.opts.Self {
		n.receive(m)
		return
	}
	n.actions = append(n.actions, Send{m})
}

func (n *Node) apply() {
	top := min(n.commit, n.log.stable)
	if n.mutations&countUnsynced != 0 {
		top = n.commit
	}
	if top <= n.applied {
		return
	}
	list := n.log.slice(n.applied+1, top+1)
	n.applied = top
	n.actions = append(n.actions, Apply{list})
	n.reportOutcomes(list)
	for _, e := range list {
		if e.Kind == Members && n.role == Leader && !e.Members.IsVoter(n.opts.Self) && !n.log.members().IsVoter(n.opts.Self) {
			n.becomeFollower(n.hard.Term, "")
		}
	}
}

// compact discards log entries covered by a snapshot of the state machine.
func (n *Node) compact(ev SnapshotTaken) {
	if ev.Index > n.applied || ev.Index <= n.log.snapshot.Index {
		return
	}
	n.log.compact(Snapshot{
		Index: ev.Index, Term: n.log.term(ev.Index), Members: n.log.membersAt(ev.Index), Data: ev.Data,
	}, n.opts.Retain, n.opts.RetainBytes)
	n.rewriteLog = true
}

// fail stops the node for good after a storage failure. The outcome of its open
// proposals is uncertain.
func (n *Node) fail() {
	n.failed = true
	n.role, n.leader = Follower, ""
	n.leaderState = leaderState{}
	for _, p := range n.openProposals {
		n.actions = append(n.actions, Decided{ID: p.id, Outcome: Uncertain, Reason: StorageFailed})
	}
	n.failReads()
	n.openProposals, n.awaitingSync, n.deferred, n.unsyncedWrites = nil, nil, nil, nil
}

func (n *Node) rejectAfterFailure(ev Event) {
	switch ev := ev.(type) {
	case Propose:
		for _, p := range ev.Proposals {
			n.actions = append(n.actions, Decided{ID: p.ID, Outcome: NotCommitted, Reason: StorageFailed})
		}
	case ChangeMembership:
		n.actions = append(n.actions, Decided{ID: ev.ID, Outcome: NotCommitted, Reason: StorageFailed})
	case TransferLeadership:
		n.actions = append(n.actions, Decided{ID: ev.ID, Outcome: NotLeader, Reason: StorageFailed})
	case Read:
		n.actions = append(n.actions, ReadFailed{ID: ev.ID})
	}
}
