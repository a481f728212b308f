package log

import "papayarock/core/fleet"

// Event is an input to Node.Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Message Message }

// Proposal is one command to append to the log.
type Proposal struct {
	ID      uint64 // chosen by the caller, unique among its open proposals and changes
	Command []byte
}

// Propose asks the leader to append commands to the log, in order and in one write.
type Propose struct{ Proposals []Proposal }

// MembershipChangeKind is a kind of membership change.
type MembershipChangeKind uint8

// Kinds of membership change.
const (
	AddLearner MembershipChangeKind = iota // adds a host that receives the log but does not vote
	Promote                                // turns a learner that has caught up into a voter
	Remove                                 // removes a learner or voter
)

// ChangeMembership requests one membership change.
type ChangeMembership struct {
	ID   uint64 // as in Proposal
	Kind MembershipChangeKind
	Host fleet.Host
}

// TransferLeadership starts a leadership transfer. The caller guarantees that every
// external action begun under the lease has ended and that it will begin no more.
// The leader gives up its lease for the rest of its term, accepts no further
// proposals, and asks a voter that has caught up to start an election.
type TransferLeadership struct{ ID uint64 }

// Read requests a read index: once the local state machine has applied that
// index, reading its state is linearizable.
type Read struct{ ID uint64 }

// Synced reports that all writes up to the Persist with this Sequence are
// durable.
type Synced struct{ Sequence uint64 }

// SnapshotTaken delivers a snapshot of the state machine after the entry at Index,
// which must have been passed to the caller by Apply.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

// StorageFailure reports a storage failure. The node stops participating in the group.
type StorageFailure struct{}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ChangeMembership) event()   {}
func (TransferLeadership) event() {}
func (Read) event()               {}
func (Synced) event()             {}
func (SnapshotTaken) event()      {}
func (StorageFailure) event()     {}

// Action is an output of Node.Step. Actions are carried out in order; a Persist
// need not be durable before the actions that follow it.
type Action interface{ action() }

// Persist requests a write to storage. Writes must be carried out in order. With
// a Snapshot, Hard and Entries replace the whole stored state; without one,
// Entries replace the stored entries from the index of the first one on.
type Persist struct {
	Sequence uint64
	Hard     *HardState // nil if unchanged
	Entries  []Entry
	Snapshot *Snapshot
}

// Send requests that a message be sent. Messages may be lost.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine, in order and once each.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the state machine.
type Restore struct{ Snapshot Snapshot }

// Outcome is the result of a proposal or membership change, or of a leadership
// transfer that was rejected.
type Outcome uint8

// Outcomes.
const (
	Committed    Outcome = iota // at Index
	NotLeader                   // not appended; another host may be leader
	NotCommitted                // not committed and never will be
	Uncertain                   // may be committed already, or later
)

// Reason explains an outcome other than Committed.
type Reason string

// Values of Reason.
const (
	Replaced           Reason = "another entry was committed in its place"
	TooLarge           Reason = "the command is too large"
	Busy               Reason = "too many entries are not committed yet"
	ChangePending      Reason = "the current term or a membership change is not committed yet"
	IdentityUnknown    Reason = "the directory identity of an initial voter is not recorded yet"
	NotCaughtUp        Reason = "the learner has not caught up"
	InvalidChange      Reason = "the change is not valid for the current membership"
	StorageFailed      Reason = "the storage failed"
	LeadershipLost     Reason = "the leader lost its quorum"
	TransferInProgress Reason = "a leadership transfer is in progress"
	NoLease            Reason = "the leader holds no lease"
)

// Decided reports the outcome of a proposal or membership change, or the rejection
// of a leadership transfer.
type Decided struct {
	ID      uint64
	Outcome Outcome
	Index   uint64     // with Committed
	Reason  Reason     // with NotCommitted and Uncertain; empty with NotLeader unless storage failed
	Leader  fleet.Host // with NotLeader; empty if unknown
}

// TransferEnded reports that this node has stepped down after a
// TransferLeadership, whether or not a successor was elected. A TransferLeadership
// that is rejected is answered with Decided instead.
type TransferEnded struct{ ID uint64 }

// ReadReady reports that the read with this ID can be served: the local state
// machine has applied Index.
type ReadReady struct{ ID, Index uint64 }

// ReadFailed reports a failed read, which the caller may retry.
type ReadFailed struct {
	ID     uint64
	Leader fleet.Host // as known to this node; empty if unknown
}

func (Persist) action()       {}
func (Send) action()          {}
func (Apply) action()         {}
func (Restore) action()       {}
func (Decided) action()       {}
func (TransferEnded) action() {}
func (ReadReady) action()     {}
func (ReadFailed) action()    {}

// MessageKind is the type of a message between members.
type MessageKind uint8

// Kinds of message.
const (
	PreVoteRequest MessageKind = iota + 1 // asks whether a vote would be granted
	PreVoteReply
	VoteRequest // asks for a vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	SnapshotChunk // part of a snapshot
	SnapshotChunkReply
	ReadIndex // asks the leader for a read index
	ReadIndexReply
	TimeoutNow // tells the receiver to start an election immediately
)

// Message is a message between two members. The meaning of a field depends on
// the kind; unused fields are zero.
type Message struct {
	Kind                     MessageKind
	From, To                 fleet.Host
	FromIdentity, ToIdentity DirectoryID // ToIdentity is zero if the sender does not know it
	Term                     uint64

	// Append: the entry before Entries. VoteRequest, PreVoteRequest: the candidate's last entry.
	// AppendReply: the last matching entry or, with Reject, the mismatching one.
	// SnapshotChunk, SnapshotChunkReply: the last entry in the snapshot. ReadIndexReply: the read
	// index. LogTerm is the term of that entry, and zero in replies.
	Index, LogTerm uint64
	Reject         bool
	Hint           uint64 // with Reject: last index that may match
	Commit         uint64 // Append, Heartbeat

	// Heartbeat, HeartbeatReply: the heartbeat round. ReadIndex, ReadIndexReply: the
	// read ID. VoteRequest: the term of the leader that gave up its lease, or zero.
	Sequence uint64
	Entries  []Entry

	Members Membership // SnapshotChunk
	Offset  uint64     // SnapshotChunk, SnapshotChunkReply
	Total   uint64     // SnapshotChunk: size of the whole snapshot in bytes
	Data    []byte     // SnapshotChunk
}
