package fake

import (
	"net/http"
	"sync"
	"time"

	"papayarock/core/fleet"
)

// Defaults of an Engine.
const (
	defaultSlots        = 8
	defaultPrefillSpeed = 20000.0 // tokens per second
	defaultDecodeSpeed  = 1000.0  // tokens per second over the whole batch
	defaultStep         = time.Millisecond
	defaultOutputTokens = 16
	prefillChunkTokens  = 512
)

// Engine simulates a model engine with continuous batching. The zero value is
// ready to use. The exported fields must be set before the first request.
// Tokens are the whitespace-separated words of a prompt.
//
// POST /v1/completions and /v1/chat/completions take requests; GET
// /resume/{request id}?offset=BYTES continues a response. GET /load, /state and
// /events report on the engine, GET /cache lists the prefix cache, POST /order
// executes an order, and POST /kv/export and /kv/import move cached prefixes
// between engines.
type Engine struct {
	Model   string // loaded at start; "" serves any model
	Version string
	Role    fleet.Role

	Slots                  int           // maximum number of requests in the batch
	PrefillTokensPerSecond float64       // each prompt token prolongs its batch step by the inverse
	DecodeTokensPerSecond  float64       // each output token prolongs its batch step by the inverse
	Step                   time.Duration // fixed part of the duration of a batch step
	RoleGain               float64       // speed-up of the phase of the role, and slow-down of the other; 0 means 1

	CacheBlocks     int           // capacity of the prefix cache in blocks; 0 disables the cache
	KVBytesPerToken int           // size of exported KV cache
	KVTime          time.Duration // duration of one export
	EventLag        time.Duration // delay until a cache event is published
	EventGapEvery   int           // every n-th cache event is lost; 0 means none
	LoadLag         time.Duration // age of load reports

	ChecksFencing  bool          // reject orders with an outdated number
	RoleChangeTime time.Duration // time out of service during a role change
	LoadTime       time.Duration // time to load a model, adapter or version
	ResumeWindow   time.Duration // how long a response without readers is continued and kept; 0 cancels it at once

	// Fetch is called while a model, adapter or version is loaded. It may be
	// nil.
	Fetch func(name, version string) error

	mu             sync.Mutex
	initialised    bool
	mux            *http.ServeMux
	down           bool
	generation     int           // number of crashes
	crashed        chan struct{} // closed by a crash
	loopRunning    bool
	faults         EngineFaults
	jobs           map[string]*job
	waiting        []*job
	running        []*job
	cache          prefixCache
	loadSamples    []loadSample
	measuredSpeeds engineSpeeds
	orders         orderState
	counts         EngineCounts
	runs           map[string]int
	headers        []http.Header
}

// EngineFaults are the faults injected into an Engine. CrashAfterFrames and
// DropAfterFrames are reset to 0 when they take effect.
type EngineFaults struct {
	CrashAfterFrames int           // crash when a response has sent this number of SSE events
	DropAfterFrames  int           // close the connection after this number of SSE events; the request keeps running
	CrashInOrder     bool          // crash halfway through the next order
	CrashKeepsChange bool          // that order takes effect before the crash
	LoseOrderAnswers int           // number of orders to execute without a response
	SlowOrders       time.Duration // added to the duration of an order
	Slowdown         float64       // factor on the duration of batch steps; 0 means 1
	ExtraLoadLag     time.Duration // added to LoadLag
	Silent           bool          // accept requests and never respond
	FailFast         bool          // respond with status 500 at once
	LoseKV           bool          // clear the prefix cache before each export
	CrashInExport    bool          // crash halfway through the next export of KV cache
	CrashInImport    bool          // crash before the next import takes effect
}

// EngineCounts are the counters of an Engine since its creation. A crash does
// not reset them.
type EngineCounts struct {
	Started         int // requests admitted to the batch
	Completed       int
	Cancelled       int // client disconnected
	Interrupted     int // ended by a crash, a role change or a model load
	PromptTokens    int // in completed requests
	CachedTokens    int // prompt tokens found in the prefix cache
	OutputTokens    int // in completed requests
	Crashes         int
	RoleChanges     int
	OrdersRun       int
	OrdersRefused   int // outdated number, with ChecksFencing
	OldOrdersRun    int // outdated number, without ChecksFencing
	OrdersRepeated  int // executed again under the same number
	OrderConflicts  int // received while another order was in progress
	Exports         int // complete exports of KV cache
	Imports         int
	CacheListings   int // responses to GET /cache
	ContentConflict int // number of an executed order with different content
}

// UpdateFaults changes the faults while the engine serves.
func (e *Engine) UpdateFaults(change func(f *EngineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// Counts returns the current counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs returns how often the request with this ID was admitted to the batch.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Headers returns the headers of all completion requests received so far.
func (e *Engine) Headers() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.headers...)
}

// Crash ends all requests, connections and goroutines of the engine. New
// requests are aborted until Restart. A test under synctest that leaves
// requests running must call Crash before it ends.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	e.crash()
}

// Restart starts a crashed engine with an empty cache and no record of order
// numbers. An engine that is running crashes first.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	if !e.down {
		e.crash()
	}
	e.down = false
	e.crashed = make(chan struct{})
}

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.generation++
	e.counts.Crashes++
	e.interruptAll()
	e.loopRunning = false
	e.cache = prefixCache{}
	e.loadSamples = nil
	e.orders.reset()
	close(e.crashed)
}

// interruptAll fails all requests.
func (e *Engine) interruptAll() {
	for _, j := range e.jobs {
		if !j.done {
			e.counts.Interrupted++
			j.finish(true)
		}
	}
	e.jobs = make(map[string]*job)
	e.waiting, e.running = nil, nil
}

// setup applies defaults and creates the internal state on first use. The
// caller holds the mutex.
func (e *Engine) setup() {
	if e.initialised {
		return
	}
	e.initialised = true
	e.Slots = orDefault(e.Slots, defaultSlots)
	e.PrefillTokensPerSecond = orDefault(e.PrefillTokensPerSecond, defaultPrefillSpeed)
	e.DecodeTokensPerSecond = orDefault(e.DecodeTokensPerSecond, defaultDecodeSpeed)
	e.Step = orDefault(e.Step, defaultStep)
	e.RoleGain = orDefault(e.RoleGain, 1)
	e.crashed = make(chan struct{})
	e.jobs = make(map[string]*job)
	e.runs = make(map[string]int)
	e.mux = e.routes()
	e.orders.adapters = make(map[string]string)
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.setup()
	down, faults := e.down, e.faults
	e.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case faults.Silent:
		hang(r)
	case faults.FailFast:
		writeError(w, http.StatusInternalServerError, "injected fault: engine rejects all requests")
		return
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /resume/{id}", e.resume)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("GET /cache", e.serveCache)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("POST /kv/export", e.exportKV)
	mux.HandleFunc("POST /kv/import", e.importKV)
	return mux
}
