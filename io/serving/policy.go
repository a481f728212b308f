package serving

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/admit"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/prefix"
	"papayarock/core/retry"
	"papayarock/core/route"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/io/link"
)

const (
	// tickInterval is how often the queues are checked for requests that may start or
	// must be rejected. It adds to the time to first token, for which the objective is
	// 0.33 s.
	tickInterval = 5 * time.Millisecond
	// shareInterval is how often the entry renews its share of the customer limits.
	// shareTTL is how long a share is valid; one renewal may fail without a loss of the
	// share. A longer TTL delays new entries, since the larger shares that the other
	// entries hold must expire first: with a TTL of 20 s, a new entry rejected customers
	// with a limit for 20 s.
	shareInterval = 3 * time.Second
	shareTTL      = 8 * time.Second
	// shareRetryInterval is the pause after a renewal that was not granted.
	shareRetryInterval = 500 * time.Millisecond
	// bytesPerToken is used to estimate the number of prompt tokens before the
	// engine has counted them.
	bytesPerToken = 4
)

// Speeds assumed for an engine until its first load report, in tokens/s. They are high,
// because with low ones the queue would reject requests that can be served.
const (
	assumedPrefillSpeed = 20_000
	assumedDecodeSpeed  = 5_000
)

// ShareGranter grants the entry its share of the customer limits.
type ShareGranter interface {
	// Share requests a share that is valid from now to until. held is the share that the
	// entry applies at present, in parts of state.ShareUnit, or 0 if there is none.
	Share(ctx context.Context, now, until time.Time, held uint32) (state.ShareResult, error)
}

// Options configures a Policy.
type Options struct {
	Host       fleet.Host
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Links      *link.Pool
	Random     *rand.Rand // nil means a random seed
	Log        hclog.Logger
}

// Policy decides for one entry when a request starts, which target serves it and whether
// it is retried. It implements entry.Admitter, entry.FirstByteObserver,
// entry.DisaggregatedPicker and entry.Retrier. Create one with New.
type Policy struct {
	ShareGranter ShareGranter // nil if the entry uses no control replicas; set before Serve

	options Options
	mu      sync.Mutex
	// guarded by mu
	index        *config.Index
	subset       route.Subset
	router       *route.Router
	budget       retry.Budget
	pools        map[string]*poolState
	requests     map[fleet.RequestID]*requestState
	speeds       map[fleet.TargetName]engineSpeed
	cursors      map[fleet.TargetName]cacheCursor // of the prefix caches that are polled
	kvTransfers  uint64                           // attempted KV cache transfers between engines
	resyncs      uint64                           // times that missing cache changes were found
	demand       map[demandKey]demandTotals
	contacts     map[fleet.TargetName]watch.Contact // since the previous call of Contacts
	lastDemand   time.Time                          // time of the previous call of Demand
	limits       admit.Limits
	shareParts   uint32    // share of the customer limits, in parts of state.ShareUnit
	shareExpires time.Time // zero before the first share
}

// engineSpeed is the speed that an engine has reported, in tokens/s.
type engineSpeed struct{ prefill, decode float64 }

// requestState is the state of a queued or admitted request.
type requestState struct {
	pool                string
	route               string
	class               fleet.Class
	prompt              float64 // tokens
	decision            chan admit.Action
	choice              route.Choice
	chosen              bool
	decodeOnly          bool      // another target performed the prefill
	routerHasFirstToken bool      // the first token from this choice has been reported to the router
	queueHasFirstToken  bool      // the first token has been reported to the queue
	assumedFirstToken   time.Time // when a first token is assumed, for a response that is not streamed
}

