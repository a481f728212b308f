package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

// Control is what an entry needs of control.
type Control interface {
	Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error)
	Settle(ctx context.Context, s state.Settle) error
	ReportUsage(ctx context.Context, records []state.UsageRecord) error
}

// Request is what decisions about a request are based on.
type Request struct {
	ID         fleet.RequestID
	Customer   fleet.Customer
	Route      config.Route
	Idempotent bool
	BodyBytes  int
	MaxOutput  int      // tokens that the caller allows for the answer; 0 if not said
	Prefix     []uint64 // hashes of the prompt's beginnings, as in papayarock/core/prefix
	Arrived    time.Time
	Deadline   time.Time
	Tried      []fleet.TargetName // targets of earlier attempts
}

// Ending says how an attempt or a request ended.
type Ending uint8

// Endings of an attempt.
const (
	Answered  Ending = iota // the whole answer arrived
	NotRun                  // certainly not run
	Failed                  // the target failed after it may have started
	Lost                    // the agent could not be reached again
	Cancelled               // the caller left, the key was cut or time ran out
)

// Outcome describes an ended attempt.
type Outcome struct {
	Ending    Ending
	Status    int
	FirstByte time.Time // zero if no byte came
	Ended     time.Time
	Bytes     uint64
	Load      *wire.Load // of the agent, nil if it sent none
	Unreached bool       // the agent could not be reached, at first or again
	// PromptTokens and OutputTokens are those billed; 0 if not known.
	PromptTokens, OutputTokens uint64
}

// Picker chooses the target of each attempt.
type Picker interface {
	// Pick returns false if no target may take the request.
	Pick(r Request, targets []fleet.Target) (fleet.Target, bool)
	// Ended is called once for each target that Pick returned.
	Ended(r Request, t fleet.TargetName, o Outcome)
}

// Admitter decides when a request may start.
type Admitter interface {
	// Admit returns once r may start, or an error: a *Refusal is shown to the
	// caller. The returned function is called once, when r has ended.
	Admit(ctx context.Context, r Request) (func(Outcome), error)
}

// FirstByter is an Admitter that wants to know when an answer begins.
type FirstByter interface {
	FirstByte(id fleet.RequestID)
}

// Retrier decides about another attempt after one that did not answer.
type Retrier interface {
	Retry(r Request, last Outcome) bool
}

// RoundRobin takes the ready targets in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next ready target that was not tried.
func (p *RoundRobin) Pick(r Request, targets []fleet.Target) (fleet.Target, bool) {
	start := p.next.Add(1)
	for i := range targets {
		t := targets[(start+uint64(i))%uint64(len(targets))]
		if t.Phase == fleet.Ready && !slices.Contains(r.Tried, t.Name) {
			return t, true
		}
	}
	return fleet.Target{}, false
}

// Ended does nothing.
func (*RoundRobin) Ended(Request, fleet.TargetName, Outcome) {}

// AdmitAll lets every request start at once.
type AdmitAll struct{}

// Admit returns at once.
func (AdmitAll) Admit(context.Context, Request) (func(Outcome), error) { return func(Outcome) {}, nil }

// MaxAttempts allows a fixed number of attempts for each request.
type MaxAttempts int

// Retry compares the attempts so far with the limit.
func (n MaxAttempts) Retry(r Request, _ Outcome) bool { return len(r.Tried) < int(n) }
