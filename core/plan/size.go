package plan

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

// resize returns the order or release of a target, if one is due.
func (p *Planner) resize(now time.Time, g *group) (Decision, bool) {
	if p.o.FixedSize {
		return Decision{}, false
	}
	pending := g.readyTimes[:0]
	for _, t := range g.readyTimes {
		if now.Before(t) {
			pending = append(pending, t)
		}
	}
	g.readyTimes = pending
	// A load peak counts for at most twice the load of the slow estimate.
	needed := math.Max(p.enginesNeeded(g, g.estimate.slow), math.Min(p.enginesNeeded(g, g.estimate.fast), 2*p.enginesNeeded(g, g.estimate.slow)))
	if l, ok := p.upcomingWindowLoad(now, g); ok {
		needed = math.Max(needed, p.enginesNeeded(g, l))
	}
	available := float64(len(g.engines) + g.pendingTargets())
	if available >= needed {
		g.overloadedSince = time.Time{}
		return p.release(now, g)
	}
	if g.overloadedSince.IsZero() {
		g.overloadedSince = now
	}
	if now.Sub(g.overloadedSince) < overloadDelay || !p.withinBudget(g.key.pool) {
		return Decision{}, false
	}
	g.readyTimes = append(g.readyTimes, now.Add(p.o.Budget.StartDelay))
	g.overloadedSince = now
	return Decision{Kind: OrderTarget, Pool: g.key.pool, DataCentre: g.key.dataCentre, Role: fleet.Mixed}, true
}

// pendingTargets returns the number of ordered targets that are not in service
// yet: the larger of the number that this planner ordered within the start delay
// and the number reported in the demand, which may include orders of an earlier
// leader.
func (g *group) pendingTargets() int { return max(len(g.readyTimes), g.starting) }

// enginesNeeded returns the number of mixed engines that a load requires,
// including headroom.
func (p *Planner) enginesNeeded(g *group, l load) float64 {
	s := p.poolSpeeds(g.key.pool)
	return headroom * (l.prefill/s.prefill + l.decode/s.decode) / s.mixed
}

// upcomingWindowLoad returns the recorded load of a window that is open, or that
// opens at most windowLeadTime after a target ordered now would be ready. Unlike
// expectedWindowLoad, it ignores windows without a recorded load.
func (p *Planner) upcomingWindowLoad(now time.Time, g *group) (load, bool) {
	for _, w := range p.o.Windows {
		if now.Add(p.o.Budget.StartDelay+windowLeadTime).Before(w.Opens) || !now.Before(w.Closes) {
			continue
		}
		if l, ok := p.windowLoads[w.Name][g.key]; ok {
			return l, true
		}
	}
	return load{}, false
}

// withinBudget reports whether one more target keeps the pool within its maximum
// size and all targets within the hourly spending cap.
func (p *Planner) withinBudget(pool string) bool {
	b := &p.o.Budget
	targets, spent := 0, 0.0
	for k, g := range p.groups {
		c := len(g.engines) + g.unknown + g.pendingTargets()
		spent += float64(c) * b.PricePerHour[k.pool]
		if k.pool == pool {
			targets += c
		}
	}
	if limit, ok := b.MaximumPerPool[pool]; ok && targets >= limit {
		return false
	}
	return b.HourlyCap == 0 || spent+b.PricePerHour[pool] <= b.HourlyCap
}

// release returns the release of an engine if the group's remaining engines could
// have served the highest load of a full history at no more than
// releaseUtilisation, and can serve the upcoming window at no more than that.
func (p *Planner) release(now time.Time, g *group) (Decision, bool) {
	e := &g.estimate
	engines := 0
	for k, other := range p.groups {
		if k.pool == g.key.pool {
			engines += len(other.engines)
		}
	}
	if e.samples < historySize || len(g.engines) < 2 || g.pendingTargets() > 0 || engines <= p.o.Budget.MinimumPerPool[g.key.pool] {
		return Decision{}, false
	}
	highest := p.enginesNeeded(g, e.fast)
	for _, l := range e.history {
		highest = math.Max(highest, p.enginesNeeded(g, l))
	}
	if l, ok := p.upcomingWindowLoad(now, g); ok {
		highest = math.Max(highest, p.enginesNeeded(g, l))
	}
	if highest > headroom*releaseUtilisation*float64(len(g.engines)-1) {
		return Decision{}, false
	}
	all := g.roleCounts()
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Decode, fleet.Prefill} {
		all[r]--
		if l := g.changeable(now, r, 1); len(l) > 0 && servesBothPhases(all) {
			return Decision{Kind: ReleaseTarget, Pool: g.key.pool, DataCentre: g.key.dataCentre, Target: l[0]}, true
		}
		all[r]++
	}
	return Decision{}, false
}
