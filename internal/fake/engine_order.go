package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const maxLoadSamples = 4096 // above it, the older half is dropped

// Order is the body of POST /order: an instruction to an engine.
type Order struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // load-model, load-adapter, unload-adapter, load-version, change-role
	Name     string `json:"name,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"` // mixed, prefill, decode
}

// Number returns the number of the order.
func (o Order) Number() fleet.OrderNumber {
	return fleet.OrderNumber{Term: o.Term, Sequence: o.Sequence}
}

// EngineState is the response to GET /state.
type EngineState struct {
	Role     string            `json:"role"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters map[string]string `json:"adapters"` // version by name
	Changing bool              `json:"changing"` // an order is in progress
	Term     uint64            `json:"term"`     // of the highest order number since the last start
	Sequence uint64            `json:"sequence"` // of the same order number
}

type orderState struct {
	highest    fleet.OrderNumber           // highest number of an accepted order
	completed  map[fleet.OrderNumber]Order // by number, to recognise repeated orders
	adapters   map[string]string           // version by name
	inProgress bool
	executed   []Order // oldest first
}

// reset discards the state that a crash loses. The adapters and the list of
// executed orders are kept.
func (s *orderState) reset() {
	s.highest = fleet.OrderNumber{}
	s.completed = nil
	s.inProgress = false
}

// Orders returns all executed orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.executed...)
}

// State returns the state that GET /state reports.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	s := EngineState{
		Role: e.Role.String(), Model: e.Model, Version: e.Version, Adapters: map[string]string{},
		Changing: e.orders.inProgress, Term: e.orders.highest.Term, Sequence: e.orders.highest.Sequence,
	}
	for name, version := range e.orders.adapters {
		s.Adapters[name] = version
	}
	return s
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// serveOrder executes an order and responds when it is complete. The execution
// continues if the client disconnects.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "order: "+err.Error())
		return
	}
	if err := o.validate(); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	status, message := e.acceptOrder(o)
	crashed := e.crashed
	if status != http.StatusAccepted {
		e.mu.Unlock()
		if status == http.StatusOK {
			writeJSON(w, status, e.State())
			return
		}
		writeError(w, status, message)
		return
	}
	generation := e.generation
	done := make(chan error, 1)
	go func() { done <- e.execute(o, generation, crashed) }()
	e.mu.Unlock()
	select {
	case err := <-done:
		e.respondToOrder(w, err)
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

func (o Order) validate() error {
	switch o.Kind {
	case "load-model", "load-adapter", "unload-adapter", "load-version":
		return nil
	case "change-role":
		_, err := o.parseRole()
		return err
	}
	return fmt.Errorf("order %s: unknown kind %q", o.Number(), o.Kind)
}

func (o Order) parseRole() (fleet.Role, error) {
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
		if r.String() == o.Role {
			return r, nil
		}
	}
	return 0, fmt.Errorf("order %s: unknown role %q", o.Number(), o.Role)
}

// acceptOrder returns StatusAccepted if the order must be executed, StatusOK if it
// was executed before and is not executed again, and otherwise an error status
// with its message. An engine without ChecksFencing executes repeated orders again.
// The caller holds the mutex.
func (e *Engine) acceptOrder(o Order) (int, string) {
	n := o.Number()
	outdated := n.Compare(e.orders.highest) < 0
	previous, repeated := e.orders.completed[n]
	switch {
	case e.orders.inProgress:
		e.counts.OrderConflicts++
		return http.StatusConflict, fmt.Sprintf("order %s rejected: another order is in progress", n)
	case repeated && previous != o:
		e.counts.ContentConflict++
		return http.StatusConflict, fmt.Sprintf("order %s was executed before with different content", n)
	case repeated && e.ChecksFencing:
		return http.StatusOK, ""
	case outdated && e.ChecksFencing:
		e.counts.OrdersRefused++
		return http.StatusPreconditionFailed, fmt.Sprintf("order %s is older than %s", n, e.orders.highest)
	case outdated:
		e.counts.OldOrdersRun++
	default:
		e.orders.highest = n
	}
	e.orders.inProgress = true
	if o.Kind == "change-role" || o.Kind == "load-model" {
		e.interruptAll()
	}
	return http.StatusAccepted, ""
}

// execute waits for the duration of the order, calls Fetch and applies the order.
// CrashInOrder crashes the engine after half of the duration. An order that a crash
// interrupts has no effect, unless CrashKeepsChange is set.
func (e *Engine) execute(o Order, generation int, crashed <-chan struct{}) error {
	duration := e.LoadTime
	if o.Kind == "change-role" {
		duration = e.RoleChangeTime
	}
	e.mu.Lock()
	duration += e.faults.SlowOrders
	e.mu.Unlock()
	waitUnlessCrashed(duration/2, crashed)
	e.mu.Lock()
	if e.faults.CrashInOrder && e.generation == generation {
		e.faults.CrashInOrder = false
		if e.faults.CrashKeepsChange {
			e.applyOrder(o)
		}
		e.crash()
	}
	e.mu.Unlock()
	waitUnlessCrashed(duration-duration/2, crashed)
	var err error
	select {
	case <-crashed:
		return nil
	default:
	}
	if e.Fetch != nil && (o.Kind == "load-model" || o.Kind == "load-adapter" || o.Kind == "load-version") {
		err = e.Fetch(o.Name, o.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return nil
	}
	e.orders.inProgress = false
	if err != nil {
		return err
	}
	if e.orders.completed == nil {
		e.orders.completed = make(map[fleet.OrderNumber]Order)
	}
	e.orders.completed[o.Number()] = o
	e.applyOrder(o)
	return nil
}

// applyOrder changes the state of the engine as ordered. The caller holds the
// mutex.
func (e *Engine) applyOrder(o Order) {
	e.counts.OrdersRun++
	if slices.ContainsFunc(e.orders.executed, func(executed Order) bool { return executed.Number() == o.Number() }) {
		e.counts.OrdersRepeated++
	}
	e.orders.executed = append(e.orders.executed, o)
	switch o.Kind {
	case "load-model":
		e.Model, e.Version = o.Name, o.Version
		e.cache.clear()
	case "load-version":
		e.Version = o.Version
	case "load-adapter":
		e.orders.adapters[o.Name] = o.Version
	case "unload-adapter":
		delete(e.orders.adapters, o.Name)
	case "change-role":
		e.Role, _ = o.parseRole()         // validated on arrival
		e.measuredSpeeds = engineSpeeds{} // the averages belong to the previous role
		e.sampleLoad()
		e.counts.RoleChanges++
	}
}

// respondToOrder writes the response to an order, or aborts the request if
// LoseOrderAnswers is set.
func (e *Engine) respondToOrder(w http.ResponseWriter, err error) {
	e.mu.Lock()
	drop := e.faults.LoseOrderAnswers > 0
	if drop {
		e.faults.LoseOrderAnswers--
	}
	e.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, http.StatusBadGateway, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.State())
}

// EngineLoad is the response to GET /load.
type EngineLoad struct {
	Running       int       `json:"running"`        // requests in the batch
	Waiting       int       `json:"waiting"`        // requests in the queue
	PrefillTokens int       `json:"prefill-tokens"` // prompt tokens left to process
	DecodeTokens  int       `json:"decode-tokens"`  // output tokens left to generate
	CachedBlocks  int       `json:"cached-blocks"`
	PrefillSpeed  float64   `json:"prefill-speed"` // prompt tokens per second of prefill time; 0 until measured
	DecodeSpeed   float64   `json:"decode-speed"`  // output tokens per second of decode time; 0 until measured
	At            time.Time `json:"at"`            // time of measurement
}

// sampleLoad records the current load. The caller holds the mutex.
func (e *Engine) sampleLoad() {
	s := EngineLoad{Running: len(e.running), Waiting: len(e.waiting), CachedBlocks: len(e.cache.blocks), At: time.Now()}
	s.PrefillSpeed, s.DecodeSpeed = e.measuredSpeeds.prefill, e.measuredSpeeds.decode
	for _, j := range e.jobs {
		if !j.done {
			s.PrefillTokens += j.pendingPrefill
			s.DecodeTokens += j.maxOutput - j.generated
		}
	}
	e.loadSamples = append(e.loadSamples, s)
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[len(e.loadSamples)-maxLoadSamples/2:]
	}
}

// serveLoad returns the latest load sample that is at least LoadLag+ExtraLoadLag
// old, or zeros if there is none.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cutoff := time.Now().Add(-e.LoadLag - e.faults.ExtraLoadLag)
	var load EngineLoad
	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if !e.loadSamples[i].At.After(cutoff) {
			load = e.loadSamples[i]
			break
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}
