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
	// expirePeriod is how often old records and connections are dropped.
	expirePeriod = 10 * time.Second
	// forgetAfter is how long a target is remembered without an announcement.
	// The registry may be away; outcomes tell whether the target still serves.
	forgetAfter = 2 * time.Minute
	// readyDelay is how long new connections are still served after readiness
	// is off: the balancer asks once a second and needs two answers.
	readyDelay = 2500 * time.Millisecond
	// leastPause is the least time between two looks for places that become free
	// by time alone.
	leastPause = 2 * time.Millisecond
	// bodyShare is the part of the memory limit that bodies may use.
	bodyShare = 4
)

// Options configure a Gateway.
type Options struct {
	DataCentre fleet.DataCentre
	Regions    map[fleet.DataCentre]fleet.Region
	Dialect    Dialect
	Decode     func(document []byte) (catalog.Document, error)
	Conns      *upstream.Pool
	Log        hclog.Logger
	Now        func() time.Time // time of day, for usage windows
	Replicas   func() int       // replicas of the registry that are followed now; nil if not known

	RetryShare  float64 // extra sends for each request, over all gateways
	RetrySlack  float64 // extra sends at any time, over all gateways
	UsageWindow time.Duration
	MemoryBytes int64 // limit of the process
}

// Gateway serves callers. Use New to make one.
type Gateway struct {
	o       Options
	log     hclog.Logger
	index   atomic.Pointer[catalog.Index]
	served  atomic.Uint64
	refused atomic.Uint64
	failed  atomic.Uint64
	retried atomic.Uint64
	cut     atomic.Uint64
	running atomic.Int64
	bodies  atomic.Int64 // bytes held

	stopping atomic.Bool
	usage    tally
	metrics  *metrics

	mu       sync.Mutex
	roster   roster.Roster
	placer   *place.Placer
	gateways int
	nextID   uint64
	waiting  map[uint64]chan roster.Record
	armed    bool // a timer looks for free places
	budgets  map[string]*retry.Budget
}

// New returns a gateway that knows no catalog yet.
func New(o Options) *Gateway {
	return &Gateway{
		o: o, log: o.Log, placer: place.New(o.DataCentre, o.Regions), gateways: 1,
		waiting: make(map[uint64]chan roster.Record), budgets: make(map[string]*retry.Budget),
		usage: tally{window: o.UsageWindow}, metrics: newMetrics(),
	}
}

// Version returns the version of the catalog in force; zero for none.
func (g *Gateway) Version() uint64 {
	if x := g.index.Load(); x != nil {
		return x.Document.Version
	}
	return 0
}

// Catalog puts a document in force unless a newer one is. The registry has
// checked it.
func (g *Gateway) Catalog(version uint64, document []byte) {
	if version <= g.Version() {
		return
	}
	d, err := g.o.Decode(document)
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

// Targets takes records of targets and the number of gateways that a registry
// replica sees.
func (g *Gateway) Targets(records []roster.Record, gateways int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var news []roster.Record
	for _, r := range records {
		switch g.roster.Announce(r.Heard, r.Announcement) {
		case roster.Stale:
			continue
		case roster.Changed:
			g.log.Info("target learned", "target", r.Target, "condition", r.Condition, "role", r.Role, "address", r.Address)
		case roster.Refreshed:
		}
		if known, ok := g.roster.Get(r.Target); ok {
			news = append(news, known)
		}
	}
	// Fewer gateways than are seen would let each use too much of the budget.
	if gateways > 0 && gateways != g.gateways {
		g.gateways = gateways
		g.placer.SetGateways(gateways)
	}
	g.grant(g.placer.Update(now, news))
}

// replicas returns how many replicas of the registry are followed: with none, the
// catalog and the targets may be out of date.
func (g *Gateway) replicas() int {
	if g.o.Replicas == nil {
		return 0
	}
	return g.o.Replicas()
}

// Serve forgets what is out of date until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(expirePeriod):
		}
		g.mu.Lock()
		g.roster.Expire(time.Now().Add(-forgetAfter))
		g.mu.Unlock()
		g.o.Conns.Retain(func(e upstream.Endpoint) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			r, ok := g.roster.Get(e.Target)
			return ok && r.Condition != roster.Left && r.Started.UnixMilli() == e.Started
		})
	}
}

