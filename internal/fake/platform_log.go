package fake

import (
	"cmp"
	"time"
)

// compare orders target names by their number.
func compare(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }

// Orders returns the orders acted on, in their order of arrival.
func (p *Platform) Orders() []PlatformOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlatformOrder(nil), p.orders...)
}

// Usage returns the usage reports in their order of arrival.
func (p *Platform) Usage() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]UsageReport(nil), p.usage...)
}

// ConflictingUsage returns each report that differs from an earlier one of the
// same customer and window.
func (p *Platform) ConflictingUsage() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	type window struct{ customer, window string }
	first := make(map[window]UsageReport)
	var conflicts []UsageReport
	for _, u := range p.usage {
		w := window{u.Customer, u.Window}
		f, ok := first[w]
		if !ok {
			first[w] = u
			continue
		}
		f.At, f.Host = u.At, u.Host
		if f != u {
			conflicts = append(conflicts, u)
		}
	}
	return conflicts
}

// DuplicateStarts returns the number of targets started beyond the first under
// one order number.
func (p *Platform) DuplicateStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	byOrder := make(map[string]int)
	n := 0
	for _, t := range p.targets {
		if byOrder[t.Order]++; byOrder[t.Order] > 1 {
			n++
		}
	}
	return n
}

// Cost returns the price of all running time up to now, in currency units.
func (p *Platform) Cost(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := 0.0
	for _, t := range p.targets {
		if t.Running.IsZero() {
			continue
		}
		end := now
		if !t.Stopped.IsZero() {
			end = t.Stopped
		}
		cost += end.Sub(t.Running).Hours() * p.PricePerHour[t.Pool]
	}
	return cost
}
