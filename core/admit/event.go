package admit

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Event is an input of Queue.Step: Configure, Capacity, Submit, FirstToken,
// Progress, Done, Cancel or Tick.
type Event interface{ event() }

// Configure replaces customers and windows.
type Configure struct {
	Customers []config.Customer
	Windows   []config.Window
}

// Capacity is what this entry may use of the targets.
type Capacity struct {
	PrefillPrice float64 // seconds of one target per prompt token
	DecodePrice  float64 // seconds of one target per output token
	Targets      float64 // may be a fraction, when several entries share targets
	Slots        float64 // requests that run at once on these targets
	Prefilling   float64 // targets that process prompts; 0 means Targets
}

// Submit asks for a request to run.
type Submit struct {
	ID           fleet.RequestID
	Customer     fleet.Customer
	Route        string
	Class        fleet.Class
	PromptTokens float64
	MaxOutput    float64   // the caller's bound on output tokens; 0 means none
	FirstTokenBy time.Time // promise; zero means only Deadline counts
	Deadline     time.Time // of the whole answer
}

// FirstToken says that the prompt of a running request has been processed.
type FirstToken struct{ ID fleet.RequestID }

// Progress gives the output tokens that a running request has produced so far.
type Progress struct {
	ID           fleet.RequestID
	OutputTokens float64
}

// Done ends a dispatched request. Tokens are those used, also by a failed one.
type Done struct {
	ID           fleet.RequestID
	PromptTokens float64
	OutputTokens float64
	Failed       bool // the token count says nothing about the next request
}

// Cancel removes a request whose caller has gone, waiting or running.
type Cancel struct{ ID fleet.RequestID }

// Tick lets time pass. Queue.Next says when one is due.
type Tick struct{}

func (Configure) event()  {}
func (Capacity) event()   {}
func (Submit) event()     {}
func (FirstToken) event() {}
func (Progress) event()   {}
func (Done) event()       {}
func (Cancel) event()     {}
func (Tick) event()       {}

// Reason says why a request runs or is refused.
type Reason uint8

// Reasons of an Action. Everything but Dispatch is a refusal, and a refused
// request has not run.
const (
	Dispatch  Reason = iota // hand the request over now
	Late                    // cannot meet its promise
	Full                    // the customer's queue or the whole queue is full
	Limited                 // the customer's limit is spent
	Displaced               // gave its place to a request that goes first
)

// String returns the stable type of a refusal.
func (r Reason) String() string {
	names := [...]string{"dispatch", "late", "queue-full", "limit", "displaced"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Action tells the owner what to do with a request.
type Action struct {
	ID         fleet.RequestID
	Reason     Reason
	RetryAfter time.Duration // with a refusal; 0 means that waiting doesn't help
	Output     float64       // with Dispatch: the estimate of output tokens
}
