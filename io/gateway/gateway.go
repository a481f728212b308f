package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/io/upstream"
)

const (
	// expireInterval is the interval at which expired target records and connections are
	// removed.
	expireInterval = 10 * time.Second
	// recordTTL is how long a target record is kept without a new announcement. It
	// is long because the registry may be unreachable; request outcomes show whether
	// the target still serves.
	recordTTL = 2 * time.Minute
	// drainDelay is how long new connections are still accepted after readiness is
	// turned off: the load balancer probes once a second and needs two failures.
	drainDelay = 2500 * time.Millisecond
	// minWakeInterval is the minimum interval between timer-driven checks for
	// slots that become free through the passage of time alone.
	minWakeInterval = 2 * time.Millisecond
	// bodyMemoryDivisor divides the memory limit: buffered request bodies may use
	// one part in this many.
	bodyMemoryDivisor = 4
)

// Options configure a Gateway.
type Options struct {
	DataCentre fleet.DataCentre
	Regions    map[fleet.DataCentre]fleet.Region
	Dialect    Dialect
	Decode     func(document []byte) (catalog.Document, error)
	Conns      *upstream.Pool
	Log        hclog.Logger
	Now        func() time.Time // wall clock, for usage windows
	Replicas   func() int       // number of registry replicas currently followed; nil if unknown

	RetryShare  float64 // retries allowed per request, across all gateways
	RetrySlack  float64 // retries allowed in a burst, across all gateways
	UsageWindow time.Duration
	MemoryBytes int64 // memory limit of the process
}

// Gateway is an http.Handler that forwards requests from callers to targets. Create
// one with New.
type Gateway struct {
	options   Options
	log       hclog.Logger
	index     atomic.Pointer[catalog.Index]
	served    atomic.Uint64
	refused   atomic.Uint64
	failed    atomic.Uint64
	retried   atomic.Uint64
	truncated atomic.Uint64
	running   atomic.Int64
	bodyBytes atomic.Int64 // bytes of request bodies in memory

	stopping atomic.Bool
	usage    usageCounter
	metrics  *metrics

	mu            sync.Mutex
	roster        roster.Roster
	placer        *place.Placer
	gateways      int
	nextID        uint64
	waiting       map[uint64]chan roster.Record
	wakeScheduled bool // a timer is set to check for free slots
	budgets       map[string]*retry.Budget
}

// New returns a gateway without a catalog; it is not ready until Catalog has been
// called.
func New(o Options) *Gateway {
	return &Gateway{
		options: o, log: o.Log, placer: place.New(o.DataCentre, o.Regions), gateways: 1,
		waiting: make(map[uint64]chan roster.Record), budgets: make(map[string]*retry.Budget),
		usage: usageCounter{window: o.UsageWindow}, metrics: newMetrics(),
	}
}

// Version returns the version of the active catalog, or zero if there is none.
func (g *Gateway) Version() uint64 {
	if x := g.index.Load(); x != nil {
		return x.Document.Version
	}
	return 0
}

// Catalog activates a document unless the active one is as new or newer. The
// registry has already validated it.
func (g *Gateway) Catalog(version uint64, document []byte) {
	if version <= g.Version() {
		return
	}
	d, err := g.options.Decode(document)
	if err != nil {
		g.log.Error("catalog not used", "version", version, "bytes", len(document), "error", err)
		return
	}
	x := catalog.NewIndex(d)
	for {
		old := g.index.Load()
		if old != nil && old.Document.Version >= version {
			return
		}
		if g.index.CompareAndSwap(old, x) {
			g.log.Info("catalog in force", "version", version, "routes", len(d.Routes), "customers", len(d.Customers))
			return
		}
	}
}

// Targets applies target records and the number of gateways reported by a registry
// replica.
func (g *Gateway) Targets(records []roster.Record, gateways int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var updated []roster.Record
	for _, r := range records {
		switch g.roster.Announce(r.Heard, r.Announcement) {
		case roster.Stale:
			continue
		case roster.Changed:
			g.log.Info("target learned", "target", r.Target, "condition", r.Condition, "role", r.Role, "address", r.Address)
		case roster.Refreshed:
		}
		if known, ok := g.roster.Get(r.Target); ok {
			updated = append(updated, known)
		}
	}
	// The retry budget is divided by the number of gateways: with too low a count,
	// each gateway would use too much of it.
	if gateways > 0 && gateways != g.gateways {
		g.gateways = gateways
		g.placer.SetGateways(gateways)
	}
	g.deliverGrants(g.placer.Update(now, updated))
}

// replicas returns the number of registry replicas that are followed. With zero,
// the catalog and the targets may be stale.
func (g *Gateway) replicas() int {
	if g.options.Replicas == nil {
		return 0
	}
	return g.options.Replicas()
}

