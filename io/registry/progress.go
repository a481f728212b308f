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

// progressPeriod is how often the figures of windows that are not fixed are
// committed. With the period of the gateways' reports it bounds what is lost when
// gateways and all replicas end together: a second of a window.
const progressPeriod = 500 * time.Millisecond

// figures returns what is known of a window by its sources: what gateways have
// reported to this replica, and what was committed. A source's figure only grows.
func (r *Registry) figures(window int64) map[source]uint64 {
	out := r.machine.progressOf(window)
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, n := range r.counts[window] {
		out[s] = max(out[s], n)
	}
	return out
}

// commitProgress commits the figures of the windows that are not fixed and have
// changed.
func (r *Registry) commitProgress(ctx context.Context, now time.Time) {
	_, closed := r.machine.unsent()
	newest := r.windowAt(now)
	for w := max(closed+1, newest-maxLate); w <= newest; w++ {
		figures := r.figures(w)
		if maps.Equal(figures, r.machine.progressOf(w)) {
			continue
		}
		err := r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Progress{Progress: encodeProgress(w, figures)}})
		if err != nil {
			r.log.Warn("usage figures not committed", "window", w, "sources", len(figures), "error", err)
			return
		}
	}
}

// progressOf returns a copy of the committed figures of a window.
func (m *machine) progressOf(window int64) map[source]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[source]uint64, len(m.progress[window]))
	maps.Copy(out, m.progress[window])
	return out
}

// firstOpen returns the oldest window with committed figures, or the given one if
// that is older.
func (m *machine) firstOpen(window int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.progress {
		window = min(window, w)
	}
	return window
}

// counting returns the number of windows with committed figures.
func (m *machine) counting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.progress)
}

// encodeProgress writes each customer's name once, since every gateway counts
// for most customers.
func encodeProgress(window int64, figures map[source]uint64) *wire.WindowProgress {
	column := make(map[fleet.Customer]int)
	rows := make(map[gateway][]uint64)
	for s := range figures {
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
	for s, n := range figures {
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

// decodeProgress ignores figures beyond the customers, which no replica writes.
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
