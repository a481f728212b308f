package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

// progressPeriod is the interval at which the counts of windows that are not
// final are committed. Together with the report interval of gateways it limits
// the loss when gateways and all replicas stop at once to one second of a window.
const progressPeriod = 500 * time.Millisecond

// windowCounts returns the counts of a window by source, from the reports of
// gateways to this replica and from the log. A source's count never decreases,
// so the higher one is used.
func (r *Registry) windowCounts(window int64) map[source]uint64 {
	out := r.machine.progressCounts(window)
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, n := range r.counts[window] {
		out[s] = max(out[s], n)
	}
	return out
}

// commitProgress commits the changed counts of windows that are not final.
func (r *Registry) commitProgress(ctx context.Context, now time.Time) {
	_, closed := r.machine.unsent()
	newest := r.windowAt(now)
	for w := max(closed+1, newest-maxLateWindows); w <= newest; w++ {
		counts := r.windowCounts(w)
		if maps.Equal(counts, r.machine.progressCounts(w)) {
			continue
		}
		err := r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Progress{Progress: encodeProgress(w, counts)}})
		if err != nil {
			r.log.Warn("usage figures not committed", "window", w, "sources", len(counts), "error", err)
			return
		}
	}
}

// progressCounts returns a copy of the committed counts of a window.
func (m *stateMachine) progressCounts(window int64) map[source]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[source]uint64, len(m.progress[window]))
	maps.Copy(out, m.progress[window])
	return out
}

// firstOpen returns the oldest window that has committed counts and is not final,
// or the given window if that is older.
func (m *stateMachine) firstOpen(window int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.progress {
		window = min(window, w)
	}
	return window
}

// openWindows returns the number of windows with committed counts that are not
// final.
func (m *stateMachine) openWindows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.progress)
}

// encodeProgress encodes counts as a matrix of gateways and customers. Each
// customer's name is written once, since every gateway has counts for most
// customers.
func encodeProgress(window int64, counts map[source]uint64) *wire.WindowProgress {
	column := make(map[fleet.Customer]int)
	rows := make(map[gateway][]uint64)
	for s := range counts {
		column[s.customer] = 0
		rows[s.gateway] = nil
	}
	out := &wire.WindowProgress{Window: window}
	for i, c := range slices.Sorted(maps.Keys(column)) {
		column[c] = i
		out.Customers = append(out.Customers, string(c))
	}
	for g := range rows {
		rows[g] = make([]uint64, len(column))
	}
	for s, n := range counts {
		rows[s.gateway][column[s.customer]] = n
	}
	order := slices.SortedFunc(maps.Keys(rows), func(a, b gateway) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.run, b.run))
	})
	for _, g := range order {
		out.Gateways = append(out.Gateways, &wire.GatewayProgress{Host: g.host, Run: g.run, Counts: rows[g]})
	}
	return out
}

// decodeProgress ignores counts without a customer, which no replica writes.
func decodeProgress(p *wire.WindowProgress) map[source]uint64 {
	out := make(map[source]uint64)
	customers := p.GetCustomers()
	for _, g := range p.GetGateways() {
		for i, n := range g.GetCounts() {
			if n > 0 && i < len(customers) {
				out[source{gateway{g.GetHost(), g.GetRun()}, fleet.Customer(customers[i])}] = n
			}
		}
	}
	return out
}
