package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roles"
	"papayarock/core/roster"
)

// Placement by work. Where the KV cache of an engine can't hold a full batch of average
// prompts, engines are limited by tokens and not by slots, and a request is placed by the
// work that it causes and the work that each engine still has to do: the time until its
// first event, the gaps between its events and the time of its end.

const (
	// memoryBoundOn and memoryBoundOff are the ratios of the tokens of a full batch of
	// average prompts to the KV cache of an engine at which placement by work begins and
	// ends.
	memoryBoundOn  = 1.0
	memoryBoundOff = 0.8
	// minSizedRequests is the number of requests after which the average size is known.
	minSizedRequests = 20
	// steadyPromptShare and unsteadyPromptShare are the shares of the time for which a
	// decode engine may process prompts. Its streams make no event in that time. Long
	// streams avoid unsteady engines.
	steadyPromptShare   = 0.15
	unsteadyPromptShare = 0.7
	// maxSlowdown bounds the measured slowdown of an engine.
	maxSlowdown = 4
	// slowdownSmoothing is the weight of a new sample in the moving average of the
	// slowdown.
	slowdownSmoothing = 0.1
	// poolSmoothing is the same for the slowdown of all engines of a pool together.
	poolSmoothing = 0.05
	// gapMargin is the share of the objective for gaps between events above which the
	// longest usual gap of an engine makes it unsuitable for streams of several events.
	gapMargin = 0.5
	// transferWeight is the weight of the time of a KV cache transfer. The link of an engine
	// carries one transfer after the other, so that long ones delay those of others.
	transferWeight = 3
)

// Batch describes the batch of an engine.
type Batch struct {
	Slots       int // requests
	CacheTokens int // capacity of the KV cache in tokens
}

// observeSize updates the average size of the prompts of the pool, and whether the memory
// of its engines limits them.
func (x *pool) observeSize(req Request) {
	if req.Batch.CacheTokens <= 0 || req.Prompt.Tokens <= 0 {
		return
	}
	x.maxPause = req.MaxPause
	x.sized++
	x.meanTokens += max(promptSmoothing, 1/float64(x.sized)) * (float64(req.Prompt.Tokens) - x.meanTokens)
	if x.sized < minSizedRequests {
		return
	}
	ratio := x.meanTokens * float64(req.Batch.Slots) / float64(req.Batch.CacheTokens)
	x.memoryBound = ratio > memoryBoundOn || x.memoryBound && ratio > memoryBoundOff
}

// placesByWork reports whether the requests of the pool are placed by work.
func (x *pool) placesByWork() bool {
	_, known := x.speed.time(1)
	return x.memoryBound && known
}

// recordSlowdown compares the time to the first event with the one that was expected.
func (x *pool) recordSlowdown(t *target, e FirstEvent) {
	if e.Expected <= 0 {
		return
	}
	if x.slowdown == 0 {
		x.slowdown = 1
	}
	if t.slowdown == 0 {
		t.slowdown = 1
	}
	sample := min(max(float64(e.Took-t.rtt)/float64(e.Expected), 1/float64(maxSlowdown)), maxSlowdown)
	x.slowdown = min(max(x.slowdown*math.Pow(sample, poolSmoothing), 1/float64(maxSlowdown)), maxSlowdown)
	t.slowdown = min(max(t.slowdown*math.Pow(sample, slowdownSmoothing), 1/float64(maxSlowdown)), maxSlowdown)
}

// workTime returns the time that t takes for prompts with the given number of tokens.
func (x *pool) workTime(t *target, b Backlog) time.Duration {
	took := x.speed.timeAt(t, b.Tokens) + time.Duration(b.Prompts)*x.overhead.minimum()
	if t.slowdown > 0 {
		took = time.Duration(x.slowdown * t.slowdown * float64(took))
	}
	return took
}

// backlog returns the prompts that t has not processed as far as is known.
func (t *target) backlog() Backlog {
	return Backlog{t.own.Prompts + t.others.Prompts, t.own.Tokens + t.others.Tokens}
}