// New returns a Policy without a configuration. It has no targets until
// ApplyConfiguration is called.
func New(o Options) *Policy {
	if o.Random == nil {
		var seed [16]byte
		_, _ = crand.Read(seed[:]) // crypto/rand.Read never fails
		o.Random = rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	}
	return &Policy{
		options: o,
		router: route.New(route.Options{
			DataCentre: o.DataCentre, Region: o.Region, Random: o.Random, BlockTokens: prefix.BlockTokens,
		}),
		pools:      make(map[string]*poolState),
		requests:   make(map[fleet.RequestID]*requestState),
		speeds:     make(map[fleet.TargetName]engineSpeed),
		cursors:    make(map[fleet.TargetName]cacheCursor),
		demand:     make(map[demandKey]demandTotals),
		contacts:   make(map[fleet.TargetName]watch.Contact),
		shareParts: state.ShareUnit,
	}
}

// ApplyConfiguration applies a configuration if it is newer than the current one.
func (p *Policy) ApplyConfiguration(x *config.Index) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index != nil && x.Revision <= p.index.Revision {
		return
	}
	p.index = x
	p.subset = route.SelectSubset(route.Node{Host: p.options.Host, DataCentre: p.options.DataCentre, Region: p.options.Region}, x.Targets(), route.SubsetSize)
	p.router.Step(now, route.Configure{Targets: x.Targets(), Subset: p.subset})
	for name, ps := range p.pools {
		ps.queue.Step(now, admit.Configure{Customers: x.Customers(), Windows: x.General.Windows})
		p.updateCapacity(now, name, ps)
	}
	p.grantLimits(now)
}

// Serve runs the periodic work until ctx is done: checks of the queues, polls of loads and
// prefix caches, and renewals of the share.
func (p *Policy) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.pollLoads(ctx) })
	wg.Go(func() { p.pollCaches(ctx) })
	if p.ShareGranter != nil {
		wg.Go(func() { p.renewShare(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.tick(time.Now())
		}
	}
}

// renewShare renews the share until ctx is done. A share that differs from the one
// reported as held is confirmed to control with an early renewal.
func (p *Policy) renewShare(ctx context.Context) {
	held := uint32(0)
	for {
		next := shareInterval
		now := time.Now()
		call, cancel := context.WithTimeout(ctx, shareInterval)
		result, err := p.ShareGranter.Share(call, now, now.Add(shareTTL), held)
		cancel()
		switch {
		case err != nil:
			p.options.Log.Warn("share of customer limits not renewed", "error", err)
		case result.Granted:
			p.applyShare(time.Now(), result.Share)
			if result.Share.Parts != held {
				held, next = result.Share.Parts, shareRetryInterval
			}
		default:
			next = shareRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// Dump is the state of a Policy as shown to operators.
type Dump struct {
	Revision   uint64
	Flights    int            // number of queued or admitted requests
	Waiting    map[string]int // number of queued requests by pool
	Firsts     uint64         // first attempts
	Retries    uint64
	ShareParts uint32 // in parts of state.ShareUnit
	ShareUntil time.Time
	Speeds     map[fleet.TargetName]string
	Subset     int                       // number of targets in the subset; 0 means all
	Crossed    map[fleet.Customer]uint64 // bytes sent across regions
	Caches     int                       // number of engines whose prefix cache is polled
	Moves      uint64                    // attempted KV cache transfers between engines
	Resyncs    uint64                    // times that missing cache changes were found
}

// Dump returns a copy of the state as a value of type Dump.
func (p *Policy) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{
		Flights: len(p.requests), Waiting: make(map[string]int), Firsts: p.budget.FirstAttempts, Retries: p.budget.Retries,
		ShareParts: p.shareParts, ShareUntil: p.shareExpires, Subset: p.subset.Len(), Speeds: make(map[fleet.TargetName]string),
		Crossed: make(map[fleet.Customer]uint64), Caches: len(p.cursors), Resyncs: p.resyncs, Moves: p.kvTransfers,
	}
	if p.index != nil {
		d.Revision = p.index.Revision
	}
	for name, ps := range p.pools {
		d.Waiting[name] = ps.queue.Waiting()
	}
	for name, s := range p.speeds {
		d.Speeds[name] = formatSpeed(s)
	}
	for c, n := range p.router.CrossRegionBytes {
		d.Crossed[c] = n
	}
	return d
}
