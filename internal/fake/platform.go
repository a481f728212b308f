package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Platform orders targets and takes usage reports. The zero value serves with
// an unlimited number of targets.
//
// POST /targets starts a target, POST /targets/{name}/stop stops one, GET
// /targets lists them, POST /usage takes a report. The header Papayarock-Host
// names the ordering process.
type Platform struct {
	StartDelay   time.Duration
	PricePerHour map[string]float64          // by pool, per running target
	Idempotent   bool                        // a repeated order number does nothing again
	OnStart      func(t PlatformTarget)      // called when a target runs
	OnStop       func(t PlatformTarget)      // called when a target is stopped
	Limit        func(dataCentre string) int // targets per data centre; nil means no limit

	mu      sync.Mutex
	faults  PlatformFaults
	targets map[string]*PlatformTarget
	names   int
	orders  []PlatformOrder
	usage   []UsageReport
}

// PlatformFaults are the faults a test sets.
type PlatformFaults struct {
	LoseAnswers int  // so many orders or reports act without an answer
	FailFast    bool // refuse everything without acting
	Silent      bool // accept requests and never act or answer
	Before      time.Duration
}

// PlatformTarget is one target as GET /targets lists it.
type PlatformTarget struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"data-centre"`
	Pool       string    `json:"pool"`
	State      string    `json:"state"` // starting, running, stopped
	Order      string    `json:"order"` // number of the order that started it
	Ordered    time.Time `json:"ordered"`
	Running    time.Time `json:"running"` // zero while starting
	Stopped    time.Time `json:"stopped"` // zero unless stopped
}

// PlatformOrder is one order that reached the platform and was acted on.
type PlatformOrder struct {
	At         time.Time `json:"-"`
	Host       string    `json:"-"`
	Kind       string    `json:"-"` // start, stop
	Target     string    `json:"-"`
	Repeated   bool      `json:"-"` // the number was known and nothing was done
	Number     string    `json:"order"`
	Wanted     string    `json:"target"` // name for a started target, if it is free
	DataCentre string    `json:"data-centre"`
	Pool       string    `json:"pool"`
}

// UsageReport is the usage of one customer in one window.
type UsageReport struct {
	At           time.Time `json:"-"`
	Host         string    `json:"-"`
	Customer     string    `json:"customer"`
	Window       string    `json:"window"`
	PromptTokens uint64    `json:"prompt-tokens"`
	OutputTokens uint64    `json:"output-tokens"`
	Requests     uint64    `json:"requests"`
}

// Set changes the faults while the platform serves.
func (p *Platform) Set(change func(f *PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// ServeHTTP serves orders and reports.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	switch {
	case f.FailFast:
		apiError(w, http.StatusServiceUnavailable, "platform fails fast")
		return
	case f.Silent:
		silence(r)
	}
	if !sleep(r, f.Before) {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", p.list)
	mux.HandleFunc("POST /targets", p.start)
	mux.HandleFunc("POST /targets/{name}/stop", p.stop)
	mux.HandleFunc("POST /usage", p.report)
	mux.ServeHTTP(w, r)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Targets())
}

// Targets returns all targets in the order of their start, stopped ones
// included.
func (p *Platform) Targets() []PlatformTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]PlatformTarget, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b PlatformTarget) int {
		return compare(a.Name, b.Name)
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
	lose := p.lose(status)
	p.mu.Unlock()
	respond(w, lose, status, message, t)
}

// Add registers a target that runs already.
func (p *Platform) Add(t PlatformTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		p.targets = make(map[string]*PlatformTarget)
	}
	t.State, t.Order, t.Running = "running", "none for "+t.Name, time.Now()
	p.targets[t.Name] = &t
}

// startTarget returns the target an order starts or started.
func (p *Platform) startTarget(o PlatformOrder) (PlatformTarget, int, string) {
	if p.Idempotent {
		for _, t := range p.targets {
			if t.Order == o.Number {
				o.Target, o.Repeated = t.Name, true
				p.orders = append(p.orders, o)
				return *t, http.StatusOK, ""
			}
		}
	}
	if p.Limit != nil && p.count(o.DataCentre) >= p.Limit(o.DataCentre) {
		return PlatformTarget{}, http.StatusInsufficientStorage, fmt.Sprintf("no capacity in data centre %q", o.DataCentre)
	}
	p.names++
	name := fmt.Sprintf("p%d", p.names)
	if o.Wanted != "" && p.targets[o.Wanted] == nil {
		name = o.Wanted
	}
	t := &PlatformTarget{
		Name: name, DataCentre: o.DataCentre, Pool: o.Pool,
		State: "starting", Order: o.Number, Ordered: o.At,
	}
	if p.targets == nil {
		p.targets = make(map[string]*PlatformTarget)
	}
	p.targets[t.Name] = t
	o.Target = t.Name
	p.orders = append(p.orders, o)
	time.AfterFunc(p.StartDelay, func() { p.run(t) })
	return *t, http.StatusOK, ""
}

func (p *Platform) count(dataCentre string) int {
	n := 0
	for _, t := range p.targets {
		if t.DataCentre == dataCentre && t.State != "stopped" {
			n++
		}
	}
	return n
}

func (p *Platform) run(t *PlatformTarget) {
	p.mu.Lock()
	started := t.State == "starting"
	if started {
		t.State, t.Running = "running", time.Now()
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
		apiError(w, http.StatusNotFound, fmt.Sprintf("no target %q", o.Target))
		return
	}
	o.Repeated = t.State == "stopped"
	if !o.Repeated {
		t.State, t.Stopped = "stopped", o.At
	}
	p.orders = append(p.orders, o)
	lose := p.lose(http.StatusOK)
	snapshot := *t
	p.mu.Unlock()
	if !o.Repeated && p.OnStop != nil {
		p.OnStop(snapshot)
	}
	respond(w, lose, http.StatusOK, "", snapshot)
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	u := UsageReport{At: time.Now(), Host: r.Header.Get("Papayarock-Host")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&u); err != nil {
		apiError(w, http.StatusBadRequest, "usage report: "+err.Error())
		return
	}
	p.mu.Lock()
	p.usage = append(p.usage, u)
	lose := p.lose(http.StatusOK)
	p.mu.Unlock()
	respond(w, lose, http.StatusOK, "", map[string]any{"window": u.Window})
}

// lose says whether the answer of an action is lost.
func (p *Platform) lose(status int) bool {
	if status != http.StatusOK || p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func respond(w http.ResponseWriter, lose bool, status int, message string, v any) {
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		apiError(w, status, message)
	default:
		writeJSON(w, status, v)
	}
}

func readOrder(w http.ResponseWriter, r *http.Request, kind string) (PlatformOrder, bool) {
	o := PlatformOrder{At: time.Now(), Host: r.Header.Get("Papayarock-Host"), Kind: kind}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		apiError(w, http.StatusBadRequest, "order: "+err.Error())
		return o, false
	}
	if o.Number == "" {
		apiError(w, http.StatusBadRequest, "order: the number is missing")
		return o, false
	}
	return o, true
}
