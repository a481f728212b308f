package plan

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

// size orders or releases a target.
func (p *Planner) size(now time.Time, g *group) (Act, bool) {
	if p.o.Fixed {
		return Act{}, false
	}
	open := g.ordered[:0]
	for _, t := range g.ordered {
		if now.Before(t) {
			open = append(open, t)
		}
	}
	g.ordered = open
	need := math.Max(p.need(g, g.estimate.slow), math.Min(p.need(g, g.estimate.fast), 2*p.need(g, g.estimate.slow)))
	if l, ok := p.windowWithin(now, g); ok {
		need = math.Max(need, p.need(g, l))
	}
	have := float64(len(g.engines) + g.due())
	if have >= need {
		g.shortFrom = time.Time{}
		return p.release(now, g)
	}
	if g.shortFrom.IsZero() {
		g.shortFrom = now
	}
	if now.Sub(g.shortFrom) < growPatience || !p.affordable(g.key.pool) {
		return Act{}, false
	}
	g.ordered = append(g.ordered, now.Add(p.o.Budget.StartDelay))
	g.shortFrom = now
	return Act{Kind: OrderTarget, Pool: g.key.pool, DataCentre: g.key.dataCentre, Role: fleet.Mixed}, true
}

// due is the number of targets on order: those that this planner ordered within
// the start delay, or those reported, which an earlier leader may have ordered.
func (g *group) due() int { return max(len(g.ordered), g.starting) }

// need is the number of mixed engines that a load needs with headroom.
func (p *Planner) need(g *group, l load) float64 {
	s := p.speed(g.key.pool)
	return headroom * (l.prefill/s.prefill + l.decode/s.decode) / s.mixed
}

// windowWithin returns the load of a window that opens before a target ordered
// now is ready, or is open.
func (p *Planner) windowWithin(now time.Time, g *group) (load, bool) {
	for _, w := range p.o.Windows {
		if now.Add(p.o.Budget.StartDelay+windowLead).Before(w.Opens) || !now.Before(w.Closes) {
			continue
		}
		if l, ok := p.windows[w.Name][g.key]; ok {
			return l, true
		}
	}
	return load{}, false
}

// affordable says whether one more target of a pool stays within its maximum
// and all targets within the spending cap.
func (p *Planner) affordable(pool string) bool {
	b := &p.o.Budget
	n, spent := 0, 0.0
	for k, g := range p.groups {
		c := len(g.engines) + g.unknown + g.due()
		spent += float64(c) * b.PricePerHour[k.pool]
		if k.pool == pool {
			n += c
		}
	}
	if most, ok := b.MaximumPerPool[pool]; ok && n >= most {
		return false
	}
	return b.HourlyCap == 0 || spent+b.PricePerHour[pool] <= b.HourlyCap
}

// release gives a target back when the rest would have carried the highest
// load of the whole history with room to spare.
func (p *Planner) release(now time.Time, g *group) (Act, bool) {
	e := &g.estimate
	n := 0
	for k, other := range p.groups {
		if k.pool == g.key.pool {
			n += len(other.engines)
		}
	}
	if e.n < historySize || len(g.engines) < 2 || g.due() > 0 || n <= p.o.Budget.MinimumPerPool[g.key.pool] {
		return Act{}, false
	}
	highest := p.need(g, e.fast)
	for _, l := range e.history {
		highest = math.Max(highest, p.need(g, l))
	}
	if l, ok := p.windowWithin(now, g); ok {
		highest = math.Max(highest, p.need(g, l))
	}
	if highest > headroom*idleShare*float64(len(g.engines)-1) {
		return Act{}, false
	}
	all := g.split()
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Decode, fleet.Prefill} {
		all[r]--
		if l := g.free(now, r, 1); len(l) > 0 && whole(all) {
			return Act{Kind: ReleaseTarget, Pool: g.key.pool, DataCentre: g.key.dataCentre, Target: l[0]}, true
		}
		all[r]++
	}
	return Act{}, false
}
