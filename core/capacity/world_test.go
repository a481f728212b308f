package capacity_test

import (
	"fmt"
	"strings"
	"time"

	"papayarock/core/authority"
	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
	"papayarock/core/watch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world runs one Term after another over the real state machine. Its engines
// and platform do what the state says.
type world struct {
	machine  *state.Machine
	term     *capacity.Term
	now      time.Time
	since    time.Time // of the leader
	number   uint64    // of the term
	index    uint64
	platform bool
	rates    func() []plan.Rate
	lose     func() bool // whether the answer to the next proposal is lost
	arrives  func() bool // whether a proposal without an answer is committed

	until     map[fleet.TargetName]time.Time // when the present phase ends
	changed   map[fleet.TargetName]time.Time // last role change
	was       map[fleet.TargetName]fleet.Role
	proposals []capacity.Proposal
	roles     int // role changes begun
	violated  string
}

func newWorld(b config.Budget, windows []config.Window, engines ...fleet.Role) *world {
	w := &world{
		machine: state.New(), now: start, platform: true,
		lose: func() bool { return false }, arrives: func() bool { return true },
		until: make(map[fleet.TargetName]time.Time), changed: make(map[fleet.TargetName]time.Time),
		was: make(map[fleet.TargetName]fleet.Role),
	}
	w.change(state.ReplaceDocument{Document: config.Document{
		Customers: []config.Customer{{Name: "a", Weight: 1}}, Models: []config.Model{{Name: "m", Version: "1"}}, PoolModel: map[string]string{"m": "m"},
		Routes:  []config.Route{{Name: "r", Prefix: "/", Pool: "m", Class: fleet.Urgent, FirstToken: 330 * time.Millisecond}},
		Windows: windows, Budget: b,
	}})
	for i, r := range engines {
		w.serve(fleet.TargetName(fmt.Sprintf("t%d", i)), r)
	}
	w.elect()
	return w
}

func budget() config.Budget {
	return config.Budget{
		HourlyCap: 6, PricePerHour: map[string]float64{"m": 1}, StartDelay: 2 * time.Minute,
		RoleChangeDelay: 5 * time.Second, MinimumPerPool: map[string]int{"m": 2},
	}
}

func (w *world) apply(c state.Command) state.Result {
	w.index++
	w.machine.EnterTerm(w.number)
	return w.machine.Apply(w.index, c)
}

func (w *world) change(a state.Action) state.ChangeResult {
	r := w.apply(state.Change{
		ID: fmt.Sprint("c", w.index), Base: w.machine.Config().Revision, Operator: "op", Time: w.now, Action: a,
	})
	return r.(state.ChangeResult)
}

// serve brings an engine into service.
func (w *world) serve(name fleet.TargetName, r fleet.Role) {
	w.apply(state.Announce{Target: fleet.Target{
		Name: name, Pool: "m", DataCentre: "dc", Region: "r", Kind: fleet.Engine, Role: r, Incarnation: 1,
	}, Until: w.now.Add(time.Hour), Time: w.now})
	w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Ready, Time: w.now})
}

// elect replaces the leader by one that knows only the replicated state.
func (w *world) elect() {
	w.number++
	w.since = w.now
	w.term = capacity.New(capacity.Options{Platform: w.platform})
	w.machine.EnterTerm(w.number)
}

func (w *world) lease() authority.Gate {
	return authority.Gate{Held: true, Term: w.number, Expires: w.now.Add(time.Second)}
}

func (w *world) view() capacity.View {
	v := capacity.View{
		Config: w.machine.Config(), Targets: w.machine.Targets(), Starts: w.machine.PlannedStarts(),
		Signs: make(map[fleet.TargetName]watch.Sign), Since: w.since,
	}
	for _, r := range v.Targets {
		v.Signs[r.Target.Name] = watch.Sign{Name: r.Target.Name, Incarnation: r.Target.Incarnation, Ready: true}
	}
	if w.rates != nil {
		v.Rates = w.rates()
	}
	return v
}

