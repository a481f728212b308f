package serving

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"papayarock/core/admit"
	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/state"
	"papayarock/io/entry"
)

// poolState is the state for one pool of targets: its admission queue.
type poolState struct{ queue *admit.Queue }

// rejections are the responses to requests that the queue has rejected. None of these
// requests has been executed.
var rejections = map[admit.Decision]entry.Refusal{
	admit.Late:      {Status: http.StatusServiceUnavailable, Type: "would-be-late", Title: "the answer would not be complete in the promised time"},
	admit.Full:      {Status: http.StatusServiceUnavailable, Type: "queue-full", Title: "too many requests wait"},
	admit.Limited:   {Status: http.StatusTooManyRequests, Type: "limit", Title: "the customer's limit is spent"},
	admit.Displaced: {Status: http.StatusServiceUnavailable, Type: "displaced", Title: "a more urgent request took the place of this one"},
}

// Admit blocks until the request may start, and returns a function that must be called
// with the outcome of the request. If the request is rejected, the error is an
// *entry.Refusal.
func (p *Policy) Admit(ctx context.Context, r entry.Request) (func(entry.Outcome), error) {
	now := time.Now()
	rs := &requestState{
		pool: r.Route.Pool, route: r.Route.Name, class: r.Route.Class,
		prompt: promptTokens(r), decision: make(chan admit.Action, 1),
	}
	p.mu.Lock()
	p.requests[r.ID] = rs
	p.stepQueue(now, rs.pool, admit.Submit{
		ID: r.ID, Customer: r.Customer, Route: rs.route, Class: rs.class, PromptTokens: rs.prompt,
		MaxOutput: maxOutputTokens(r), FirstTokenBy: firstTokenBy(r), Deadline: r.Deadline,
	})
	p.mu.Unlock()
	select {
	case a := <-rs.decision:
		return p.handleDecision(r, a)
	case <-ctx.Done():
	}
	// Cancel also ends a request that was dispatched in the meantime.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepQueue(time.Now(), rs.pool, admit.Cancel{ID: r.ID})
	delete(p.requests, r.ID)
	return nil, ctx.Err()
}

// handleDecision turns a decision of the queue into the result of Admit. A decision that
// is not in rejections gives a response with status 503.
func (p *Policy) handleDecision(r entry.Request, a admit.Action) (func(entry.Outcome), error) {
	if a.Decision == admit.Dispatch {
		return func(o entry.Outcome) { p.release(r, o) }, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countDemand(r, 0) // rejected requests are part of the demand
	delete(p.requests, r.ID)
	refusal, ok := rejections[a.Decision]
	if !ok {
		refusal = entry.Refusal{Status: http.StatusServiceUnavailable, Type: a.Decision.String(), Title: "the request was refused"}
	}
	refusal.RetryAfter = a.RetryAfter
	return nil, &refusal
}

// release reports the end of an admitted request to the queue and counts its demand.
func (p *Policy) release(r entry.Request, o entry.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rs := p.requests[r.ID]
	if rs == nil {
		return
	}
	delete(p.requests, r.ID)
	done := admit.Done{ID: r.ID, PromptTokens: rs.prompt, Failed: o.Ending != entry.Completed}
	if o.PromptTokens > 0 {
		done.PromptTokens = float64(o.PromptTokens)
	}
	if isLanguageRequest(r) {
		done.OutputTokens = float64(o.OutputTokens)
	}
	p.countDemand(r, done.OutputTokens)
	p.stepQueue(time.Now(), rs.pool, done)
}

// FirstByte reports to the router and to the queue that the response to a request has
// started.
func (p *Policy) FirstByte(id fleet.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	// A target that received the KV cache of the prompt did not perform the prefill,
	// so the time to its first token does not describe its speed.
	if rs := p.requests[id]; rs != nil && rs.chosen && !rs.routerHasFirstToken && !rs.decodeOnly {
		rs.routerHasFirstToken = true
		p.router.Step(now, route.FirstToken{Choice: rs.choice, Elapsed: now.Sub(rs.choice.Sent)})
	}
	p.reportFirstToken(now, id)
}

// reportFirstToken reports the first token of a request to its queue, once. The caller
// holds mu.
func (p *Policy) reportFirstToken(now time.Time, id fleet.RequestID) {
	rs := p.requests[id]
	if rs == nil || rs.queueHasFirstToken {
		return
	}
	rs.queueHasFirstToken = true
	p.stepQueue(now, rs.pool, admit.FirstToken{ID: id})
}

// tick reports first tokens whose assumed time has passed, and lets the queues reject
// requests that can no longer be served in time.
func (p *Policy) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, rs := range p.requests {
		if !rs.queueHasFirstToken && !rs.assumedFirstToken.IsZero() && !now.Before(rs.assumedFirstToken) {
			p.reportFirstToken(now, id)
		}
	}
	for name, ps := range p.pools {
		if due := ps.queue.Next(); !due.IsZero() && !now.Before(due) {
			p.stepQueue(now, name, admit.Tick{})
		}
	}
}

