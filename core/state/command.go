package state

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Command is one entry of the replicated log. A command that depends on time
// carries the proposer's time; Apply reads no clock.
type Command interface{ command() }

// Change is an operator's change. Two changes with the same ID are the same
// change when their content is equal; otherwise the later one is refused.
type Change struct {
	ID       string
	Base     uint64 // revision the operator saw
	Operator string
	Time     time.Time
	Action   Action
}

// Action is the content of a Change.
type Action interface{ action() }

// ReplaceDocument replaces the generated part of the configuration. Keys of
// customers that the new document lacks are removed with it.
// It takes room in the log for the whole document; control sends EditDocument.
type ReplaceDocument struct{ Document config.Document }

// EditDocument replaces the generated part of the configuration as
// ReplaceDocument does, but carries only what differs from it at the base of
// the change.
type EditDocument struct {
	Edit   config.Edit
	Digest [32]byte // config.Document.Digest of the resulting document
	Pieces uint32   // staged before, to which Edit is the last; 0 when Edit is all
}

// StageDocument keeps one piece of an edit that exceeds a log entry. Its Change
// has the id, base, operator and digest of the EditDocument that completes it.
// Piece 0 replaces whatever is staged.
type StageDocument struct {
	Piece  uint32 // counted from 0
	Edit   config.Edit
	Digest [32]byte // as in EditDocument
}

// IssueKey adds a key. Only the digest is known here.
type IssueKey struct {
	ID       string
	Digest   config.Digest
	Customer fleet.Customer
}

// WithdrawKey removes a key. Cut also interrupts running requests.
type WithdrawKey struct {
	ID  string
	Cut bool
}

// RevokeHost revokes the certificates of a host that were issued before the
// change.
type RevokeHost struct{ Host fleet.Host }

// DrainTarget keeps new requests from a target. With Leave it then goes;
// without, it stays drained until CancelDrain.
type DrainTarget struct {
	Target fleet.TargetName
	Until  time.Time
	Leave  bool
}

// ReplaceTarget orders a new target in the same data centre and pool and
// drains the old one once the new one is ready.
type ReplaceTarget struct {
	Target   fleet.TargetName
	DrainFor time.Duration // from the moment the new target is ready
	Deadline time.Time     // of the platform order
}

// SetRole drains an engine and marks the role it is to be ordered to take.
type SetRole struct {
	Target fleet.TargetName
	Role   fleet.Role
	Until  time.Time // deadline of the drain
}

// CancelDrain returns a draining target to service, without a role change.
type CancelDrain struct{ Target fleet.TargetName }

// Announce registers the agent incarnation of a target. The phase in Target is
// ignored.
type Announce struct {
	Target fleet.Target
	Until  time.Time // the target counts as lost after this unless heard from
	Time   time.Time
}

// TargetPhase moves a target along its life cycle or extends its deadline.
type TargetPhase struct {
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Phase       fleet.Phase
	Until       time.Time // deadline of the phase; zero means none
	Time        time.Time
}

// Observed reports the state read from a target in phase unknown. The agent
// was asked under Number, so that its fence refuses every earlier order.
type Observed struct {
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Number      fleet.OrderNumber
	Role        fleet.Role
	Loaded      Content // what the engine holds
	Until       time.Time
	Time        time.Time
}

// Tick advances the clock of the state machine; stored deadlines expire by it.
type Tick struct{ Now time.Time }

// OrderKind says what an order asks of a target.
type OrderKind uint8

// Kinds of target order.
const (
	OrderLoad  OrderKind = iota // load model, version and adapter
	OrderRole                   // change role
	OrderDrain                  // finish requests and accept no more
)

// Content is what an order asks for. Unused fields are empty.
type Content struct {
	Model   string
	Version string
	Adapter string
	Role    fleet.Role
}

// PlaceOrder opens an order to a target's engine.
type PlaceOrder struct {
	Term        uint64 // of the proposer
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        OrderKind
	Content     Content
	Deadline    time.Time // by which the engine must have finished
	Time        time.Time
}

// AcknowledgeOrder closes an order with the result the agent reported.
type AcknowledgeOrder struct {
	Number      fleet.OrderNumber
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Done        bool // false: refused or failed without effect
	Detail      string
	Time        time.Time
}

// AbandonOrder gives up on the answer to an order. The target becomes unknown
// and must be read before the next order.
type AbandonOrder struct {
	Term   uint64
	Number fleet.OrderNumber
	Target fleet.TargetName
	Time   time.Time
}

// PlatformKind says what an order asks of the platform.
type PlatformKind uint8

// Kinds of platform order.
const (
	PlatformStart PlatformKind = iota
	PlatformStop
)

// PlacePlatformOrder opens an order to the platform. The same ID names the same
// order, so a proposal repeated after an uncertain commit starts one target.
type PlacePlatformOrder struct {
	ID         string
	Term       uint64
	Kind       PlatformKind
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Pool       string
	Target     fleet.TargetName // with PlatformStop
	Deadline   time.Time
	Time       time.Time
}

// AcknowledgePlatform closes a platform order with the platform's answer.
type AcknowledgePlatform struct {
	Number fleet.OrderNumber
	Done   bool
	Detail string
	Time   time.Time
}

// AdaptKind says what the planner wants of a target.
type AdaptKind uint8

// Kinds of Adapt.
const (
	AdaptRole    AdaptKind = iota // drain, then take Role
	AdaptRelease                  // drain, then leave
)

// Adapt is a change that the leader's planner decided. It is no operator's
// Change: it has no base, leaves the base of operators as it is, and applies
// only to a serving target that no operator wants otherwise.
type Adapt struct {
	Term        uint64 // of the proposer
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        AdaptKind
	Role        fleet.Role // with AdaptRole
	Until       time.Time  // deadline of the drain
	Time        time.Time
}

// ReportUsage counts usage records.
type ReportUsage struct{ Records []UsageRecord }

// SealUsage fixes the figures of the open window and opens the next one.
type SealUsage struct {
	Window uint64
	Until  time.Time // end of the window
}

// AcknowledgeUsage records that the platform accepted a window's report.
type AcknowledgeUsage struct{ Window uint64 }

// RegisterEntry asks for, or renews, an entry's share of the customer limits.
type RegisterEntry struct {
	Entry fleet.Host
	Time  time.Time
	Until time.Time // end of the share if granted
	// Held is what the entry spends under since it sent this; 0 if nothing.
	// Larger shares that it was granted before need not be waited for.
	Held uint32
}

func (Change) command()              {}
func (Announce) command()            {}
func (TargetPhase) command()         {}
func (Observed) command()            {}
func (Tick) command()                {}
func (PlaceOrder) command()          {}
func (AcknowledgeOrder) command()    {}
func (AbandonOrder) command()        {}
func (PlacePlatformOrder) command()  {}
func (AcknowledgePlatform) command() {}
func (Adapt) command()               {}
func (Claim) command()               {}
func (Settle) command()              {}
func (ReportUsage) command()         {}
func (SealUsage) command()           {}
func (AcknowledgeUsage) command()    {}
func (RegisterEntry) command()       {}

func (ReplaceDocument) action() {}
func (EditDocument) action()    {}
func (StageDocument) action()   {}
func (IssueKey) action()        {}
func (WithdrawKey) action()     {}
func (RevokeHost) action()      {}
func (DrainTarget) action()     {}
func (ReplaceTarget) action()   {}
func (SetRole) action()         {}
func (CancelDrain) action()     {}
