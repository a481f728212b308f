package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Platform simulates the deployment platform, which starts and stops targets and
// receives usage reports for billing. The zero value is ready to use and has
// unlimited capacity.
//
// POST /targets starts a target, POST /targets/{name}/stop stops one, GET
// /targets lists all of them, and POST /usage records a usage report. The request
// header Papayarock-Host names the host that sends the request.
type Platform struct {
	StartDelay   time.Duration
	PricePerHour map[string]float64          // price of a running target, by pool
	Idempotent   bool                        // a repeated start order has no further effect
	OnStart      func(t PlatformTarget)      // called when a target is running
	OnStop       func(t PlatformTarget)      // called when a target is stopped
	MaxTargets   func(dataCentre string) int // maximum number of targets in a data centre that are not stopped; nil means no limit

	mu         sync.Mutex
	faults     PlatformFaults
	targets    map[string]*PlatformTarget
	startCount int
	orders     []PlatformOrder
	usage      []UsageReport
}

// PlatformFaults are the faults injected into a Platform.
type PlatformFaults struct {
	LoseAnswers int           // number of orders or usage reports to execute without sending the response
	FailFast    bool          // reject all requests
	Silent      bool          // accept requests without executing them or responding
	Before      time.Duration // delay before a request is executed
}

// PlatformTarget is a target in the response to GET /targets.
type PlatformTarget struct {
	Name         string    `json:"name"`
	DataCentre   string    `json:"data-centre"`
	Pool         string    `json:"pool"`
	State        string    `json:"state"`   // starting, running, stopped
	OrderNumber  string    `json:"order"`   // number of the start order
	OrderedAt    time.Time `json:"ordered"` // when the start order arrived
	RunningSince time.Time `json:"running"` // when it became running; zero before
	StoppedAt    time.Time `json:"stopped"` // when it was stopped; zero before
}

// PlatformOrder is an order that the platform accepted.
type PlatformOrder struct {
	At            time.Time `json:"-"`
	Host          string    `json:"-"`
	Kind          string    `json:"-"` // start, stop
	Target        string    `json:"-"`
	Repeated      bool      `json:"-"` // had no effect, since an earlier order had started or stopped the target
	Number        string    `json:"order"`
	RequestedName string    `json:"target"` // for a new target; not used if another target has this name
	DataCentre    string    `json:"data-centre"`
	Pool          string    `json:"pool"`
}

// UsageReport is the usage of a customer in one usage window.
type UsageReport struct {
	At           time.Time `json:"-"`
	Host         string    `json:"-"`
	Customer     string    `json:"customer"`
	Window       string    `json:"window"`
	PromptTokens uint64    `json:"prompt-tokens"`
	OutputTokens uint64    `json:"output-tokens"`
	Requests     uint64    `json:"requests"`
}

// UpdateFaults changes the faults. It may be called while the platform serves
// requests.
func (p *Platform) UpdateFaults(change func(f *PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	switch {
	case f.FailFast:
		writeError(w, http.StatusServiceUnavailable, "injected fault: platform rejects all requests")
		return
	case f.Silent:
		hang(r) // does not return
	}
	if !sleep(r, f.Before) {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", p.listTargets)
	mux.HandleFunc("POST /targets", p.start)
	mux.HandleFunc("POST /targets/{name}/stop", p.stop)
	mux.HandleFunc("POST /usage", p.recordUsage)
	mux.ServeHTTP(w, r)
}

func (p *Platform) listTargets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Targets())
}

// Targets returns all targets in order of their names, including stopped ones.
func (p *Platform) Targets() []PlatformTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]PlatformTarget, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b PlatformTarget) int {
		return compareNames(a.Name, b.Name)
	})
	return all
}

func (p *Platform) start(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r, "start")
	if !ok {
		return
	}
	p.mu.Lock()
	t, status, message := p.startTarget(o)
	drop := p.dropResponse(status)
	p.mu.Unlock()
	respond(w, drop, status, message, t)
}

// AddRunning registers a target that is running without a start order. The text in
// place of its order number is unique, so that DuplicateStarts does not count it.
func (p *Platform) AddRunning(t PlatformTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		p.targets = make(map[string]*PlatformTarget)
	}
	t.State, t.OrderNumber, t.RunningSince = "running", "none for "+t.Name, time.Now()
	p.targets[t.Name] = &t
}

