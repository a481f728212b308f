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

// simulation runs successive Terms on the real state machine, with simulated
// engines and a simulated platform that carry out what the state requests.
type simulation struct {
	machine      *state.Machine
	term         *capacity.TermPlanner
	now          time.Time
	leaderSince  time.Time // when the current leader started
	termNumber   uint64    // number of the current term
	index        uint64
	platform     bool
	rates        func() []plan.Rate
	loseResponse func() bool // whether the result of the next proposal is lost
	commitLost   func() bool // whether a proposal with a lost result is committed

	phaseEnds    map[fleet.TargetName]time.Time // end of the current phase
	lastChange   map[fleet.TargetName]time.Time // time of the last role change
	previousRole map[fleet.TargetName]fleet.Role
	proposals    []capacity.Proposal
	roleChanges  int // number of role changes started
	violation    string
}

func newSimulation(b config.Budget, windows []config.Window, engines ...fleet.Role) *simulation {
	w := &simulation{
		machine: state.New(), now: start, platform: true,
		loseResponse: func() bool { return false }, commitLost: func() bool { return true },
		phaseEnds: make(map[fleet.TargetName]time.Time), lastChange: make(map[fleet.TargetName]time.Time),
		previousRole: make(map[fleet.TargetName]fleet.Role),
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

func (w *simulation) apply(c state.Command) state.Result {
	w.index++
	w.machine.EnterTerm(w.termNumber)
	return w.machine.Apply(w.index, c)
}

func (w *simulation) change(a state.Action) state.ChangeResult {
	r := w.apply(state.Change{
		ID: fmt.Sprint("c", w.index), Base: w.machine.Config().Revision, Operator: "op", Time: w.now, Action: a,
	})
	return r.(state.ChangeResult)
}

// serve puts an engine into service.
func (w *simulation) serve(name fleet.TargetName, r fleet.Role) {
	w.apply(state.Announce{Target: fleet.Target{
		Name: name, Pool: "m", DataCentre: "dc", Region: "r", Kind: fleet.Engine, Role: r, Incarnation: 1,
	}, Until: w.now.Add(time.Hour), Time: w.now})
	w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Ready, Time: w.now})
}

// elect replaces the leader by a new one that knows only the replicated state.
func (w *simulation) elect() {
	w.termNumber++
	w.leaderSince = w.now
	w.term = capacity.New(capacity.Options{Platform: w.platform})
	w.machine.EnterTerm(w.termNumber)
}

func (w *simulation) lease() authority.Gate {
	return authority.Gate{Held: true, Term: w.termNumber, Expires: w.now.Add(time.Second)}
}

func (w *simulation) view() capacity.Input {
	v := capacity.Input{
		Config: w.machine.Config(), Targets: w.machine.Targets(), LastStarts: w.machine.PlannedStarts(),
		AgentStatuses: make(map[fleet.TargetName]watch.AgentStatus), LeaderSince: w.leaderSince,
	}
	for _, r := range v.Targets {
		v.AgentStatuses[r.Target.Name] = watch.AgentStatus{Name: r.Target.Name, Incarnation: r.Target.Incarnation, Ready: true}
	}
	if w.rates != nil {
		v.Rates = w.rates()
	}
	return v
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.violation == ""; w.now = w.now.Add(capacity.Period) {
		w.apply(state.Tick{Now: w.now})
		w.stepTargets()
		for _, p := range w.term.Step(w.now, w.lease(), w.view()) {
			w.propose(p)
		}
		w.check()
	}
}

func (w *simulation) propose(p capacity.Proposal) {
	w.proposals = append(w.proposals, p)
	if w.loseResponse() {
		if w.commitLost() {
			w.commit(p)
		}
		w.term.ProposalDone(w.now, p, true, "uncertain")
		return
	}
	w.term.ProposalDone(w.now, p, false, fmt.Sprint(w.commit(p)))
}

// commit applies a proposal. It checks that no target drained by an operator is
// changed and that no role change is reversed within 90 s.
func (w *simulation) commit(p capacity.Proposal) state.Result {
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
	if before.Desired != state.DesiredServing {
		w.violation = fmt.Sprintf("target %q was changed while an operator drains it", c.Target)
	}
	if c.Kind == state.AdaptRole {
		if last, ok := w.lastChange[c.Target]; ok && c.Role == w.previousRole[c.Target] && w.now.Sub(last) < 90*time.Second {
			w.violation = fmt.Sprintf("target %q changed back to role %s after %s", c.Target, c.Role, w.now.Sub(last))
		}
		w.lastChange[c.Target], w.previousRole[c.Target] = w.now, before.Target.Role
		w.roleChanges++
	}
	return r
}

// stepTargets carries out the requests in the state: role changes, starts and stops.
func (w *simulation) stepTargets() {
	for _, r := range w.machine.Targets() {
		t := r.Target
		role := t.Phase == fleet.Draining && r.RoleChangePending
		starts := t.Phase == fleet.Announced && t.Incarnation == 0
		if !role && !starts && t.Phase != fleet.Leaving {
			delete(w.phaseEnds, t.Name)
			continue
		}
		if _, ok := w.phaseEnds[t.Name]; !ok {
			w.phaseEnds[t.Name] = w.now.Add(8 * time.Second)
			if starts {
				w.phaseEnds[t.Name] = w.now.Add(w.machine.Config().General.Budget.StartDelay)
			}
		}
		if w.now.Before(w.phaseEnds[t.Name]) {
			continue
		}
		switch {
		case starts:
			w.serve(t.Name, fleet.Mixed)
		case role:
			o := w.apply(state.PlaceOrder{Term: w.termNumber, Target: t.Name, Incarnation: t.Incarnation, Kind: state.OrderRole, Content: state.OrderContent{Role: r.DesiredRole}, Time: w.now}).(state.OrderResult)
			w.apply(state.AcknowledgeOrder{Number: o.Order.Number, Target: t.Name, Incarnation: t.Incarnation, Done: true, Time: w.now})
		default:
			w.apply(state.TargetPhase{Target: t.Name, Incarnation: t.Incarnation, Phase: fleet.Gone, Time: w.now})
		}
	}
}

// check verifies that the number of targets is within the spending cap.
func (w *simulation) check() {
	n := 0
	for _, r := range w.machine.Targets() {
		if r.Target.Phase != fleet.Gone {
			n++
		}
	}
	if hourlyCap := w.machine.Config().General.Budget.HourlyCap; hourlyCap > 0 && float64(n) > hourlyCap {
		w.violation = fmt.Sprintf("%d targets exceed the cap of %g", n, hourlyCap)
	}
}

// plannedStarts returns the number of targets that the planner ordered.
func (w *simulation) plannedStarts() (n int) {
	for _, r := range w.machine.Snapshot().Platform {
		if r.Order.Kind == state.PlatformStart && strings.HasPrefix(r.Order.ID, state.PlannerOrderPrefix) {
			n++
		}
	}
	return n
}

func constantRate(prefill, decode float64) func() []plan.Rate {
	return func() []plan.Rate {
		return []plan.Rate{{
			Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: prefill / 1000, Prefill: prefill, Decode: decode,
		}}
	}
}
