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
	maxBodyBytes = 8 << 20 // of one request body
	// maxTotalBodyBytes bounds the memory that request bodies occupy at one time.
	maxTotalBodyBytes  = 512 << 20
	maxRunningRequests = 4096
	// maxRetainedJobs and maxRetainedBytes bound the ended jobs whose responses are
	// kept for resumption. Each is kept for responseRetention.
	maxRetainedJobs   = 4096
	maxRetainedBytes  = 64 << 20
	responseRetention = time.Minute
	// maxRecordedIDs bounds the request ids in each of Agent.outcomes and
	// Agent.startedIdempotent. An id in outcomes is kept for requestIDRetention
	// beyond the deadline of its request.
	maxRecordedIDs     = 1 << 16
	requestIDRetention = 10 * time.Minute
	// maxTimeToDeadline bounds how far ahead the deadline of a request may be.
	maxTimeToDeadline = time.Hour
	// orphanTimeout is how long a running request may be without a stream to an
	// entry, and how long a stopping agent waits for an entry to read a response.
	orphanTimeout = 15 * time.Second
	// announceInterval is the time between checks whether the target has to be
	// announced, and reportInterval the time between usage reports.
	announceInterval = 500 * time.Millisecond
	reportInterval   = time.Second
	// DefaultStopTimeout bounds how long a stopping agent waits for running requests.
	DefaultStopTimeout = 5 * time.Minute
	stopPollInterval   = 20 * time.Millisecond
)

// Control submits an agent's commands to the control plane.
type Control interface {
	// Announce registers a target as present.
	Announce(ctx context.Context, t fleet.Target) error
	// ReportUsage returns nil once none of the records needs to be reported again.
	ReportUsage(ctx context.Context, records []state.UsageRecord) error
}

// Agent runs requests against one target. Its exported fields must be set before
// the first call of a method.
type Agent struct {
	Listener     net.Listener
	Identity     *identity.Credentials // nil for plain TCP
	TargetURL    *url.URL              // base URL on a loopback address
	Announcement fleet.Target          // registered with control; includes Host and Incarnation
	Control      Control               // nil if there is no control plane
	Links        *link.Pool            // to other agents; if nil, no KV caches are imported from them
	Transport    http.RoundTripper     // to the target; set by tests
	StopTimeout  time.Duration         // DefaultStopTimeout if zero
	Log          hclog.Logger

	once            sync.Once
	orderExecutions sync.WaitGroup // calls of executeOrder
	usage           usageQueue
	pooled          http.RoundTripper // reuses connections; not for requests that must not run twice
	single          http.RoundTripper // opens a connection for each request
	orders          http.RoundTripper // as single, with connections that are reset

	mu             sync.Mutex
	stopping       bool
	executingOrder bool        // the target is executing an order
	responding     bool        // fewer than checkFailures health checks in a row have failed
	phase          fleet.Phase // of the target, from the configuration
	// registered is true while the configuration lists this incarnation as present.
	registered bool
	fence      authority.Fence[orderCommand, orderResult] // admits each order once, and no outdated ones
	targetLoad targetLoad                                 // last load that the engine reported
	cache      cacheView                                  // guarded by its own mutex
	prompts    promptStore
	bodyBytes  int64 // of request bodies, at most maxTotalBodyBytes
	running    map[fleet.RequestID]*job
	retained   expiry.Map[fleet.RequestID, *job] // ended jobs
	// unread holds the ended requests whose response no entry has read to its end.
	// A stopping agent waits for them, since an entry may be about to resume.
	unread expiry.Map[fleet.RequestID, struct{}]
	// outcomes holds the outcomes of non-idempotent requests that were started
	// and of barred requests. startedIdempotent holds the idempotent requests
	// that were started; since those may run twice, their ids are kept for a
	// shorter time.
	outcomes          expiry.Map[fleet.RequestID, wire.Outcome_State]
	startedIdempotent expiry.Map[fleet.RequestID, struct{}]
}

func (a *Agent) init() {
	if a.Announcement.Incarnation == 0 {
		a.Announcement.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	}
	if a.Log == nil {
		a.Log = hclog.NewNullLogger()
	}
	a.pooled, a.single, a.orders = a.Transport, a.Transport, a.Transport
	if a.Transport == nil {
		a.pooled, a.single, a.orders = transports()
	}
	a.usage.node, a.usage.incarnation = a.Announcement.Host, a.Announcement.Incarnation
	a.usage.retain = a.Control != nil
	a.cache.sequence = 1 // of the empty cache; core/route takes 0 for a cache of unknown content
	a.usage.reporting = semaphore.NewWeighted(1)
	a.fence.Incarnation = a.Announcement.Incarnation
	a.running = make(map[fleet.RequestID]*job)
	a.retained.MaxEntries, a.retained.MaxBytes = maxRetainedJobs, maxRetainedBytes
	a.unread.MaxEntries = maxRetainedJobs
	a.prompts.bodies.MaxEntries, a.prompts.bodies.MaxBytes = maxPrompts, maxPromptBytes
	a.outcomes.MaxEntries, a.startedIdempotent.MaxEntries = maxRecordedIDs, maxRecordedIDs
}

