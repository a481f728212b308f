package agent

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"papayarock/core/authority"
	"papayarock/core/expiry"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	maxBodyBytes = 8 << 20
	// maxBodies bounds the request bodies held at one time.
	maxBodies  = 512 << 20
	maxRunning = 4096
	// maxRetained and maxRetainedBytes bound the ended answers kept for
	// resumption, retention how long each is kept.
	maxRetained      = 4096
	maxRetainedBytes = 64 << 20
	retention        = time.Minute
	// maxKnown bounds the ids of ended or barred requests, in each of two
	// maps. An id is kept for memory beyond the deadline of its request.
	maxKnown    = 1 << 16
	memory      = 10 * time.Minute
	maxDeadline = time.Hour
	// orphanAfter is how long a running request waits for a reader.
	orphanAfter      = 15 * time.Second
	announceInterval = 500 * time.Millisecond
	reportInterval   = time.Second
	// DefaultStopTimeout bounds how long a stop waits for running requests.
	DefaultStopTimeout = 5 * time.Minute
	stopPoll           = 20 * time.Millisecond
)

// Control is what an agent needs of control.
type Control interface {
	Announce(ctx context.Context, t fleet.Target) error
	ReportUsage(ctx context.Context, records []state.UsageRecord) error
}

// Agent serves the target at Target.
type Agent struct {
	Listener     net.Listener
	Identity     *identity.Credentials // nil for plain TCP
	Target       *url.URL              // base URL on a loopback address
	Announcement fleet.Target          // announced to control, with Host and Incarnation
	Control      Control               // nil without control
	Links        *link.Pool            // to other agents; nil takes no KV cache from them
	Transport    http.RoundTripper     // to the target; set by tests
	StopTimeout  time.Duration         // DefaultStopTimeout if zero
	Log          hclog.Logger

	once   sync.Once
	orders sync.WaitGroup // being carried out
	usage  ledger
	pooled http.RoundTripper // keeps connections
	single http.RoundTripper // one connection for each request

	mu       sync.Mutex
	stopping bool
	changing bool        // the target carries out an order
	answers  bool        // the target answers checks
	phase    fleet.Phase // of the target in the configuration
	// registered says that control knows this incarnation as present.
	registered bool
	fence      authority.Fence[instruction, orderResult]
	target     targetLoad
	cache      cacheView // has a lock of its own
	prompts    prompts
	bodies     int64
	running    map[fleet.RequestID]*job
	ended      expiry.Map[fleet.RequestID, *job]
	// unread holds the ended requests whose answer no entry has taken to its
	// end. A stop waits for them, since an entry may be resuming.
	unread expiry.Map[fleet.RequestID, struct{}]
	// known holds what became of the non-idempotent requests that were started
	// or barred; recent holds the idempotent ones that were started.
	known  expiry.Map[fleet.RequestID, wire.Outcome_State]
	recent expiry.Map[fleet.RequestID, struct{}]
}

func (a *Agent) init() {
	if a.Announcement.Incarnation == 0 {
		a.Announcement.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	}
	if a.Log == nil {
		a.Log = hclog.NewNullLogger()
	}
	a.pooled, a.single = a.Transport, a.Transport
	if a.Transport == nil {
		a.pooled, a.single = transports()
	}
	a.usage.node, a.usage.incarnation = a.Announcement.Host, a.Announcement.Incarnation
	a.usage.keep = a.Control != nil
	a.cache.sequence = 1 // the empty cache; core/route takes 0 for nothing known
	a.usage.turn = semaphore.NewWeighted(1)
	a.fence.Incarnation = a.Announcement.Incarnation
	a.running = make(map[fleet.RequestID]*job)
	a.ended.MaxEntries, a.ended.MaxBytes = maxRetained, maxRetainedBytes
	a.unread.MaxEntries = maxRetained
	a.prompts.bodies.MaxEntries, a.prompts.bodies.MaxBytes = maxPrompts, maxPromptBytes
	a.known.MaxEntries, a.recent.MaxEntries = maxKnown, maxKnown
}

