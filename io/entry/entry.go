package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/httpconn"
	"papayarock/io/link"
)

const (
	bodyPartBytes = 64 << 10         // size of reads of a request body, and of the parts sent to the agent
	bodyTimeout   = 30 * time.Second // bounds the time to read a request body
	maxRunning    = 10_000           // requests in progress
	maxBodyBytes  = 1 << 30          // total bytes of all buffered request bodies
	// maxRefusalClaims bounds the concurrent claims made by confirmRefusal, so that
	// a flood of refused requests does not fill the replicated log of the control
	// plane.
	maxRefusalClaims = 64
	// defaultTimeLimit applies to requests on routes that set no time limit in
	// Promise.
	defaultTimeLimit = 10 * time.Minute
)

// ReadyPath is the readiness endpoint. It returns 200 if the entry accepts new
// requests, otherwise 503.
const ReadyPath = "/-/ready"

// ErrInvalidResponse reports an invalid or incomplete response from a target.
var ErrInvalidResponse = errors.New("invalid or incomplete response from target")

// Entry is the HTTP handler for requests of callers.
type Entry struct {
	Config *atomic.Pointer[config.Index]
	// FreshUntil is the time in Unix nanoseconds until which Config is known to be
	// current. It is nil if the configuration is fixed.
	FreshUntil *atomic.Int64
	Links      *link.Pool
	Control    Control  // nil if there is no control plane
	Picker     Picker   // RoundRobin if nil
	Admitter   Admitter // AdmitAll if nil
	Retrier    Retrier  // MaxAttempts(3) if nil
	Limits     Limits
	Log        hclog.Logger

	once           sync.Once
	refusalClaims  *semaphore.Weighted // limits the claims made by confirmRefusal
	usage          usageReporter
	counts         counts
	latencies      latencies
	pendingSettles atomic.Int64 // calls of Control.Settle that have not succeeded or timed out

	mu        sync.Mutex
	draining  bool // the readiness endpoint returns 503; new requests are still accepted
	closed    bool // new requests are refused
	running   map[*runningRequest]struct{}
	bodyBytes int64
}

type counts struct {
	served, refused, aborted, resumed, retried, strayFrames atomic.Uint64
}

// runningRequest is a request in progress.
type runningRequest struct {
	keyID  string
	cancel context.CancelCauseFunc
}

func (e *Entry) init() {
	if e.Picker == nil {
		e.Picker = &RoundRobin{}
	}
	if e.Admitter == nil {
		e.Admitter = AdmitAll{}
	}
	if e.Retrier == nil {
		e.Retrier = MaxAttempts(3)
	}
	if e.Log == nil {
		e.Log = hclog.NewNullLogger()
	}
	e.Limits = e.Limits.orDefaults()
	e.refusalClaims = semaphore.NewWeighted(maxRefusalClaims)
	e.running = make(map[*runningRequest]struct{})
}

// firstByteFunc returns a function that reports the first byte of the response to
// request id to the Admitter.
func (e *Entry) firstByteFunc(id fleet.RequestID) func() {
	if f, ok := e.Admitter.(FirstByteObserver); ok {
		return func() { f.FirstByte(id) }
	}
	return func() {}
}

// CancelInterruptedKeys must be called with each new configuration. It cancels the
// running requests of those withdrawn API keys whose withdrawal interrupts them.
func (e *Entry) CancelInterruptedKeys(x *config.Index) {
	for _, k := range x.InterruptedKeys {
		e.CancelKey(k.ID)
	}
}

// ServeHTTP implements [http.Handler].
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	httpconn.ServeWhole(e.Log, w, r, func(w *httpconn.Response) { e.serveWhole(w, r) })
}

// serveWhole handles a request. If it returns without a complete response, the connection is
// closed.
func (e *Entry) serveWhole(w *httpconn.Response, r *http.Request) {
	if r.URL.Path == ReadyPath {
		e.serveReady(w)
		return
	}
	var id fleet.RequestID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	w.Header().Set("Request-Id", id.String())
	if refusal := e.serve(w, r, id); refusal != nil {
		e.counts.refused.Add(1)
		e.Log.Info("request refused", "request", id, "type", refusal.Type, "not-run", refusal.notRun())
		refusal.write(w)
		w.Complete()
	}
}

