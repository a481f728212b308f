package state

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Image is the whole state of a Machine in a fixed order: equal states have
// equal images.
type Image struct {
	Index    uint64 // log index of the last applied command
	Term     uint64
	Sequence uint64 // last order sequence assigned
	Now      time.Time
	Config   config.Snapshot

	OperatorRevision uint64 // revision of the last accepted change
	Changes          []ChangeRecord
	Audit            []AuditEntry
	Targets          []TargetRecord
	Platform         []PlatformRecord
	Claims           []ClaimRecord
	Usage            UsageImage
	Shares           []Share
	Staged           *Staging // nil when nothing is staged
}

// ChangeRecord remembers the answer to a change.
type ChangeRecord struct {
	ID     string
	Digest [32]byte // SHA-256 of the content
	Result ChangeResult
	Ref    ChangeRef
}

// AuditEntry says who changed what.
type AuditEntry struct {
	Change   string // change id
	Operator string
	What     string
	Time     time.Time
	Revision uint64
}

// Wanted is what operators want of a target once its present phase ends.
type Wanted uint8

// What operators want of a target.
const (
	WantedServing Wanted = iota
	WantedDrained
	WantedGone
)

// TargetRecord is what the state machine keeps about a target beside its
// entry in the configuration.
type TargetRecord struct {
	Target      fleet.Target
	Wanted      Wanted
	WantedUntil time.Time // deadline of the wanted drain
	RoleWanted  bool
	Role        fleet.Role        // with RoleWanted
	Unread      bool              // the actual state must be read before the next order
	Read        fleet.OrderNumber // number of the last read asked for
	Loaded      Content           // last observed or ordered
	Open        *Order
	Closed      *ClosedOrder
	Replaces    fleet.TargetName // drained once this target is ready
	DrainFor    time.Duration    // with Replaces
}

// ClosedOrder is the last order of a target that was closed.
type ClosedOrder struct {
	Order     Order
	Done      bool
	Abandoned bool
	Detail    string
}

// PlatformRecord is a platform order, open or remembered.
type PlatformRecord struct {
	Order   PlatformOrder
	Closed  bool
	Done    bool
	Detail  string
	Expires time.Time // with Closed: end of the memory of its ID
}

// ClaimPhase is the stage of a claim.
type ClaimPhase uint8

// Stages of a claim.
const (
	PhaseRunning ClaimPhase = iota
	PhaseRan
	PhaseUnknown
	PhaseFree // barred; may be granted to another request
)

// ClaimRecord is what the state machine keeps about a claim.
type ClaimRecord struct {
	Claim  Claim
	Index  uint64 // log index of the grant
	Phase  ClaimPhase
	Answer *KeptAnswer
	Barred []fleet.RequestID // never granted again
}

// UsageImage is the usage part of an Image.
type UsageImage struct {
	Open    UsageWindow
	Sealed  []UsageWindow
	Sources []UsageSource
	Floors  []UsageFloor
}

// UsageSource is the dedupe memory of one agent incarnation.
type UsageSource struct {
	Node        fleet.Host
	Incarnation fleet.Incarnation
	Watermark   uint64   // every sequence up to this one is counted
	Above       []uint64 // counted sequences above the watermark, ascending
	Expires     time.Time
}

// UsageFloor is the highest incarnation of a node whose dedupe memory has
// ended; records of it and of earlier ones are refused.
type UsageFloor struct {
	Node        fleet.Host
	Incarnation fleet.Incarnation
}
