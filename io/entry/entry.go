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
	maxBodies     = 1 << 30 // bytes of all request bodies
	// maxAsking bounds the refused requests that control is asked about, so that
	// a flood of them does not fill the log.
	maxAsking = 64
	// defaultPromise bounds requests on routes without a promise.
	defaultPromise = 10 * time.Minute
)

// ReadyPath answers 200 while new callers are welcome, and 503 otherwise.
const ReadyPath = "/-/ready"

// ErrAnswer reports an answer that did not arrive whole.
var ErrAnswer = errors.New("answer is incomplete")

// Entry is the HTTP handler that faces callers.
type Entry struct {
	Config *atomic.Pointer[config.Index]
	// FreshUntil is the time in Unix nanoseconds until which Config is
	// certainly current; nil with a fixed configuration.
	FreshUntil *atomic.Int64
	Links      *link.Pool
	Control    Control  // nil without control
	Picker     Picker   // RoundRobin if nil
	Admitter   Admitter // AdmitAll if nil
	Retrier    Retrier  // MaxAttempts(3) if nil
	Limits     Limits
	Log        hclog.Logger

	once      sync.Once
	asking    *semaphore.Weighted // claims that only make a refusal sure
	usage     reporter
	counts    counts
	latencies latencies
	settling  atomic.Int64 // claims whose end is being recorded

	mu       sync.Mutex
	stopping bool // not ready; requests are still served
	closed   bool // requests are refused
	running  map[*flight]struct{}
	bodies   int64
}

type counts struct {
	served, refused, aborted, resumed, retried, stray atomic.Uint64
}

// flight is one request in progress.
type flight struct {
	keyID string
	cut   context.CancelCauseFunc
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
	e.asking = semaphore.NewWeighted(maxAsking)
	e.running = make(map[*flight]struct{})
}

// began returns what is called once the answer to a request begins.
func (e *Entry) began(id fleet.RequestID) func() {
	if f, ok := e.Admitter.(FirstByter); ok {
		return func() { f.FirstByte(id) }
	}
	return func() {}
}

// Configured ends the running requests of keys that were withdrawn with
// interruption. It is called with each new configuration.
func (e *Entry) Configured(x *config.Index) {
	for _, k := range x.InterruptedKeys {
		e.Cut(k.ID)
	}
}

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	if r.URL.Path == ReadyPath {
		e.ready(w)
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

func (e *Entry) ready(w http.ResponseWriter) {
	e.mu.Lock()
	ready := !e.stopping
	e.mu.Unlock()
	if !ready || e.Config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// admitted is a request that passed the checks on its head.
type admitted struct {
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
		return unsure(r, refusal)
	}
	ctx, cut := context.WithCancelCause(r.Context())
	defer cut(nil)
	f := &flight{keyID: a.keyID, cut: cut}
	if refusal := e.enter(f); refusal != nil {
		return unsure(r, refusal)
	}
	defer e.leave(f)
	body, refusal := e.readBody(w, r)
	defer e.release(len(body))
	if refusal != nil {
		return unsure(r, refusal)
	}
	idem, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return refusal
	}
	c := e.newCall(ctx, w, r, id, a, body)
	c.idempotencyKey = idem
	refusal = c.admitAndRun()
	if refusal != nil && c.sink.started {
		// The caller has a part of the answer and must see that it is cut.
		e.counts.aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	return refusal
}

// authenticate checks the key of a request against the configuration in force.
func (e *Entry) authenticate(r *http.Request) (admitted, *Refusal) {
	index := e.Config.Load()
	if index == nil {
		return admitted{}, refuseStale
	}
	route, ok := index.Route(r.URL.Path)
	if !ok {
		return admitted{}, refuseRoute
	}
	if route.Protocol == config.Language {
		if _, ok := languagePath(r.URL.Path); !ok || r.Method != http.MethodPost {
			return admitted{}, refuseRoute
		}
	}
	if route.Open {
		return admitted{route: route}, nil
	}
	if !e.fresh() {
		return admitted{}, refuseStale
	}
	secret, ok := bearer(r.Header)
	if !ok {
		return admitted{}, refuseKey
	}
	key, ok := index.Key(secret)
	if !ok {
		return admitted{}, refuseKey
	}
	if strings.Contains(r.URL.Path, secret) || strings.Contains(r.RequestURI, secret) || strings.Contains(unescape(r.URL.RawQuery), secret) {
		return admitted{}, refuseKeyURL
	}
	return admitted{route: route, key: secret, keyID: key.ID, customer: key.Customer}, nil
}

func (e *Entry) fresh() bool {
	return e.FreshUntil == nil || time.Now().UnixNano() < e.FreshUntil.Load()
}

// recheck refuses a request whose key was withdrawn while it waited.
func (e *Entry) recheck(a admitted) *Refusal {
	if a.route.Open {
		return nil
	}
	if !e.fresh() {
		return refuseStale
	}
	if key, ok := e.Config.Load().Key(a.key); !ok || key.Customer != a.customer {
		return refuseKey
	}
	return nil
}

func (e *Entry) enter(f *flight) *Refusal {
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

func (e *Entry) leave(f *flight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, f)
}

func (e *Entry) release(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodies -= int64(n)
}

func (e *Entry) reserve(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bodies+int64(n) > maxBodies {
		return false
	}
	e.bodies += int64(n)
	return true
}

// readBody returns what it has reserved, also with a refusal.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	if r.ContentLength > int64(e.Limits.BodyBytes) {
		return nil, e.Limits.body()
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
			if !e.reserve(n) {
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
		return e.Limits.body()
	case errors.As(err, &timeout) && timeout.Timeout():
		return refuseSlow
	}
	return refuseBody
}