func (w *world) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.violated == ""; w.now = w.now.Add(capacity.Period) {
		w.apply(state.Tick{Now: w.now})
		w.fleet()
		for _, p := range w.term.Step(w.now, w.lease(), w.view()) {
			w.propose(p)
		}
		w.check()
	}
}

func (w *world) propose(p capacity.Proposal) {
	w.proposals = append(w.proposals, p)
	if w.lose() {
		if w.arrives() {
			w.commit(p)
		}
		w.term.Done(w.now, p, true, "uncertain")
		return
	}
	w.term.Done(w.now, p, false, fmt.Sprint(w.commit(p)))
}

// commit applies a proposal and checks that it changes no target that an
// operator drains.
func (w *world) commit(p capacity.Proposal) state.Result {
	var before state.TargetRecord
	c, adapt := p.Command.(state.Adapt)
	for _, r := range w.machine.Targets() {
		if adapt && r.Target.Name == c.Target {
			before = r
		}
	}
	r := w.apply(p.Command)
	if t, ok := r.(state.TargetResult); !ok || t.Outcome != state.TargetUpdated {
		return r
	}
	if before.Wanted != state.WantedServing {
		w.violated = fmt.Sprintf("target %q is adapted while an operator drains it", c.Target)
	}
	if c.Kind == state.AdaptRole {
		if last, ok := w.changed[c.Target]; ok && c.Role == w.was[c.Target] && w.now.Sub(last) < 90*time.Second {
			w.violated = fmt.Sprintf("target %q returns to %s after %s", c.Target, c.Role, w.now.Sub(last))
		}
		w.changed[c.Target], w.was[c.Target] = w.now, before.Target.Role
		w.roles++
	}
	return r
}

// fleet carries out what the state says: role changes, starts and stops.
func (w *world) fleet() {
	for _, r := range w.machine.Targets() {
		t := r.Target
		role := t.Phase == fleet.Draining && r.RoleWanted
		starts := t.Phase == fleet.Announced && t.Incarnation == 0
		if !role && !starts && t.Phase != fleet.Leaving {
			delete(w.until, t.Name)
			continue
		}
		if _, ok := w.until[t.Name]; !ok {
			w.until[t.Name] = w.now.Add(8 * time.Second)
			if starts {
				w.until[t.Name] = w.now.Add(w.machine.Config().General.Budget.StartDelay)
			}
		}
		if w.now.Before(w.until[t.Name]) {
			continue
		}
		switch {
		case starts:
			w.serve(t.Name, fleet.Mixed)
		case role:
			o := w.apply(state.PlaceOrder{Term: w.number, Target: t.Name, Incarnation: t.Incarnation, Kind: state.OrderRole, Content: state.Content{Role: r.Role}, Time: w.now}).(state.OrderResult)
			w.apply(state.AcknowledgeOrder{Number: o.Order.Number, Target: t.Name, Incarnation: t.Incarnation, Done: true, Time: w.now})
		default:
			w.apply(state.TargetPhase{Target: t.Name, Incarnation: t.Incarnation, Phase: fleet.Gone, Time: w.now})
		}
	}
}

// check holds in each state: the cap is kept and no target is ordered beyond.
func (w *world) check() {
	n := 0
	for _, r := range w.machine.Targets() {
		if r.Target.Phase != fleet.Gone {
			n++
		}
	}
	if most := w.machine.Config().General.Budget.HourlyCap; most > 0 && float64(n) > most {
		w.violated = fmt.Sprintf("%d targets at a cap of %g", n, most)
	}
}

// planned counts the targets that the planner ordered.
func (w *world) planned() (n int) {
	for _, r := range w.machine.Image().Platform {
		if r.Order.Kind == state.PlatformStart && strings.HasPrefix(r.Order.ID, state.PlanPrefix) {
			n++
		}
	}
	return n
}

func steady(prefill, decode float64) func() []plan.Rate {
	return func() []plan.Rate {
		return []plan.Rate{{
			Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: prefill / 1000, Prefill: prefill, Decode: decode,
		}}
	}
}
