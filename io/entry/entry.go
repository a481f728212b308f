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
	"papayarock/io/link"
)

const (
	bodyPartBytes = 64 << 10
	bodyTimeout   = 30 * time.Second
	maxInFlight   = 10_000
	maxBodyBytes  = 1 << 30 // total bytes of all buffered request bodies
	// maxRefusalClaims bounds the concurrent claims that only confirm refusals, so
	// that a flood of refused requests does not fill the log of control.
	maxRefusalClaims = 64
	// defaultPromise is the time limit of requests on routes without a promise.
	defaultPromise = 10 * time.Minute
)

// ReadyPath is the readiness endpoint. It returns 200 if the entry accepts new
// requests, otherwise 503.
const ReadyPath = "/-/ready"

// ErrInvalidResponse reports an invalid or incomplete response from a target.
var ErrInvalidResponse = errors.New("invalid or incomplete response from target")

// Entry is the HTTP handler for client requests.
type Entry struct {
	Config *atomic.Pointer[config.Index]
	// FreshUntil is the time in Unix nanoseconds until which Config is known to be
	// current. It is nil if the configuration is fixed.
	FreshUntil *atomic.Int64
	Links      *link.Pool
	Control    Control  // nil if there is no control
	Picker     Picker   // RoundRobin if nil
	Admitter   Admitter // AdmitAll if nil
	Retrier    Retrier  // MaxAttempts(3) if nil
	Limits     Limits
	Log        hclog.Logger

	once          sync.Once
	refusalClaims *semaphore.Weighted // limits the claims that only confirm a refusal
	usage         usageReporter
	counts        counts
	latencies     latencies
	settling      atomic.Int64 // claims being settled

	mu        sync.Mutex
	stopping  bool // reports not ready; requests are still accepted
	closed    bool // new requests are refused
	running   map[*activeRequest]struct{}
	bodyBytes int64
}

type counts struct {
	served, refused, aborted, resumed, retried, stray atomic.Uint64
}

// activeRequest is a request in progress.
type activeRequest struct {
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
	e.running = make(map[*activeRequest]struct{})
}

// firstByteFunc returns the function to call at the first byte of a response.
func (e *Entry) firstByteFunc(id fleet.RequestID) func() {
	if f, ok := e.Admitter.(FirstByteObserver); ok {
		return func() { f.FirstByte(id) }
	}
	return func() {}
}

// Configured cancels the running requests of keys that were withdrawn with
// interruption. It must be called with each new configuration.
func (e *Entry) Configured(x *config.Index) {
	for _, k := range x.InterruptedKeys {
		e.CancelKey(k.ID)
	}
}

// ServeHTTP implements [http.Handler].
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
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
	}
}

func (e *Entry) serveReady(w http.ResponseWriter) {
	e.mu.Lock()
	ready := !e.stopping
	e.mu.Unlock()
	if !ready || e.Config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// authenticated is the result of checking the key and route of a request.
type authenticated struct {
	route    config.Route
	key      string // secret
	keyID    string
	customer fleet.Customer
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, id fleet.RequestID) *Refusal {
	if refusal := checkHead(r, e.Limits); refusal != nil {
		return refusal
	}
	a, refusal := e.authenticate(r)
	if refusal != nil {
		return unconfirmed(r, refusal)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	f := &activeRequest{keyID: a.keyID, cancel: cancel}
	if refusal := e.register(f); refusal != nil {
		return unconfirmed(r, refusal)
	}
	defer e.unregister(f)
	body, refusal := e.readBody(w, r)
	defer e.releaseBody(len(body))
	if refusal != nil {
		return unconfirmed(r, refusal)
	}
	idemKey, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return refusal
	}
	c := e.newCall(ctx, w, r, id, a, body)
	c.idempotencyKey = idemKey
	refusal = c.admitAndRun()
	if refusal != nil && c.sink.started {
		// The client has a part of the response and must see that it is truncated.
		e.counts.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return refusal
}

// authenticate checks the route and API key of a request against the current
// configuration.
func (e *Entry) authenticate(r *http.Request) (authenticated, *Refusal) {
	index := e.Config.Load()
	if index == nil {
		return authenticated{}, refuseStale
	}
	route, ok := index.Route(r.URL.Path)
	if !ok {
		return authenticated{}, refuseRoute
	}
	if route.Protocol == config.Language {
		if _, ok := languagePath(r.URL.Path); !ok || r.Method != http.MethodPost {
			return authenticated{}, refuseRoute
		}
	}
	if route.Open {
		return authenticated{route: route}, nil
	}
	if !e.fresh() {
		return authenticated{}, refuseStale
	}
	secret, ok := bearerToken(r.Header)
	if !ok {
		return authenticated{}, refuseKey
	}
	key, ok := index.KeyBySecret(secret)
	if !ok {
		return authenticated{}, refuseKey
	}
	if strings.Contains(r.URL.Path, secret) || strings.Contains(r.RequestURI, secret) || strings.Contains(unescape(r.URL.RawQuery), secret) {
		return authenticated{}, refuseKeyInURL
	}
	return authenticated{route: route, key: secret, keyID: key.ID, customer: key.Customer}, nil
}

func (e *Entry) fresh() bool {
	return e.FreshUntil == nil || time.Now().UnixNano() < e.FreshUntil.Load()
}

// recheck refuses a request whose key was withdrawn while it waited for admission.
func (e *Entry) recheck(a authenticated) *Refusal {
	if a.route.Open {
		return nil
	}
	if !e.fresh() {
		return refuseStale
	}
	if key, ok := e.Config.Load().KeyBySecret(a.key); !ok || key.Customer != a.customer {
		return refuseKey
	}
	return nil
}

func (e *Entry) register(f *activeRequest) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return refuseStopping
	}
	if len(e.running) >= maxInFlight {
		return refuseBusy
	}
	e.running[f] = struct{}{}
	return nil
}

func (e *Entry) unregister(f *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, f)
}

func (e *Entry) releaseBody(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodyBytes -= int64(n)
}

func (e *Entry) reserveBody(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bodyBytes+int64(n) > maxBodyBytes {
		return false
	}
	e.bodyBytes += int64(n)
	return true
}

// readBody reads the request body. Also with a refusal it returns the bytes read
// so far, whose memory reservation the caller must release.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	if r.ContentLength > int64(e.Limits.BodyBytes) {
		return nil, e.Limits.bodyTooLarge()
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	var body []byte
	buf := make([]byte, min(max(r.ContentLength+1, 512), bodyPartBytes))
	in := http.MaxBytesReader(w, r.Body, int64(e.Limits.BodyBytes))
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !e.reserveBody(n) {
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