func (e *Entry) serveReady(w http.ResponseWriter) {
	e.mu.Lock()
	ready := !e.draining
	e.mu.Unlock()
	status := http.StatusOK
	if !ready || e.Config.Load() == nil {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// authResult is the route of a request and, unless the route is open, the API key
// and customer.
type authResult struct {
	route    config.Route
	secret   string // the API key as sent by the caller
	keyID    string
	customer fleet.Customer
}

func (e *Entry) serve(w *httpconn.Response, r *http.Request, id fleet.RequestID) *Refusal {
	if refusal := checkHeader(r, e.Limits); refusal != nil {
		return refusal
	}
	a, refusal := e.authenticate(r)
	if refusal != nil {
		return unconfirmed(r, refusal)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	running := &runningRequest{keyID: a.keyID, cancel: cancel}
	if refusal := e.register(running); refusal != nil {
		return unconfirmed(r, refusal)
	}
	defer e.unregister(running)
	body, refusal := e.readBody(w.ResponseWriter, r)
	defer e.releaseBodyBytes(len(body))
	if refusal != nil {
		return unconfirmed(r, refusal)
	}
	idemKey, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return refusal // no earlier request can have run with an invalid Idempotency-Key
	}
	c := e.newCall(ctx, w, r, id, a, body)
	c.idempotencyKey = idemKey
	refusal = c.admitAndRun()
	if refusal != nil && c.sink.started {
		// The caller has received a part of the response. The connection is aborted
		// so that the part is not mistaken for the complete response.
		e.counts.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return refusal
}

// authenticate finds the route of a request in the current configuration and
// checks its API key.
func (e *Entry) authenticate(r *http.Request) (authResult, *Refusal) {
	index := e.Config.Load()
	if index == nil {
		return authResult{}, refuseStaleConfig
	}
	route, ok := index.Route(r.URL.Path)
	if !ok {
		return authResult{}, refuseNoRoute
	}
	if route.Protocol == config.Language {
		if _, ok := completionPath(r.URL.Path); !ok || r.Method != http.MethodPost {
			return authResult{}, refuseNoRoute
		}
	}
	if route.Open {
		return authResult{route: route}, nil
	}
	if !e.configFresh() {
		return authResult{}, refuseStaleConfig
	}
	secret, ok := bearerToken(r.Header)
	if !ok {
		return authResult{}, refuseInvalidAPIKey
	}
	key, ok := index.KeyBySecret(secret)
	if !ok {
		return authResult{}, refuseInvalidAPIKey
	}
	if strings.Contains(r.URL.Path, secret) || strings.Contains(r.RequestURI, secret) || strings.Contains(unescape(r.URL.RawQuery), secret) {
		return authResult{}, refuseAPIKeyInURL
	}
	return authResult{route: route, secret: secret, keyID: key.ID, customer: key.Customer}, nil
}

// configFresh reports whether the configuration is known to be current, so that API
// keys can be checked against it.
func (e *Entry) configFresh() bool {
	return e.FreshUntil == nil || time.Now().UnixNano() < e.FreshUntil.Load()
}

// recheckKey checks the API key again after the wait for admission, during which
// the key may have been withdrawn.
func (e *Entry) recheckKey(a authResult) *Refusal {
	if a.route.Open {
		return nil
	}
	if !e.configFresh() {
		return refuseStaleConfig
	}
	if key, ok := e.Config.Load().KeyBySecret(a.secret); !ok || key.Customer != a.customer {
		return refuseInvalidAPIKey
	}
	return nil
}

func (e *Entry) register(r *runningRequest) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return refuseStopping
	}
	if len(e.running) >= maxRunning {
		return refuseBusy
	}
	e.running[r] = struct{}{}
	return nil
}

func (e *Entry) unregister(r *runningRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r)
}

// releaseBodyBytes returns n bytes to the budget maxBodyBytes.
func (e *Entry) releaseBodyBytes(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodyBytes -= int64(n)
}

// reserveBodyBytes takes n bytes from the budget maxBodyBytes. It returns false if
// fewer are left.
func (e *Entry) reserveBodyBytes(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bodyBytes+int64(n) > maxBodyBytes {
		return false
	}
	e.bodyBytes += int64(n)
	return true
}

// readBody reads the request body and reserves its bytes. serve must release the
// bytes of the returned slice, which is not empty if reading failed halfway.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	if r.ContentLength > int64(e.Limits.MaxBodyBytes) {
		return nil, e.Limits.bodyTooLarge()
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	var body []byte
	buf := make([]byte, min(max(r.ContentLength+1, 512), bodyPartBytes))
	in := http.MaxBytesReader(w, r.Body, int64(e.Limits.MaxBodyBytes))
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !e.reserveBodyBytes(n) {
				return body, refuseBusy
			}
			body = append(body, buf[:n]...)
		}
		if err == io.EOF {
			_ = rc.SetReadDeadline(time.Time{})
			return body, nil
		}
		if err != nil {
			return body, e.bodyRefusal(err)
		}
	}
}

func (e *Entry) bodyRefusal(err error) *Refusal {
	var large *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &large):
		return e.Limits.bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		return refuseBodyTimeout
	}
	return refuseBodyIncomplete
}
