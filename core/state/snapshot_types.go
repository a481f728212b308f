package state

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Snapshot is the complete state of a Machine in a canonical order: equal states
// have equal snapshots.
type Snapshot struct {
	Index    uint64 // log index of the last applied command
	Term     uint64
	Sequence uint64 // last order sequence number assigned
	Now      time.Time
	Config   config.Snapshot

	OperatorRevision uint64 // revision produced by the last accepted change
	Changes          []ChangeRecord
	Audit            []AuditEntry
	Targets          []TargetRecord
	Platform         []PlatformRecord
	Claims           []ClaimRecord
	Usage            UsageSnapshot
	Shares           []Share
	Staged           *Staging // nil when nothing is staged
}

// ChangeRecord holds the result of a change.
type ChangeRecord struct {
	ID     string
	Digest [32]byte // SHA-256 of the content
	Result ChangeResult
	Ref    ChangeRef
}

// AuditEntry is one accepted change in the audit list.
type AuditEntry struct {
	Change   string // id of the change
	Operator string
	What     string // description of the action
	Time     time.Time
	Revision uint64
}

// DesiredState is the desired state of a target, set by operators or the planner.
type DesiredState uint8

// Desired states of a target.
const (
	DesiredServing DesiredState = iota
	DesiredDrained              // drained until the drain is cancelled
	DesiredGone                 // drained, then gone
)

// TargetRecord is the complete state of a target. Only Target is part of the
// configuration.
type TargetRecord struct {
	Target            fleet.Target
	Desired           DesiredState
	DesiredUntil      time.Time // deadline of the requested drain
	RoleChangePending bool
	DesiredRole       fleet.Role        // role to switch to, while a role change is pending
	ReadRequired      bool              // the actual state must be read before the next order
	ReadNumber        fleet.OrderNumber // number assigned to the last read
	Loaded            OrderContent      // as last observed or ordered
	Open              *Order
	Closed            *ClosedOrder
	Replaces          fleet.TargetName // target that is drained when this one is ready
	DrainFor          time.Duration    // with Replaces
}

// ClosedOrder is the most recently closed order of a target.
type ClosedOrder struct {
	Order     Order
	Done      bool
	Abandoned bool
	Detail    string
}

// PlatformRecord is a platform order that is open, or closed and still kept.
type PlatformRecord struct {
	Order   PlatformOrder
	Closed  bool
	Done    bool
	Detail  string
	Expires time.Time // with Closed: time until which the ID is recognised
}

// ClaimPhase is the phase of a claim.
type ClaimPhase uint8

// Phases of a claim.
const (
	ClaimPhaseRunning ClaimPhase = iota
	ClaimPhaseCompleted
	ClaimPhaseUnknown
	ClaimPhaseReleased // request barred; another one may be granted the claim
)

// ClaimRecord is a claim and its state.
type ClaimRecord struct {
	Claim  Claim
	Index  uint64 // log index of the grant
	Phase  ClaimPhase
	Answer *StoredAnswer
	Barred []fleet.RequestID // requests that are never granted again
}

// UsageSnapshot is the usage part of a Snapshot.
type UsageSnapshot struct {
	Open    UsageWindow
	Sealed  []UsageWindow
	Sources []UsageSource
	Floors  []UsageFloor
}

// UsageSource is the deduplication state of one agent incarnation.
type UsageSource struct {
	Node        fleet.Host
	Incarnation fleet.Incarnation
	Watermark   uint64   // all sequence numbers up to this one are counted
	OutOfOrder  []uint64 // counted sequence numbers above the watermark, ascending
	Expires     time.Time
}

// UsageFloor is the highest incarnation of a node whose deduplication state has
// expired. Records of this and earlier incarnations are refused.
type UsageFloor struct {
	Node        fleet.Host
	Incarnation fleet.Incarnation
}
