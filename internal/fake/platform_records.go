package fake

import (
	"cmp"
	"time"
)

// compareNames compares target names by length first, so that p10 follows p9.
func compareNames(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }

// Orders returns the accepted orders in order of arrival.
func (p *Platform) Orders() []PlatformOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlatformOrder(nil), p.orders...)
}

// UsageReports returns the usage reports in order of arrival.
func (p *Platform) UsageReports() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]UsageReport(nil), p.usage...)
}

// ConflictingUsage returns the reports that differ from the first report for the
// same customer and window.
func (p *Platform) ConflictingUsage() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	type usageKey struct{ customer, window string }
	first := make(map[usageKey]UsageReport)
	var conflicts []UsageReport
	for _, u := range p.usage {
		key := usageKey{u.Customer, u.Window}
		f, ok := first[key]
		if !ok {
			first[key] = u
			continue
		}
		f.At, f.Host = u.At, u.Host // a repetition arrives later, perhaps from another host
		if f != u {
			conflicts = append(conflicts, u)
		}
	}
	return conflicts
}

// DuplicateStarts returns the number of targets started by an order that had
// already started one.
func (p *Platform) DuplicateStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	byOrder := make(map[string]int)
	n := 0
	for _, t := range p.targets {
		if byOrder[t.OrderNumber]++; byOrder[t.OrderNumber] > 1 {
			n++
		}
	}
	return n
}

// Cost returns the cost of the time that all targets have been running until now,
// in the unit of PricePerHour.
func (p *Platform) Cost(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cost := 0.0
	for _, t := range p.targets {
		if t.RunningSince.IsZero() {
			continue
		}
		end := now
		if !t.StoppedAt.IsZero() {
			end = t.StoppedAt
		}
		cost += end.Sub(t.RunningSince).Hours() * p.PricePerHour[t.Pool]
	}
	return cost
}
