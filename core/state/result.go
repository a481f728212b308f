package state

import (
	"time"

	"papayarock/core/fleet"
)

// Result is what Apply answers. It is one of ChangeResult, TargetResult,
// TickResult, OrderResult, PlatformResult, ClaimResult, SettleResult,
// UsageResult, WindowResult and ShareResult.
type Result interface{ result() }

// ChangeOutcome says what became of a Change.
type ChangeOutcome uint8

// Outcomes of a change.
const (
	ChangeAccepted ChangeOutcome = iota
	ChangeConflict               // another change was accepted after Base; see Winner
	ChangeIDReused               // the id names a change with other content; see Winner
	ChangeInvalid                // see Reason
	ChangeMismatch               // the edit leads to another document than its digest says, or pieces of it are missing; the id stays free
	ChangeStaged                 // the piece is kept; the configuration is as it was
)

// ChangeRef names an accepted change.
type ChangeRef struct {
	ID       string
	Operator string
	Revision uint64
	Time     time.Time
}

// ChangeResult is the answer to a Change.
type ChangeResult struct {
	Outcome  ChangeOutcome
	Revision uint64    // of the configuration after the change; with ChangeAccepted
	Winner   ChangeRef // with ChangeConflict and ChangeIDReused
	Reason   string    // with ChangeInvalid
}

// TargetOutcome says what became of a command about a target.
type TargetOutcome uint8

// Outcomes of commands about targets.
const (
	TargetUpdated    TargetOutcome = iota
	TargetUnchanged                // nothing to do
	TargetStale                    // the command names an older incarnation
	TargetNotKnown                 // no such target
	TargetNotAllowed               // the phase does not allow it
	TargetLimit                    // too many targets
)

// TargetResult is the answer to Announce, TargetPhase and Observed.
type TargetResult struct {
	Outcome  TargetOutcome
	Target   fleet.Target
	Read     fleet.OrderNumber // with phase unknown: number under which to read the target
	Revision uint64
}

// TickResult is the answer to a Tick.
type TickResult struct {
	Now      time.Time // clock of the state machine after the tick
	Revision uint64
	Expired  int // targets, claims and other entries whose deadline passed
}

// OrderOutcome says what became of a command about an order.
type OrderOutcome uint8

// Outcomes of commands about orders.
const (
	OrderPlaced       OrderOutcome = iota // newly opened, or the same proposal again
	OrderOpen                             // another order is open; it is returned
	OrderMustRead                         // the target must be read first
	OrderStale                            // older incarnation, term or number
	OrderNotKnown                         // no such target or order
	OrderClosed                           // closed by this command
	OrderClosedBefore                     // closed earlier; the kept result is returned
	OrderNotAllowed                       // the phase of the target or a bound does not allow it
)

// Order is an instruction to one incarnation of a target's agent. The content
// of a number never changes.
type Order struct {
	Number      fleet.OrderNumber
	Target      fleet.TargetName
	Incarnation fleet.Incarnation
	Kind        OrderKind
	Content     Content
	Deadline    time.Time
}

// OrderResult is the answer to PlaceOrder, AcknowledgeOrder and AbandonOrder.
type OrderResult struct {
	Outcome OrderOutcome
	Order   Order
	Done    bool              // with OrderClosed and OrderClosedBefore
	Detail  string            // with OrderClosed and OrderClosedBefore
	Read    fleet.OrderNumber // with OrderMustRead and after AbandonOrder
}

// PlatformOrder is an instruction to the platform. A start order names the
// target it creates.
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

// PlatformResult is the answer to PlacePlatformOrder and AcknowledgePlatform.
type PlatformResult struct {
	Outcome OrderOutcome
	Order   PlatformOrder
	Done    bool   // with OrderClosed and OrderClosedBefore
	Detail  string // with OrderClosed and OrderClosedBefore
}

// SettleOutcome says what became of a Settle.
type SettleOutcome uint8

// Outcomes of a settlement.
const (
	Settled         SettleOutcome = iota
	SettledBefore                 // the claim had ended; nothing changed
	SettleNotHolder               // the request does not hold the claim
)

// SettleResult is the answer to a Settle.
type SettleResult struct{ Outcome SettleOutcome }

// UsageResult is the answer to ReportUsage. Every record that is not listed as
// refused is counted, now or earlier, and need not be sent again.
type UsageResult struct {
	Window  uint64 // window that took the newly counted records
	Counted int
	Refused []UsageID // not counted: to be sent again later
	TooLate []UsageID // never counted: without a valid id, or the dedupe memory of the incarnation has ended
}

// WindowOutcome says what became of a command about a usage window.
type WindowOutcome uint8

// Outcomes of commands about usage windows.
const (
	WindowSealed       WindowOutcome = iota // sealed now or earlier; the figures are returned
	WindowAcknowledged                      // acknowledged now or earlier
	WindowNotOpen                           // no such window yet
	WindowNotSealed                         // still open
	WindowPruned                            // acknowledged and forgotten
	WindowLimit                             // too many sealed windows wait for an acknowledgement
)

// WindowResult is the answer to SealUsage and AcknowledgeUsage.
type WindowResult struct {
	Outcome WindowOutcome
	Window  UsageWindow
}

// UsageWindow is the usage between two seals.
type UsageWindow struct {
	Number       uint64
	From         time.Time
	Until        time.Time
	Figures      []UsageFigure // sorted by customer, then route
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

// ShareResult is the answer to RegisterEntry.
type ShareResult struct {
	Granted bool
	Share   Share
}

// ShareUnit is the whole of a limit: a share of Parts is Parts/ShareUnit.
const ShareUnit = 1 << 20

// Share is an entry's part of every customer's limits.
type Share struct {
	Entry   fleet.Host
	Parts   uint32    // of ShareUnit
	Expires time.Time // the entry must not spend under the share after this
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
