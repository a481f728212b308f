package place

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// The gateways tell each other, by way of the registry, how many prompt tokens each of
// them has outstanding at each prefill engine. With that, a gateway knows the wait at an
// engine in advance. Without it, it learns of a queue only by the latency of its own
// requests, of which it sends an engine less than one a second where many gateways
// share many engines with prompts of very different lengths.

const (
	// backlogTTL is how long reported backlogs are used. They are reported several
	// times a second.
	backlogTTL = 1500 * time.Millisecond
	// sharedMissShare is the part of the shared tokens of a prompt that is expected to
	// be processed, on average.
	sharedMissShare = 0.2
	// minWaitShare is the part of the objective for which a prompt may wait at an engine
	// even if it is late then. Without it, prompts that take longer than the objective
	// would never be served.
	minWaitShare = 0.1
	// maxHolderWait is the part of the objective by which a prompt may wait longer at an
	// engine that has its shared tokens cached. Every copy of a prefix takes cache from
	// other prefixes, so prompts leave the holder only if it is overloaded.
	maxHolderWait = 0.15
	// admissionShare is the part of the time until the objective that a prompt may wait
	// at an engine. The rest covers what has not been reported yet.
	admissionShare = 0.5
	// similarCostShare is the part of the objective up to which a difference in cost does
	// not decide between engines. Gateways would all choose the same engine otherwise,
	// the nearest of the idle ones, until they learn of each other's choices.
	similarCostShare = 0.05
	// minFetchTime is the time that fetching a KV cache takes besides its transfer.
	minFetchTime = 5 * time.Millisecond
)

// Backlog is an amount of prompts that prefill engines have not processed yet.
type Backlog struct {
	Prompts int
	Tokens  int // expected to be processed
}

func (b Backlog) with(tokens int) Backlog {
	if tokens == 0 {
		return b
	}
	return Backlog{b.Prompts + 1, b.Tokens + tokens}
}

func (b Backlog) without(tokens int) Backlog {
	if tokens == 0 {
		return b
	}
	return Backlog{max(0, b.Prompts-1), max(0, b.Tokens-tokens)}
}

// SetBacklogs replaces the backlogs of the other gateways, by prefill engine, and
// returns the queued requests that can be admitted as a result.
func (p *Placer) SetBacklogs(now time.Time, others map[fleet.TargetName]Backlog) []Grant {
	p.backlogsUntil = now.Add(backlogTTL)
	p.reportAge.report(now)
	for name, t := range p.targets {
		t.others = others[name]
	}
	return p.Tick(now)
}

// Backlogs returns the prompts of this gateway that engines have not answered.
func (p *Placer) Backlogs() map[fleet.TargetName]Backlog {
	out := make(map[fleet.TargetName]Backlog)
	for name, t := range p.targets {
		if t.own.Prompts > 0 {
			out[name] = t.own
		}
	}
	return out
}

// usesBacklog reports whether the wait of a prompt at prefill engines is computed from
// their backlogs.
func (p *Placer) usesBacklog(now time.Time, x *pool, req Request) bool {
	return now.Before(p.backlogsUntil) && x.longPrompts(req.MaxPause)
}

// longPrompts reports whether decode engines could not process the average prompt of the
// pool. Shorter prompts take less time than a report of backlogs needs, so that the
// reports are out of date for them, and decode engines are busy with prompts as well.
func (x *pool) longPrompts(maxPause time.Duration) bool {
	if _, known := x.speed.time(1); !known {
		return false
	}
	return !x.fitsPause(int(x.meanUnique), maxPause, maxPauseShare)
}

// observePrompt updates the mean number of unique tokens.
func (x *pool) observePrompt(prompt Prompt) {
	if x.meanUnique == 0 {
		x.meanUnique = float64(prompt.Unique)
	}
	x.meanUnique += promptSmoothing * (float64(prompt.Unique) - x.meanUnique)
}

// promptSmoothing is the weight of a new prompt in the moving average of their length.
const promptSmoothing = 0.05

// promptWait returns the expected wait of a new prompt at a prefill engine.
func (x *pool) promptWait(t *target) time.Duration {
	took, _ := x.speed.time(t.own.Tokens + t.others.Tokens)
	return took + time.Duration(t.own.Prompts+t.others.Prompts)*x.overhead.minimum()
}

// promptTime returns the time that a prefill engine takes for a prompt that does not
// wait. The shared tokens count with the given weight.
func (x *pool) promptTime(prompt Prompt, sharedWeight float64) time.Duration {
	took, _ := x.speed.time(prompt.Unique + int(sharedWeight*float64(prompt.Tokens-prompt.Unique)))
	return took + x.overhead.minimum()
}

// allowedWait returns for how long a prompt may wait at a prefill engine: until then it
// can still meet its objective, of which the decode engine needs a part.
func (x *pool) allowedWait(now time.Time, req Request) time.Duration {
	least := time.Duration(minWaitShare * float64(req.Objective))
	if req.Objective <= 0 {
		return req.Deadline.Sub(now)
	}
	answer := x.promptTime(req.Prompt, sharedMissShare) + x.decodeLatency()
	return max(least, time.Duration(admissionShare*float64(req.Start.Add(req.Objective-answer).Sub(now))))
}

