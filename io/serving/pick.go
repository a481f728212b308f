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

// firstTokenBy returns the deadline of the first token, or zero if the route has none.
func firstTokenBy(r entry.Request) time.Time {
	if r.Route.FirstToken <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Route.FirstToken)
}

// Pick chooses a target by load, health and distance. It returns false if none is
// available.
func (p *Policy) Pick(r entry.Request, targets []fleet.Target) (fleet.Target, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	routeRequest := route.Request{
		Pool: r.Route.Pool, Customer: r.Customer, PromptTokens: promptTokens(r),
		FirstTokenBy: firstTokenBy(r), PrefixHashes: r.PrefixHashes, TriedTargets: r.TriedTargets,
	}
	choice, err := p.router.Pick(now, routeRequest)
	if err != nil && isLanguageRequest(r) {
		// If no prefill engine is available, a decode engine performs the prefill.
		routeRequest.Stage = route.Decode
		choice, err = p.router.Pick(now, routeRequest)
	}
	if err != nil {
		return fleet.Target{}, false
	}
	for _, t := range targets {
		if t.Name != choice.Target {
			continue
		}
		if len(r.TriedTargets) == 0 {
			p.budget.CountFirstAttempt()
		}
		p.recordChoice(now, r.ID, choice)
		return t, true
	}
	// The chosen target is not in the configuration that the entry used for this
	// request. The router's is older or newer.
	p.router.Step(now, route.Outcome{Choice: choice, Result: route.Cancelled})
	return fleet.Target{}, false
}

// recordChoice records the target chosen for an attempt. Unless a byte of the response
// arrives earlier, the first token is assumed after 1.5 times the expected time. The
// caller holds mu.
func (p *Policy) recordChoice(now time.Time, id fleet.RequestID, c route.Choice) {
	rs := p.requests[id]
	if rs == nil {
		rs = &requestState{}
		p.requests[id] = rs
	}
	rs.choice, rs.chosen, rs.routerHasFirstToken, rs.decodeOnly = c, true, false, false
	rs.assumedFirstToken = now.Add(c.Expected + c.Expected/2)
}

// AttemptEnded reports the outcome of an attempt to the router, together with the load
// report that came with the response.
func (p *Policy) AttemptEnded(r entry.Request, t fleet.TargetName, o entry.Outcome) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(now, t, o)
	rs := p.requests[r.ID]
	if rs == nil || !rs.chosen || rs.choice.Target != t {
		return
	}
	rs.chosen = false
	if rs.choice.PrefillOnly && o.Ending == entry.Completed && !rs.routerHasFirstToken {
		rs.routerHasFirstToken = true // a complete response to a prefill counts as the first token
		p.router.Step(now, route.FirstToken{Choice: rs.choice, Elapsed: now.Sub(rs.choice.Sent)})
	}
	p.router.Step(now, route.Outcome{
		Choice: rs.choice, Result: resultOf(o), FirstTokenSeen: rs.routerHasFirstToken, Customer: r.Customer, Bytes: o.Bytes + uint64(r.BodyBytes),
	})
	if o.Load != nil {
		p.applyLoad(now, t, o.Load)
	}
}

func resultOf(o entry.Outcome) route.Result {
	switch {
	case o.Ending == entry.Cancelled:
		return route.Cancelled
	case o.Ending == entry.Completed && o.Status < 500:
		return route.Served
	}
	return route.Failed
}

// Retry reports whether another attempt may be made. If so, the attempt is charged to the
// retry budget.
func (p *Policy) Retry(r entry.Request, last entry.Outcome) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.budget.Decide(time.Now(), retry.Failure{
		Idempotent: r.Idempotent, Last: executionOf(last), Deadline: r.Deadline, Attempts: len(r.TriedTargets),
	})
	return d.Action == retry.Retry
}

// executionOf returns what an outcome says about the execution of the request.
func executionOf(o entry.Outcome) retry.Execution {
	switch o.Ending {
	case entry.NotRun:
		return retry.Barred
	case entry.Completed:
		return retry.Executed
	case entry.Lost:
		return retry.Lost
	}
	return retry.Unknown
}

// demandKey identifies requests whose demand is added up.
type demandKey struct {
	pool  string
	class fleet.Class
}

// demandTotals are the numbers of requests, prompt tokens and output tokens since the
// previous call of Demand.
type demandTotals struct{ requests, prompt, output float64 }

// countDemand adds a request with the given number of output tokens to the demand. The
// caller holds mu.
func (p *Policy) countDemand(r entry.Request, output float64) {
	if !isLanguageRequest(r) {
		return
	}
	k := demandKey{r.Route.Pool, r.Route.Class}
	totals := p.demand[k]
	totals.requests++
	totals.prompt += promptTokens(r)
	totals.output += output
	p.demand[k] = totals
}

// Demand returns the demand since the previous call, by pool and class. A pool and class
// without requests in this period are included if they had any before, because rates are
// averaged over all periods, including those without requests.
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
	for k, totals := range p.demand {
		out = append(out, subscribe.Demand{
			Pool: k.pool, DataCentre: p.options.DataCentre, Class: k.class,
			Requests: totals.requests, PromptTokens: totals.prompt, OutputTokens: totals.output, Period: period,
		})
		p.demand[k] = demandTotals{}
	}
	return out
}
