package retry

import (
	"fmt"
	"math"
	"time"
)

const (
	// Each first attempt earns 0.09 retries. With a burst of 3 retries, the
	// amplification stays at or below 1.1 over any 300 first attempts.
	defaultRatio = 0.09
	defaultBurst = 3
)

// Budget is a token bucket that limits retries to a fraction of first attempts.
// The zero value is an empty bucket and ready to use.
//
// Several processes may share a limit that applies to any window of time. Each then has
// its part of the burst, which may be less than one retry. A process that restarts has
// forgotten what it used, so that it starts with an empty bucket, which Advance fills
// after a window: the burst would otherwise be available once more with each restart.
type Budget struct {
	Ratio  float64       // retries earned per first attempt; zero means 0.09
	Burst  float64       // number of retries saved up; zero means 3
	FullAt time.Time     // when Advance fills the bucket, once; zero means never
	Window time.Duration // of the limit; used if Burst is below one

	FirstAttempts uint64 // first attempts so far
	Retries       uint64 // retries so far
	tokens        float64
	filled        bool
	advanced      time.Time // time of the last Advance
}

// burst returns Burst or its default.
func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return defaultBurst
	}
	return b.Burst
}

// Advance fills the bucket once FullAt has passed. If Burst is below one, a retry must be
// saved up beyond it; what is saved beyond Burst then decays with Window as the time
// constant. Without that, many processes with few requests would each have a retry to
// spend in the same window.
func (b *Budget) Advance(now time.Time) {
	if !b.filled && !b.FullAt.IsZero() && !now.Before(b.FullAt) {
		b.filled = true
		b.tokens = max(b.tokens, b.burst())
	}
	if excess := b.tokens - b.burst(); excess > 0 && b.Window > 0 {
		b.tokens = b.burst() + excess*math.Exp(-now.Sub(b.advanced).Seconds()/b.Window.Seconds())
	}
	b.advanced = now
}

// CountFirstAttempt counts a first attempt and adds its share of a retry to the budget.
func (b *Budget) CountFirstAttempt() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = defaultRatio
	}
	b.FirstAttempts++
	b.tokens = min(b.tokens+ratio, max(1, b.burst()))
}

// Available reports whether the budget allows another retry.
func (b *Budget) Available() bool {
	// Allows for rounding errors in the sum of shares.
	const rounding = 1e-9
	return b.tokens >= 1-rounding
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	b.Retries++
	return true
}

// Execution states what is known about whether an attempt was executed. When
// attempts of one request are combined, the highest value prevails.
type Execution uint8

// Values of Execution, in ascending order of precedence.
const (
	NotSent     Execution = iota // not sent to a target
	Barred                       // the agent confirms that it was not executed and never will be
	NotExecuted                  // reported as not executed, but the agent may still execute it
	Unknown                      // no response; the agent can be queried
	Lost                         // no response, and the agent cannot be queried
	Executed                     // executed
)

// NotRun is the value of the not-run field of a refusal.
type NotRun uint8

// Values of the not-run field.
const (
	NotRunUnknown NotRun = iota
	NotRunTrue
	NotRunFalse
)

// String returns the text of the not-run field.
func (n NotRun) String() string {
	switch n {
	case NotRunUnknown:
		return "unknown"
	case NotRunTrue:
		return "true"
	case NotRunFalse:
		return "false"
	}
	return fmt.Sprintf("invalid-%d", uint8(n))
}

// Failure describes a failed attempt.
type Failure struct {
	Idempotent    bool
	Previous      Execution     // earlier attempts, combined by Combine; NotSent if there were none
	Last          Execution     // the attempt that failed
	AnswerStarted bool          // part of the response has reached the caller
	Deadline      time.Time     // of the request
	MinRemaining  time.Duration // no retry if less time is left before Deadline
	Attempts      int           // so far, including the failed one
	MaxAttempts   int           // maximum number of attempts; zero means MaxAttempts
}

// MaxAttempts is the default maximum number of attempts of one request.
const MaxAttempts = 3

// Action is how to proceed after a failed attempt.
type Action uint8

// Possible actions.
const (
	Refuse     Action = iota // refuse the request to the caller
	Retry                    // send the request to another target
	QueryAgent               // query the agent for the outcome and have it bar the request
)

// Decision is the result of Decide.
type Decision struct {
	Action          Action
	NotRun          NotRun // what to state if the request is refused, now or after the action
	BudgetExhausted bool   // refused because the retry budget is exhausted
}

// Combine combines the knowledge about two attempts of one request.
func Combine(a, b Execution) Execution { return max(a, b) }

// NotRunFor returns what a refusal may state, given the combined knowledge
// about all attempts.
func NotRunFor(r Execution) NotRun {
	switch r {
	case NotSent, Barred:
		return NotRunTrue
	case Executed:
		return NotRunFalse
	case NotExecuted, Unknown, Lost:
	}
	return NotRunUnknown
}

// Decide returns how to proceed after a failed attempt. If it grants a retry, it
// charges the retry to the budget, unless the failed attempt was not sent.
func (b *Budget) Decide(now time.Time, f Failure) Decision {
	combined := Combine(f.Previous, f.Last)
	if f.AnswerStarted {
		return Decision{Action: Refuse, NotRun: NotRunFalse}
	}
	d := Decision{Action: Refuse, NotRun: NotRunFor(combined)}
	if f.Last == Unknown || f.Last == NotExecuted {
		// Only a barred request is certain not to run later. Without that, a
		// non-idempotent request can neither be retried nor be reported as not
		// run.
		if !f.Idempotent {
			d.Action = QueryAgent
			return d
		}
	}
	maxAttempts := f.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = MaxAttempts
	}
	if f.Attempts >= maxAttempts || !now.Add(f.MinRemaining).Before(f.Deadline) {
		return d
	}
	if !f.Idempotent && combined > Barred {
		return d
	}
	if f.Last != NotSent && !b.withdraw() {
		d.BudgetExhausted = true
		return d
	}
	d.Action = Retry
	return d
}
