package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const maxLoadSamples = 4096

// Order is an instruction to an engine, as POST /order takes it.
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

// EngineState is what GET /state returns.
type EngineState struct {
	Role     string            `json:"role"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters map[string]string `json:"adapters"` // version by name
	Changing bool              `json:"changing"`
	Term     uint64            `json:"term"` // highest order number seen since start
	Sequence uint64            `json:"sequence"`
}

type orderState struct {
	highest  fleet.OrderNumber
	done     map[fleet.OrderNumber]Order
	adapters map[string]string
	changing bool
	log      []Order
}

func (s *orderState) forget() {
	s.highest = fleet.OrderNumber{}
	s.done = nil
	s.changing = false
}

// Orders returns the orders the engine carried out, in their order.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.log...)
}

// State returns what GET /state returns.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setup()
	s := EngineState{
		Role: e.Role.String(), Model: e.Model, Version: e.Version, Adapters: map[string]string{},
		Changing: e.orders.changing, Term: e.orders.highest.Term, Sequence: e.orders.highest.Sequence,
	}
	for name, version := range e.orders.adapters {
		s.Adapters[name] = version
	}
	return s
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// serveOrder carries out an order and answers once it is done. The order goes
// on when its caller leaves.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		apiError(w, http.StatusBadRequest, "order: "+err.Error())
		return
	}
	if err := o.check(); err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
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
		apiError(w, status, message)
		return
	}
	generation := e.generation
	done := make(chan error, 1)
	go func() { done <- e.carryOut(o, generation, crashed) }()
	e.mu.Unlock()
	select {
	case err := <-done:
		e.answerOrder(w, err)
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

func (o Order) check() error {
	switch o.Kind {
	case "load-model", "load-adapter", "unload-adapter", "load-version":
		return nil
	case "change-role":
		_, err := o.role()
		return err
	}
	return fmt.Errorf("order %s: unknown kind %q", o.Number(), o.Kind)
}

func (o Order) role() (fleet.Role, error) {
	for _, r := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
		if r.String() == o.Role {
			return r, nil
		}
	}
	return 0, fmt.Errorf("order %s: unknown role %q", o.Number(), o.Role)
}

// acceptOrder returns StatusAccepted if the order is to be carried out and
// StatusOK if it was already.
func (e *Engine) acceptOrder(o Order) (int, string) {
	n := o.Number()
	old := n.Compare(e.orders.highest) < 0
	known, repeated := e.orders.done[n]
	switch {
	case e.orders.changing:
		e.counts.OrderConflicts++
		return http.StatusConflict, fmt.Sprintf("order %s arrived during another order", n)
	case repeated && known != o:
		e.counts.ContentConflict++
		return http.StatusConflict, fmt.Sprintf("order %s has other content", n)
	case repeated && e.ChecksFencing:
		return http.StatusOK, ""
	case old && e.ChecksFencing:
		e.counts.OrdersRefused++
		return http.StatusPreconditionFailed, fmt.Sprintf("order %s is older than %s", n, e.orders.highest)
	case old:
		e.counts.OldOrdersRun++
	default:
		e.orders.highest = n
	}
	e.orders.changing = true
	if o.Kind == "change-role" || o.Kind == "load-model" {
		e.interrupt()
	}
	return http.StatusAccepted, ""
}

// carryOut takes the time of the order and makes it effective.
func (e *Engine) carryOut(o Order, generation int, crashed <-chan struct{}) error {
	length := e.LoadTime
	if o.Kind == "change-role" {
		length = e.RoleChangeTime
	}
	e.mu.Lock()
	length += e.faults.SlowOrders
	e.mu.Unlock()
	wait(length/2, crashed)
	e.mu.Lock()
	if e.faults.CrashInOrder && e.generation == generation {
		e.faults.CrashInOrder = false
		if e.faults.CrashKeepsChange {
			e.change(o)
		}
		e.crash()
	}
	e.mu.Unlock()
	wait(length-length/2, crashed)
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
	e.orders.changing = false
	if err != nil {
		return err
	}
	if e.orders.done == nil {
		e.orders.done = make(map[fleet.OrderNumber]Order)
	}
	e.orders.done[o.Number()] = o
	e.change(o)
	return nil
}

// change makes an order effective.
func (e *Engine) change(o Order) {
	e.counts.OrdersRun++
	if slices.ContainsFunc(e.orders.log, func(d Order) bool { return d.Number() == o.Number() }) {
		e.counts.OrdersRepeated++
	}
	e.orders.log = append(e.orders.log, o)
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
		e.Role, _ = o.role()        // checked on arrival
		e.measured = engineSpeeds{} // of the former role
		e.sample()
		e.counts.RoleChanges++
	}
}

func (e *Engine) answerOrder(w http.ResponseWriter, err error) {
	e.mu.Lock()
	lose := e.faults.LoseOrderAnswers > 0
	if lose {
		e.faults.LoseOrderAnswers--
	}
	e.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		apiError(w, http.StatusBadGateway, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.State())
}

// EngineLoad is what GET /load returns.
type EngineLoad struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	PrefillTokens int       `json:"prefill-tokens"` // prompt tokens still to be processed
	DecodeTokens  int       `json:"decode-tokens"`  // output tokens still to be produced
	CachedBlocks  int       `json:"cached-blocks"`
	PrefillSpeed  float64   `json:"prefill-speed"` // prompt tokens/s of the time spent on prompts; 0 until measured
	DecodeSpeed   float64   `json:"decode-speed"`  // output tokens/s of the time spent on output; 0 until measured
	At            time.Time `json:"at"`
}

type loadSample = EngineLoad

// sample records the load. The caller holds the mutex.
func (e *Engine) sample() {
	s := loadSample{Running: len(e.running), Waiting: len(e.waiting), CachedBlocks: len(e.cache.blocks), At: time.Now()}
	s.PrefillSpeed, s.DecodeSpeed = e.measured.prefill, e.measured.decode
	for _, j := range e.jobs {
		if !j.done {
			s.PrefillTokens += j.prefill
			s.DecodeTokens += j.output - j.produced
		}
	}
	e.loads = append(e.loads, s)
	if len(e.loads) > maxLoadSamples {
		e.loads = e.loads[len(e.loads)-maxLoadSamples/2:]
	}
}

// serveLoad returns the load as it was LoadLag and ExtraLoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	visible := time.Now().Add(-e.LoadLag - e.faults.ExtraLoadLag)
	var load EngineLoad
	for i := len(e.loads) - 1; i >= 0; i-- {
		if !e.loads[i].At.After(visible) {
			load = e.loads[i]
			break
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}
