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

func isLanguageRequest(r entry.Request) bool { return r.Route.Protocol == config.Language }

func firstTokenBy(r entry.Request) time.Time {
	if r.Route.FirstToken <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Route.FirstToken)
}

// Pick chooses a target by load, health and distance. It returns false if there is
// none.
func (p *Policy) Pick(r entry.Request, targets []fleet.Target) (fleet.Target, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := route.Request{
		Pool: r.Route.Pool, Customer: r.Customer, PromptTokens: promptTokens(r),
		FirstTokenBy: firstTokenBy(r), Prefix: r.Prefix, Tried: r.Tried,
	}
	choice, err := p.router.Pick(now, q)
	if err != nil && isLanguageRequest(r) {
		// If no prefill engine is available, a decode engine performs the prefill.
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
		p.recordChoice(now, r.ID, choice)
		return t, true
	}
	// The router's configuration is older or newer than the caller's.
	p.router.Step(now, route.Outcome{Choice: choice, Result: route.Cancelled})
	return fleet.Target{}, false
}

// recordChoice records the target chosen for an attempt, and the time at which its
// prefill is assumed complete if no byte has arrived. The caller holds mu.
func (p *Policy) recordChoice(now time.Time, id fleet.RequestID, c route.Choice) {
	f := p.requests[id]
	if f == nil {
		f = &requestState{}
		p.requests[id] = f
	}
	f.choice, f.chosen, f.firstTokenReported, f.decodeOnly = c, true, false, false
	f.assumedFirstToken = now.Add(c.Expected + c.Expected/2)
}

// Ended reports the outcome of an attempt to the router.
func (p *Policy) Ended(r entry.Request, t fleet.TargetName, o entry.Outcome) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(now, t, o)
	f := p.requests[r.ID]
	if f == nil || !f.chosen || f.choice.Target != t {
		return
	}
	f.chosen = false
	if f.choice.HandOver && o.Ending == entry.Answered && !f.firstTokenReported {
		f.firstTokenReported = true // the prefill is complete
		p.router.Step(now, route.FirstToken{Choice: f.choice, Elapsed: now.Sub(f.choice.Sent)})
	}
	p.router.Step(now, route.Outcome{
		Choice: f.choice, Result: resultOf(o), FirstTokenSeen: f.firstTokenReported, Customer: r.Customer, Bytes: o.Bytes + uint64(r.BodyBytes),
	})
	if o.Load != nil {
		p.applyLoad(now, t, o.Load)
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

// Retry reports whether another attempt may be made, and charges it to the retry budget.
func (p *Policy) Retry(r entry.Request, last entry.Outcome) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.budget.Decide(time.Now(), retry.Failure{
		Idempotent: r.Idempotent, Last: executionOf(last), Deadline: r.Deadline, Attempts: len(r.Tried),
	})
	return d.Action == retry.Retry
}

func executionOf(o entry.Outcome) retry.Execution {
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

// demandKey is the key by which demand is aggregated.
type demandKey struct {
	pool  string
	class fleet.Class
}

// demandTotals are the aggregated requests and tokens for a demandKey.
type demandTotals struct{ requests, prompt, output float64 }

func (p *Policy) countDemand(r entry.Request, output float64) {
	if !isLanguageRequest(r) {
		return
	}
	k := demandKey{r.Route.Pool, r.Route.Class}
	w := p.demand[k]
	w.requests++
	w.prompt += promptTokens(r)
	w.output += output
	p.demand[k] = w
}

// Demand returns the demand since the previous call. Keys with earlier demand are
// reported with zero: rates are averaged over all periods, including those without
// requests.
func (p *Policy) Demand() []subscribe.Demand {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	period := now.Sub(p.lastDemand)
	if p.lastDemand.IsZero() {
		period = 0
	}
	p.lastDemand = now
	out := make([]subscribe.Demand, 0, len(p.demand))
	for k, w := range p.demand {
		out = append(out, subscribe.Demand{
			Pool: k.pool, DataCentre: p.options.DataCentre, Class: k.class,
			Requests: w.requests, PromptTokens: w.prompt, OutputTokens: w.output, Period: period,
		})
		p.demand[k] = demandTotals{}
	}
	return out
}