// Ready reports whether new connections should be sent here.
func (g *Gateway) Ready() bool { return g.index.Load() != nil && !g.stopping.Load() }

// ServeReady answers the balancer.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop turns readiness off and serves until the balancer has noticed or ctx
// ends. Connections are closed after the answer that runs.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopping.Store(true)
	g.log.Info("stopping", "running", g.running.Load())
	select {
	case <-time.After(readyDelay):
	case <-ctx.Done():
	}
	g.log.Info("not listening any more", "running", g.running.Load())
}

// place returns a target for a request, after a wait if need be. The reason is
// empty if there is one; retryAt is then zero.
func (g *Gateway) place(ctx context.Context, a place.Request) (r roster.Record, reason place.Reason, retryAt time.Time) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	d := g.placer.Offer(time.Now(), id, a)
	var granted chan roster.Record
	if d.Action == place.Wait {
		granted = make(chan roster.Record, 1)
		g.waiting[id] = granted
		g.arm()
	}
	g.mu.Unlock()
	switch d.Action {
	case place.Send:
		return d.Target, "", time.Time{}
	case place.Refuse:
		return r, d.Reason, d.RetryAt
	case place.Wait:
	}
	late := time.NewTimer(time.Until(d.Until))
	defer late.Stop()
	select {
	case r = <-granted:
		return r, "", time.Time{}
	case <-ctx.Done():
	case <-late.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	at, withdrawn := g.placer.Withdraw(time.Now(), id, a.Pool)
	if !withdrawn {
		return <-granted, "", time.Time{} // granted in the meantime
	}
	return r, place.Full, at
}

// arm has the placer look again when a place becomes free by time alone. The
// caller holds mu.
func (g *Gateway) arm() {
	at := g.placer.Wake()
	if at.IsZero() || g.armed {
		return
	}
	g.armed = true
	time.AfterFunc(max(leastPause, time.Until(at)), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.armed = false
		g.grant(g.placer.Tick(time.Now()))
		g.arm()
	})
}

// grant wakes waiting requests. The caller holds mu.
func (g *Gateway) grant(list []place.Grant) {
	for _, x := range list {
		if c := g.waiting[x.ID]; c != nil {
			delete(g.waiting, x.ID)
			c <- x.Target
		}
	}
}

// begun reports the first event of a request at a target.
func (g *Gateway) begun(r roster.Record, took, connect, objective time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(g.placer.FirstEvent(time.Now(), r, took, connect, objective))
}

// finish reports the end of a request at a target.
func (g *Gateway) finish(r roster.Record, o place.Outcome, begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(g.placer.Finish(time.Now(), r, o, begun))
}

// budget returns the budget of extra sends to a pool. The caller holds mu.
func (g *Gateway) budget(pool string) *retry.Budget {
	b := g.budgets[pool]
	fresh := b == nil
	if fresh {
		b = &retry.Budget{}
		g.budgets[pool] = b
	}
	b.Ratio, b.Burst = g.o.RetryShare*retryUse, max(1, g.o.RetrySlack*retryUse/float64(max(1, g.gateways)))
	if fresh {
		b.Fill()
	}
	return b
}

// retryUse is the part of the allowed extra sends that is used: requests that
// callers sent are counted by windows whose edges differ from those of gateways.
const retryUse = 0.5

// Dump is the state of a Gateway for operators.
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
	Idle      int // connections
	Dials     uint64
	Reuses    uint64
}

// Dump returns a copy of the state, of type Dump.
func (g *Gateway) Dump() any {
	d := Dump{
		Version: g.Version(), Ready: g.Ready(), Running: g.running.Load(), BodyBytes: g.bodies.Load(),
		Served: g.served.Load(), Refused: g.refused.Load(), Failed: g.failed.Load(), Retried: g.retried.Load(),
		Cut: g.cut.Load(), Idle: g.o.Conns.Idle(), Dials: g.o.Conns.Dials.Load(), Reuses: g.o.Conns.Reuses.Load(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Waiting, d.Gateways, d.Targets = g.placer.Waiting(), g.gateways, g.roster.Since(0)
	return d
}
