package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/retry"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fullBudget returns a budget that allows retries.
func fullBudget() *retry.Budget {
	b := &retry.Budget{}
	for range 100 {
		b.CountFirstAttempt()
	}
	return b
}

// A non-idempotent request must not run twice, a refusal must not claim "not
// run" without certainty, and there must be no retry past the deadline.
func TestDecide(t *testing.T) {
	deadline := now.Add(time.Minute)
	for name, c := range map[string]struct {
		f    retry.Failure
		want retry.Decision
	}{
		"idempotent, unknown":           {retry.Failure{Idempotent: true, Last: retry.Unknown}, retry.Decision{Action: retry.Retry, NotRun: retry.NotRunUnknown}},
		"idempotent, lost":              {retry.Failure{Idempotent: true, Last: retry.Lost}, retry.Decision{Action: retry.Retry, NotRun: retry.NotRunUnknown}},
		"idempotent, ran":               {retry.Failure{Idempotent: true, Last: retry.Executed}, retry.Decision{Action: retry.Retry, NotRun: retry.NotRunFalse}},
		"idempotent, answer begun":      {retry.Failure{Idempotent: true, Last: retry.Lost, AnswerStarted: true}, retry.Decision{NotRun: retry.NotRunFalse}},
		"idempotent, out of attempts":   {retry.Failure{Idempotent: true, Last: retry.Lost, Attempts: retry.MaxAttempts}, retry.Decision{NotRun: retry.NotRunUnknown}},
		"idempotent, no time left":      {retry.Failure{Idempotent: true, Last: retry.Lost, MinRemaining: 2 * time.Minute}, retry.Decision{NotRun: retry.NotRunUnknown}},
		"non-idempotent, not sent":      {retry.Failure{Last: retry.NotSent}, retry.Decision{Action: retry.Retry, NotRun: retry.NotRunTrue}},
		"non-idempotent, barred":        {retry.Failure{Last: retry.Barred}, retry.Decision{Action: retry.Retry, NotRun: retry.NotRunTrue}},
		"non-idempotent, not barred":    {retry.Failure{Last: retry.NotExecuted}, retry.Decision{Action: retry.QueryAgent, NotRun: retry.NotRunUnknown}},
		"non-idempotent, unknown":       {retry.Failure{Last: retry.Unknown}, retry.Decision{Action: retry.QueryAgent, NotRun: retry.NotRunUnknown}},
		"non-idempotent, agent lost":    {retry.Failure{Last: retry.Lost}, retry.Decision{NotRun: retry.NotRunUnknown}},
		"non-idempotent, ran":           {retry.Failure{Last: retry.Executed}, retry.Decision{NotRun: retry.NotRunFalse}},
		"barred after a lost attempt":   {retry.Failure{Previous: retry.Lost, Last: retry.Barred}, retry.Decision{NotRun: retry.NotRunUnknown}},
		"barred, no time left":          {retry.Failure{Last: retry.Barred, MinRemaining: 2 * time.Minute}, retry.Decision{NotRun: retry.NotRunTrue}},
		"idempotent, ran earlier, lost": {retry.Failure{Idempotent: true, Previous: retry.Executed, Last: retry.Lost, Attempts: 3}, retry.Decision{NotRun: retry.NotRunFalse}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.f.Deadline = deadline
			is.Equal(fullBudget().Decide(now, c.f), c.want)
		})
	}
}

// Retries must not multiply the load when many attempts fail at once: at most
// 1.1 attempts per request over any 300 requests.
func TestAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		earlier := rapid.IntRange(0, 5000).Draw(t, "quiet")
		for range earlier {
			b.CountFirstAttempt()
		}
		attempts := 0
		const requests = 300
		for range requests {
			b.CountFirstAttempt()
			attempts++
			f := retry.Failure{Idempotent: true, Last: retry.Lost, Attempts: 1, Deadline: now.Add(time.Minute)}
			for rapid.IntRange(0, 9).Draw(t, "fails") > 0 && b.Decide(now, f).Action == retry.Retry {
				attempts++
				f.Attempts++
			}
		}
		if attempts*10 > requests*11 {
			t.Fatalf("%d attempts for %d requests", attempts, requests)
		}
	})
}

// No sequence of reports may let a non-idempotent request run at two targets,
// or let a refusal state "not run" after it may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := fullBudget()
		f := retry.Failure{Deadline: now.Add(time.Minute)}
		mayRun := false
		for range 10 {
			f.Last = retry.Execution(rapid.IntRange(0, int(retry.Executed)).Draw(t, "ran"))
			f.Attempts++
			mayRun = mayRun || f.Last > retry.Barred
			d := b.Decide(now, f)
			if d.Action == retry.Retry && mayRun {
				t.Fatalf("retried after %v", f)
			}
			if d.NotRun == retry.NotRunTrue && mayRun {
				t.Fatalf("refusal says not run after %v", f)
			}
			if d.Action != retry.Retry {
				return
			}
			f.Previous = retry.Combine(f.Previous, f.Last)
		}
	})
}

// A process must have the burst of retries at the time that is set, and only once.
func TestBudgetFill(t *testing.T) {
	is := is.New(t)
	b := retry.Budget{Ratio: 0.1, Burst: 2, FullAt: time.Unix(1, 0)}
	f := retry.Failure{Idempotent: true, Last: retry.Lost, Deadline: time.Unix(100, 0), Attempts: 1, MaxAttempts: 2}
	b.Advance(time.Unix(0, 0))
	is.Equal(b.Decide(time.Unix(0, 0), f).Action, retry.Refuse)
	b.Advance(time.Unix(1, 0))
	is.Equal(b.Decide(time.Unix(1, 0), f).Action, retry.Retry)
	is.Equal(b.Decide(time.Unix(1, 0), f).Action, retry.Retry)
	is.True(b.Decide(time.Unix(1, 0), f).BudgetExhausted)
	b.Advance(time.Unix(2, 0))
	is.True(b.Decide(time.Unix(2, 0), f).BudgetExhausted) // not filled again
	for range 10 {
		b.CountFirstAttempt()
	}
	is.Equal(b.Decide(time.Unix(1, 0), f).Action, retry.Retry)
	f.Attempts = 2
	is.True(!b.Decide(time.Unix(1, 0), f).BudgetExhausted) // refused because of the attempts, not the budget
}

// A part of a burst that is below one retry must not be rounded up for each process, and a
// process with enough requests must have retries all the same.
func TestBudgetBurstBelowOne(t *testing.T) {
	f := retry.Failure{Idempotent: true, Last: retry.Lost, Deadline: now.Add(time.Hour), Attempts: 1, MaxAttempts: 2}
	for name, c := range map[string]struct {
		interval time.Duration // between requests
		want     retry.Action
	}{
		"few requests":  {10 * time.Second, retry.Refuse},
		"many requests": {100 * time.Millisecond, retry.Retry},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := retry.Budget{Ratio: 0.1, Burst: 0.2, FullAt: now, Window: 10 * time.Second}
			at := now
			for range 100 {
				at = at.Add(c.interval)
				b.Advance(at)
				b.CountFirstAttempt()
			}
			is.Equal(b.Decide(at, f).Action, c.want)
		})
	}
}
