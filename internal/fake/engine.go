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

// Engine is a model engine with continuous batching. The zero value serves.
// The exported fields are set before the first request. Tokens are the
// whitespace-separated words of a prompt.
//
// Requests are POST /v1/completions and /v1/chat/completions; GET
// /resume/{request id}?offset=BYTES continues an answer. GET /load, /state and
// /events report, GET /cache lists the prefix cache; POST /order changes the
// engine; POST /kv/export and /kv/import move cached prefixes.
type Engine struct {
	Model   string // loaded at start; "" serves any model
	Version string
	Role    fleet.Role

	Slots                  int           // requests in one batch
	PrefillTokensPerSecond float64       // added to a step for each prompt token
	DecodeTokensPerSecond  float64       // added to a step for each output token
	Step                   time.Duration // fixed time of one batch step
	RoleGain               float64       // speed of the phase an engine specialises in; 0 means 1

	CacheBlocks     int           // prompt blocks kept in the prefix cache; 0 means none
	KVBytesPerToken int           // size of exported KV cache
	KVTime          time.Duration // of one export
	EventLag        time.Duration // age at which cache events are published
	EventGapEvery   int           // each n-th cache event is lost; 0 means none
	LoadLag         time.Duration // age of load reports

	ChecksFencing  bool          // refuses orders with an old number
	RoleChangeTime time.Duration // time out of service during a role change
	LoadTime       time.Duration // time of loading a model, adapter or version
	ResumeWindow   time.Duration // time an answer without readers goes on; 0 means cancel at once

	// Fetch is called while a model, adapter or version is loaded; nil means
	// that there is nothing to fetch.
	Fetch func(name, version string) error

	mu         sync.Mutex
	started    bool
	mux        *http.ServeMux
	down       bool
	generation int           // counts crashes
	crashed    chan struct{} // closed by a crash
	looping    bool
	faults     EngineFaults
	jobs       map[string]*job
	waiting    []*job
	running    []*job
	cache      prefixCache
	loads      []loadSample
	measured   engineSpeeds
	orders     orderState
	counts     EngineCounts
	runs       map[string]int
	headers    []http.Header
}

// EngineFaults are the faults a test sets. A count of frames fires once.
type EngineFaults struct {
	CrashAfterFrames int           // crash once an answer has sent so many SSE events
	DropAfterFrames  int           // drop the connection of an answer, the work goes on
	CrashInOrder     bool          // crash halfway through the next order
	CrashKeepsChange bool          // the order in progress is in effect after that crash
	LoseOrderAnswers int           // so many orders are done without an answer
	SlowOrders       time.Duration // added to the time of an order
	Slowdown         float64       // batch steps take so many times as long; 0 means 1
	ExtraLoadLag     time.Duration // added to LoadLag
	Silent           bool          // accept requests and never answer
	FailFast         bool          // answer 500 at once
	LoseKV           bool          // lose the prefix cache before each export
	CrashInExport    bool          // crash halfway through the next export of KV cache
	CrashInImport    bool          // crash before the end of the next import
}

// EngineCounts says what an engine did since its creation, crashes included.
type EngineCounts struct {
	Started         int // requests taken into a batch
	Completed       int
	Cancelled       int // callers disconnected
	Interrupted     int // ended by a crash or a change of the engine
	PromptTokens    int // of completed requests
	CachedTokens    int // prompt tokens found in the prefix cache
	OutputTokens    int
	Crashes         int
	RoleChanges     int
	OrdersRun       int
	OrdersRefused   int // old number, while the engine checks
	OldOrdersRun    int // old number, while the engine does not check
	OrdersRepeated  int // run again under a number that had run
	OrderConflicts  int // orders that arrived during another order
	Exports         int // of KV cache, whole
	Imports         int
	CacheListings   int // whole listings of the prefix cache
	ContentConflict int // orders with the number of another content
}

// Set changes the faults while the engine serves.
func (e *Engine) Set(change func(f *EngineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs returns how often the request with this id was taken into a batch.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Headers returns the headers of the completion requests so far.
func (e *Engine) Headers() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.headers...)
}

// Crash ends all work, connections and goroutines of the engine. It refuses
// connections until Restart. A test under synctest that leaves work running
// calls Crash at its end.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	e.crash()
}

// Restart brings a crashed engine back with an empty cache and no memory of
// order numbers.
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
	e.interrupt()
	e.looping = false
	e.cache = prefixCache{}
	e.loads = nil
	e.orders.forget()
	close(e.crashed)
}

// interrupt fails all requests.
func (e *Engine) interrupt() {
	for _, j := range e.jobs {
		if !j.done {
			e.counts.Interrupted++
			j.end(true)
		}
	}
	e.jobs = make(map[string]*job)
	e.waiting, e.running = nil, nil
}

// setup fills in defaults. The caller holds the mutex.
func (e *Engine) setup() {
	if e.started {
		return
	}
	e.started = true
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

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// ServeHTTP serves callers, agents and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.setup()
	down, faults := e.down, e.faults
	e.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case faults.Silent:
		silence(r)
	case faults.FailFast:
		apiError(w, http.StatusInternalServerError, "engine fails fast")
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
