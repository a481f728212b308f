package quarantine

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/place"
)

// Segment identifies a prompt segment in a pool.
type Segment uint64

// NewSegment returns the Segment for the id of a segment.
func NewSegment(pool, id string) Segment { return Segment(place.NewPrefix(pool, id)) }

// Run identifies one run of a target.
type Run struct {
	Target  fleet.TargetName
	Started time.Time
}

// Phase is how far the response to a request had got when it broke off.
type Phase uint8

// Phases. A request whose target has survived the beginning of the response does not count
// when its response breaks off later.
const (
	Queued   Phase = iota // no response header
	Starting              // the beginning of the response
)

// Breaks counts requests that broke off, by phase.
type Breaks [2]int

func (b Breaks) add(c Breaks) Breaks { return Breaks{b[Queued] + c[Queued], b[Starting] + c[Starting]} }

// Crash is what one gateway has seen of the end of a run.
type Crash struct {
	Pool     string
	Run      Run
	At       time.Time          // when the first of the requests broke off
	Breaks   Breaks             // requests of this gateway
	Segments map[Segment]Breaks // the same by segment, without segments that have been served since
}

// Report is the evidence of one gateway.
type Report struct {
	Crashes     []Crash
	Served      map[string]uint64     // number of requests with prompts that were served, by pool
	Cleared     map[Segment]time.Time // when the suspects of the last verdict were last served
	Quarantined map[Segment]time.Time // until when
}

// Verdict is the result of all reports.
type Verdict struct {
	Sequence    uint64 // increases with each change
	Suspects    []Segment
	Quarantined map[Segment]time.Time // until when
}