// Serve runs the agent until ctx ends. It then refuses new requests, reporting
// them as not run, and keeps the links open until the running ones have ended.
func (a *Agent) Serve(ctx context.Context) error {
	a.once.Do(a.init)
	server := &link.Server{
		Listener:    a.Listener,
		Credentials: a.Identity,
		Incarnation: uint64(a.Announcement.Incarnation),
		OnStop:      a.waitForRequests,
		Log:         a.Log,
	}
	link.Handle(server, a.handleCall, identity.Entry)
	link.Handle(server, a.handleCachePoll, identity.Entry)
	link.Handle(server, a.handlePrefill, identity.Entry)
	link.Handle(server, a.handleKVImport, identity.Entry)
	link.Handle(server, a.handleKVExport, identity.Agent)
	a.registerOrders(server)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	if a.Control != nil {
		wg.Go(func() { a.announce(background) })
		wg.Go(func() { a.reportUsage(background) })
		wg.Go(func() { a.monitorTarget(background) })
		if a.Announcement.Kind == fleet.Engine {
			wg.Go(func() { a.trackLoad(background) })
		}
	}
	if a.Announcement.Kind == fleet.Engine {
		wg.Go(func() { a.trackCache(background) })
	}
	err := server.Serve(ctx)
	cancel()
	wg.Wait()
	a.orderExecutions.Wait()
	return err
}

// handleCall handles a call of an entry, other than those that have a handler of their
// own.
func (a *Agent) handleCall(ctx context.Context, s *link.Stream, open *wire.Open) {
	var err error
	switch call := open.GetCall().(type) {
	case *wire.Open_Run:
		err = a.handleRun(ctx, s, call.Run)
	case *wire.Open_Resume:
		err = a.handleResume(ctx, s, call.Resume)
	case *wire.Open_Cancel:
		a.handleCancel(call.Cancel)
	case *wire.Open_Query:
		err = a.handleQuery(s, call.Query)
	case *wire.Open_LoadPoll:
		err = s.Send(&wire.Frame{Frame: &wire.Frame_Load{Load: a.load()}})
	default:
		a.Log.Warn("call refused", "peer", s.Peer.Address, "error", "unknown call")
	}
	if err != nil {
		a.Log.Debug("sending a reply to the entry failed", "peer", s.Peer.Address, "error", err)
	}
}

// waitForRequests keeps the links open while requests run or completed responses
// are unread, up to StopTimeout. It then reports the remaining usage records.
func (a *Agent) waitForRequests() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	timeout := a.StopTimeout
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		a.mu.Lock()
		a.unread.Expire(time.Now())
		n := a.activeWork() + a.unread.Len()
		a.mu.Unlock()
		if n == 0 {
			break
		}
	}
	if a.Control != nil {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		for a.usage.waiting() > 0 && a.usage.report(ctx, a.Control) == nil {
			// Each report removes one batch from the queue.
		}
	}
}

func (a *Agent) load() *wire.Load {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.targetLoad.encode(now, uint32(len(a.running)), a.Announcement.Role)
}

func (a *Agent) announce(ctx context.Context) {
	for {
		// Each announcement is committed to the replicated log of control, so it is
		// sent only while control does not list this incarnation or lists it as lost.
		a.mu.Lock()
		t, due := a.Announcement, !a.registered && !a.stopping && a.responding
		a.mu.Unlock()
		if due {
			if err := a.Control.Announce(ctx, t); err != nil && ctx.Err() == nil {
				a.Log.Warn("target announcement failed", "target", t.Name, "error", err)
			}
		}
		if !sleep(ctx, announceInterval) {
			return
		}
	}
}

func (a *Agent) reportUsage(ctx context.Context) {
	for sleep(ctx, reportInterval) {
		for a.usage.waiting() > 0 {
			if err := a.usage.report(ctx, a.Control); err != nil {
				a.Log.Warn("usage report failed", "waiting", a.usage.waiting(), "error", err)
				break
			}
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Dump is a copy of the state of an agent, for diagnosis.
type Dump struct {
	Target          fleet.TargetName
	Incarnation     fleet.Incarnation
	Stopping        bool
	Running         int // requests
	Retained        int // ended jobs whose responses are kept for resumption
	RetainedBytes   int64
	Known           int // recorded outcomes of non-idempotent and barred requests
	UsageWaiting    int
	UsageSequence   uint64
	RunningRequests []string // at most maxDumped
}

const maxDumped = 100

// Dump returns the state of a, of type Dump. It contains no request content.
func (a *Agent) Dump() any {
	a.once.Do(a.init)
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{
		Target:        a.Announcement.Name,
		Incarnation:   a.Announcement.Incarnation,
		Stopping:      a.stopping,
		Running:       len(a.running),
		Retained:      a.retained.Len(),
		RetainedBytes: a.retained.Bytes(),
		Known:         a.outcomes.Len(),
	}
	d.UsageWaiting, d.UsageSequence = a.usage.waiting(), a.usage.lastSequence()
	for id := range a.running {
		if len(d.RunningRequests) == maxDumped {
			break
		}
		d.RunningRequests = append(d.RunningRequests, id.String())
	}
	return d
}
