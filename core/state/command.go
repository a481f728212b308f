package state

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Command is one entry of the replicated log. A command that depends on time
// carries the time of its proposer, because Apply must not read a clock.
type Command interface{ command() }

// Change is a configuration change by an operator. Changes with the same ID and
// equal content are the same change; if the content differs, the later one is
// refused.
type Change struct {
	ID       string
	Base     uint64 // revision that the change is based on
	Operator string
	Time     time.Time
	Action   Action
}

// Action is the operation that a Change performs.
type Action interface{ action() }

// ReplaceDocument replaces the generated part of the configuration. Keys of
// customers missing from the new document are removed as well. The whole
// document goes into the log; control sends EditDocument instead.
type ReplaceDocument struct{ Document config.Document }

// EditDocument has the effect of ReplaceDocument, but carries only the
// differences from the document at the base of the change.
type EditDocument struct {
	Edit   config.Edit
	Digest [32]byte // config.Document.Digest of the resulting document
	Pieces uint32   // number of pieces staged before this last one; 0 when Edit is complete
}

// StageDocument stores one piece of an edit that is too large for a log entry.
// Its Change has the id, base and operator of the EditDocument that completes
// it, and the same Digest. Piece 0 discards any pieces stored before.
type StageDocument struct {
	Piece  uint32 // counted from 0
	Edit   config.Edit
	Digest [32]byte // as in EditDocument
}

// IssueKey adds an API key. Only the digest of its secret is stored.
type IssueKey struct {
	ID       string
	Digest   config.Digest
	Customer fleet.Customer
}

// WithdrawKey removes an API key. Cut also interrupts its running requests.
type WithdrawKey struct {
	ID  string
	Cut bool
}

// RevokeHost revokes the certificates of a host that were issued before the
// change.
type RevokeHost struct{ Host fleet.Host }

// DrainTarget stops new requests to a target. With Leave, the target is gone
// once it is drained; otherwise it stays drained. CancelDrain undoes either.
type DrainTarget struct {
	Target fleet.TargetName
	Until  time.Time // deadline of the drain
	Leave  bool
}

// ReplaceTarget orders a new target in the same data centre and pool. When the
// new one is ready, the old one is drained and leaves.
type ReplaceTarget struct {
	Target   fleet.TargetName
	DrainFor time.Duration // starts when the new target is ready
	Deadline time.Time     // deadline of the platform order
}

// SetRole drains an engine and records the role that it is to be switched to.
type SetRole struct {
	Target fleet.TargetName
	Role   fleet.Role
	Until  time.Time // deadline of the drain
}

// CancelDrain lets a draining or leaving target return to service. It also
// discards a pending role change, and the drain that a replacement of the target
// would start.
type CancelDrain struct{ Target fleet.TargetName }

// Announce registers an incarnation of a target's agent. The phase in Target is
// ignored.
type Announce struct {
	Target fleet.Target
	Until  time.Time // the target is lost at this time unless its agent reports before
	Time   time.Time
}

// TargetPhase moves a target to another phase of its life cycle or extends the
// deadline of its phase.
type TargetPhase struct {
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Phase       fleet.Phase
	Until       time.Time // deadline of the phase; zero means none
	Time        time.Time
}

// Observed reports the state read from a target in phase unknown. The read
// carried Number, so the agent refuses every order with a lower number.
type Observed struct {
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Number      fleet.OrderNumber
	Role        fleet.Role
	Loaded      OrderContent // model, version and adapter that the engine has loaded
	Until       time.Time
	Time        time.Time
}

// Tick advances the clock of the state machine and expires stored deadlines.
type Tick struct{ Now time.Time }

// OrderKind is the kind of an order to a target.
type OrderKind uint8

// Kinds of target order.
const (
	OrderLoad  OrderKind = iota // load a model version with an adapter
	OrderRole                   // change role
	OrderDrain                  // finish running requests and accept no more
)

// OrderContent holds the parameters of an order. Fields that the kind does not use
// are empty.
type OrderContent struct {
	Model   string
	Version string
	Adapter string
	Role    fleet.Role
}

// PlaceOrder opens an order to the engine of a target.
type PlaceOrder struct {
	Term        uint64 // term of the proposer
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        OrderKind
	Content     OrderContent
	Deadline    time.Time // time by which the engine must have finished
	Time        time.Time
}

// AcknowledgeOrder closes an order with the result that the agent reported.
type AcknowledgeOrder struct {
	Number      fleet.OrderNumber
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Done        bool // false: refused, or failed without effect
	Detail      string
	Time        time.Time
}

// AbandonOrder closes an order without its result. The target becomes unknown
// and must be read before the next order.
type AbandonOrder struct {
	Term   uint64
	Number fleet.OrderNumber
	Target fleet.TargetName
	Time   time.Time
}

// PlatformKind is the kind of an order to the platform.
type PlatformKind uint8

// Kinds of platform order.
const (
	PlatformStart PlatformKind = iota
	PlatformStop
)

// PlacePlatformOrder opens an order to the platform. Orders with the same ID
// are the same order, so a proposal repeated after an uncertain commit starts
// only one target.
type PlacePlatformOrder struct {
	ID         string
	Term       uint64
	Kind       PlatformKind
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Pool       string
	Target     fleet.TargetName // target to stop; with PlatformStop
	Deadline   time.Time
	Time       time.Time
}

// AcknowledgePlatform closes a platform order with the result from the
// platform.
type AcknowledgePlatform struct {
	Number fleet.OrderNumber
	Done   bool
	Detail string
	Time   time.Time
}

// AdaptKind is the kind of an Adapt.
type AdaptKind uint8

// Kinds of Adapt.
const (
	AdaptRole    AdaptKind = iota // drain, then switch to Role
	AdaptRelease                  // drain, then remove from service for good
)

// Adapt is a change to a target that the leader's planner decided on. Unlike a
// Change it has no base and does not affect the base of operators' changes. It
// applies only to a target for which TargetRecord.Adaptable returns true.
type Adapt struct {
	Term        uint64 // term of the proposer
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        AdaptKind
	Role        fleet.Role // role to switch to; with AdaptRole
	Until       time.Time  // deadline of the drain
	Time        time.Time
}

// ReportUsage adds usage records to the open window.
type ReportUsage struct{ Records []UsageRecord }

// SealUsage seals the open window, whose figures become final, and opens the
// next one.
type SealUsage struct {
	Window uint64
	Until  time.Time // end of the window
}

// AcknowledgeUsage records that the platform has accepted the report of a
// window.
type AcknowledgeUsage struct{ Window uint64 }

// RegisterEntry requests or renews an entry's share of the customer
// limits.
type RegisterEntry struct {
	Entry fleet.Host
	Time  time.Time
	Until time.Time // end of the share if it is granted
	// CurrentParts is the size of the share that the entry has kept to since
	// it sent this command; 0 if it has none. Larger shares granted to it earlier
	// are no longer in use, even if they have not expired.
	CurrentParts uint32
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
