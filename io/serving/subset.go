package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
	"papayarock/io/link"
)

// subsetTargets returns the ready targets in the entry's subset.
func (p *Policy) subsetTargets() []fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index == nil {
		return nil
	}
	var out []fleet.Target
	for _, t := range p.index.Targets() {
		if t.Phase == fleet.Ready && p.subset.Contains(t.Name) {
			out = append(out, t)
		}
	}
	return out
}

// retainSessions closes link sessions with agents of targets that are not selected for
// the subset, if they have not been used for a while.
func (p *Policy) retainSessions(selected []fleet.Target) {
	agents := make(map[link.Address]bool)
	p.mu.Lock()
	if p.index == nil || p.subset.Len() == 0 {
		p.mu.Unlock()
		return
	}
	for _, t := range p.index.Targets() {
		agents[address(t)] = false
	}
	p.mu.Unlock()
	for _, t := range selected {
		agents[address(t)] = true
	}
	p.options.Links.Retain(time.Now(), func(a link.Address) bool {
		inSubset, isAgent := agents[a]
		return inSubset || !isAgent // sessions with control replicas are kept
	})
}

func address(t fleet.Target) link.Address { return link.Address{Host: t.Host, AddrPort: t.Agent} }

// meanSpeeds returns the mean reported speeds of a pool's targets by role. They are
// assumed for targets outside the subset, which do not report to this entry. The caller
// holds mu.
func (p *Policy) meanSpeeds(pool string) map[fleet.Role]engineSpeed {
	if p.subset.Len() == 0 {
		return nil
	}
	sums, counts := make(map[fleet.Role]engineSpeed), make(map[fleet.Role]float64)
	for _, t := range p.index.PoolTargets(pool) {
		s := p.speeds[t.Name]
		if t.Phase != fleet.Ready || s == (engineSpeed{}) {
			continue
		}
		sum := sums[t.Role]
		sums[t.Role] = engineSpeed{sum.prefill + s.prefill, sum.decode + s.decode}
		counts[t.Role]++
	}
	for role, n := range counts {
		sums[role] = engineSpeed{sums[role].prefill / n, sums[role].decode / n}
	}
	return sums
}

// NeedsSummaries reports whether there are targets outside the subset, for which load
// summaries are needed.
func (p *Policy) NeedsSummaries() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subset.Len() > 0
}

// ApplySummaries passes load summaries of pools and data centres to the router. It skips
// those whose targets are all in the subset, as the targets' own reports are more
// precise.
func (p *Policy) ApplySummaries(rows []summary.Row) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		if p.subset.Covers(r.Pool, r.DataCentre) {
			continue
		}
		p.router.Step(now, route.Summary{Pool: r.Pool, DataCentre: r.DataCentre, Stage: r.Stage, ComputedAt: r.ComputedAt, MeanBacklog: r.Mean()})
	}
}
