package route

import (
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	candidatesPerGroup = 4               // targets compared per data centre, in addition to holders of the prefix
	maxDraws           = 16              // limit on random draws for these, since ejected and already tried targets are rejected
	reportTimeConstant = 2 * time.Second // age at which a load report has lost 63% of its weight to the group mean
	interferenceFactor = 0.2             // seconds that a second of decode work delays prefill in the same batches, and vice versa
	deadlineMargin     = 0.8             // share of the time to the deadline that an estimate may use
)

type candidate struct {
	index int32
	score float64 // seconds, with penalties; lowest wins
	wait  float64 // expected seconds to the first token, without penalties
	work  work    // target time that the request adds
	probe bool
}

// Pick chooses a target and counts the attempt as in flight. It chooses a target
// in another data centre or region only when nearer targets are not expected to
// meet the deadline in FirstTokenBy.
func (r *Router) Pick(now time.Time, q Request) (Choice, error) {
	p := r.pools[q.Pool]
	if p == nil || int(q.Stage) >= stageCount {
		return Choice{}, ErrNoTarget
	}
	if q.PrefillDataCentre != "" {
		if c, err := r.pickInDataCentre(now, q, p); err == nil {
			return c, nil
		}
		q.region = r.regionOf(q.PrefillDataCentre)
	}
	prefix, prefixTokens := r.longestCachedPrefix(q.PrefixHashes)
	best, bestGroup := candidate{index: -1, score: math.Inf(1)}, int32(-1)
	for _, gi := range p.byStage[q.Stage] {
		g := &r.groups[gi]
		if best.index >= 0 && g.distance > r.groups[bestGroup].distance && r.meetsDeadline(now, q, best, bestGroup) {
			break
		}
		if bestGroup >= 0 && g.meanQueueDelay(now)+g.networkDelay.Seconds()*2 > best.wait+r.groups[bestGroup].networkDelay.Seconds()*2 {
			continue // the group's mean is no better
		}
		c := r.pickInSubset(now, q, g, prefix, prefixTokens)
		if c.index >= 0 && c.score+2*g.networkDelay.Seconds() < best.score {
			best, bestGroup = c, gi
			best.score += 2 * g.networkDelay.Seconds()
		}
	}
	if best.index < 0 || !r.meetsDeadline(now, q, best, bestGroup) {
		best, bestGroup = r.pickOutsideSubset(now, q, p, best, bestGroup)
	}
	if best.index < 0 {
		return Choice{}, ErrNoTarget
	}
	return r.commit(now, q, best, &r.groups[bestGroup]), nil
}

