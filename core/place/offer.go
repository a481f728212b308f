package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

const (
	// staleAfter is the time since the last announcement after which other
	// targets are preferred. Announcements are sent about once a second and
	// some arrive late.
	staleAfter = 6 * time.Second
	// slotOversubscription is the number of requests per slot that all gateways
	// together may run at a target. It exceeds one because load is uneven
	// between gateways.
	slotOversubscription = 2
	// minInFlight is the number of requests that a gateway may always run at a
	// target, however small its share of the slots.
	minInFlight = 3
	// defaultRegionRTT and defaultCentreRTT are the assumed round-trip times to
	// a target in another region, or in another data centre of the region, to
	// which no connection has been made yet.
	defaultRegionRTT = 40 * time.Millisecond
	defaultCentreRTT = 2 * time.Millisecond
	// centreTransferFactor and regionTransferFactor are how many times longer a
	// KV cache transfer takes to another data centre and to another region.
	centreTransferFactor = 2
	regionTransferFactor = 10
	// minAffinityShare is the part of the objective that processing the shared tokens of
	// a prompt must take at a decode engine for its KV cache to be sent to the engine
	// that will be asked to process the next prompt with these tokens.
	minAffinityShare = 0.1
	// decodePrefillSpeed is the prefill speed of a decode engine relative to a
	// prefill engine: it runs at half the speed, in chunks of a quarter of the
	// size, each of which costs an engine step.
	decodePrefillSpeed = 0.35
	// maxPauseShare is the part of the objective for pauses between events that a
	// decode engine may spend on one prompt. The rest is for its decode steps and
	// for the prompts of other gateways.
	maxPauseShare = 0.25
	// maxRarePauseShare is the same in a pool whose average prompt takes less than
	// maxPauseShare, where few prompts come near it.
	maxRarePauseShare = 0.5
	// maxRetryDelay bounds the delay after which refused callers are told to
	// retry, because load changes within seconds.
	maxRetryDelay = 3 * time.Second
	// defaultRetryDelay is the retry delay while the service rate is unknown.
	defaultRetryDelay = time.Second
)

// waiter is a queued request.
type waiter struct {
	id      uint64
	request Request
	expires time.Time // when the request must be withdrawn
	flow    *flow     // of its customer and rank
	granted bool
}

// Offer decides what happens to a request. If the decision is Wait, id
// identifies the request in later grants and in Withdraw. A request that is
// already prefilled does not wait behind queued requests.
func (p *Placer) Offer(now time.Time, id uint64, req Request) Decision {
	x := p.pool(req.Pool)
	if !x.canServe(req) {
		return Decision{Action: Refuse, Reason: NoTarget, RetryAt: now.Add(defaultRetryDelay)}
	}
	if req.Split {
		x.observePrompt(req.Prompt)
	}
	x.observeSize(req)
	if req.Split && x.placesByWork() {
		x.counters.PromptTokens += uint64(max(0, p.uncachedTokens(now, req)))
	}
	c, position := x.fair.flow(now, req), x.positionOf(req)
	ahead := position.ahead
	if ahead == 0 || req.CacheFrom != "" {
		if t := p.pick(now, x, req); t != nil {
			x.fair.charge(now, c, req)
			return Decision{Action: Send, Choice: p.assign(now, x, t, req)}
		}
	}
	at, until := p.expectedAdmission(now, x, req, p.admissions(now, x, req, position)), p.waitDeadline(now, x, req)
	if at.After(until) {
		x.countDelayed(req)
		return Decision{Action: Refuse, Reason: Full, RetryAt: p.retryTime(now, x, req, at), Queue: ahead}
	}
	x.enqueue(waiter{id: id, request: req, expires: until, flow: c})
	return Decision{Action: Wait, Until: until, Queue: ahead}
}

// admissionDeadline returns the time by which the request must be sent to a
// target. The rest of the objective is left for the target to answer. Without
// an objective, it is the deadline of the request.
func (req Request) admissionDeadline() time.Time {
	at := req.Start.Add(time.Duration(maxWaitShare * float64(req.Objective)))
	if req.Objective <= 0 || req.Deadline.Before(at) {
		return req.Deadline
	}
	return at
}

// waitDeadline returns the time until which req may be queued. A target is then
// still expected to answer it in time, given the recent latency of the targets.
func (p *Placer) waitDeadline(now time.Time, x *pool, req Request) time.Time {
	latest := req.admissionDeadline()
	if req.Objective <= 0 {
		return latest
	}
	at := req.Start.Add(req.Objective - p.expectedLatency(now, x, req))
	if at.Before(latest) {
		return at
	}
	return latest
}

