package route

import (
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	candidates  = 4               // targets compared per data centre, besides holders of the prefix
	maxSamples  = 16              // draws to find them among ejected or tried targets
	trustReport = 2 * time.Second // age at which a report has lost 63% of its weight against the mean
	decodeShare = 0.2             // delay of a prompt by a second of decode work in the same batches, and the reverse
	spillMargin = 0.8             // share of the remaining time that an estimate may use
)

type candidate struct {
	slot  int32
	score float64 // seconds, with penalties
	wait  float64 // expected seconds to the first token, without penalties
	work  work
	probe bool
}

// Pick chooses a target and counts the attempt as in flight. It reads the
// promise in FirstTokenBy to leave the data centre or the region only when the
// nearer targets are not expected to keep it.
func (r *Router) Pick(now time.Time, q Request) (Choice, error) {
	p := r.pools[q.Pool]
	if p == nil || int(q.Stage) >= stages {
		return Choice{}, ErrNoTarget
	}
	if q.Near != "" {
		if c, err := r.pickNear(now, q, p); err == nil {
			return c, nil
		}
		q.region = r.regionOf(q.Near)
	}
	entry, tokens := r.longest(q.Prefix)
	best, bestGroup := candidate{slot: -1, score: math.Inf(1)}, int32(-1)
	for _, gi := range p.byStage[q.Stage] {
		g := &r.groups[gi]
		if best.slot >= 0 && g.distance > r.groups[bestGroup].distance && r.keeps(now, q, best, bestGroup) {
			break
		}
		if bestGroup >= 0 && g.mean(now)+g.delay.Seconds()*2 > best.wait+r.groups[bestGroup].delay.Seconds()*2 {
			continue // by its summary it is no better
		}
		c := r.pickIn(now, q, g, entry, tokens)
		if c.slot >= 0 && c.score+2*g.delay.Seconds() < best.score {
			best, bestGroup = c, gi
			best.score += 2 * g.delay.Seconds()
		}
	}
	if best.slot < 0 || !r.keeps(now, q, best, bestGroup) {
		best, bestGroup = r.pickBeyond(now, q, p, best, bestGroup)
	}
	if best.slot < 0 {
		return Choice{}, ErrNoTarget
	}
	return r.commit(now, q, best, &r.groups[bestGroup]), nil
}

// pickNear chooses in the data centre q.Near only.
func (r *Router) pickNear(now time.Time, q Request, p *pool) (Choice, error) {
	for _, gi := range p.byStage[q.Stage] {
		if g := &r.groups[gi]; g.dataCentre == q.Near {
			c := r.pickIn(now, q, g, nil, 0)
			if c.slot < 0 {
				c = r.pickAmong(now, q, g, g.rest)
			}
			if c.slot >= 0 {
				return r.commit(now, q, c, g), nil
			}
		}
	}
	return Choice{}, ErrNoTarget
}

// regionOf returns the region of a data centre, or "" if it has no target.
func (r *Router) regionOf(d fleet.DataCentre) fleet.Region {
	for i := range r.targets {
		if r.targets[i].DataCentre == d {
			return r.targets[i].Region
		}
	}
	return ""
}

// movesKV says whether the KV cache of a prompt moves to the target that decodes
// it. It doesn't leave its region: it is thousands of times the size of the
// prompt, which the target can process itself.
func (t *target) movesKV(q Request) bool {
	return q.Stage == Decode && q.Near != "" && (q.region == "" || q.region == t.Region)
}

// keeps says whether a candidate is expected to keep the promise.
func (r *Router) keeps(now time.Time, q Request, c candidate, gi int32) bool {
	if q.FirstTokenBy.IsZero() {
		return true
	}
	left := q.FirstTokenBy.Sub(now) - 2*r.groups[gi].delay
	return c.wait <= left.Seconds()*spillMargin
}

// mean is the score that an average member of the group has.
func (g *group) mean(now time.Time) float64 {
	n := float64(len(g.members))
	if n == 0 {
		return math.Inf(1)
	}
	return math.Max(g.backlog(now), ahead(g.others.plus(g.own, 1), g.stage)/n)
}

// ahead weighs the work at a target by how much it delays a new request.
func ahead(w work, stage Stage) float64 {
	if stage == Decode {
		return w.decode + decodeShare*w.prefill
	}
	return w.prefill + decodeShare*w.decode
}

// pickIn compares a few random members of a group and the holders of the
// prefix.
func (r *Router) pickIn(now time.Time, q Request, g *group, entry *cacheEntry, tokens float64) candidate {
	best := candidate{slot: -1, score: math.Inf(1)}
	r.sample(now, q, g, g.members, entry, tokens, &best)
	if len(g.members) > candidates && entry != nil {
		for _, h := range entry.holders {
			if h.target >= 0 && r.targets[h.target].drawn && r.targets[h.target].groups[q.Stage] >= 0 && r.targets[h.target].DataCentre == g.dataCentre && r.targets[h.target].Pool == q.Pool {
				r.compare(now, q, g, entry, tokens, h.target, &best)
			}
		}
	}
	return best
}