// decodeLatency returns the mean time to first event at the decode engines.
func (x *pool) decodeLatency() time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range x.targets {
		if t.record.Role == fleet.Decode && t.latency > 0 {
			sum += t.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// pickByBacklog returns the prefill engine that is expected to process the prompt
// first, or nil if the prompt would wait too long at all of them. An engine without the
// shared tokens fetches them from one that has them. If none is known to have them, all
// gateways prefer the same engine, so that they are processed once.
func (p *Placer) pickByBacklog(now time.Time, x *pool, prefill []*target, req Request) *target {
	type offer struct {
		target *target
		cost   time.Duration
	}
	var offers []offer
	var least time.Duration
	allowed := x.allowedWait(now, req)
	affine := req.hasAffinity()
	preferred := rendezvousOrNil(prefill, req.Affinity)
	level := p.waitLevel(now, x, prefill)
	for _, t := range prefill {
		wait := x.promptWait(t)
		if wait > allowed || t.inFlight >= p.slotShare(t) {
			continue
		}
		cost := max(wait, level)
		source, cached := p.prefixSource(now, x, t, req)
		switch {
		case !affine:
			cost += p.rttTo(t)
		case source != nil:
			cost += p.fetchTime(source, t, req) + holderBias(req)
		case !cached && t != preferred:
			cost += holderBias(req)
		}
		if len(offers) == 0 || cost < least {
			least = cost
		}
		offers = append(offers, offer{t, cost})
	}
	var similar []*target
	for _, o := range offers {
		if o.cost <= least+time.Duration(similarCostShare*float64(req.Objective)) {
			similar = append(similar, o.target)
		}
	}
	if req.Affinity != "" {
		return rendezvous(similar, req.Affinity)
	}
	return leastRecent(similar)
}

// leastRecent returns the target to which this gateway has not sent a request for the
// longest time, or nil if the list is empty.
func leastRecent(list []*target) *target {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *target) int { return a.lastSent.Compare(b.lastSent) })
}

// hasAffinity reports whether the shared tokens are a large part of the prompt, so that
// the engine that has them cached is preferred to a near one.
func (req Request) hasAffinity() bool {
	return req.Affinity != "" && 2*(req.Prompt.Tokens-req.Prompt.Unique) >= req.Prompt.Unique
}

// holderBias returns by how much longer a prompt may wait for the engine that has its
// shared tokens, or that all gateways prefer for them.
func holderBias(req Request) time.Duration {
	return time.Duration(maxHolderWait * float64(req.Objective))
}

// rendezvousOrNil is like rendezvous, but returns nil for an empty prefix.
func rendezvousOrNil(list []*target, prefix string) *target {
	if prefix == "" {
		return nil
	}
	return rendezvous(list, prefix)
}

// prefixSource reports whether the shared tokens of the prompt will be cached at t, and
// the nearest engine from which t has to fetch them for that, or nil.
func (p *Placer) prefixSource(now time.Time, x *pool, t *target, req Request) (source *target, cached bool) {
	if req.Affinity == "" {
		return nil, req.Prompt.Unique == req.Prompt.Tokens
	}
	prefix := NewPrefix(req.Pool, req.Affinity)
	if p.holders.has(now, prefix, t.record.Target) {
		return nil, true
	}
	if t.record.Role != fleet.Prefill {
		// The rendezvous target of short prompts: it has processed those before.
		return nil, true
	}
	for _, holder := range x.targets {
		if holder == t || !p.holders.has(now, prefix, holder.record.Target) {
			continue
		}
		if source == nil || p.transferFactor(holder.record.DataCentre, t.record.DataCentre) < p.transferFactor(source.record.DataCentre, t.record.DataCentre) {
			source = holder
		}
	}
	return source, source != nil
}

// fetchTime returns the time in which t fetches the KV cache of the shared tokens from
// their holder.
func (p *Placer) fetchTime(holder, t *target, req Request) time.Duration {
	if req.Prompt.Tokens <= 0 {
		return minFetchTime
	}
	shared := float64(req.Prompt.Tokens-req.Prompt.Unique) / float64(req.Prompt.Tokens)
	factor := p.transferFactor(holder.record.DataCentre, t.record.DataCentre)
	return minFetchTime + time.Duration(shared*float64(req.TransferTime)*float64(factor))
}

// expectedByBacklog returns when the n-th queued prompt is expected to be admitted to a
// prefill engine.
func (p *Placer) expectedByBacklog(now time.Time, x *pool, req Request, n int) time.Time {
	prefill := p.usable(now, x, req, true)
	if len(prefill) == 0 {
		return now.Add(defaultRetryDelay)
	}
	least := x.promptWait(prefill[0])
	for _, t := range prefill {
		least = min(least, x.promptWait(t))
	}
	ahead := time.Duration(n-1) * x.promptTime(req.Prompt, sharedMissShare) * time.Duration(p.gateways) / time.Duration(len(prefill))
	return now.Add(max(0, least-x.allowedWait(now, req)) + ahead)
}