// stepQueue applies an event to the queue of the named pool and delivers the resulting
// decisions. It creates the queue if there is none. The caller holds mu.
func (p *Policy) stepQueue(now time.Time, name string, e admit.Event) {
	ps := p.pools[name]
	if ps == nil {
		ps = &poolState{queue: admit.New(admit.Options{Limits: &p.limits})}
		p.pools[name] = ps
		if p.index != nil {
			p.deliverDecisions(ps.queue.Step(now, admit.Configure{Customers: p.index.Customers(), Windows: p.index.General.Windows}))
		}
		p.updateCapacity(now, name, ps)
	}
	p.deliverDecisions(ps.queue.Step(now, e))
}

// deliverDecisions passes decisions to the waiting calls of Admit. The caller holds mu.
func (p *Policy) deliverDecisions(actions []admit.Action) {
	for _, a := range actions {
		if rs := p.requests[a.ID]; rs != nil {
			rs.decision <- a // never blocks: one decision per request, buffered
		}
	}
}

// updateCapacity sets the capacity of a queue to this entry's share of the pool's ready
// targets in the local region, or in all regions if the local one has none. The caller
// holds mu.
func (p *Policy) updateCapacity(now time.Time, name string, ps *poolState) {
	if p.index == nil {
		return
	}
	assumed := p.meanSpeeds(name)
	var local, total capacity
	for _, t := range p.index.PoolTargets(name) {
		if t.Phase != fleet.Ready {
			continue
		}
		s := p.speeds[t.Name]
		if s == (engineSpeed{}) && !p.subset.Contains(t.Name) {
			s = assumed[t.Role]
		}
		total.add(t, s)
		if t.Region == p.options.Region {
			local.add(t, s)
		}
	}
	if local.targets == 0 {
		local = total
	}
	p.deliverDecisions(ps.queue.Step(now, local.share(float64(p.shareParts)/state.ShareUnit)))
}

// capacity is the total capacity of a set of targets. Speeds are in tokens/s.
type capacity struct {
	targets, prefillTargets, slots, prefillSpeed, decodeSpeed float64
}

func (c *capacity) add(t fleet.Target, s engineSpeed) {
	if s.prefill <= 0 {
		s.prefill = assumedPrefillSpeed
	}
	if s.decode <= 0 {
		s.decode = assumedDecodeSpeed
	}
	c.targets++
	if t.Role != fleet.Decode {
		c.prefillTargets++
	}
	c.slots += float64(max(t.Slots, 1))
	c.prefillSpeed += s.prefill
	c.decodeSpeed += s.decode
}

// share returns a fraction of the capacity in the form that the queue uses.
func (c capacity) share(fraction float64) admit.Capacity {
	if c.targets == 0 {
		return admit.Capacity{}
	}
	return admit.Capacity{
		PrefillCost: c.targets / c.prefillSpeed, DecodeCost: c.targets / c.decodeSpeed,
		Targets: c.targets * fraction, Slots: max(c.slots*fraction, 1), PrefillTargets: c.prefillTargets * fraction,
	}
}

// applyShare applies the share of the customer limits and of the targets' capacity that
// control has granted to this entry.
func (p *Policy) applyShare(now time.Time, s state.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Parts != p.shareParts {
		p.options.Log.Info("share of customer limits changed", "parts", s.Parts, "of", state.ShareUnit, "expires", s.Expires)
	}
	p.shareParts, p.shareExpires = s.Parts, s.Expires
	p.grantLimits(now)
	for name, ps := range p.pools {
		p.updateCapacity(now, name, ps)
	}
}

// grantLimits applies this entry's share to the limits of each customer that has any.
// The caller holds mu.
func (p *Policy) grantLimits(now time.Time) {
	if p.index == nil || p.shareExpires.IsZero() {
		return
	}
	fraction := float64(p.shareParts) / state.ShareUnit
	var shares []admit.Share
	for _, c := range p.index.Customers() {
		if c.TokensPerSecond <= 0 && c.RequestsPerSec <= 0 {
			continue
		}
		shares = append(shares, admit.Share{
			Customer: c.Name, TokensPerSecond: scaleLimit(c.TokensPerSecond, fraction),
			RequestsPerSecond: scaleLimit(c.RequestsPerSec, fraction), Expires: p.shareExpires,
		})
	}
	p.limits.Grant(now, shares)
}

// scaleLimit returns a fraction of a limit. A limit of 0 in the configuration means
// unlimited, for which it returns infinity.
func scaleLimit(perSecond, fraction float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return perSecond * fraction
}

// maxOutputTokens returns the upper bound on the number of output tokens of a request, 0 if
// the caller has set none. Requests to plain services have no output tokens, but the
// queue interprets 0 as an unknown bound, so negligibleOutputTokens is returned for
// them.
func maxOutputTokens(r entry.Request) float64 {
	if !isLanguageRequest(r) {
		return negligibleOutputTokens
	}
	return float64(r.MaxOutputTokens)
}

// negligibleOutputTokens stands for zero output tokens where 0 means unknown.
const negligibleOutputTokens = 1e-6

// promptTokens estimates the number of prompt tokens from the size of the body. It is 0
// for a plain service.
func promptTokens(r entry.Request) float64 {
	if !isLanguageRequest(r) {
		return 0
	}
	return float64(r.BodyBytes) / bytesPerToken
}

func formatSpeed(s engineSpeed) string {
	return fmt.Sprintf("prefill=%.0f decode=%.0f tokens/s", s.prefill, s.decode)
}
