package plan

import (
	"maps"
	"slices"
	"sort"
)

func (p *Planner) keys() []groupKey {
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

// Estimates lists the groups that have engines or an estimated load.
func (p *Planner) Estimates() []Estimate {
	out := make([]Estimate, 0, len(p.groups))
	for _, k := range p.keys() {
		g := p.groups[k]
		if len(g.engines) == 0 && g.estimate.updated.IsZero() {
			continue
		}
		e := Estimate{
			Pool: k.pool, DataCentre: k.dataCentre, Starting: g.due(), Urgent: g.estimate.fast.urgent,
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

// Learned lists the speeds by pool.
func (p *Planner) Learned() []Learned {
	out := make([]Learned, 0, len(p.speeds))
	for _, pool := range slices.Sorted(maps.Keys(p.speeds)) {
		s := p.speeds[pool]
		out = append(out, Learned{Pool: pool, Prefill: s.prefill, Decode: s.decode, Mixed: s.mixed})
	}
	return out
}
