package gateway

import (
	"maps"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/roles"
	"papayarock/io/wire"
)

// retainedWindows is the number of past usage windows that a gateway keeps and reports
// in addition to the newest one. It covers the windows whose counts may not be final.
const retainedWindows = 4

// usageCounter counts requests whose execution has started, by usage window and
// customer. Requests without a customer are not counted.
type usageCounter struct {
	window time.Duration // length of a usage window; nothing is counted if zero

	mu     sync.Mutex
	counts map[int64]map[fleet.Customer]uint64 // by window number, which is the Unix time divided by window
}

// add counts a request whose execution started at t.
func (u *usageCounter) add(t time.Time, c fleet.Customer) {
	if u.window <= 0 || c == "" {
		return
	}
	n := t.UnixMilli() / u.window.Milliseconds()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[int64]map[fleet.Customer]uint64)
	}
	if u.counts[n] == nil {
		u.counts[n] = make(map[fleet.Customer]uint64)
		maps.DeleteFunc(u.counts, func(w int64, _ map[fleet.Customer]uint64) bool { return w < n-retainedWindows })
	}
	u.counts[n][c]++
}

// UsageCounts returns the counts of the retained usage windows, for the registry.
func (g *Gateway) UsageCounts() []*wire.FeedCount {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	var out []*wire.FeedCount
	for n, counts := range g.usage.counts {
		for c, k := range counts {
			out = append(out, &wire.FeedCount{Window: n, Customer: string(c), Count: k})
		}
	}
	return out
}

// Loads returns the load on engines by pool, for the registry.
func (g *Gateway) Loads() map[string]roles.Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Counters(time.Now())
}
