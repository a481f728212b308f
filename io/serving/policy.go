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
	// tickInterval is how often queued requests are checked. It adds to the time to
	// first token, for which the objective is 0.33 s.
	tickInterval = 5 * time.Millisecond
	// shareInterval is how often the entry renews its share of the customer limits,
	// and shareTTL how long a share is valid, so that one renewal may fail. A new
	// entry must wait for the larger shares of the others to expire: with a TTL of
	// 20 s, a new entry rejected customers with a limit for that long.
	shareInterval = 3 * time.Second
	shareTTL      = 8 * time.Second
	// shareRetryInterval is the pause after a renewal that was not granted.
	shareRetryInterval = 500 * time.Millisecond
	// bytesPerToken is used to estimate the number of prompt tokens before the
	// engine has counted them.
	bytesPerToken = 4
)

// Speeds assumed for an engine until its first load report, in tokens/s. They are
// high because a low value would reject requests that could be served.
const (
	assumedPrefillSpeed = 20_000
	assumedDecodeSpeed  = 5_000
)

// Shares grants the entry its share of the customer limits.
type Shares interface {
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

// Policy is the serving policy of one entry. Create one with New.
type Policy struct {
	Shares Shares // nil without control; set before Serve

	options Options
	mu      sync.Mutex
	// guarded by mu
	index        *config.Index
	subset       route.Subset
	router       *route.Router
	budget       retry.Budget
	pools        map[string]*pool
	requests     map[fleet.RequestID]*requestState
	speeds       map[fleet.TargetName]engineSpeed
	cursors      map[fleet.TargetName]cacheCursor // of the prefix caches polled
	kvTransfers  uint64                           // attempted KV cache transfers between engines
	resyncs      uint64                           // cache snapshots requested after a gap
	demand       map[demandKey]demandTotals
	contacts     map[fleet.TargetName]watch.Contact // since the previous call of Contacts
	lastDemand   time.Time                          // time of the previous call of Demand
	limits       admit.Limits
	shareParts   uint32    // in units of 1/state.ShareUnit
	shareExpires time.Time // expiry of the share
}

// engineSpeed is the speed reported by a target, in tokens/s.
type engineSpeed struct{ prefill, decode float64 }

// requestState is the state of a queued or admitted request.
type requestState struct {
	pool               string
	route              string
	class              fleet.Class
	prompt             float64 // tokens
	decision           chan admit.Action
	choice             route.Choice
	chosen             bool
	decodeOnly         bool      // another target performed the prefill
	firstTokenReported bool      // the first token of this choice has been reported to the router
	firstTokenSeen     bool      // the first token has been reported to the queue
	assumedFirstToken  time.Time // time at which the first token is assumed, for a response that is not streamed
}

// New returns a Policy without a configuration.
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
		pools:      make(map[string]*pool),
		requests:   make(map[fleet.RequestID]*requestState),
		speeds:     make(map[fleet.TargetName]engineSpeed),
		cursors:    make(map[fleet.TargetName]cacheCursor),
		demand:     make(map[demandKey]demandTotals),
		contacts:   make(map[fleet.TargetName]watch.Contact),
		shareParts: state.ShareUnit,
	}
}

// Configured applies a configuration if it is newer than the current one.
func (p *Policy) Configured(x *config.Index) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index != nil && x.Revision <= p.index.Revision {
		return
	}
	p.index = x
	p.subset = route.SelectSubset(route.Node{Host: p.options.Host, DataCentre: p.options.DataCentre, Region: p.options.Region}, x.Targets(), route.SubsetSize)
	p.router.Step(now, route.Configure{Targets: x.Targets(), Subset: p.subset})
	for name, q := range p.pools {
		q.queue.Step(now, admit.Configure{Customers: x.Customers(), Windows: x.General.Windows})
		p.updateCapacity(now, name, q)
	}
	p.grantLimits(now)
}

// Serve runs the periodic work until ctx is done: queue ticks, polls of loads and prefix
// caches, and renewal of the share.
func (p *Policy) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.pollLoads(ctx) })
	wg.Go(func() { p.pollCaches(ctx) })
	if p.Shares != nil {
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

func (p *Policy) renewShare(ctx context.Context) {
	held := uint32(0)
	for {
		next := shareInterval
		now := time.Now()
		call, cancel := context.WithTimeout(ctx, shareInterval)
		r, err := p.Shares.Share(call, now, now.Add(shareTTL), held)
		cancel()
		switch {
		case err != nil:
			p.options.Log.Warn("share of customer limits not renewed", "error", err)
		case r.Granted:
			p.applyShare(time.Now(), r.Share)
			if r.Share.Parts != held {
				held, next = r.Share.Parts, shareRetryInterval // confirm the new share to control without delay
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

// Dump is a diagnostic snapshot of a Policy.
type Dump struct {
	Revision   uint64
	Flights    int
	Waiting    map[string]int // by pool
	Firsts     uint64
	Retries    uint64
	ShareParts uint32
	ShareUntil time.Time
	Speeds     map[fleet.TargetName]string
	Subset     int                       // number of targets in the subset; 0 means all
	Crossed    map[fleet.Customer]uint64 // bytes sent across regions
	Caches     int                       // engines whose prefix cache is polled
	Moves      uint64                    // attempted KV cache transfers between engines
	Resyncs    uint64                    // cache snapshots requested after a gap
}

// Dump returns a diagnostic snapshot of type Dump.
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
	for name, q := range p.pools {
		d.Waiting[name] = q.queue.Waiting()
	}
	for name, s := range p.speeds {
		d.Speeds[name] = formatSpeed(s)
	}
	for c, n := range p.router.CrossRegionBytes {
		d.Crossed[c] = n
	}
	return d
}
