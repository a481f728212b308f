package serving

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/retry"
	"papayarock/core/route"
	"papayarock/io/entry"
	"papayarock/io/subscribe"
)

func isLanguage(r entry.Request) bool { return r.Route.Protocol == config.Language }

func firstTokenBy(r entry.Request) time.Time {
	if r.Route.FirstToken <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Route.FirstToken)
}

// Pick chooses a target by load, health and distance.
func (p *Policy) Pick(r entry.Request, targets []fleet.Target) (fleet.Target, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := route.Request{
		Pool: r.Route.Pool, Customer: r.Customer, PromptTokens: promptTokens(r),
		FirstTokenBy: firstTokenBy(r), Prefix: r.Prefix, Tried: r.Tried,
	}
	choice, err := p.router.Pick(now, q)
	if err != nil && isLanguage(r) {
		// Without an engine for prompts, a decode engine processes them too.
		q.Stage = route.Decode
		choice, err = p.router.Pick(now, q)
	}
	if err != nil {
		return fleet.Target{}, false
	}
	for _, t := range targets {
		if t.Name != choice.Target {
			continue
		}
		if len(r.Tried) == 0 {
			p.budget.CountFirstAttempt()
		}
		p.chose(now, r.ID, choice)
		return t, true
	}
	// The router knows an older or newer configuration than the caller.
	p.router.Step(now, route.Outcome{Choice: choice, Result: route.Cancelled})
	return fleet.Target{}, false
}

// chose notes the choice of an attempt, and when its prompt will have been
// processed if no byte tells.
func (p *Policy) chose(now time.Time, id fleet.RequestID, c route.Choice) {
	f := p.flights[id]
	if f == nil {
		f = &flight{}
		p.flights[id] = f
	}
	f.choice, f.chosen, f.began, f.decode = c, true, false, false
	f.firstBy = now.Add(c.Expected + c.Expected/2)
}

// Ended tells the router how an attempt went.
func (p *Policy) Ended(r entry.Request, t fleet.TargetName, o entry.Outcome) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now, t, o)
	f := p.flights[r.ID]
	if f == nil || !f.chosen || f.choice.Target != t {
		return
	}
	f.chosen = false
	if f.choice.HandOver && o.Ending == entry.Answered && !f.began {
		f.began = true // the prompt has been processed
		p.router.Step(now, route.FirstToken{Choice: f.choice, Elapsed: now.Sub(f.choice.Sent)})
	}
	p.router.Step(now, route.Outcome{
		Choice: f.choice, Result: resultOf(o), FirstTokenSeen: f.began, Customer: r.Customer, Bytes: o.Bytes + uint64(r.BodyBytes),
	})
	if o.Load != nil {
		p.load(now, t, o.Load)
	}
}

func resultOf(o entry.Outcome) route.Result {
	switch {
	case o.Ending == entry.Cancelled:
		return route.Cancelled
	case o.Ending == entry.Answered && o.Status < 500:
		return route.Served
	}
	return route.Failed
}

// Retry takes another attempt out of the budget.
func (p *Policy) Retry(r entry.Request, last entry.Outcome) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.budget.Decide(time.Now(), retry.Failure{
		Idempotent: r.Idempotent, Last: ranOf(last), Deadline: r.Deadline, Attempts: len(r.Tried),
	})
	return d.Action == retry.Retry
}

func ranOf(o entry.Outcome) retry.Execution {
	switch o.Ending {
	case entry.NotRun:
		return retry.Barred
	case entry.Answered:
		return retry.Executed
	case entry.Lost:
		return retry.Lost
	}
	return retry.Unknown
}

// demandKey is what demand is summed up by.
type demandKey struct {
	pool  string
	class fleet.Class
}

// work is the sum of the requests of a demandKey.
type work struct{ requests, prompt, output float64 }

func (p *Policy) count(r entry.Request, output float64) {
	if !isLanguage(r) {
		return
	}
	k := demandKey{r.Route.Pool, r.Route.Class}
	w := p.demand[k]
	w.requests++
	w.prompt += promptTokens(r)
	w.output += output
	p.demand[k] = w
}

// Demand returns the work received since it was last called. What had demand
// before is reported with nothing: the rates are tokens over all periods, also
// over those without a request.
func (p *Policy) Demand() []subscribe.Demand {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	period := now.Sub(p.asked)
	if p.asked.IsZero() {
		period = 0
	}
	p.asked = now
	out := make([]subscribe.Demand, 0, len(p.demand))
	for k, w := range p.demand {
		out = append(out, subscribe.Demand{
			Pool: k.pool, DataCentre: p.o.DataCentre, Class: k.class,
			Requests: w.requests, PromptTokens: w.prompt, OutputTokens: w.output, Period: period,
		})
		p.demand[k] = work{}
	}
	return out
}
