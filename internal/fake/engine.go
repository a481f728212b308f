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
	prefillChunkTokens  = 512 // maximum number of prompt tokens in a batch step
)

// Engine simulates a model engine with continuous batching. The zero value is
// ready to use. The exported fields must be set before the first request.
// Tokens are the whitespace-separated words of a prompt.
//
// Scripts of package scenario refer to the exported fields of Engine and the other
// simulated systems, of their faults and of their counts by the name of the field,
// such as kv-time for KVTime. A renamed field breaks these scripts.
//
// POST /v1/completions and /v1/chat/completions take requests; GET
// /resume/{request id}?offset=BYTES continues a response. GET /load, /state and
// /events report on the engine, GET /cache lists the prefix cache, POST /order
// executes an order, and POST /kv/export and /kv/import move cached prefixes
// between engines.
type Engine struct {
	Model   string     // loaded at start; "" serves any model
	Version string     // of the model
	Role    fleet.Role // phase, if any, in which the engine specialises

	Slots                  int           // maximum number of requests in the batch
	PrefillTokensPerSecond float64       // each prompt token prolongs its batch step by the inverse
	DecodeTokensPerSecond  float64       // each output token prolongs its batch step by the inverse
	Step                   time.Duration // fixed part of the duration of a batch step
	RoleGain               float64       // factor by which Role speeds up its own phase and slows down the other one; 0 means 1

	CacheBlocks     int           // capacity of the prefix cache in blocks; 0 disables the cache
	KVBytesPerToken int           // size of exported KV cache per token
	KVTime          time.Duration // duration of one export of KV cache
	EventLag        time.Duration // delay until a cache event is published
	EventGapEvery   int           // cache events whose number is a multiple of it are not published; 0 means none
	LoadLag         time.Duration // age of load reports

	ChecksFencing  bool          // reject orders whose number is lower than the highest accepted one
	RoleChangeTime time.Duration // time out of service during a role change
	LoadTime       time.Duration // time to load a model, adapter or version
	ResumeWindow   time.Duration // how long a response that no client reads is generated and kept; 0 cancels it at once

	// Fetch, if set, is called after LoadTime when a model, adapter or version is
	// loaded. The order fails if it returns an error.
	Fetch func(name, version string) error

	mu             sync.Mutex
	initialised    bool
	mux            *http.ServeMux
	down           bool
	generation     int           // number of crashes; goroutines of an earlier generation stop
	crashed        chan struct{} // closed by a crash, replaced by Restart
	loopRunning    bool
	faults         EngineFaults
	jobs           map[string]*job // by request ID, including finished ones that are kept
	waiting        []*job
	running        []*job // in the batch
	cache          prefixCache
	loadSamples    []EngineLoad
	measuredSpeeds engineSpeeds
	orders         orderState
	counts         EngineCounts
	runs           map[string]int // admissions to the batch by request ID
	headers        []http.Header  // of all completion requests
}

// EngineFaults are the faults injected into an Engine. CrashAfterFrames and
// DropAfterFrames are reset to 0 when they take effect.
type EngineFaults struct {
	CrashAfterFrames int           // crash when this number of SSE events of a response has been sent
	DropAfterFrames  int           // close the connection after this number of SSE events of a response; the request keeps running
	CrashInOrder     bool          // crash halfway through the next order
	CrashKeepsChange bool          // with CrashInOrder: the order takes effect before the crash
	LoseOrderAnswers int           // number of orders to execute without sending the response
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
	Cancelled       int // requests whose client disconnected
	Interrupted     int // requests ended by a crash, a role change or a model load
	PromptTokens    int // in completed requests
	CachedTokens    int // prompt tokens of started requests that were in the prefix cache
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
	ContentConflict int // received with the number of an executed order, but different content
}

// UpdateFaults changes the faults. It may be called while the engine serves
// requests.
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

// Crash ends all requests, connections and goroutines of the engine. Until
// Restart, the connection of each new request is closed without a response. A
// test under synctest that leaves requests running must call Crash before it ends,
// since a synctest bubble ends only after all its goroutines.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	e.crash()
}

// Restart starts a crashed engine with an empty cache and no record of order
// numbers. The role, model, version and adapters are kept. An engine that is
// running crashes first.
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

// crash stops the engine until Restart. The caller holds the mutex.
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

// interruptAll fails all unfinished requests and removes all responses. The caller
// holds the mutex.
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

// setup applies the defaults and creates the internal state on first use. The
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
		hang(r) // does not return
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
