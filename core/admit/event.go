package admit

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Event is an input of Queue.Step: Configure, Capacity, Submit, FirstToken,
// Progress, Done, Cancel or Tick.
type Event interface{ event() }

// Configure replaces the customers and windows. A customer that is left out is
// removed if it has no requests, otherwise by a later Configure.
type Configure struct {
	Customers []config.Customer
	Windows   []config.Window
}

// Capacity is the part of the targets' capacity that this entry may use.
type Capacity struct {
	PrefillCost    float64 // target time in seconds per prompt token
	DecodeCost     float64 // target time in seconds per output token
	Targets        float64 // number of targets; fractional if entries share them
	Slots          float64 // concurrent requests on these targets
	PrefillTargets float64 // targets that process prompts; 0 means Targets
}

// Submit submits a request.
type Submit struct {
	ID           fleet.RequestID
	Customer     fleet.Customer
	Route        string
	Class        fleet.Class
	PromptTokens float64
	MaxOutput    float64   // limit on output tokens set by the caller; 0 means none
	FirstTokenBy time.Time // deadline of the first token; zero means none
	Deadline     time.Time // of the complete response; a request without one is refused as Late
}

// FirstToken reports that the prompt of a running request has been processed.
type FirstToken struct{ ID fleet.RequestID }

// Progress reports how many output tokens a running request has produced so far.
type Progress struct {
	ID           fleet.RequestID
	OutputTokens float64
}

// Done ends a dispatched request. The token counts are those actually used, even
// if the request failed.
type Done struct {
	ID           fleet.RequestID
	PromptTokens float64
	OutputTokens float64
	Failed       bool // the attempt failed; its token counts are not used to estimate later requests
}

// Cancel removes a waiting or running request whose caller has disconnected.
type Cancel struct{ ID fleet.RequestID }

// Tick only advances the time. Queue.Next returns when one is due.
type Tick struct{}

func (Configure) event()  {}
func (Capacity) event()   {}
func (Submit) event()     {}
func (FirstToken) event() {}
func (Progress) event()   {}
func (Done) event()       {}
func (Cancel) event()     {}
func (Tick) event()       {}

// Decision is the decision of a Queue about a request.
type Decision uint8

// Decisions about a request. All but Dispatch are refusals. A refused request has not
// run.
const (
	Dispatch  Decision = iota // send the request to a target now
	Late                      // cannot meet its deadlines
	Full                      // the customer's queue or the whole queue is full
	Limited                   // the customer's limit is exhausted
	Displaced                 // removed from a full queue in favour of another request
)

// String returns the kebab-case name of the decision. The names are stable.
func (d Decision) String() string {
	names := [...]string{"dispatch", "late", "queue-full", "limit", "displaced"}
	if int(d) < len(names) {
		return names[d]
	}
	return "invalid"
}

// Action tells the caller of Step what to do with a request.
type Action struct {
	ID           fleet.RequestID
	Decision     Decision
	RetryAfter   time.Duration // for refusals; 0 means that no retry is suggested
	OutputTokens float64       // for Dispatch: estimated output tokens
}
