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

// progressPeriod is the interval at which the counts of open windows are committed.
// If gateways and all replicas stop at once, the counts since the last commit are
// lost. With the report interval of gateways, that is at most one second of a window.
const progressPeriod = 500 * time.Millisecond

// windowCounts returns the counts of a window, from the reports of gateways to this
// replica and from the log. A gateway's count never decreases, so the higher one is
// used.
func (r *Registry) windowCounts(window int64) map[countKey]uint64 {
	out := r.machine.progressCounts(window)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, n := range r.reportedCounts[window] {
		out[key] = max(out[key], n)
	}
	return out
}

// commitProgress commits the counts of open windows that have changed.
func (r *Registry) commitProgress(ctx context.Context, now time.Time) {
	_, newestFinal := r.machine.unsent()
	newest := r.windowAt(now)
	for w := max(newestFinal+1, newest-maxLateWindows); w <= newest; w++ {
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

// progressCounts returns a copy of the committed counts of an open window.
func (m *stateMachine) progressCounts(window int64) map[countKey]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[countKey]uint64, len(m.openCounts[window]))
	maps.Copy(out, m.openCounts[window])
	return out
}

// firstOpen returns the number of the oldest open window with committed counts, or
// the given number if that is lower.
func (m *stateMachine) firstOpen(window int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.openCounts {
		window = min(window, w)
	}
	return window
}

// openWindows returns the number of open windows with committed counts.
func (m *stateMachine) openWindows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.openCounts)
}

// encodeProgress encodes counts as a matrix of gateways and customers. Each
// customer's name is written once, since every gateway has counts for most
// customers.
func encodeProgress(window int64, counts map[countKey]uint64) *wire.WindowProgress {
	columns := make(map[fleet.Customer]int)
	rows := make(map[gatewayRun][]uint64)
	for key := range counts {
		columns[key.customer] = 0
		rows[key.gateway] = nil
	}
	out := &wire.WindowProgress{Window: window}
	for i, c := range slices.Sorted(maps.Keys(columns)) {
		columns[c] = i
		out.Customers = append(out.Customers, string(c))
	}
	for g := range rows {
		rows[g] = make([]uint64, len(columns))
	}
	for key, n := range counts {
		rows[key.gateway][columns[key.customer]] = n
	}
	runs := slices.SortedFunc(maps.Keys(rows), func(a, b gatewayRun) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.run, b.run))
	})
	for _, run := range runs {
		out.Gateways = append(out.Gateways, &wire.GatewayProgress{Host: run.host, Run: run.run, Counts: rows[run]})
	}
	return out
}

// decodeProgress decodes the result of encodeProgress. It ignores counts without a
// customer, which encodeProgress does not write.
func decodeProgress(p *wire.WindowProgress) map[countKey]uint64 {
	out := make(map[countKey]uint64)
	customers := p.GetCustomers()
	for _, g := range p.GetGateways() {
		for i, n := range g.GetCounts() {
			if n > 0 && i < len(customers) {
				out[countKey{gatewayRun{g.GetHost(), g.GetRun()}, fleet.Customer(customers[i])}] = n
			}
		}
	}
	return out
}
