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
	"papayarock/core/quarantine"
	"papayarock/core/quota"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/core/work"
	"papayarock/io/upstream"
)

const (
	// expireInterval is the interval at which expired target records are removed and
	// connections to targets without a current record are closed.
	expireInterval = 10 * time.Second
	// recordTTL is how long a target record is kept without a new announcement. It is
	// long so that targets stay usable while the registry is unreachable. Whether such a
	// target still works is learned from the outcomes of requests.
	recordTTL = 2 * time.Minute
	// drainDelay is how long new connections are still accepted after Ready becomes
	// false. It covers the two failed probes, one second apart, after which the load
	// balancer stops sending connections.
	drainDelay = 2500 * time.Millisecond
	// answerMargin is how long before the end of a shutdown the requests without a response
	// are answered. It covers sending the responses.
	answerMargin = 200 * time.Millisecond
	// minWakeInterval is the minimum interval between checks of the queue by the timer of
	// scheduleWake.
	minWakeInterval = 2 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	DataCentre        fleet.DataCentre
	Regions           map[fleet.DataCentre]fleet.Region
	HeaderCodec       HeaderCodec
	DecodeCatalog     func(document []byte) (catalog.Document, error) // parses a catalog
	Upstream          *upstream.Pool
	Log               hclog.Logger
	Now               func() time.Time // wall clock, for usage windows
	ConnectedReplicas func() int       // returns the number of connected registry replicas; may be nil

	RetryRatio  float64       // retries allowed per request, across all gateways
	RetryBurst  float64       // retries allowed in a burst, across all gateways
	RetryWindow time.Duration // to which RetryRatio and RetryBurst apply
	UsageWindow time.Duration // length of a usage window; no usage is counted if zero
	// ScarceCapacity says that callers compete for too little capacity: queued requests of one
	// rank are ordered fairly between customers, and requests are placed by work.
	ScarceCapacity bool
	MemoryBytes    int64        // memory limit of the process; none if zero
	Quota          quota.Bounds // within which the limits of customers are enforced
}

// Gateway is an http.Handler that forwards requests from callers to targets. Create
// one with New.
type Gateway struct {
	options   Options
	log       hclog.Logger
	index     atomic.Pointer[catalog.Index]
	served    atomic.Uint64 // requests whose response from a target was forwarded completely
	refused   atomic.Uint64 // requests to which the gateway itself responded with status 503 or 429
	failed    atomic.Uint64 // requests to which the gateway itself responded with another 5xx status
	retried   atomic.Uint64 // attempts after the first of each request
	truncated atomic.Uint64 // requests whose response was aborted after its header was sent
	running   atomic.Int64  // requests in progress
	bodies    memoryShare   // of request bodies
	responses memoryShare   // of buffered responses and events

	stopping atomic.Bool
	draining shutdown
	usage    usageCounter
	metrics  *metrics
	quotas   *quotas

	mu            sync.Mutex
	roster        roster.Roster
	placer        *place.Placer
	observer      quarantine.Observer
	lengths       work.Lengths // of the responses of pools where requests are placed by work
	gateways      int          // number of gateways, as reported by the registry
	nextID        uint64
	waiting       map[uint64]chan place.Choice // queued requests, by placer id
	wakeScheduled bool                         // a timer is set to check the queue
	budgets       map[string]*retry.Budget     // by pool
	budgetsFullAt time.Time                    // when this gateway has its part of the burst of retries
}

// New returns a gateway without a catalog; it is not ready until UpdateCatalog has been
// called.
func New(o Options) *Gateway {
	return &Gateway{
		bodies: memoryShare{limit: o.MemoryBytes / bodyMemoryDivisor}, responses: memoryShare{limit: o.MemoryBytes / responseMemoryDivisor},
		options: o, log: o.Log, placer: place.New(o.DataCentre, o.Regions), gateways: 1, budgetsFullAt: time.Now().Add(o.RetryWindow),
		waiting: make(map[uint64]chan place.Choice), budgets: make(map[string]*retry.Budget),
		usage: usageCounter{window: o.UsageWindow}, metrics: newMetrics(), quotas: newQuotas(o.Quota),
	}
}

// CatalogVersion returns the version of the active catalog, or zero if there is none.
func (g *Gateway) CatalogVersion() uint64 {
	if x := g.index.Load(); x != nil {
		return x.Document.Version
	}
	return 0
}

// HeaderBytes returns the limit of a request head in the active catalog, or zero if there
// is none.
func (g *Gateway) HeaderBytes() int {
	if x := g.index.Load(); x != nil {
		return x.Document.Limits.HeaderBytes
	}
	return 0
}