// pickInDataCentre chooses a target in q.PrefillDataCentre.
func (r *Router) pickInDataCentre(now time.Time, q Request, p *pool) (Choice, error) {
	for _, gi := range p.byStage[q.Stage] {
		if g := &r.groups[gi]; g.dataCentre == q.PrefillDataCentre {
			c := r.pickInSubset(now, q, g, nil, 0)
			if c.index < 0 {
				c = r.pickFrom(now, q, g, g.outside)
			}
			if c.index >= 0 {
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

// shouldTransferKV reports whether the KV cache of a prompt is transferred to t for
// the decode stage. It is not transferred between regions: it is thousands
// of times as large as the prompt, which the target can process again.
func (t *target) shouldTransferKV(q Request) bool {
	return q.Stage == Decode && q.PrefillDataCentre != "" && (q.region == "" || q.region == t.Region)
}

// meetsDeadline reports whether a candidate is expected to produce the first
// token by q.FirstTokenBy.
func (r *Router) meetsDeadline(now time.Time, q Request, c candidate, gi int32) bool {
	if q.FirstTokenBy.IsZero() {
		return true
	}
	remaining := q.FirstTokenBy.Sub(now) - 2*r.groups[gi].networkDelay
	return c.wait <= remaining.Seconds()*deadlineMargin
}

// meanQueueDelay estimates how long a new request waits at an average member of the
// group, in seconds. Groups without members return infinity.
func (g *group) meanQueueDelay(now time.Time) float64 {
	n := float64(len(g.members))
	if n == 0 {
		return math.Inf(1)
	}
	return math.Max(g.summaryBacklog(now), queueDelay(g.otherWork.addScaled(g.ownWork, 1), g.stage)/n)
}

// queueDelay returns how long the work at a target delays a new request of the
// stage, in seconds.
func queueDelay(w work, stage Stage) float64 {
	if stage == Decode {
		return w.decode + interferenceFactor*w.prefill
	}
	return w.prefill + interferenceFactor*w.decode
}

// pickInSubset returns the best of a few random members of a group and the
// members that have the prefix cached.
func (r *Router) pickInSubset(now time.Time, q Request, g *group, prefix *cacheEntry, prefixTokens float64) candidate {
	best := candidate{index: -1, score: math.Inf(1)}
	r.sample(now, q, g, g.members, prefix, prefixTokens, &best)
	if len(g.members) > candidatesPerGroup && prefix != nil {
		for _, h := range prefix.holders {
			if h.target >= 0 && r.targets[h.target].inSubset && r.targets[h.target].groups[q.Stage] >= 0 && r.targets[h.target].DataCentre == g.dataCentre && r.targets[h.target].Pool == q.Pool {
				r.consider(now, q, g, prefix, prefixTokens, h.target, &best)
			}
		}
	}
	return best
}

// consider replaces best by target m if m has a lower score. It returns false if
// m may not be chosen: it was already tried, or it is ejected and no probe is due.
func (r *Router) consider(now time.Time, q Request, g *group, prefix *cacheEntry, prefixTokens float64, m int32, best *candidate) bool {
	t := &r.targets[m]
	if slices.Contains(q.TriedTargets, t.Name) {
		return false
	}
	c := candidate{index: m}
	if t.health.ejected {
		if t.health.probeInFlight || now.Before(t.health.probeAt) {
			return false
		}
		c.probe = true
	}
	cached := math.Min(r.cachedTokens(now, prefix, prefixTokens, m), q.PromptTokens)
	c.work = t.requestWork(q, cached)
	queue := t.estimatedWork(now, g)
	c.wait = (queueDelay(queue, q.Stage) + t.slotWait(now, queue) + c.work.prefill) * t.health.slowness
	if q.Stage == Start && t.Role == fleet.Prefill {
		c.wait += r.transferCost(now, q.PromptTokens)
	}
	c.score = c.wait/t.health.trafficShare(now) + t.health.failureRate*failurePenalty
	if c.probe {
		// A due probe has priority. Compared by its real score, a target that
		// has failed would never be tried while other targets are idle.
		c.score = 0
	}
	if c.score < best.score {
		*best = c
	}
	return true
}

// slotWait returns the time in seconds until a slot becomes free at a mixed
// engine whose slots are all in use. Such an engine starts no further prompt
// until then. The decode work is assumed to be spread evenly over its requests.
func (t *target) slotWait(now time.Time, queue work) float64 {
	if t.Role != fleet.Mixed || t.Kind != fleet.Engine || t.reportedRequests < t.Slots {
		return 0
	}
	return t.reportWeight(now) * float64(t.reportedRequests-t.Slots+1) * queue.decode / float64(t.reportedRequests)
}

// reportWeight returns the weight of the last load report relative to the mean of
// the group. It decays exponentially with the age of the report.
func (t *target) reportWeight(now time.Time) float64 {
	if t.reportTime.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.reportTime)) / float64(reportTimeConstant))
}

// estimatedWork estimates the outstanding work at the target. This node's own
// work is known exactly. The estimate for other nodes' work moves from the last
// load report towards the mean of the group as the report ages.
func (t *target) estimatedWork(now time.Time, g *group) work {
	weight := t.reportWeight(now)
	mean := work{}.addScaled(g.otherWork, 1/float64(max(len(g.members), 1)))
	if !t.inSubset && g.hasCurrentSummary(now) {
		mean = work{} // g.otherWork covers members only; the summary below covers this target
	}
	if g.stage == Decode {
		mean.decode = math.Max(mean.decode, g.summaryBacklog(now))
	} else {
		mean.prefill = math.Max(mean.prefill, g.summaryBacklog(now))
	}
	return t.ownWork.addScaled(t.otherWork, weight).addScaled(mean, 1-weight)
}

// requestWork returns the target time that a request needs at t. In the decode
// stage it includes the prompt if q.PrefillDataCentre has its KV cache but the cache
// is not transferred to t.
func (t *target) requestWork(q Request, cached float64) (w work) {
	if t.Kind == fleet.Service {
		return work{prefill: t.serviceTime / float64(max(t.Slots, 1))}
	}
	if q.Stage == Start || q.PrefillDataCentre != "" && !t.shouldTransferKV(q) {
		w.prefill = (q.PromptTokens - cached) / t.prefillSpeed
	}
	if q.Stage == Decode || t.Role == fleet.Mixed {
		w.decode = q.OutputTokens / t.decodeSpeed
	}
	return w
}

// commit counts an attempt at the candidate as in flight and returns the Choice.
// In the Start stage it also assumes that the target caches the prompt's prefix.
func (r *Router) commit(now time.Time, q Request, c candidate, g *group) Choice {
	t := &r.targets[c.index]
	prefillOnly := q.Stage == Start && t.Kind == fleet.Engine && r.shouldPrefillOnly(now, q, c.index, g)
	if prefillOnly {
		c.work.decode = 0
	}
	r.addOwnWork(now, t, c.work)
	if c.probe {
		t.health.probeInFlight = true
	}
	if q.Stage == Start {
		for _, h := range q.PrefixHashes {
			r.cache.insert(h, holder{target: c.index, epoch: t.cache.epoch, expires: now.Add(assumedTTL)})
		}
	}
	return Choice{
		Target: t.Name, Agent: t.Agent, PrefillOnly: prefillOnly, Sent: now, Prefill: c.work.prefill, Decode: c.work.decode, Probe: c.probe, CrossesRegion: g.distance == 2,
		TransferKV:  t.shouldTransferKV(q),
		Expected:    time.Duration((c.wait + 2*g.networkDelay.Seconds()) * float64(time.Second)),
		incarnation: t.Incarnation,
	}
}

// shouldPrefillOnly reports whether another target than the one that processes the
// prompt should run the decode stage. It is always true for prefill engines. For a
// mixed engine it is true only if worthTransferring holds for a decode engine.
func (r *Router) shouldPrefillOnly(now time.Time, q Request, index int32, g *group) bool {
	if r.targets[index].Role == fleet.Prefill {
		return true
	}
	q.Stage = Decode
	decodeGroup := &r.groups[g.decodeGroup]
	c := r.pickInSubset(now, q, decodeGroup, nil, 0)
	if c.index < 0 || r.targets[c.index].Role != fleet.Decode {
		return false
	}
	local := candidate{index: -1, score: math.Inf(1)}
	r.consider(now, q, decodeGroup, nil, 0, index, &local)
	return r.worthTransferring(now, q, c, local)
}