// compare keeps the better of best and member m. It returns false for a member
// that may not be chosen.
func (r *Router) compare(now time.Time, q Request, g *group, entry *cacheEntry, tokens float64, m int32, best *candidate) bool {
	t := &r.targets[m]
	if slices.Contains(q.Tried, t.Name) {
		return false
	}
	c := candidate{slot: m}
	if t.health.ejected {
		if t.health.probing || now.Before(t.health.probeAt) {
			return false
		}
		c.probe = true
	}
	held := math.Min(r.held(now, entry, tokens, m), q.PromptTokens)
	c.work = t.cost(q, held)
	queue := t.queue(now, g)
	c.wait = (ahead(queue, q.Stage) + t.blocked(now, queue) + c.work.prefill) * t.health.slowness
	if q.Stage == Start && t.Role == fleet.Prefill {
		c.wait += r.moveCost(now, q.PromptTokens)
	}
	c.score = c.wait/t.health.ramp(now) + t.health.rate*failPenalty
	if c.probe {
		// A due probe goes first; by its score a target that has failed would
		// never be tried while others are idle.
		c.score = 0
	}
	if c.score < best.score {
		*best = c
	}
	return true
}

// blocked is the time until a slot is free at a mixed engine whose slots are
// all taken: it begins no further prompt before.
func (t *target) blocked(now time.Time, queue work) float64 {
	if t.Role != fleet.Mixed || t.Kind != fleet.Engine || t.count < t.Slots {
		return 0
	}
	return t.trust(now) * float64(t.count-t.Slots+1) * queue.decode / float64(t.count)
}

// trust is the weight of the last report against the mean of the data centre.
func (t *target) trust(now time.Time) float64 {
	if t.taken.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.taken)) / float64(trustReport))
}

// queue estimates the work at the target. An old report says little about the
// work of other nodes, so that it approaches the mean of the data centre with
// its age; this node's own work is known exactly.
func (t *target) queue(now time.Time, g *group) work {
	trust := t.trust(now)
	mean := work{}.plus(g.others, 1/float64(max(len(g.members), 1)))
	if !t.drawn && g.current(now) {
		mean = work{} // the summary counts it, the mean of the subset does not
	}
	if g.stage == Decode {
		mean.decode = math.Max(mean.decode, g.backlog(now))
	} else {
		mean.prefill = math.Max(mean.prefill, g.backlog(now))
	}
	return t.own.plus(t.others, trust).plus(mean, 1-trust)
}

// cost is the target time of a request.
func (t *target) cost(q Request, held float64) (w work) {
	if t.Kind == fleet.Service {
		return work{prefill: t.service / float64(max(t.Slots, 1))}
	}
	if q.Stage == Start || q.Near != "" && !t.movesKV(q) {
		w.prefill = (q.PromptTokens - held) / t.prefill
	}
	if q.Stage == Decode || t.Role == fleet.Mixed {
		w.decode = q.OutputTokens / t.decode
	}
	return w
}

func (r *Router) commit(now time.Time, q Request, c candidate, g *group) Choice {
	t := &r.targets[c.slot]
	handOver := q.Stage == Start && t.Kind == fleet.Engine && r.handsOver(now, q, c.slot, g)
	if handOver {
		c.work.decode = 0
	}
	r.shift(now, t, c.work)
	if c.probe {
		t.health.probing = true
	}
	if q.Stage == Start {
		for _, h := range q.Prefix {
			r.cache.insert(h, holder{target: c.slot, epoch: t.cache.epoch, expires: now.Add(optimisticLife)})
		}
	}
	return Choice{
		Target: t.Name, Agent: t.Agent, HandOver: handOver, Sent: now, Prefill: c.work.prefill, Decode: c.work.decode, Probe: c.probe, Crosses: g.distance == 2,
		MoveKV:      t.movesKV(q),
		Expected:    time.Duration((c.wait + 2*g.delay.Seconds()) * float64(time.Second)),
		incarnation: t.Incarnation,
	}
}

// handsOver says whether the decode phase belongs at another target than the
// one that processes the prompt.
func (r *Router) handsOver(now time.Time, q Request, slot int32, g *group) bool {
	if r.targets[slot].Role == fleet.Prefill {
		return true
	}
	q.Stage = Decode
	pair := &r.groups[g.pair]
	c := r.pickIn(now, q, pair, nil, 0)
	if c.slot < 0 || r.targets[c.slot].Role != fleet.Decode {
		return false
	}
	here := candidate{slot: -1, score: math.Inf(1)}
	r.compare(now, q, pair, nil, 0, slot, &here)
	return r.saves(now, q, c, here)
}
