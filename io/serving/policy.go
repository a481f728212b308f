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
	// tickInterval is how often waiting requests are looked at. It adds to the
	// time to the first token, of which 0.33 s are promised.
	tickInterval = 5 * time.Millisecond
	// shareInterval is how often the entry renews its share of the limits, and
	// shareTime how long a share lasts, so that one renewal may fail. A new entry
	// waits for the larger shares of the others to end: with 20 s, customers with
	// a limit were refused there for that long.
	shareInterval = 3 * time.Second
	shareTime     = 8 * time.Second
	// shareRetry is the pause after a renewal that gave nothing.
	shareRetry = 500 * time.Millisecond
	// bytesPerToken estimates the tokens of a prompt before the engine has
	// counted them.
	bytesPerToken = 4
)

// Speeds assumed of an engine until its load reports tell, in tokens/s. They
// are high, since a low value would refuse requests that could be served.
const (
	assumedPrefillSpeed = 20_000
	assumedDecodeSpeed  = 5_000
)

// Shares hands out the entry's share of the customer limits.
type Shares interface {
	Share(ctx context.Context, now, until time.Time, held uint32) (state.ShareResult, error)
}

// Options configure a Policy.
type Options struct {
	Host       fleet.Host
	Region     fleet.Region
	DataCentre fleet.DataCentre
	Links      *link.Pool
	Random     *rand.Rand // nil means a random seed
	Log        hclog.Logger
}

// Policy decides for one entry. Use New.
type Policy struct {
	Shares Shares // nil without control; set before Serve

	o  Options
	mu sync.Mutex
	// guarded by mu
	index    *config.Index
	subset   route.Subset
	router   *route.Router
	budget   retry.Budget
	pools    map[string]*pool
	flights  map[fleet.RequestID]*flight
	speeds   map[fleet.TargetName]speed
	cursors  map[fleet.TargetName]cursor // of the caches followed
	moves    uint64                      // of KV cache between engines
	resyncs  uint64                      // whole contents asked for after a gap
	demand   map[demandKey]work
	contacts map[fleet.TargetName]watch.Contact // since Contacts was last called
	asked    time.Time                          // when the demand was last handed out
	limits   admit.Limits
	parts    uint32    // of state.ShareUnit
	share    time.Time // end of the share
}

// speed is what a target reported, in tokens/s.
type speed struct{ prefill, decode float64 }

// flight is a request that was admitted or waits.
type flight struct {
	pool    string
	route   string
	class   fleet.Class
	prompt  float64 // tokens
	decided chan admit.Action
	choice  route.Choice
	chosen  bool
	decode  bool      // another target processed the prompt
	began   bool      // the router knows of the first token of this choice
	first   bool      // the first token has been noted
	firstBy time.Time // when it is taken as sent, for an answer that is not streamed
}

// New returns a Policy without configuration.
func New(o Options) *Policy {
	if o.Random == nil {
		var seed [16]byte
		_, _ = crand.Read(seed[:]) // crypto/rand.Read never fails
		o.Random = rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	}
	return &Policy{
		o: o,
		router: route.New(route.Options{
			DataCentre: o.DataCentre, Region: o.Region, Random: o.Random, BlockTokens: prefix.BlockTokens,
		}),
		pools:    make(map[string]*pool),
		flights:  make(map[fleet.RequestID]*flight),
		speeds:   make(map[fleet.TargetName]speed),
		cursors:  make(map[fleet.TargetName]cursor),
		demand:   make(map[demandKey]work),
		contacts: make(map[fleet.TargetName]watch.Contact),
		parts:    state.ShareUnit,
	}
}

// Configured takes over a new configuration.
func (p *Policy) Configured(x *config.Index) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index != nil && x.Revision <= p.index.Revision {
		return
	}
	p.index = x
	p.subset = route.SelectSubset(route.Node{Host: p.o.Host, DataCentre: p.o.DataCentre, Region: p.o.Region}, x.Targets(), route.SubsetSize)
	p.router.Step(now, route.Configure{Targets: x.Targets(), Subset: p.subset})
	for name, q := range p.pools {
		q.queue.Step(now, admit.Configure{Customers: x.Customers(), Windows: x.General.Windows})
		p.resize(now, name, q)
	}
	p.grant(now)
}

// Serve ticks, polls loads and renews the share until ctx ends.
func (p *Policy) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.pollLoads(ctx) })
	wg.Go(func() { p.followCaches(ctx) })
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
		r, err := p.Shares.Share(call, now, now.Add(shareTime), held)
		cancel()
		switch {
		case err != nil:
			p.o.Log.Warn("share of the limits not renewed", "error", err)
		case r.Granted:
			p.takeShare(time.Now(), r.Share)
			if r.Share.Parts != held {
				held, next = r.Share.Parts, shareRetry // tell control at once
			}
		default:
			next = shareRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// Dump is the state of a Policy for operators.
type Dump struct {
	Revision   uint64
	Flights    int
	Waiting    map[string]int // by pool
	Firsts     uint64
	Retries    uint64
	ShareParts uint32
	ShareUntil time.Time
	Speeds     map[fleet.TargetName]string
	Subset     int                       // targets drawn; 0 means all
	Crossed    map[fleet.Customer]uint64 // bytes across regions
	Caches     int                       // engines whose prefix cache is followed
	Moves      uint64                    // of KV cache between engines, tried
	Resyncs    uint64                    // whole contents of caches asked for after a gap
}

// Dump returns a copy of the state, of type Dump.
func (p *Policy) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{
		Flights: len(p.flights), Waiting: make(map[string]int), Firsts: p.budget.FirstAttempts, Retries: p.budget.Retries,
		ShareParts: p.parts, ShareUntil: p.share, Subset: p.subset.Len(), Speeds: make(map[fleet.TargetName]string),
		Crossed: make(map[fleet.Customer]uint64), Caches: len(p.cursors), Resyncs: p.resyncs, Moves: p.moves,
	}
	if p.index != nil {
		d.Revision = p.index.Revision
	}
	for name, q := range p.pools {
		d.Waiting[name] = q.queue.Waiting()
	}
	for name, s := range p.speeds {
		d.Speeds[name] = describe(s)
	}
	for c, n := range p.router.CrossRegionBytes {
		d.Crossed[c] = n
	}
	return d
}
