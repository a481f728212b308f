package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
	"papayarock/io/link"
)

// drawn returns the ready targets of the entry's subset.
func (p *Policy) drawn() []fleet.Target {
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

// retain drops sessions with agents of targets that are outside the subset and
// were chosen a while ago.
func (p *Policy) retain(drawn []fleet.Target) {
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
	for _, t := range drawn {
		agents[address(t)] = true
	}
	p.o.Links.Retain(time.Now(), func(a link.Address) bool {
		drawn, agent := agents[a]
		return drawn || !agent // the pool also holds sessions with control
	})
}

func address(t fleet.Target) link.Address { return link.Address{Host: t.Host, AddrPort: t.Agent} }

// assumed returns the mean speeds of a pool's targets by role, for those outside
// the subset, which do not report to this entry.
func (p *Policy) assumed(pool string) map[fleet.Role]speed {
	if p.subset.Len() == 0 {
		return nil
	}
	sums, counts := make(map[fleet.Role]speed), make(map[fleet.Role]float64)
	for _, t := range p.index.Pool(pool) {
		s := p.speeds[t.Name]
		if t.Phase != fleet.Ready || s == (speed{}) {
			continue
		}
		sum := sums[t.Role]
		sums[t.Role] = speed{sum.prefill + s.prefill, sum.decode + s.decode}
		counts[t.Role]++
	}
	for role, n := range counts {
		sums[role] = speed{sums[role].prefill / n, sums[role].decode / n}
	}
	return sums
}

// WantsSummaries says whether there are targets outside the subset.
func (p *Policy) WantsSummaries() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subset.Len() > 0
}

// Summarised passes summaries of load to the router. Where all targets are in the
// subset, their own reports tell more.
func (p *Policy) Summarised(rows []summary.Row) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		if p.subset.Covers(r.Pool, r.DataCentre) {
			continue
		}
		p.router.Step(now, route.Summary{Pool: r.Pool, DataCentre: r.DataCentre, Stage: r.Stage, Taken: r.ComputedAt, MeanBacklog: r.Mean()})
	}
}