// expectedLatency returns the expected time from admission to the first event. The
// shared tokens of a prompt are expected to be cached.
func (p *Placer) expectedLatency(now time.Time, x *pool, req Request) time.Duration {
	tokens := req.Prompt.Unique
	if req.CacheFrom != "" {
		tokens = 0
	}
	decode := p.usable(now, x, req, false)
	if req.Affinity == "" {
		if t := p.cheapest(decode, req); t != nil {
			return t.expectedFirstEvent(&x.speed, tokens)
		}
		return 0
	}
	decodeTarget := rendezvous(decode, req.Affinity)
	if decodeTarget == nil {
		return 0
	}
	if req.Split {
		candidates := p.usable(now, x, req, true)
		if len(candidates) == 0 || x.mayPrefillAtDecode(req) {
			candidates = append(candidates, decode...)
		}
		prefillTarget := rendezvous(candidates, req.Affinity)
		if prefillTarget.record.Role == fleet.Prefill {
			return prefillTarget.expectedFirstEvent(&x.speed, tokens) + decodeTarget.expectedFirstEvent(&x.speed, 0)
		}
		return prefillTarget.expectedFirstEvent(&x.speed, tokens)
	}
	return decodeTarget.expectedFirstEvent(&x.speed, tokens)
}

// canServe reports whether any target of the pool is eligible for req.
func (x *pool) canServe(req Request) bool {
	return slices.ContainsFunc(x.targets, func(t *target) bool { return t.eligible(req, false) })
}

// eligible reports whether t may serve req according to its announcement. If
// prefill is set, only prefill engines are eligible, and otherwise only other
// targets.
func (t *target) eligible(req Request, prefill bool) bool {
	return t.record.Condition == roster.Ready && t.goneAt.IsZero() && !t.leaving && (t.record.Role == fleet.Prefill) == prefill &&
		!slices.Contains(req.Exclude, t.record.Target)
}

// wantsRequests reports whether t may be sent requests at now at all.
func (t *target) wantsRequests(now time.Time) bool {
	return !t.changingRole(now) && !now.Before(t.retryAt) && t.namedLimit.admits(now)
}

// nextWanted returns when t takes the next request as far as it has said itself. The time
// may have passed.
func (t *target) nextWanted() time.Time {
	if t.namedLimit.perSecond > 0 && t.namedLimit.next.After(t.retryAt) {
		return t.namedLimit.next
	}
	return t.retryAt
}

// healthy reports whether t is expected to serve a request that is sent at now.
func (t *target) healthy(now time.Time) bool {
	return t.wantsRequests(now) && !now.Before(t.ejectedUntil) && !now.Before(t.fullUntil) &&
		now.Sub(t.record.Heard) <= staleAfter && !t.probing()
}

// enqueue inserts w by rank, then by expiry, then in order of arrival. The order of service
// differs if customers compete.
func (x *pool) enqueue(w waiter) {
	at, _ := slices.BinarySearchFunc(x.waiting, w, func(v, w waiter) int {
		if c := cmp.Compare(v.request.Rank, w.request.Rank); c != 0 {
			return c
		}
		if c := v.expires.Compare(w.expires); c != 0 {
			return c
		}
		return -1 // FIFO among equals
	})
	x.waiting = slices.Insert(x.waiting, at, w)
	x.fair.join(w.flow)
}

// Withdraw removes a request from the queue of the named pool. It returns the
// time at which capacity is expected, or false if the request is no longer
// queued.
func (p *Placer) Withdraw(now time.Time, id uint64, poolName string) (time.Time, bool) {
	x := p.pool(poolName)
	at := slices.IndexFunc(x.waiting, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return time.Time{}, false
	}
	w := x.waiting[at]
	x.waiting = slices.Delete(x.waiting, at, at+1)
	x.fair.leave(w.flow)
	x.countDelayed(w.request)
	n := at + 1
	if x.fair.contested(w.request) {
		n = p.admissions(now, x, w.request, x.positionOf(w.request))
	}
	return p.retryTime(now, x, w.request, p.expectedAdmission(now, x, w.request, n)), true
}

// countDelayed counts a refused request with a prompt that decode engines cannot
// prefill. For others, engines of both roles have been busy.
func (x *pool) countDelayed(req Request) {
	if req.Split && x.longPrompts(req.MaxPause) {
		x.counters.Delayed++
		x.counters.Refused++
	}
}