// pickByWork returns the engine that is expected to lead to the first event of a prompt
// soonest, or nil if all of them have too much work. Prefill engines are followed by the
// transfer to a decode engine. Decode engines get a limited part of the prompts, since
// their streams pause meanwhile.
func (p *Placer) pickByWork(now time.Time, x *pool, req Request, prefill, decode []*target) *target {
	allowed := x.allowedWait(now, req)
	if req.Overdue {
		allowed = time.Duration(minWaitShare * float64(req.Objective))
	}
	level := time.Duration(0)
	if len(prefill) > 0 {
		level = p.waitLevel(now, x, prefill)
	}
	var best []*target
	var costs []time.Duration
	add := func(t *target, cost time.Duration) {
		best, costs = append(best, t), append(costs, cost)
	}
	handover := make(map[fleet.DataCentre]time.Duration)
	for _, t := range prefill {
		wait := x.workTime(t, t.backlog())
		if wait > allowed || t.inFlight >= p.slotShare(t) {
			continue
		}
		dc := t.record.DataCentre
		if _, ok := handover[dc]; !ok {
			handover[dc] = p.handoverTime(dc, decode, req)
		}
		add(t, p.rttTo(t)+max(wait, level)+p.promptCost(now, x, t, req)+handover[dc])
	}
	for _, t := range decode {
		if now.Before(t.nextPrompt) || !p.hasCapacity(now, t) || !p.fitsGap(now, x, t, req) {
			continue
		}
		add(t, p.rttTo(t)+x.workTime(t, t.backlog())+p.promptCost(now, x, t, req))
	}
	if len(best) == 0 {
		return nil
	}
	limit := slices.Min(costs) + time.Duration(similarCostShare*float64(req.Objective))
	var similar []*target
	for i, t := range best {
		if costs[i] <= limit {
			similar = append(similar, t)
		}
	}
	if req.Affinity != "" {
		return rendezvous(similar, req.Affinity)
	}
	return leastRecent(similar)
}

// promptCost returns the time that t takes for the prompt itself.
func (p *Placer) promptCost(now time.Time, x *pool, t *target, req Request) time.Duration {
	source, cached := p.prefixSource(now, x, t, req)
	tokens := req.Prompt.Tokens
	var fetch time.Duration
	if cached {
		tokens = req.Prompt.Unique
	}
	if source != nil {
		fetch = p.fetchTime(source, t, req)
	}
	return fetch + x.workTime(t, Backlog{1, tokens})
}

// handoverTime returns the shortest time in which a decode engine gets the KV cache of the
// prompt from a data centre.
func (p *Placer) handoverTime(from fleet.DataCentre, decode []*target, req Request) time.Duration {
	var shortest time.Duration
	req.CacheFrom = from
	for i, t := range decode {
		if took := p.rttTo(t) + transferWeight*p.transferTime(req, t); i == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest
}

// takePromptShare accounts for a prompt that a decode engine processes. All gateways
// together use at most a share of its time.
func (p *Placer) takePromptShare(now time.Time, x *pool, t *target, tokens int, maxPause time.Duration) {
	took := x.workTime(t, Backlog{1, tokens})
	share := steadyPromptShare
	if t.unsteady(now, maxPause) {
		share = unsteadyPromptShare
	}
	interval := time.Duration(float64(took) * float64(p.gateways) / share)
	if oldest := now.Add(-interval); t.nextPrompt.Before(oldest) {
		t.nextPrompt = oldest
	}
	t.nextPrompt = t.nextPrompt.Add(interval)
}

// cheapestDecode returns the decode engine for a request that needs no prefill, or a short
// one.
func (p *Placer) cheapestDecode(now time.Time, x *pool, list []*target, req Request) *target {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(s, t *target) int {
		return cmp.Compare(p.decodeCost(now, x, s, req), p.decodeCost(now, x, t, req))
	})
}

// decodeCost returns the expected time to the first event, with penalties for gaps that
// are too long and for an end after the deadline.
func (p *Placer) decodeCost(now time.Time, x *pool, t *target, req Request) time.Duration {
	cost := p.cost(t, req) + x.workTime(t, t.backlog())
	if req.CacheFrom != "" {
		cost += (transferWeight - 1) * p.transferTime(req, t)
	}
	mean := t.pace.Mean(now)
	if mean == 0 {
		return cost
	}
	events := max(1, req.Events)
	if t.unsteady(now, req.MaxPause) {
		cost += time.Duration(min(1, (events-1)/4) * float64(req.Objective))
	}
	if end := now.Add(cost + time.Duration(events*float64(mean))); end.After(req.Deadline) {
		cost += end.Sub(req.Deadline)
	}
	return cost
}