// Serve removes expired target records and connections periodically until ctx is
// done.
func (g *Gateway) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expireInterval):
		}
		g.mu.Lock()
		g.roster.Expire(time.Now().Add(-recordTTL))
		g.mu.Unlock()
		g.options.Conns.Retain(func(e upstream.Endpoint) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			r, ok := g.roster.Get(e.Target)
			return ok && r.Condition != roster.Left && r.Started.UnixMilli() == e.Started
		})
	}
}

// Ready reports whether the gateway should receive new connections.
func (g *Gateway) Ready() bool { return g.index.Load() != nil && !g.stopping.Load() }

// ServeReady handles readiness probes of the load balancer.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop turns readiness off and returns when the load balancer has had time to
// notice, or when ctx is done. Each connection is closed after its current response.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopping.Store(true)
	g.log.Info("stopping", "running", g.running.Load())
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	g.log.Info("not listening any more", "running", g.running.Load())
}

// acquireTarget returns a target for a request, queueing if necessary. On success
// the reason is empty and retryAt is zero.
func (g *Gateway) acquireTarget(ctx context.Context, a place.Request) (r roster.Record, reason place.Reason, retryAt time.Time) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	d := g.placer.Offer(time.Now(), id, a)
	var granted chan roster.Record
	if d.Action == place.Wait {
		granted = make(chan roster.Record, 1)
		g.waiting[id] = granted
		g.scheduleWake()
	}
	g.mu.Unlock()
	switch d.Action {
	case place.Send:
		return d.Target, "", time.Time{}
	case place.Refuse:
		return r, d.Reason, d.RetryAt
	case place.Wait:
	}
	timer := time.NewTimer(time.Until(d.Until))
	defer timer.Stop()
	select {
	case r = <-granted:
		return r, "", time.Time{}
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	at, withdrawn := g.placer.Withdraw(time.Now(), id, a.Pool)
	if !withdrawn {
		return <-granted, "", time.Time{} // granted concurrently
	}
	return r, place.Full, at
}

// scheduleWake sets a timer for the placer's next check for slots that become free
// through the passage of time alone. The caller holds mu.
func (g *Gateway) scheduleWake() {
	at := g.placer.Wake()
	if at.IsZero() || g.wakeScheduled {
		return
	}
	g.wakeScheduled = true
	time.AfterFunc(max(minWakeInterval, time.Until(at)), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wakeScheduled = false
		g.deliverGrants(g.placer.Tick(time.Now()))
		g.scheduleWake()
	})
}

// deliverGrants hands targets to queued requests. The caller holds mu.
func (g *Gateway) deliverGrants(list []place.Grant) {
	for _, x := range list {
		if c := g.waiting[x.ID]; c != nil {
			delete(g.waiting, x.ID)
			c <- x.Target
		}
	}
}

// reportFirstEvent reports to the placer the first event of a request at a target.
func (g *Gateway) reportFirstEvent(r roster.Record, took, connect, objective time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverGrants(g.placer.FirstEvent(time.Now(), r, took, connect, objective))
}

// reportOutcome reports to the placer the end of a request at a target.
func (g *Gateway) reportOutcome(r roster.Record, o place.Outcome, begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverGrants(g.placer.Finish(time.Now(), r, o, begun))
}

// budget returns the retry budget of a pool. The caller holds mu.
func (g *Gateway) budget(pool string) *retry.Budget {
	b := g.budgets[pool]
	fresh := b == nil
	if fresh {
		b = &retry.Budget{}
		g.budgets[pool] = b
	}
	b.Ratio, b.Burst = g.options.RetryShare*retryBudgetFraction, max(1, g.options.RetrySlack*retryBudgetFraction/float64(max(1, g.gateways)))
	if fresh {
		b.Fill()
	}
	return b
}

// retryBudgetFraction is the fraction of the allowed retries that is used. The limit
// is checked over windows of callers' requests whose boundaries differ from those
// of the gateways, so using all of it could exceed the limit in some window.
const retryBudgetFraction = 0.5

// Dump is a diagnostic snapshot of a Gateway.
type Dump struct {
	Version   uint64
	Ready     bool
	Running   int64
	Waiting   int
	BodyBytes int64
	Served    uint64
	Refused   uint64
	Failed    uint64
	Retried   uint64
	Cut       uint64
	Gateways  int
	Targets   []roster.Record
	Idle      int // idle connections to targets
	Dials     uint64
	Reuses    uint64
}

// Dump returns a diagnostic snapshot of type Dump.
func (g *Gateway) Dump() any {
	d := Dump{
		Version: g.Version(), Ready: g.Ready(), Running: g.running.Load(), BodyBytes: g.bodyBytes.Load(),
		Served: g.served.Load(), Refused: g.refused.Load(), Failed: g.failed.Load(), Retried: g.retried.Load(),
		Cut: g.truncated.Load(), Idle: g.options.Conns.Idle(), Dials: g.options.Conns.Dials.Load(), Reuses: g.options.Conns.Reuses.Load(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Waiting, d.Gateways, d.Targets = g.placer.Waiting(), g.gateways, g.roster.Since(0)
	return d
}
