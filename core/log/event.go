package log

import "papayarock/core/fleet"

// Event is an input of Step.
type Event interface{ event() }

// Tick tells the node that time has passed.
type Tick struct{}

// Receive delivers a message.
type Receive struct{ Message Message }

// Proposal asks for one command to be appended.
type Proposal struct {
	ID      uint64 // chosen by the caller, unique among its open proposals
	Command []byte
}

// Propose asks for commands to be appended, in order and in one write.
type Propose struct{ Proposals []Proposal }

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership change.
const (
	AddLearner ChangeKind = iota
	Promote               // a learner that has caught up becomes a voter
	Remove
)

// Change asks for one membership change.
type Change struct {
	ID   uint64 // as in Proposal
	Kind ChangeKind
	Host fleet.Host
}

// HandOver tells a leader that it will begin no further action and that each
// action begun under its lease has ended. It gives its lease up for the rest of
// its term, takes no further proposals, and asks a voter that has caught up to
// stand for election.
type HandOver struct{ ID uint64 }

// Read asks for the index that the local machine must have applied before its
// state is linearizable.
type Read struct{ ID uint64 }

// Synced reports that all writes up to the Persist with Sequence are durable.
type Synced struct{ Sequence uint64 }

// Snapshotted reports the state of the machine after the entry at Index, which
// must have been handed out by Apply.
type Snapshotted struct {
	Index uint64
	Data  []byte
}

// Failed reports that the storage failed. The node takes no further part.
type Failed struct{}

func (Tick) event()        {}
func (Receive) event()     {}
func (Propose) event()     {}
func (Change) event()      {}
func (HandOver) event()    {}
func (Read) event()        {}
func (Synced) event()      {}
func (Snapshotted) event() {}
func (Failed) event()      {}

// Action is an output of Step. Actions are carried out in order; a Persist
// need not be durable before the actions after it.
type Action interface{ action() }

// Persist asks the storage to write. Writes keep their order. With a Snapshot,
// Hard and Entries are the whole of the remaining log; without one, Entries
// replace everything from the index of the first.
type Persist struct {
	Sequence uint64
	Hard     *HardState // nil when unchanged
	Entries  []Entry
	Snapshot *Snapshot
}

// Send asks for a message to be sent. It may be lost.
type Send struct{ Message Message }

// Apply hands out committed entries in order, once each.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the machine.
type Restore struct{ Snapshot Snapshot }

// Outcome says what became of a proposal or change.
type Outcome uint8

// Outcomes.
const (
	Committed    Outcome = iota // at Index
	NotLeader                   // not appended; another host may be leader
	NotCommitted                // certainly not committed and never will be
	Uncertain                   // may be committed now or later
)

// Reason explains a refusal.
type Reason string

// Reasons of refusals.
const (
	Replaced      Reason = "another entry was committed in its place"
	TooLarge      Reason = "the command is too large"
	Busy          Reason = "too many entries are not committed yet"
	ChangePending Reason = "the term or a membership change is not committed yet"
	Unidentified  Reason = "the directory of a first voter is not recorded yet"
	NotCaughtUp   Reason = "the learner has not caught up"
	BadChange     Reason = "the change does not fit the membership"
	StorageFailed Reason = "the storage failed"
	LostLead      Reason = "the leader lost its quorum"
	HandingOver   Reason = "the leader hands over"
	NoLease       Reason = "the leader holds no lease"
)

// Decided reports the outcome of a proposal or change.
type Decided struct {
	ID      uint64
	Outcome Outcome
	Index   uint64 // with Committed
	Reason  Reason
	Leader  fleet.Host // with NotLeader; empty when not known
}

// HandedOver reports that this node no longer leads after a HandOver. A HandOver
// that is refused is answered by Decided.
type HandedOver struct{ ID uint64 }

// ReadReady reports that the state of the machine after Index answers the read.
type ReadReady struct{ ID, Index uint64 }

// ReadFailed reports a read that the caller may repeat.
type ReadFailed struct {
	ID     uint64
	Leader fleet.Host
}

func (Persist) action()    {}
func (Send) action()       {}
func (Apply) action()      {}
func (Restore) action()    {}
func (Decided) action()    {}
func (HandedOver) action() {}
func (ReadReady) action()  {}
func (ReadFailed) action() {}

// MessageKind is a kind of message between members.
type MessageKind uint8

// Kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	Chunk
	ChunkReply
	ReadIndex
	ReadIndexReply
	Stand // asks the receiver to stand for election at once
)

// Message is one message between two members. The meaning of a field depends
// on the kind; unused fields are zero.
type Message struct {
	Kind                     MessageKind
	From, To                 fleet.Host
	FromIdentity, ToIdentity Identity // ToIdentity is zero when the sender does not know it
	Term                     uint64

	// Append: the entry before Entries. Vote, PreVote: the last entry.
	// AppendReply: the last entry that matches, or the refused one with Reject.
	// Chunk, ChunkReply: the snapshot. ReadIndexReply: the index to read at.
	Index, LogTerm uint64
	Reject         bool
	Hint           uint64 // with Reject: the last index that may match
	Commit         uint64 // Append, Heartbeat
	Sequence       uint64 // heartbeat round, or read id; Vote: term of the leader that gave its lease up, or zero
	Entries        []Entry

	Members Membership // Chunk
	Offset  uint64     // Chunk, ChunkReply
	Total   uint64     // Chunk: bytes of the whole snapshot
	Data    []byte     // Chunk
}
