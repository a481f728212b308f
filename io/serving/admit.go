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

// pool is the queue of one pool of targets.
type pool struct{ queue *admit.Queue }

// refusals are what callers see of a refusal by the queue. All say that the
// request has not run.
var refusals = map[admit.Reason]entry.Refusal{
	admit.Late:      {Status: http.StatusServiceUnavailable, Type: "would-be-late", Title: "the answer would not be complete in the promised time"},
	admit.Full:      {Status: http.StatusServiceUnavailable, Type: "queue-full", Title: "too many requests wait"},
	admit.Limited:   {Status: http.StatusTooManyRequests, Type: "limit", Title: "the customer's limit is spent"},
	admit.Displaced: {Status: http.StatusServiceUnavailable, Type: "displaced", Title: "a more urgent request took the place of this one"},
}

// Admit waits until the request may start.
func (p *Policy) Admit(ctx context.Context, r entry.Request) (func(entry.Outcome), error) {
	now := time.Now()
	f := &flight{
		pool: r.Route.Pool, route: r.Route.Name, class: r.Route.Class,
		prompt: promptTokens(r), decided: make(chan admit.Action, 1),
	}
	p.mu.Lock()
	p.flights[r.ID] = f
	p.step(now, f.pool, admit.Submit{
		ID: r.ID, Customer: r.Customer, Route: f.route, Class: f.class, PromptTokens: f.prompt,
		MaxOutput: maxOutput(r), FirstTokenBy: firstTokenBy(r), Deadline: r.Deadline,
	})
	p.mu.Unlock()
	select {
	case a := <-f.decided:
		return p.decided(r, a)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(time.Now(), f.pool, admit.Cancel{ID: r.ID})
	delete(p.flights, r.ID)
	return nil, ctx.Err()
}

func (p *Policy) decided(r entry.Request, a admit.Action) (func(entry.Outcome), error) {
	if a.Reason == admit.Dispatch {
		return func(o entry.Outcome) { p.release(r, o) }, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(r, 0) // refused work is demand too
	delete(p.flights, r.ID)
	refusal, ok := refusals[a.Reason]
	if !ok {
		refusal = entry.Refusal{Status: http.StatusServiceUnavailable, Type: a.Reason.String(), Title: "the request was refused"}
	}
	refusal.RetryAfter = a.RetryAfter
	return nil, &refusal
}

// release ends an admitted request.
func (p *Policy) release(r entry.Request, o entry.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.flights[r.ID]
	if f == nil {
		return
	}
	delete(p.flights, r.ID)
	done := admit.Done{ID: r.ID, PromptTokens: f.prompt, Failed: o.Ending != entry.Answered}
	if o.PromptTokens > 0 {
		done.PromptTokens = float64(o.PromptTokens)
	}
	if isLanguage(r) {
		done.OutputTokens = float64(o.OutputTokens)
	}
	p.count(r, done.OutputTokens)
	p.step(time.Now(), f.pool, done)
}

// FirstByte notes that the answer to a request has begun.
func (p *Policy) FirstByte(id fleet.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	// The time to the first token at a target that got the KV cache of a prompt
	// says little about the target.
	if f := p.flights[id]; f != nil && f.chosen && !f.began && !f.decode {
		f.began = true
		p.router.Step(now, route.FirstToken{Choice: f.choice, Elapsed: now.Sub(f.choice.Sent)})
	}
	p.firstToken(now, id)
}

func (p *Policy) firstToken(now time.Time, id fleet.RequestID) {
	f := p.flights[id]
	if f == nil || f.first {
		return
	}
	f.first = true
	p.step(now, f.pool, admit.FirstToken{ID: id})
}

// tick lets waiting requests move on.
func (p *Policy) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, f := range p.flights {
		if !f.first && !f.firstBy.IsZero() && !now.Before(f.firstBy) {
			p.firstToken(now, id)
		}
	}
	for name, q := range p.pools {
		if due := q.queue.Next(); !due.IsZero() && !now.Before(due) {
			p.step(now, name, admit.Tick{})
		}
	}
}

// step applies an event to a pool's queue and tells the requests that it
// decides about.
func (p *Policy) step(now time.Time, name string, e admit.Event) {
	q := p.pools[name]
	if q == nil {
		q = &pool{queue: admit.New(admit.Options{Limits: &p.limits})}
		p.pools[name] = q
		if p.index != nil {
			p.apply(q.queue.Step(now, admit.Configure{Customers: p.index.Customers(), Windows: p.index.General.Windows}))
		}
		p.resize(now, name, q)
	}
	p.apply(q.queue.Step(now, e))
}

func (p *Policy) apply(actions []admit.Action) {
	for _, a := range actions {
		if f := p.flights[a.ID]; f != nil {
			f.decided <- a // one decision for each request
		}
	}
}

// resize tells a queue what this entry may use of its pool: its share of the
// ready targets of the own region, or of all if the region has none.
func (p *Policy) resize(now time.Time, name string, q *pool) {
	if p.index == nil {
		return
	}
	assumed := p.assumed(name)
	var near, all capacity
	for _, t := range p.index.Pool(name) {
		if t.Phase != fleet.Ready {
			continue
		}
		s := p.speeds[t.Name]
		if s == (speed{}) && !p.subset.Contains(t.Name) {
			s = assumed[t.Role]
		}
		all.add(t, s)
		if t.Region == p.o.Region {
			near.add(t, s)
		}
	}
	if near.targets == 0 {
		near = all
	}
	p.apply(q.queue.Step(now, near.event(float64(p.parts)/state.ShareUnit)))
}

// capacity sums up targets.
type capacity struct {
	targets, prefilling, slots, prefill, decode float64
}

func (c *capacity) add(t fleet.Target, s speed) {
	if s.prefill <= 0 {
		s.prefill = assumedPrefillSpeed
	}
	if s.decode <= 0 {
		s.decode = assumedDecodeSpeed
	}
	c.targets++
	if t.Role != fleet.Decode {
		c.prefilling++
	}
	c.slots += float64(max(t.Slots, 1))
	c.prefill += s.prefill
	c.decode += s.decode
}

func (c capacity) event(part float64) admit.Capacity {
	if c.targets == 0 {
		return admit.Capacity{}
	}
	return admit.Capacity{
		PrefillCost: c.targets / c.prefill, DecodeCost: c.targets / c.decode,
		Targets: c.targets * part, Slots: max(c.slots*part, 1), PrefillTargets: c.prefilling * part,
	}
}

// takeShare spends a new share of the customer limits.
func (p *Policy) takeShare(now time.Time, s state.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Parts != p.parts {
		p.o.Log.Info("share of the limits changed", "parts", s.Parts, "of", state.ShareUnit, "expires", s.Expires)
	}
	p.parts, p.share = s.Parts, s.Expires
	p.grant(now)
	for name, q := range p.pools {
		p.resize(now, name, q)
	}
}

// grant gives limited customers their part of the share.
func (p *Policy) grant(now time.Time) {
	if p.index == nil || p.share.IsZero() {
		return
	}
	part := float64(p.parts) / state.ShareUnit
	var shares []admit.Share
	for _, c := range p.index.Customers() {
		if c.TokensPerSecond <= 0 && c.RequestsPerSec <= 0 {
			continue
		}
		shares = append(shares, admit.Share{
			Customer: c.Name, TokensPerSecond: limit(c.TokensPerSecond, part),
			RequestsPerSecond: limit(c.RequestsPerSec, part), Expires: p.share,
		})
	}
	p.limits.Grant(now, shares)
}

// limit returns a part of a limit; 0 stands for none in the configuration.
func limit(perSecond, part float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return perSecond * part
}

// maxOutput bounds the estimate of the answer. A plain service produces no
// tokens; the queue takes 0 for a bound that is not known.
func maxOutput(r entry.Request) float64 {
	if !isLanguage(r) {
		return noTokens
	}
	return float64(r.MaxOutput)
}

// noTokens is a bound that is next to nothing.
const noTokens = 1e-6

func promptTokens(r entry.Request) float64 {
	if !isLanguage(r) {
		return 0
	}
	return float64(r.BodyBytes) / bytesPerToken
}

func describe(s speed) string {
	return fmt.Sprintf("prefill=%.0f decode=%.0f tokens/s", s.prefill, s.decode)
}
