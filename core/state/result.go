package state

import (
	"time"

	"papayarock/core/fleet"
)

// Result is the result of applying a command. It is one of ChangeResult,
// TargetResult, TickResult, OrderResult, PlatformResult, ClaimResult,
// SettleResult, UsageResult, WindowResult and ShareResult.
type Result interface{ result() }

// ChangeOutcome is the outcome of a Change.
type ChangeOutcome uint8

// Outcomes of a change.
const (
	ChangeAccepted ChangeOutcome = iota
	ChangeConflict               // another change was accepted after Base; see Winner
	ChangeIDReused               // the id belongs to a change with other content; see Winner
	ChangeInvalid                // see Reason
	ChangeMismatch               // the resulting document does not match Digest, or pieces are missing; the id remains unused
	ChangeStaged                 // the piece is stored; the configuration is unchanged
)

// ChangeRef identifies a change. If no change is stored that a conflict can be
// attributed to, it holds only the revision of the last accepted change.
type ChangeRef struct {
	ID       string
	Operator string
	Revision uint64 // revision that it produced; 0 if it was refused
	Time     time.Time
}

// ChangeResult is the result of a Change.
type ChangeResult struct {
	Outcome  ChangeOutcome
	Revision uint64    // configuration revision after the change; with ChangeAccepted
	Winner   ChangeRef // with ChangeConflict and ChangeIDReused
	Reason   string    // with ChangeInvalid and ChangeMismatch
}

// TargetOutcome is the outcome of a command about a target.
type TargetOutcome uint8

// Outcomes of commands about targets.
const (
	TargetUpdated    TargetOutcome = iota
	TargetUnchanged                // nothing to change
	TargetStale                    // outdated incarnation, term or read number
	TargetNotFound                 // no such target
	TargetNotAllowed               // invalid, or not allowed by the state of the target or its pool
	TargetLimit                    // too many targets
)

// TargetResult is the result of Announce, TargetPhase, Observed and Adapt.
type TargetResult struct {
	Outcome    TargetOutcome
	Target     fleet.Target
	ReadNumber fleet.OrderNumber // number under which to read the target, while a read is required
	Revision   uint64
}

// TickResult is the result of a Tick.
type TickResult struct {
	Now      time.Time // clock of the state machine after the tick
	Revision uint64
	Expired  int // number of targets, claims and other items whose deadline has passed
}

// OrderOutcome is the outcome of a command about an order.
type OrderOutcome uint8

// Outcomes of commands about orders.
const (
	OrderPlaced        OrderOutcome = iota // newly opened, or already open with the same content
	OrderAnotherOpen                       // another order is open and is returned
	OrderReadRequired                      // the target must be read first
	OrderStale                             // outdated incarnation, term or number
	OrderNotFound                          // no such target or order
	OrderClosed                            // closed by this command
	OrderAlreadyClosed                     // closed earlier; the stored result is returned
	OrderNotAllowed                        // not allowed by the phase of the target, by a limit or the budget, or under this id
)

// Order is an instruction to one incarnation of a target's agent. Orders with
// the same number have the same content.
type Order struct {
	Number      fleet.OrderNumber
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        OrderKind
	Content     OrderContent
	Deadline    time.Time
}

// OrderResult is the result of PlaceOrder, AcknowledgeOrder and AbandonOrder.
type OrderResult struct {
	Outcome    OrderOutcome
	Order      Order
	Done       bool              // with OrderClosed and OrderAlreadyClosed
	Detail     string            // with OrderClosed and OrderAlreadyClosed
	ReadNumber fleet.OrderNumber // number of the required read; with OrderReadRequired and after AbandonOrder
}

// PlatformOrder is an instruction to the platform. A start order names the
// target that it creates.
type PlatformOrder struct {
	Number     fleet.OrderNumber
	ID         string
	Kind       PlatformKind
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Pool       string
	Target     fleet.TargetName
	Deadline   time.Time
}

// PlatformResult is the result of PlacePlatformOrder and AcknowledgePlatform.
type PlatformResult struct {
	Outcome OrderOutcome
	Order   PlatformOrder
	Done    bool   // with OrderClosed and OrderAlreadyClosed
	Detail  string // with OrderClosed and OrderAlreadyClosed
}

// SettleOutcome is the outcome of a Settle.
type SettleOutcome uint8

// Outcomes of a Settle.
const (
	Settled         SettleOutcome = iota
	AlreadySettled                // the claim is already settled or does not exist; nothing changed
	SettleNotHolder               // the request does not hold the claim
)

// SettleResult is the result of a Settle.
type SettleResult struct{ Outcome SettleOutcome }

// UsageResult is the result of ReportUsage. Every record listed in neither
// Refused nor TooLate is counted, now or earlier, and need not be sent again.
type UsageResult struct {
	Window  uint64 // window in which new records are counted
	Counted int
	Refused []UsageID // not counted for lack of capacity; to be sent again later
	TooLate []UsageID // never counted: the id is invalid, or the deduplication state of the incarnation has expired
}

// WindowOutcome is the outcome of a command about a usage window.
type WindowOutcome uint8

// Outcomes of commands about usage windows.
const (
	WindowSealed       WindowOutcome = iota // sealed now or earlier; the figures are returned
	WindowAcknowledged                      // acknowledged now or earlier
	WindowNotOpen                           // the window does not exist yet
	WindowNotSealed                         // still open
	WindowPruned                            // acknowledged and deleted
	WindowLimit                             // too many sealed windows are not acknowledged
)

// WindowResult is the result of SealUsage and AcknowledgeUsage.
type WindowResult struct {
	Outcome WindowOutcome
	Window  UsageWindow
}

// UsageWindow is the usage between two seals.
type UsageWindow struct {
	Number       uint64
	From         time.Time
	Until        time.Time
	Figures      []UsageFigure // sorted by customer, then route; empty once acknowledged
	Acknowledged bool
}

// UsageFigure is the usage of one customer on one route in a window.
type UsageFigure struct {
	Customer     fleet.Customer
	Route        string
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
}

// ShareResult is the result of RegisterEntry.
type ShareResult struct {
	Granted bool
	Share   Share
}

// ShareUnit is the number of parts that make up a whole limit: a share is
// Parts/ShareUnit of it.
const ShareUnit = 1 << 20

// Share is the part of every customer's limits that one entry may use.
type Share struct {
	Entry   fleet.Host
	Parts   uint32    // of ShareUnit
	Expires time.Time // the entry must not use the share after this
}

func (ChangeResult) result()   {}
func (TargetResult) result()   {}
func (TickResult) result()     {}
func (OrderResult) result()    {}
func (PlatformResult) result() {}
func (ClaimResult) result()    {}
func (SettleResult) result()   {}
func (UsageResult) result()    {}
func (WindowResult) result()   {}
func (ShareResult) result()    {}