// startTarget starts a target. For a repeated order on an idempotent platform it
// returns the target that the order started before. The caller holds the mutex.
func (p *Platform) startTarget(o PlatformOrder) (PlatformTarget, int, string) {
	if p.Idempotent {
		for _, t := range p.targets {
			if t.OrderNumber == o.Number {
				o.Target, o.Repeated = t.Name, true
				p.orders = append(p.orders, o)
				return *t, http.StatusOK, ""
			}
		}
	}
	if p.MaxTargets != nil && p.activeTargets(o.DataCentre) >= p.MaxTargets(o.DataCentre) {
		return PlatformTarget{}, http.StatusInsufficientStorage, fmt.Sprintf("no capacity in data centre %q", o.DataCentre)
	}
	p.startCount++
	name := fmt.Sprintf("p%d", p.startCount)
	if o.RequestedName != "" && p.targets[o.RequestedName] == nil {
		name = o.RequestedName
	}
	t := &PlatformTarget{
		Name: name, DataCentre: o.DataCentre, Pool: o.Pool,
		State: "starting", OrderNumber: o.Number, OrderedAt: o.At,
	}
	if p.targets == nil {
		p.targets = make(map[string]*PlatformTarget)
	}
	p.targets[t.Name] = t
	o.Target = t.Name
	p.orders = append(p.orders, o)
	time.AfterFunc(p.StartDelay, func() { p.finishStart(t) })
	return *t, http.StatusOK, ""
}

// activeTargets returns the number of targets in a data centre that are not
// stopped. The caller holds the mutex.
func (p *Platform) activeTargets(dataCentre string) int {
	n := 0
	for _, t := range p.targets {
		if t.DataCentre == dataCentre && t.State != "stopped" {
			n++
		}
	}
	return n
}

func (p *Platform) finishStart(t *PlatformTarget) {
	p.mu.Lock()
	started := t.State == "starting"
	if started {
		t.State, t.RunningSince = "running", time.Now()
	}
	snapshot := *t
	p.mu.Unlock()
	if started && p.OnStart != nil {
		p.OnStart(snapshot)
	}
}

func (p *Platform) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r, "stop")
	if !ok {
		return
	}
	o.Target = r.PathValue("name")
	p.mu.Lock()
	t := p.targets[o.Target]
	if t == nil {
		p.mu.Unlock()
		writeError(w, http.StatusNotFound, fmt.Sprintf("no target %q", o.Target))
		return
	}
	o.Repeated = t.State == "stopped"
	if !o.Repeated {
		t.State, t.StoppedAt = "stopped", o.At
	}
	p.orders = append(p.orders, o)
	drop := p.dropResponse(http.StatusOK)
	snapshot := *t
	p.mu.Unlock()
	if !o.Repeated && p.OnStop != nil {
		p.OnStop(snapshot)
	}
	respond(w, drop, http.StatusOK, "", snapshot)
}

func (p *Platform) recordUsage(w http.ResponseWriter, r *http.Request) {
	u := UsageReport{At: time.Now(), Host: r.Header.Get("Papayarock-Host")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&u); err != nil {
		writeError(w, http.StatusBadRequest, "usage report: "+err.Error())
		return
	}
	p.mu.Lock()
	p.usage = append(p.usage, u)
	drop := p.dropResponse(http.StatusOK)
	p.mu.Unlock()
	respond(w, drop, http.StatusOK, "", map[string]any{"window": u.Window})
}

// dropResponse reports whether LoseAnswers requires dropping the response to a
// request, and in that case decrements LoseAnswers. Responses to rejected requests
// are not dropped. The caller holds the mutex.
func (p *Platform) dropResponse(status int) bool {
	if status != http.StatusOK || p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func respond(w http.ResponseWriter, drop bool, status int, message string, v any) {
	switch {
	case drop:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		writeError(w, status, message)
	default:
		writeJSON(w, status, v)
	}
}

func readOrder(w http.ResponseWriter, r *http.Request, kind string) (PlatformOrder, bool) {
	o := PlatformOrder{At: time.Now(), Host: r.Header.Get("Papayarock-Host"), Kind: kind}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "order: "+err.Error())
		return o, false
	}
	if o.Number == "" {
		writeError(w, http.StatusBadRequest, "order: the number is missing")
		return o, false
	}
	return o, true
}
