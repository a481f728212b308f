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

// pool holds the admission queue of one pool of targets.
type pool struct{ queue *admit.Queue }

// rejections are the responses to requests that the queue has rejected. Their status
// codes state that the request has not been executed.
var rejections = map[admit.Decision]entry.Refusal{
	admit.Late:      {Status: http.StatusServiceUnavailable, Type: "would-be-late", Title: "the answer would not be complete in the promised time"},
	admit.Full:      {Status: http.StatusServiceUnavailable, Type: "queue-full", Title: "too many requests wait"},
	admit.Limited:   {Status: http.StatusTooManyRequests, Type: "limit", Title: "the customer's limit is spent"},
	admit.Displaced: {Status: http.StatusServiceUnavailable, Type: "displaced", Title: "a more urgent request took the place of this one"},
}

// Admit blocks until the request may start, and returns a function that must be called
// with its outcome. A rejected request gives an *entry.Refusal.
func (p *Policy) Admit(ctx context.Context, r entry.Request) (func(entry.Outcome), error) {
	now := time.Now()
	f := &requestState{
		pool: r.Route.Pool, route: r.Route.Name, class: r.Route.Class,
		prompt: promptTokens(r), decision: make(chan admit.Action, 1),
	}
	p.mu.Lock()
	p.requests[r.ID] = f
	p.stepQueue(now, f.pool, admit.Submit{
		ID: r.ID, Customer: r.Customer, Route: f.route, Class: f.class, PromptTokens: f.prompt,
		MaxOutput: maxOutput(r), FirstTokenBy: firstTokenBy(r), Deadline: r.Deadline,
	})
	p.mu.Unlock()
	select {
	case a := <-f.decision:
		return p.handleDecision(r, a)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepQueue(time.Now(), f.pool, admit.Cancel{ID: r.ID})
	delete(p.requests, r.ID)
	return nil, ctx.Err()
}

func (p *Policy) handleDecision(r entry.Request, a admit.Action) (func(entry.Outcome), error) {
	if a.Reason == admit.Dispatch {
		return func(o entry.Outcome) { p.release(r, o) }, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countDemand(r, 0) // rejected requests are demand too
	delete(p.requests, r.ID)
	refusal, ok := rejections[a.Reason]
	if !ok {
		refusal = entry.Refusal{Status: http.StatusServiceUnavailable, Type: a.Reason.String(), Title: "the request was refused"}
	}
	refusal.RetryAfter = a.RetryAfter
	return nil, &refusal
}

// release completes an admitted request.
func (p *Policy) release(r entry.Request, o entry.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.requests[r.ID]
	if f == nil {
		return
	}
	delete(p.requests, r.ID)
	done := admit.Done{ID: r.ID, PromptTokens: f.prompt, Failed: o.Ending != entry.Answered}
	if o.PromptTokens > 0 {
		done.PromptTokens = float64(o.PromptTokens)
	}
	if isLanguageRequest(r) {
		done.OutputTokens = float64(o.OutputTokens)
	}
	p.countDemand(r, done.OutputTokens)
	p.stepQueue(time.Now(), f.pool, done)
}

// FirstByte records that the response to a request has started.
func (p *Policy) FirstByte(id fleet.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	// The time to first token of a target that received the KV cache is not
	// representative of the target.
	if f := p.requests[id]; f != nil && f.chosen && !f.firstTokenReported && !f.decodeOnly {
		f.firstTokenReported = true
		p.router.Step(now, route.FirstToken{Choice: f.choice, Elapsed: now.Sub(f.choice.Sent)})
	}
	p.firstToken(now, id)
}

func (p *Policy) firstToken(now time.Time, id fleet.RequestID) {
	f := p.requests[id]
	if f == nil || f.firstTokenSeen {
		return
	}
	f.firstTokenSeen = true
	p.stepQueue(now, f.pool, admit.FirstToken{ID: id})
}

// tick handles queue deadlines and assumed first tokens that are due.
func (p *Policy) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, f := range p.requests {
		if !f.firstTokenSeen && !f.assumedFirstToken.IsZero() && !now.Before(f.assumedFirstToken) {
			p.firstToken(now, id)
		}
	}
	for name, q := range p.pools {
		if due := q.queue.Next(); !due.IsZero() && !now.Before(due) {
			p.stepQueue(now, name, admit.Tick{})
		}
	}
}

// stepQueue applies an event to a pool's queue and delivers the resulting decisions.
// The caller holds mu.
func (p *Policy) stepQueue(now time.Time, name string, e admit.Event) {
	q := p.pools[name]
	if q == nil {
		q = &pool{queue: admit.New(admit.Options{Limits: &p.limits})}
		p.pools[name] = q
		if p.index != nil {
			p.deliverDecisions(q.queue.Step(now, admit.Configure{Customers: p.index.Customers(), Windows: p.index.General.Windows}))
		}
		p.updateCapacity(now, name, q)
	}
	p.deliverDecisions(q.queue.Step(now, e))
}

func (p *Policy) deliverDecisions(actions []admit.Action) {
	for _, a := range actions {
		if f := p.requests[a.ID]; f != nil {
			f.decision <- a // never blocks: one decision per request, buffered
		}
	}
}

// updateCapacity sets the capacity of a queue to this entry's share of the pool's ready
// targets in the local region, or in all regions if the local one has none. The caller
// holds mu.
func (p *Policy) updateCapacity(now time.Time, name string, q *pool) {
	if p.index == nil {
		return
	}
	assumed := p.meanSpeeds(name)
	var near, all capacity
	for _, t := range p.index.Pool(name) {
		if t.Phase != fleet.Ready {
			continue
		}
		s := p.speeds[t.Name]
		if s == (engineSpeed{}) && !p.subset.Contains(t.Name) {
			s = assumed[t.Role]
		}
		all.add(t, s)
		if t.Region == p.options.Region {
			near.add(t, s)
		}
	}
	if near.targets == 0 {
		near = all
	}
	p.deliverDecisions(q.queue.Step(now, near.admitCapacity(float64(p.shareParts)/state.ShareUnit)))
}

// capacity is the total capacity of a set of targets.
type capacity struct {
	targets, prefillTargets, slots, prefill, decode float64
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
	c.prefill += s.prefill
	c.decode += s.decode
}

func (c capacity) admitCapacity(part float64) admit.Capacity {
	if c.targets == 0 {
		return admit.Capacity{}
	}
	return admit.Capacity{
		PrefillCost: c.targets / c.prefill, DecodeCost: c.targets / c.decode,
		Targets: c.targets * part, Slots: max(c.slots*part, 1), PrefillTargets: c.prefillTargets * part,
	}
}

// applyShare applies a new share of the customer limits.
func (p *Policy) applyShare(now time.Time, s state.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Parts != p.shareParts {
		p.options.Log.Info("share of customer limits changed", "parts", s.Parts, "of", state.ShareUnit, "expires", s.Expires)
	}
	p.shareParts, p.shareExpires = s.Parts, s.Expires
	p.grantLimits(now)
	for name, q := range p.pools {
		p.updateCapacity(now, name, q)
	}
}

// grantLimits sets this entry's part of the limit of each limited customer. The caller
// holds mu.
func (p *Policy) grantLimits(now time.Time) {
	if p.index == nil || p.shareExpires.IsZero() {
		return
	}
	part := float64(p.shareParts) / state.ShareUnit
	var shares []admit.Share
	for _, c := range p.index.Customers() {
		if c.TokensPerSecond <= 0 && c.RequestsPerSec <= 0 {
			continue
		}
		shares = append(shares, admit.Share{
			Customer: c.Name, TokensPerSecond: scaleLimit(c.TokensPerSecond, part),
			RequestsPerSecond: scaleLimit(c.RequestsPerSec, part), Expires: p.shareExpires,
		})
	}
	p.limits.Grant(now, shares)
}

// scaleLimit returns the given part of a limit. A limit of 0 in the configuration means
// unlimited.
func scaleLimit(perSecond, part float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return perSecond * part
}

// maxOutput returns the upper bound on the number of output tokens. A plain service
// produces none, but the queue interprets 0 as an unknown bound, so
// negligibleOutputTokens is returned for it.
func maxOutput(r entry.Request) float64 {
	if !isLanguageRequest(r) {
		return negligibleOutputTokens
	}
	return float64(r.MaxOutput)
}

// negligibleOutputTokens is a bound that is practically zero.
const negligibleOutputTokens = 1e-6

func promptTokens(r entry.Request) float64 {
	if !isLanguageRequest(r) {
		return 0
	}
	return float64(r.BodyBytes) / bytesPerToken
}

func formatSpeed(s engineSpeed) string {
	return fmt.Sprintf("prefill=%.0f decode=%.0f tokens/s", s.prefill, s.decode)
}
