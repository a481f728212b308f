package plan

import (
	"maps"
	"slices"
	"sort"
)

// sortedKeys returns the keys of all groups, sorted by pool and data centre.
func (p *Planner) sortedKeys() []groupKey {
	keys := make([]groupKey, 0, len(p.groups))
	for k := range p.groups {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].pool != keys[j].pool {
			return keys[i].pool < keys[j].pool
		}
		return keys[i].dataCentre < keys[j].dataCentre
	})
	return keys
}

// Estimates returns the estimates of all groups that have engines or a load,
// sorted by pool and data centre.
func (p *Planner) Estimates() []Estimate {
	out := make([]Estimate, 0, len(p.groups))
	for _, k := range p.sortedKeys() {
		g := p.groups[k]
		if len(g.engines) == 0 && g.estimate.updatedAt.IsZero() {
			continue
		}
		e := Estimate{
			Pool: k.pool, DataCentre: k.dataCentre, Starting: g.pendingTargets(), Urgent: g.estimate.fast.urgent,
			Fast: g.estimate.fast.rate(k), Slow: g.estimate.slow.rate(k),
		}
		for _, x := range g.engines {
			e.Engines[x.Role]++
		}
		out = append(out, e)
	}
	return out
}

func (l load) rate(k groupKey) Rate {
	return Rate{Pool: k.pool, DataCentre: k.dataCentre, Requests: l.requests, Prefill: l.prefill, Decode: l.decode}
}

// LearnedSpeeds returns the assumed speeds, sorted by pool.
func (p *Planner) LearnedSpeeds() []LearnedSpeeds {
	out := make([]LearnedSpeeds, 0, len(p.speeds))
	for _, pool := range slices.Sorted(maps.Keys(p.speeds)) {
		s := p.speeds[pool]
		out = append(out, LearnedSpeeds{Pool: pool, Prefill: s.prefill, Decode: s.decode, Mixed: s.mixed})
	}
	return out
}