// retryTime returns when a refused caller should retry: at, when capacity is
// expected, or one admission after the caller of the same customer and rank that was
// refused last, whichever is later, but within maxRetryDelay.
func (p *Placer) retryTime(now time.Time, x *pool, req Request, at time.Time) time.Time {
	interval := p.expectedAdmission(now, x, req, x.retrySpacing(now, req)).Sub(now)
	if next := x.lastRetry(now, req).Add(interval); next.After(at) {
		at = next
	}
	if longest := now.Add(maxRetryDelay); at.After(longest) {
		at = longest
	}
	x.setLastRetry(now, req, at)
	return at
}

// expectedAdmission returns when the n-th request from now can be admitted. By
// Little's law, a target serves as many requests as its limit in the time to a
// first event.
func (p *Placer) expectedAdmission(now time.Time, x *pool, req Request, n int) time.Time {
	if req.Split && p.usesBacklog(now, x, req) {
		return p.expectedByBacklog(now, x, req, n)
	}
	var perSecond float64 // admissions per second
	for _, prefill := range []bool{false, true} {
		if prefill && !req.Split {
			continue
		}
		for _, t := range p.usable(now, x, req, prefill) {
			perSecond += p.admissionRate(t)
		}
	}
	if perSecond == 0 {
		return p.nextUsable(now, x, req)
	}
	return now.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
}

// admissionRate returns the requests per second that t is expected to admit.
func (p *Placer) admissionRate(t *target) float64 {
	rate := t.limit / t.expectedLatency().Seconds()
	if t.namedLimit.perSecond > 0 {
		rate = min(rate, t.namedLimit.share(p.limitGateways))
	}
	return rate
}

// nextUsable returns when a request can be admitted although no target is usable now: once
// the first of those that have asked for no requests, or for fewer, wants some again.
func (p *Placer) nextUsable(now time.Time, x *pool, req Request) time.Time {
	var earliest time.Time
	for _, t := range x.targets {
		at := t.nextWanted()
		if now.Before(at) && t.eligible(req, false) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	if earliest.IsZero() {
		return now.Add(defaultRetryDelay)
	}
	return earliest
}

// grantWaiting admits queued requests while their targets have capacity.
func (p *Placer) grantWaiting(now time.Time, x *pool) []Grant {
	if len(x.waiting) == 0 {
		return nil
	}
	var out []Grant
	for _, turn := range x.serviceOrder() {
		w := &x.waiting[turn.index]
		t := p.pick(now, x, w.request)
		if t == nil {
			continue
		}
		w.granted = true
		x.fair.charge(now, w.flow, w.request)
		x.fair.leave(w.flow)
		out = append(out, Grant{ID: w.id, Choice: p.assign(now, x, t, w.request)})
	}
	if len(out) > 0 {
		x.waiting = slices.DeleteFunc(x.waiting, func(w waiter) bool { return w.granted })
	}
	return out
}

// assign accounts for a request that is sent to t.
func (p *Placer) assign(now time.Time, x *pool, t *target, req Request) Choice {
	t.inFlight++
	t.unanswered++
	t.lastSent = now
	t.namedLimit.take(now, p.limitGateways)
	c := Choice{Target: t.record}
	if req.CacheFrom == "" {
		source, cached := p.prefixSource(now, x, t, req)
		c.Uncached = req.Prompt.Unique
		if !cached {
			c.Uncached = req.Prompt.Tokens
		}
		if source != nil {
			c.FetchFrom = source.record.Address
		}
		if t.record.Role == fleet.Prefill {
			took, _ := x.speed.time(c.Uncached)
			x.inflow.add(now, took+x.overhead.minimum())
		}
		if x.placesByWork() {
			c.Expected = x.workTime(t, t.backlog().with(c.Uncached))
		}
		t.own = t.own.with(c.Uncached)
	} else {
		c.Transfer = p.transferTime(req, t)
	}
	return c
}

// pick returns a target with free capacity, or nil if there is none. A long prompt
// that would pause the streams of a decode engine for too long is prefilled by a
// prefill engine while there is one.
func (p *Placer) pick(now time.Time, x *pool, req Request) *target {
	free := p.usable(now, x, req, false)
	if x.placesByWork() && !req.Split {
		return p.pickByWork(now, x, free, req)
	}
	if req.Split {
		prefill := p.usable(now, x, req, true)
		atDecode := len(prefill) == 0 || x.mayPrefillAtDecode(req)
		candidates := prefill
		if atDecode {
			candidates = append(slices.Clone(free), prefill...)
		}
		if !atDecode && p.prefillOverloaded(now, x, prefill, req) {
			if t := p.pickIdleDecode(x, free, req); t != nil {
				return t
			}
		}
		if t := p.pickPrefill(now, x, candidates, prefill, req); t != nil {
			return t
		}
		if !atDecode {
			return nil
		}
	}
	if req.Affinity != "" && (req.CacheFrom == "" || x.keepsPrefixAtDecode(req)) {
		// As below, a prefilled request is admitted regardless of the limit.
		if t := rendezvous(free, req.Affinity); t != nil && (req.CacheFrom != "" || p.hasCapacity(now, t)) {
			return t
		}
		return nil
	}
	// A request that is already prefilled is admitted regardless of the limit,
	// so that the prefill is not wasted. Importing its KV cache costs a decode
	// engine little.
	if req.CacheFrom == "" {
		free = slices.DeleteFunc(free, func(t *target) bool { return !p.hasCapacity(now, t) })
	}
	return p.cheapest(free, req)
}

// mayPrefillAtDecode reports whether a decode engine may prefill the prompt of req
// between the events of its streams. The shared tokens are expected to be cached.
func (x *pool) mayPrefillAtDecode(req Request) bool {
	share := maxPauseShare
	if !x.longPrompts(req.MaxPause) {
		share = maxRarePauseShare
	}
	return x.fitsPause(req.Prompt.Unique, req.MaxPause, share)
}

// fitsPause reports whether a decode engine processes a number of tokens within a share
// of the objective for pauses.
func (x *pool) fitsPause(tokens int, maxPause time.Duration, share float64) bool {
	if maxPause <= 0 {
		return true
	}
	took, ok := x.speed.time(tokens)
	return ok && float64(took)/decodePrefillSpeed <= share*float64(maxPause)
}

// cheapest returns the target with the lowest cost, or nil if the list is
// empty.
func (p *Placer) cheapest(list []*target, req Request) *target {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(s, t *target) int { return cmp.Compare(p.cost(s, req), p.cost(t, req)) })
}

