package place

import (
	"math"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roles"
	"papayarock/core/roster"
	"papayarock/core/work"
)

// Placement by work. Where the KV cache of an engine can't hold a full batch of average
// prompts, engines are limited by tokens and not by slots, and counting requests says
// little of their load. Streams then go to the decode engine that is expected to produce
// them in time, and slow engines get fewer prompts.

const (
	// memoryBoundOn and memoryBoundOff are the ratios of the tokens of a full batch of
	// average prompts to the KV cache of an engine at which placement by work begins and
	// ends.
	memoryBoundOn  = 1.0
	memoryBoundOff = 0.8
	// minSizedRequests is the number of requests after which the average size is known.
	minSizedRequests = 20
	// maxSlowdown bounds the measured slowdown of an engine.
	maxSlowdown = 4.0
	// slowdownSmoothing is the weight of a new sample in the moving average of the
	// slowdown of an engine, and poolSmoothing in that of all engines of a pool.
	slowdownSmoothing = 0.1
	poolSmoothing     = 0.05
	// minPromptWeight and maxPromptWeight bound the share of prompts of an engine relative
	// to one without slowdown.
	minPromptWeight = 0.4
	maxPromptWeight = 2.0
	// steadyShare is the part of the objective for gaps between events that most gaps of
	// an engine must not exceed for long streams: the longest gap of a stream is about twice
	// as long.
	steadyShare = 0.5
	// unsteadyEvents is the number of events after the first from which a stream is likely
	// to have a gap above the objective at an unsteady engine.
	unsteadyEvents = 4
	// endShare is the part of the time until the deadline in which a stream should end. The
	// rest is for responses that are longer than estimated.
	endShare = 0.7
	// transferWeight is the weight of the time of a KV cache transfer. The link of an engine
	// carries one transfer after the other, so that long ones delay those of others.
	transferWeight = 3
	// paceTTL is how long after its last event the pace of an engine is reported.
	paceTTL = 10 * time.Second
	// minReportedGaps is the number of gaps from which the pace of an engine is reported. A
	// prompt that the engine reads makes a single gap several times as long as others.
	minReportedGaps = 4
)

// Batch describes the batch of an engine.
type Batch struct {
	Slots       int // requests
	CacheTokens int // capacity of the KV cache in tokens
	// ByWork says that requests are placed by work also if the KV cache holds a full batch of
	// average prompts.
	ByWork bool
}

// observeSize updates the average size of the prompts of the pool, and whether they are
// placed by work.
func (x *pool) observeSize(req Request) {
	if req.Batch.CacheTokens <= 0 || req.Prompt.Tokens <= 0 {
		return
	}
	if req.MaxPause > 0 {
		x.maxPause = req.MaxPause
	}
	x.sized++
	x.meanTokens += max(promptSmoothing, 1/float64(x.sized)) * (float64(req.Prompt.Tokens) - x.meanTokens)
	if x.sized < minSizedRequests {
		return
	}
	ratio := x.meanTokens * float64(req.Batch.Slots) / float64(req.Batch.CacheTokens)
	byWork := req.Batch.ByWork || ratio > memoryBoundOn || x.byWork && ratio > memoryBoundOff
	if x.byWork && !byWork {
		x.forgetSlowdowns()
	}
	x.byWork = byWork
}

// forgetSlowdowns restores equal shares of prompts. Where requests are not placed by work,
// the slowdowns are not measured any more.
func (x *pool) forgetSlowdowns() {
	x.slowdown = 0
	for _, t := range x.targets {
		t.slowdown = 0
	}
}

// placesByWork reports whether the requests of the pool are placed by work. The speed of
// prefill engines must be known. Pools with long prompts are placed by the backlogs that
// gateways report.
func (x *pool) placesByWork() bool {
	_, known := x.speed.time(1)
	return x.byWork && known && !x.longPrompts(x.maxPause)
}

// PlacesByWork reports whether the requests of a pool are placed by work.
func (p *Placer) PlacesByWork(pool string) bool {
	x := p.pools[pool]
	return x != nil && x.placesByWork()
}