// PlacesByWork reports whether the requests of a pool are placed by work.
func (p *Placer) PlacesByWork(pool string) bool {
	x := p.pools[pool]
	return x != nil && x.placesByWork()
}

// RecordGaps records the time between consecutive events of a stream from the given run of
// a target.
func (p *Placer) RecordGaps(now time.Time, r roster.Record, gaps []time.Duration) {
	t := p.find(r)
	if t == nil || !p.PlacesByWork(r.Pool) {
		return
	}
	p.lastGap = now
	for _, gap := range gaps {
		t.pace.Observe(now, gap)
	}
	if len(gaps) > 0 {
		t.pacedAt = now
		t.maxPause = p.pool(r.Pool).maxPause
	}
}

// uncachedTokens returns the number of tokens of a prompt that no engine has cached, as
// far as is known.
func (p *Placer) uncachedTokens(now time.Time, x *pool, req Request) int {
	if req.Affinity == "" {
		return req.Prompt.Tokens
	}
	prefix := NewPrefix(req.Pool, req.Affinity)
	for target := range p.holders.targets[prefix] {
		if p.holders.has(now, prefix, target) {
			return req.Prompt.Unique
		}
	}
	return req.Prompt.Tokens
}

// fitsGap reports whether a decode engine processes its backlog and the prompt of req in a
// part of the allowed gap between events, so that its streams go on in time.
func (p *Placer) fitsGap(now time.Time, x *pool, t *target, req Request) bool {
	if t.unsteady(now, req.MaxPause) {
		return true // long streams go to other engines
	}
	return req.MaxPause <= 0 || x.workTime(t, t.backlog())+p.promptCost(now, x, t, req) <= time.Duration(maxRarePauseShare*float64(req.MaxPause))
}

// overdueDeadline returns until when a request may be queued that can't meet its objective.
// A late response is still of use to its caller. The rest of the time is left for it.
func (p *Placer) overdueDeadline(now time.Time, x *pool, req Request) time.Time {
	left := x.promptTime(req.Prompt, 1) + x.decodeLatency() + time.Duration(max(1, req.Events)*float64(x.meanGap(now)))
	return req.Deadline.Add(-max(2*left, 2*req.Objective))
}

// meanGap returns the mean time between events of the streams at the decode engines.
func (x *pool) meanGap(now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range x.targets {
		if gap := t.pace.Mean(now); gap > 0 {
			sum += gap
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unsteady reports whether the gaps of t are so long that a stream of several events is
// likely to have one above the objective.
func (t *target) unsteady(now time.Time, maxPause time.Duration) bool {
	return maxPause > 0 && t.pace.High(now) > time.Duration(gapMargin*float64(maxPause))
}

// paceTTL is how long after its last event the pace of an engine is told to the registry.
const paceTTL = 10 * time.Second

// paces returns the paces of the decode engines that had streams lately.
func (x *pool) paces(now time.Time) map[fleet.TargetName]roles.Pace {
	out := make(map[fleet.TargetName]roles.Pace)
	for _, t := range x.targets {
		if mean := t.pace.Mean(now); mean > 0 && now.Sub(t.pacedAt) < paceTTL {
			out[t.record.Target] = roles.Pace{Mean: mean, Unsteady: t.unsteady(now, x.maxPause)}
		}
	}
	return out
}

const (
	variantWork    = false
	variantImport  = true
	variantOverdue = false
	variantWeight  = false
	variantSteady  = false
	variantUncap   = false
)

// weight returns the prefill speed of t relative to a typical one.
func (t *target) weight() float64 {
	if variantSteady && t.record.Role == fleet.Decode && t.pace.Mean(t.pacedAt) > 0 && !t.unsteady(t.pacedAt, t.maxPause) {
		return 0.25
	}
	if !variantWeight || t.slowdown <= 0 {
		return 1
	}
	return min(max(1/t.slowdown, 0.4), 2)
}