// usable returns the targets that may serve req. Stale, ejected, full and probed
// targets are returned only if there is no healthy one, and never for prefill. Targets
// that have asked for no requests, or whose named limit is used up, are not returned.
func (p *Placer) usable(now time.Time, x *pool, req Request, prefill bool) []*target {
	var healthy, fallback []*target
	for _, t := range x.targets {
		if !t.eligible(req, prefill) || !t.wantsRequests(now) {
			continue
		}
		if t.healthy(now) {
			healthy = append(healthy, t)
		} else {
			fallback = append(fallback, t)
		}
	}
	if len(healthy) == 0 && !prefill {
		healthy = fallback
	}
	return healthy
}

// hasCapacity reports whether t can take another request of this gateway.
func (p *Placer) hasCapacity(now time.Time, t *target) bool {
	at, ok := t.nextAdmission()
	return ok && !now.Before(at) && t.inFlight < p.slotShare(t)
}

// slotShare returns the number of requests that this gateway may run at t.
func (p *Placer) slotShare(t *target) int {
	return max(minInFlight, slotOversubscription*t.record.Slots/p.gateways)
}

// HasSpare reports whether a healthy target has capacity for req now and has not refused the
// last request, so that req can be expected to run at once if it is sent.
func (p *Placer) HasSpare(now time.Time, req Request) bool {
	return p.spare(now, p.pool(req.Pool), req) != nil
}

// TakeSpare assigns req to a target of which HasSpare holds. It returns false if there is none.
func (p *Placer) TakeSpare(now time.Time, req Request) (Choice, bool) {
	x := p.pool(req.Pool)
	t := p.spare(now, x, req)
	if t == nil {
		return Choice{}, false
	}
	x.fair.charge(now, x.fair.flow(now, req), req)
	return p.assign(now, x, t, req), true
}

// spare returns the cheapest target that can be expected to run req at once, or nil.
func (p *Placer) spare(now time.Time, x *pool, req Request) *target {
	if !req.Resumes && x.countAhead(req) > 0 {
		return nil
	}
	var list []*target
	for _, t := range x.targets {
		if t.eligible(req, false) && t.healthy(now) && (req.Resumes || t.rejections == 0) && p.hasCapacity(now, t) {
			list = append(list, t)
		}
	}
	return p.cheapest(list, req)
}