// PoolsByWork returns the number of pools whose requests are placed by work.
func (p *Placer) PoolsByWork() int {
	n := 0
	for _, x := range p.pools {
		if x.placesByWork() {
			n++
		}
	}
	return n
}

// recordSlowdown compares the time to the first event with the one that was expected, which
// contains both slowdowns: they change until it is right on average.
func (x *pool) recordSlowdown(t *target, e FirstEvent) {
	if e.Expected <= 0 {
		return
	}
	sample := min(max(float64(e.Took-t.rtt)/float64(e.Expected), 1/maxSlowdown), maxSlowdown)
	x.slowdown = smoothedRatio(x.slowdown, sample, poolSmoothing)
	t.slowdown = smoothedRatio(t.slowdown, sample, slowdownSmoothing)
}

// smoothedRatio corrects a ratio, which begins at 1, by a sample of its relative error.
func smoothedRatio(mean, sample, weight float64) float64 {
	if mean == 0 {
		mean = 1
	}
	return min(max(mean*math.Pow(sample, weight), 1/maxSlowdown), maxSlowdown)
}

// workTime returns the time that t takes for a backlog.
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

// promptWeight returns the share of prompts that t should get relative to an engine
// without slowdown.
func (t *target) promptWeight() float64 {
	if t.slowdown <= 0 {
		return 1
	}
	return min(max(1/t.slowdown, minPromptWeight), maxPromptWeight)
}

// pickByWork returns the engine with the lowest cost for a request whose prompt is short or
// has been processed, or nil if there is none with free capacity. As in pick, the capacity
// does not matter for a prompt that has been processed.
func (p *Placer) pickByWork(now time.Time, x *pool, list []*target, req Request) *target {
	var best *target
	var lowest time.Duration
	for _, t := range list {
		if req.CacheFrom == "" && !p.hasCapacity(now, t) {
			continue
		}
		if cost := p.decodeCost(now, x, t, req); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// decodeCost returns the expected time to the first event, with penalties for a gap above
// the objective and for an end after the deadline.
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
	if !req.Deadline.IsZero() {
		latest := now.Add(time.Duration(endShare * float64(req.Deadline.Sub(now))))
		cost += max(0, work.End(now, cost, events, mean).Sub(latest))
	}
	if t.unsteady(now, req.MaxPause) {
		cost += time.Duration(min(1, (events-1)/unsteadyEvents) * float64(req.Objective))
	}
	return cost
}

// unsteady reports whether the gaps of t are so long that a long stream is likely to have one
// above the objective.
func (t *target) unsteady(now time.Time, maxPause time.Duration) bool {
	return maxPause > 0 && t.pace.High(now) > time.Duration(steadyShare*float64(maxPause))
}

// RecordGaps records the time between consecutive events of a stream from the given run of
// a target.
func (p *Placer) RecordGaps(now time.Time, r roster.Record, gaps []time.Duration) {
	t := p.find(r)
	if t == nil || len(gaps) == 0 || !p.PlacesByWork(r.Pool) {
		return
	}
	for _, gap := range gaps {
		t.pace.Observe(now, gap)
	}
	t.pacedAt = now
}

// paces returns the paces of the engines that decode and had streams lately.
func (x *pool) paces(now time.Time) map[fleet.TargetName]roles.Pace {
	out := make(map[fleet.TargetName]roles.Pace)
	for _, t := range x.targets {
		if t.record.Role == fleet.Prefill || now.Sub(t.pacedAt) >= paceTTL || t.pace.Samples() < minReportedGaps {
			continue
		}
		if mean := t.pace.Mean(now); mean > 0 {
			out[t.record.Target] = roles.Pace{Mean: mean, Unsteady: t.unsteady(now, x.maxPause)}
		}
	}
	return out
}

// uncachedTokens returns the number of tokens of a prompt that no engine has cached, as
// far as is known.
func (p *Placer) uncachedTokens(now time.Time, req Request) int {
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
