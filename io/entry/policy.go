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

// Control is the part of the control plane that an entry calls.
type Control interface {
	// Claim requests the exclusive right to run a request with an Idempotency-Key.
	Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error)
	// Settle records the outcome of a request that requested a claim.
	Settle(ctx context.Context, s state.Settle) error
	// ReportUsage reports usage records. A record may be reported more than once.
	ReportUsage(ctx context.Context, records []state.UsageRecord) error
}

// Request holds the properties of a request by which Picker, Admitter and Retrier
// decide.
type Request struct {
	ID              fleet.RequestID
	Customer        fleet.Customer
	Route           config.Route
	Idempotent      bool
	BodyBytes       int
	MaxOutputTokens int      // caller's limit on output tokens; 0 if not set
	PrefixHashes    []uint64 // hashes of the prompt's prefixes, computed by papayarock/core/prefix
	Arrived         time.Time
	Deadline        time.Time
	TriedTargets    []fleet.TargetName // targets of earlier attempts
}

// Ending is the way in which an attempt or a request ended.
type Ending uint8

// Endings of an attempt.
const (
	Completed Ending = iota // the complete response arrived
	NotRun                  // known not to have run
	Failed                  // the target failed after it may have started to run the request
	Lost                    // the stream was lost and the response could not be resumed
	Cancelled               // caller disconnected, API key withdrawn with interruption, or deadline exceeded
)

// Outcome is the result of an attempt, or of a request, that has ended.
type Outcome struct {
	Ending           Ending
	Status           int       // HTTP status of the response; 0 if its header did not arrive
	FirstByte        time.Time // zero if no byte arrived
	Ended            time.Time
	Bytes            uint64     // received of the response body
	Load             *wire.Load // load reported by the agent, nil if none
	AgentUnreachable bool       // the agent could not be reached, or not reached again after the stream was lost
	// PromptTokens and OutputTokens are the billed tokens; 0 if not known.
	PromptTokens, OutputTokens uint64
}

// Picker selects the target of each attempt. It must be safe for concurrent use, as
// must Admitter and Retrier.
type Picker interface {
	// Pick returns false if no target is eligible.
	Pick(r Request, targets []fleet.Target) (fleet.Target, bool)
	// AttemptEnded is called once for each target that Pick returned.
	AttemptEnded(r Request, t fleet.TargetName, o Outcome)
}

// Admitter decides when a request may start.
type Admitter interface {
	// Admit blocks until r may start. An error that is a *Refusal is sent to the
	// caller; any other error is reported as an exceeded deadline. The returned
	// function is called once, when r has ended.
	Admit(ctx context.Context, r Request) (func(Outcome), error)
}

// FirstByteObserver is implemented by an Admitter that is to be notified of the first
// byte of each response.
type FirstByteObserver interface {
	FirstByte(id fleet.RequestID)
}

// Retrier decides whether to make another attempt after an unsuccessful one.
type Retrier interface {
	Retry(r Request, last Outcome) bool
}

// RoundRobin is a Picker that selects ready targets in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next ready target that has not been tried.
func (p *RoundRobin) Pick(r Request, targets []fleet.Target) (fleet.Target, bool) {
	start := p.next.Add(1)
	for i := range targets {
		t := targets[(start+uint64(i))%uint64(len(targets))]
		if t.Phase == fleet.Ready && !slices.Contains(r.TriedTargets, t.Name) {
			return t, true
		}
	}
	return fleet.Target{}, false
}

// AttemptEnded implements [Picker].
func (*RoundRobin) AttemptEnded(Request, fleet.TargetName, Outcome) {}

// AdmitAll is an Admitter that admits every request immediately.
type AdmitAll struct{}

// Admit implements [Admitter].
func (AdmitAll) Admit(context.Context, Request) (func(Outcome), error) { return func(Outcome) {}, nil }

// MaxAttempts is a Retrier that allows a fixed number of attempts for each request.
type MaxAttempts int

// Retry reports whether fewer than n targets have been tried.
func (n MaxAttempts) Retry(r Request, _ Outcome) bool { return len(r.TriedTargets) < int(n) }