// UpdateCatalog activates a document unless the active one is as new or newer. The
// registry has already validated it.
func (g *Gateway) UpdateCatalog(version uint64, document []byte) {
	if version <= g.CatalogVersion() {
		return
	}
	d, err := g.options.DecodeCatalog(document)
	if err != nil {
		g.log.Error("decoding catalog failed", "version", version, "bytes", len(document), "error", err)
		return
	}
	x := catalog.NewIndex(d)
	for {
		old := g.index.Load()
		if old != nil && old.Document.Version >= version {
			return
		}
		if g.index.CompareAndSwap(old, x) {
			g.quotas.setLimits(time.Now(), &g.index)
			g.log.Info("catalog activated", "version", version, "routes", len(d.Routes), "customers", len(d.Customers))
			return
		}
	}
}

// UpdateTargets applies the target records and the number of gateways that a registry
// replica has reported. Records older than the known ones are ignored.
func (g *Gateway) UpdateTargets(records []roster.Record, gateways int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var updated []roster.Record
	for _, r := range records {
		switch g.roster.Announce(r.Heard, r.Announcement) {
		case roster.Stale:
			continue
		case roster.Changed:
			g.log.Info("target changed", "target", r.Target, "condition", r.Condition, "role", r.Role, "address", r.Address)
		case roster.Refreshed:
		}
		if known, ok := g.roster.Get(r.Target); ok {
			updated = append(updated, known)
		}
	}
	// A count of zero is ignored. The retry burst is divided by the count, so with too
	// low a count the gateways together would exceed the burst.
	if gateways > 0 {
		g.gateways = gateways
		g.placer.SetGateways(now, gateways)
	}
	g.deliverGrants(g.placer.Update(now, updated))
}

// replicas returns the number of connected registry replicas, or zero if it is unknown.
// While none is connected, the catalog and the target records may be stale.
func (g *Gateway) replicas() int {
	if g.options.ConnectedReplicas == nil {
		return 0
	}
	return g.options.ConnectedReplicas()
}

// Serve periodically removes expired target records, and closes idle connections to
// targets that have no current record, until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expireInterval):
		}
		g.expireTargets(time.Now().Add(-recordTTL))
		g.options.Upstream.Retain(func(e upstream.Endpoint) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			r, ok := g.roster.Get(e.Target)
			return ok && r.Condition != roster.Left && r.Started.UnixMilli() == e.Started
		})
	}
}

// expireTargets forgets the targets that have not announced themselves since before, except
// those that may still work.
func (g *Gateway) expireTargets(before time.Time) {
	g.mu.Lock()
	g.roster.Expire(before)
	dropped := g.placer.Expire(before)
	g.mu.Unlock()
	for _, t := range dropped {
		g.log.Info("target forgotten, it fails and is not heard of any more", "target", t)
	}
}

// Ready reports whether the gateway should receive new connections.
func (g *Gateway) Ready() bool { return g.index.Load() != nil && !g.stopping.Load() }

// ServeReady responds to readiness probes of the load balancer: 200 or 503.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain makes Ready return false and waits until the load balancer has had time to
// notice, or until ctx ends. From the start of Drain, a connection is closed after the
// response to its next request. Drain does not close the listener.
//
// If ctx has a deadline, it is when the caller of Drain closes all connections. Requests
// without a response are answered shortly before, also after Drain has returned, and
// requests that arrive after Drain are rejected if they may take longer.
func (g *Gateway) Drain(ctx context.Context) {
	g.stopping.Store(true)
	g.log.Info("stopping", "running", g.running.Load())
	if end, ok := ctx.Deadline(); ok {
		g.draining.begin(end.Add(-answerMargin))
	}
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	g.draining.closed.Store(true)
	g.log.Info("not listening any more", "running", g.running.Load())
}

// acquireTarget returns a target for a request, which it queues if necessary. On
// success, reason is empty; otherwise it is the reason to refuse the request, and
// retryAt is when the caller may retry.
func (g *Gateway) acquireTarget(ctx context.Context, request place.Request) (c place.Choice, reason place.Reason, retryAt time.Time) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	d := g.placer.Offer(time.Now(), id, request)
	var granted chan place.Choice
	if d.Action == place.Wait {
		granted = make(chan place.Choice, 1)
		g.waiting[id] = granted
		g.scheduleWake()
	}
	g.mu.Unlock()
	switch d.Action {
	case place.Send:
		return d.Choice, "", time.Time{}
	case place.Refuse:
		return c, d.Reason, d.RetryAt
	case place.Wait:
	}
	timer := time.NewTimer(time.Until(d.Until))
	defer timer.Stop()
	select {
	case c = <-granted:
		return c, "", time.Time{}
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	earliest, withdrawn := g.placer.Withdraw(time.Now(), id, request.Pool)
	if !withdrawn {
		return <-granted, "", time.Time{} // the placer granted a target before Withdraw
	}
	return c, place.Full, earliest
}