// NextWake returns the earliest time at which a target admits a queued request without any
// further event, by its limit or since it wants requests again, or zero if there is none.
// The time may have passed already.
func (p *Placer) NextWake(now time.Time) time.Time {
	var earliest time.Time
	for _, x := range p.pools {
		if len(x.waiting) == 0 {
			continue
		}
		for _, t := range x.targets {
			at, ok := t.nextAdmission()
			if wanted := t.nextWanted(); wanted.After(now) && wanted.After(at) {
				at = wanted
			}
			if ok && !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
				earliest = at
			}
		}
	}
	return earliest
}

// Tick admits the queued requests that have capacity at now.
func (p *Placer) Tick(now time.Time) []Grant {
	var out []Grant
	for _, x := range p.pools {
		out = append(out, p.grantWaiting(now, x)...)
	}
	return out
}

// keepsPrefixAtDecode reports whether the decode engine that imports the KV cache should
// be the one that prefills prompts with the same prefix, rather than the nearest.
func (x *pool) keepsPrefixAtDecode(req Request) bool {
	if !x.mayPrefillAtDecode(req) {
		return false
	}
	took, ok := x.speed.time(req.Prompt.Tokens - req.Prompt.Unique)
	return !ok || float64(took)/decodePrefillSpeed >= minAffinityShare*float64(req.Objective)
}

// pickPrefill returns the engine that prefills a long prompt, or nil if none has
// capacity. With a shared prefix, this is its rendezvous target among the candidates,
// so that each prefix is cached once. If that is busy or a prefill engine, the choice
// among the prefill engines is by their backlogs. If these are unknown, it is the
// rendezvous target among the prefill engines, or the cheapest one without a prefix.
func (p *Placer) pickPrefill(now time.Time, x *pool, candidates, prefill []*target, req Request) *target {
	known := p.usesBacklog(now, x, req)
	if req.Affinity != "" {
		t := rendezvous(candidates, req.Affinity)
		if t != nil && (!known || t.record.Role != fleet.Prefill) && p.hasCapacity(now, t) {
			return t
		}
	}
	switch {
	case known:
		return p.pickByBacklog(now, x, prefill, req)
	case req.Affinity == "":
		return p.cheapest(slices.DeleteFunc(prefill, func(t *target) bool { return !p.hasCapacity(now, t) }), req)
	}
	if t := rendezvous(prefill, req.Affinity); t != nil && p.hasCapacity(now, t) {
		return t
	}
	return nil
}

// rendezvous returns the target with the highest weight for prefix, or nil if
// the list is empty.
func rendezvous(list []*target, prefix string) *target {
	var best *target
	var highest float64
	for _, t := range list {
		if w := rendezvousWeight(t, prefix); best == nil || w > highest {
			best, highest = t, w
		}
	}
	return best
}

// rendezvousWeight returns the weight of t for prefix. Each target gets a share
// of the prefixes in proportion to its prefill speed.
func rendezvousWeight(t *target, prefix string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(t.record.Target))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prefix)
	// A uniform number between zero and one, both excluded.
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	speed := t.promptWeight()
	if t.record.Role == fleet.Decode {
		speed *= decodePrefillSpeed
	}
	return -speed / math.Log(u)
}

// cost returns the expected time until t can begin with req: the network round
// trip, the requests of this gateway in flight at t, and the transfer of the KV
// cache.
func (p *Placer) cost(t *target, req Request) time.Duration {
	share := max(1, t.record.Slots/p.gateways)
	cost := p.rttTo(t) + t.expectedLatency()*time.Duration(t.inFlight)/time.Duration(share)
	if req.CacheFrom != "" {
		cost += p.transferTime(req, t)
	}
	return cost
}

// transferTime returns the time to transfer the KV cache of req to t.
func (p *Placer) transferTime(req Request, t *target) time.Duration {
	return req.TransferTime * time.Duration(p.transferFactor(req.CacheFrom, t.record.DataCentre))
}

// transferFactor returns how many times longer a KV cache transfer takes than
// within one data centre.
func (p *Placer) transferFactor(from, to fleet.DataCentre) int {
	switch {
	case from == to:
		return 1
	case p.regions[from] == p.regions[to]:
		return centreTransferFactor
	}
	return regionTransferFactor
}

// rttTo returns the network round-trip time to t.
func (p *Placer) rttTo(t *target) time.Duration {
	switch {
	case t.rtt > 0:
		return t.rtt
	case t.record.DataCentre == p.self:
		return 0
	case p.regions[t.record.DataCentre] == p.regions[p.self]:
		return defaultCentreRTT
	}
	return defaultRegionRTT
}