// Serve runs until ctx ends. It then refuses new requests as not run and lets
// running ones end.
func (a *Agent) Serve(ctx context.Context) error {
	a.once.Do(a.init)
	server := &link.Server{
		Listener:    a.Listener,
		Identity:    a.Identity,
		Incarnation: uint64(a.Announcement.Incarnation),
		OnStop:      a.linger,
		Log:         a.Log,
	}
	link.Handle(server, a.handle, identity.Entry)
	link.Handle(server, a.pollCache, identity.Entry)
	link.Handle(server, a.prefill, identity.Entry)
	link.Handle(server, a.importKV, identity.Entry)
	link.Handle(server, a.exportKV, identity.Agent)
	a.registerOrders(server)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	if a.Control != nil {
		wg.Go(func() { a.announce(work) })
		wg.Go(func() { a.report(work) })
		wg.Go(func() { a.check(work) })
		if a.Announcement.Kind == fleet.Engine {
			wg.Go(func() { a.readLoads(work) })
		}
	}
	if a.Announcement.Kind == fleet.Engine {
		wg.Go(func() { a.readCache(work) })
	}
	err := server.Serve(ctx)
	cancel()
	wg.Wait()
	a.orders.Wait()
	return err
}

func (a *Agent) handle(ctx context.Context, s *link.Stream, open *wire.Open) {
	var err error
	switch call := open.GetCall().(type) {
	case *wire.Open_Run:
		err = a.run(ctx, s, call.Run)
	case *wire.Open_Resume:
		err = a.resume(ctx, s, call.Resume)
	case *wire.Open_Cancel:
		a.cancel(call.Cancel)
	case *wire.Open_Query:
		err = a.query(s, call.Query)
	case *wire.Open_LoadPoll:
		err = s.Send(&wire.Frame{Frame: &wire.Frame_Load{Load: a.load()}})
	default:
		a.Log.Warn("call refused", "peer", s.Peer.Address, "error", "unknown call")
	}
	if err != nil {
		a.Log.Debug("stream ended early", "peer", s.Peer.Address, "error", err)
	}
}

// linger holds the links open while requests run or answers wait for a reader.
func (a *Agent) linger() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	timeout := a.StopTimeout
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(stopPoll) {
		a.mu.Lock()
		a.unread.Expire(time.Now())
		n := a.working() + a.unread.Len()
		a.mu.Unlock()
		if n == 0 {
			break
		}
	}
	if a.Control != nil {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		for a.usage.waiting() > 0 && a.usage.report(ctx, a.Control) == nil {
		}
	}
}

func (a *Agent) load() *wire.Load {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target.message(now, uint32(len(a.running)), a.Announcement.Role)
}

func (a *Agent) announce(ctx context.Context) {
	for {
		// Each announcement is an entry of the log, so it is made only while
		// control does not know this incarnation or has taken it for lost.
		a.mu.Lock()
		t, due := a.Announcement, !a.registered && !a.stopping && a.answers
		a.mu.Unlock()
		if due {
			if err := a.Control.Announce(ctx, t); err != nil && ctx.Err() == nil {
				a.Log.Warn("announcement failed", "target", t.Name, "error", err)
			}
		}
		if !pause(ctx, announceInterval) {
			return
		}
	}
}

func (a *Agent) report(ctx context.Context) {
	for pause(ctx, reportInterval) {
		for a.usage.waiting() > 0 {
			if err := a.usage.report(ctx, a.Control); err != nil {
				a.Log.Warn("usage report failed", "waiting", a.usage.waiting(), "error", err)
				break
			}
		}
	}
}

// pause returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Dump is the state of an agent.
type Dump struct {
	Target          fleet.TargetName
	Incarnation     fleet.Incarnation
	Stopping        bool
	Running         int
	Retained        int
	RetainedBytes   int64
	Known           int
	UsageWaiting    int
	UsageSequence   uint64
	RunningRequests []string // at most maxDumped
}

const maxDumped = 100

// Dump returns the state of a, without request content.
func (a *Agent) Dump() any {
	a.once.Do(a.init)
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{
		Target:        a.Announcement.Name,
		Incarnation:   a.Announcement.Incarnation,
		Stopping:      a.stopping,
		Running:       len(a.running),
		Retained:      a.ended.Len(),
		RetainedBytes: a.ended.Bytes(),
		Known:         a.known.Len(),
	}
	d.UsageWaiting, d.UsageSequence = a.usage.waiting(), a.usage.last()
	for id := range a.running {
		if len(d.RunningRequests) == maxDumped {
			break
		}
		d.RunningRequests = append(d.RunningRequests, id.String())
	}
	return d
}