// scheduleWake sets a timer, unless one is set, for the next time at which the placer
// may admit a queued request without any other event. The caller holds mu.
func (g *Gateway) scheduleWake() {
	at := g.placer.NextWake(time.Now())
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

// deliverGrants passes granted targets to the waiting requests. The caller holds mu.
func (g *Gateway) deliverGrants(grants []place.Grant) {
	for _, grant := range grants {
		if c := g.waiting[grant.ID]; c != nil {
			delete(g.waiting, grant.ID)
			c <- grant.Choice
		}
	}
}

// reportFirstEvent tells the placer that the first event of a response has arrived.
func (g *Gateway) reportFirstEvent(r roster.Record, e place.FirstEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverGrants(g.placer.RecordFirstEvent(time.Now(), r, e))
}

// reportOutcome tells the placer that a request at a target has ended.
func (g *Gateway) reportOutcome(r roster.Record, e place.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverGrants(g.placer.Finish(time.Now(), r, e))
}

// AddSightings records prefixes that other gateways have seen at engines.
func (g *Gateway) AddSightings(list []place.Sighting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.AddSightings(time.Now(), list)
}

// TakeSightings returns the prefixes that this gateway has seen at engines since the
// last call, for the registry.
func (g *Gateway) TakeSightings() []place.Sighting {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.TakeSightings()
}

// Evidence returns what this gateway knows of prompt segments that crash targets, and its
// version, for the registry.
func (g *Gateway) Evidence() (r quarantine.Report, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observer.Report(time.Now())
}

// ApplyVerdict applies the result of the evidence of all gateways.
func (g *Gateway) ApplyVerdict(v quarantine.Verdict) {
	g.mu.Lock()
	added := g.observer.Apply(time.Now(), v)
	g.mu.Unlock()
	for _, s := range added {
		g.log.Warn("rejecting requests with a prompt segment that crashes targets", "segment", s, "until", v.Quarantined[s])
	}
}

// UpdateEngines applies the backlogs of the other gateways at prefill engines, and the
// role changes in progress.
func (g *Gateway) UpdateEngines(others map[fleet.TargetName]place.Backlog, changes []place.RoleChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.SetRoleChanges(changes)
	g.deliverGrants(g.placer.SetBacklogs(time.Now(), others))
}

// Backlogs returns the backlogs of this gateway at prefill engines, for the registry.
func (g *Gateway) Backlogs() map[fleet.TargetName]place.Backlog {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer.Backlogs()
}

// budget returns the retry budget of a pool at now, adjusted to the number of gateways.
// The caller holds mu.
func (g *Gateway) budget(now time.Time, pool string) *retry.Budget {
	b := g.budgets[pool]
	if b == nil {
		b = &retry.Budget{FullAt: g.budgetsFullAt, Window: g.options.RetryWindow}
		g.budgets[pool] = b
	}
	b.Ratio = g.options.RetryRatio * retryBudgetFraction
	b.Burst = max(minBurst, g.options.RetryBurst*retryBudgetFraction/float64(g.placer.LimitGateways()))
	b.Advance(now)
	return b
}

// retryBudgetFraction is the fraction of the allowed retries that the gateways use. The
// limit applies to windows of callers' requests, but the gateways count over different
// windows. If they used the whole limit, they could exceed it within one of the windows
// to which it applies.
const retryBudgetFraction = 0.5

// minBurst stands for a burst of zero, which would select the default of retry.Budget.
const minBurst = 1e-9

// Dump is a diagnostic snapshot of a Gateway.
type Dump struct {
	Version   uint64
	Ready     bool
	Running   int64
	Waiting   int // queued requests
	BodyBytes int64
	Served    uint64
	Refused   uint64
	Failed    uint64
	Retried   uint64
	Cut       uint64 // requests whose response was truncated
	Gateways  int
	Targets   []roster.Record
	Idle      int    // idle connections to targets
	Dials     uint64 // attempts to connect to targets
	Reuses    uint64
}

// Dump returns a diagnostic snapshot of type Dump.
func (g *Gateway) Dump() any {
	d := Dump{
		Version: g.CatalogVersion(), Ready: g.Ready(), Running: g.running.Load(), BodyBytes: g.bodies.held.Load(),
		Served: g.served.Load(), Refused: g.refused.Load(), Failed: g.failed.Load(), Retried: g.retried.Load(),
		Cut: g.truncated.Load(), Idle: g.options.Upstream.Idle(), Dials: g.options.Upstream.Dials.Load(), Reuses: g.options.Upstream.Reuses.Load(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Waiting, d.Gateways, d.Targets = g.placer.Waiting(), g.gateways, g.roster.ChangedSince(0)
	return d
}
