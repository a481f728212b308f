package capacity_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/authority"
	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
)

// The seed is fixed so that runs are reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var specialised = []fleet.Role{fleet.Prefill, fleet.Decode, fleet.Decode, fleet.Decode}

// Guards against a leader that proposes commands without a lease, during its
// observation period, without demand, or before the agent of each serving target
// has polled.
func TestStepPreconditions(t *testing.T) {
	for name, c := range map[string]struct {
		alter    func(w *simulation, v *capacity.Input, l *authority.Gate)
		proposes bool
	}{
		"ready":               {func(*simulation, *capacity.Input, *authority.Gate) {}, true},
		"no lease":            {func(_ *simulation, _ *capacity.Input, l *authority.Gate) { l.Held = false }, false},
		"lease ended":         {func(w *simulation, _ *capacity.Input, l *authority.Gate) { l.Expires = w.now }, false},
		"lease not valid yet": {func(w *simulation, _ *capacity.Input, l *authority.Gate) { l.NotBefore = w.now.Add(1) }, false},
		"new leader": {func(w *simulation, v *capacity.Input, _ *authority.Gate) {
			v.LeaderSince = w.now.Add(-89 * time.Second)
		}, false},
		"no demand":     {func(_ *simulation, v *capacity.Input, _ *authority.Gate) { v.Rates = nil }, false},
		"silent target": {func(_ *simulation, v *capacity.Input, _ *authority.Gate) { delete(v.AgentStatuses, "t0") }, false},
		"old incarnation": {func(_ *simulation, v *capacity.Input, _ *authority.Gate) {
			s := v.AgentStatuses["t0"]
			s.Incarnation = 9
			v.AgentStatuses["t0"] = s
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(budget(), nil, specialised...)
			w.rates = constantRate(18000, 1500)
			n := 0
			for range 150 {
				v, l := w.view(), w.lease()
				c.alter(w, &v, &l)
				n += len(w.term.Step(w.now, l, v))
				w.now = w.now.Add(capacity.Period)
			}
			is.New(t).Equal(n > 0, c.proposes)
		})
	}
}

// Guards against planner decisions that do not reach the engines, and against a new
// leader that reverses a role change.
func TestRoleChangeThenNewLeader(t *testing.T) {
	is := is.New(t)
	w := newSimulation(budget(), nil, specialised...)
	w.platform = false
	w.elect()
	w.rates = constantRate(18000, 1500)
	revision := w.machine.Config().Revision
	w.run(10 * time.Minute)
	is.True(w.roleChanges > 0)
	changes := w.roleChanges
	for range 5 {
		w.elect()
		w.run(5 * time.Minute)
	}
	is.Equal(w.roleChanges, changes)
	is.Equal(w.violation, "")
	// A change based on the configuration from before the planner's decisions must
	// still be accepted.
	is.Equal(w.apply(state.Change{
		ID: "late", Base: revision, Operator: "op", Time: w.now, Action: state.CancelDrain{Target: "t0"},
	}).(state.ChangeResult).Outcome, state.ChangeAccepted)
}

func orders(proposals []capacity.Proposal) (out []state.PlacePlatformOrder) {
	for _, p := range proposals {
		if o, ok := p.Command.(state.PlacePlatformOrder); ok {
			out = append(out, o)
		}
	}
	return out
}

// Guards against a lost result of a target order that leads to a second target,
// whether or not the order was committed, and with and without a new leader.
func TestLostOrderResponse(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		for _, elected := range []bool{true, false} {
			t.Run(fmt.Sprintf("arrives=%t,elected=%t", arrives, elected), func(t *testing.T) {
				is := is.New(t)
				b := budget()
				b.HourlyCap, b.StartDelay = 0, 10*time.Minute
				w := newSimulation(b, nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
				w.rates = constantRate(20000, 3000) // needs 4.8 engines, one more than there are
				lost := 0
				w.loseResponse = func() bool {
					if len(orders(w.proposals)) > 0 {
						lost++
					}
					return lost == 1
				}
				w.commitLost = func() bool { return arrives }
				for len(orders(w.proposals)) == 0 && w.now.Sub(start) < 10*time.Minute {
					w.run(capacity.Period)
				}
				is.Equal(len(orders(w.proposals)), 1)
				if elected {
					w.elect()
				}
				w.run(8 * time.Minute) // less than the start delay
				is.Equal(w.plannedStarts(), 1)
				for _, o := range orders(w.proposals) {
					is.Equal(o.ID, orders(w.proposals)[0].ID)
				}
				is.Equal(len(orders(w.proposals)) > 1, !arrives)
			})
		}
	}
}

// Guards against a spending cap that each new leader may use up again.
func TestSpendingCapAcrossLeaders(t *testing.T) {
	is := is.New(t)
	w := newSimulation(budget(), nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
	w.rates = constantRate(90000, 15000)
	for range 6 {
		w.run(6 * time.Minute)
		w.elect()
	}
	is.Equal(w.violation, "")
	is.Equal(w.plannedStarts(), 2)
}

// Guards against counting a target as capacity although it does not serve: then
// no replacement would be ordered.
func TestUnavailableTargetsAreNoCapacity(t *testing.T) {
	for name, remove := range map[string]func(w *simulation, name fleet.TargetName){
		"drained by an operator": func(w *simulation, name fleet.TargetName) {
			w.change(state.DrainTarget{Target: name, Until: w.now.Add(time.Hour)})
		},
		"unknown": func(w *simulation, name fleet.TargetName) {
			w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Unknown, Until: w.now.Add(time.Hour), Time: w.now})
		},
		"lost": func(w *simulation, name fleet.TargetName) {
			w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Lost, Time: w.now})
		},
		"none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(budget(), nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
			w.rates = constantRate(14000, 2000) // four engines can serve it, two cannot
			if remove != nil {
				remove(w, "t0")
				remove(w, "t1")
			}
			w.run(5 * time.Minute)
			is.New(t).Equal(w.plannedStarts() > 0, remove != nil)
		})
	}
}

// Guards against a planner that does not prepare for a recurring window. The load
// of the first window is recorded, so targets must be ordered before the second
// one opens.
func TestRecurringWindow(t *testing.T) {
	is := is.New(t)
	windowAt := func(after time.Duration) config.Window {
		return config.Window{Name: "tide", Opens: start.Add(after), Closes: start.Add(after + 10*time.Minute), Reserved: 0.5}
	}
	b := budget()
	b.HourlyCap = 8
	w := newSimulation(b, []config.Window{windowAt(10 * time.Minute), windowAt(40 * time.Minute)}, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
	w.rates = func() []plan.Rate {
		if at := w.now.Sub(start) % (30 * time.Minute); at >= 10*time.Minute && at < 20*time.Minute {
			return constantRate(30000, 5000)()
		}
		return constantRate(8000, 1000)()
	}
	w.run(30 * time.Minute)
	previous := len(w.proposals)
	for _, r := range w.machine.Targets() { // remove the targets that were ordered for the first window
		if r.Target.Phase == fleet.Ready && r.Target.Name[0] != 't' {
			w.apply(state.TargetPhase{Target: r.Target.Name, Incarnation: 1, Phase: fleet.Leaving, Until: w.now.Add(time.Second), Time: w.now})
		}
	}
	w.run(10 * time.Minute)
	is.True(len(orders(w.proposals[previous:])) > 0) // before the window opens
}

// Guards against schedules of load, leader changes, lost results and operator
// changes in which the planner exceeds the cap, reverses a role change early or
// changes a target that an operator drains.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roles := rapid.SliceOfN(rapid.SampledFrom([]fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode}), 2, 6).Draw(t, "roles")
		w := newSimulation(budget(), nil, roles...)
		w.loseResponse = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		w.commitLost = func() bool { return rapid.Bool().Draw(t, "arrives") }
		for range 8 {
			w.rates = constantRate(rapid.Float64Range(0, 60000).Draw(t, "prefill"), rapid.Float64Range(0, 10000).Draw(t, "decode"))
			name := fleet.TargetName(fmt.Sprint("t", rapid.IntRange(0, len(roles)-1).Draw(t, "target")))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.elect()
			case 1:
				w.change(state.DrainTarget{Target: name, Until: w.now.Add(time.Minute)})
			case 2:
				w.change(state.CancelDrain{Target: name})
			case 3:
				w.change(state.SetRole{Target: name, Role: fleet.Mixed, Until: w.now.Add(time.Minute)})
			}
			w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "minutes")) * time.Minute)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
	})
}

// Guards against lost or stale reports that change the rates.
func TestDemandRates(t *testing.T) {
	report := func(entry string, at time.Time) capacity.Report {
		return capacity.Report{
			Entry: fleet.Host(entry), Pool: "m", DataCentre: "dc", Class: fleet.Urgent,
			Requests: 1, PromptTokens: 500, OutputTokens: 50, Period: 500 * time.Millisecond, At: at,
		}
	}
	for name, c := range map[string]struct {
		keep func(i int) bool
		rate float64 // prompt tokens/s of one entry; 0 means that there is no rate
	}{
		"all":             {func(int) bool { return true }, 1000},
		"every third":     {func(i int) bool { return i%3 == 0 }, 1000},
		"none for 6 s":    {func(i int) bool { return i < 8 }, 0},
		"one at the end":  {func(i int) bool { return i == 19 }, 1000},
		"none whatsoever": {func(int) bool { return false }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d capacity.Demand
			now := start
			for i := range 20 {
				now = now.Add(500 * time.Millisecond)
				for _, entry := range []string{"e1", "e2"} {
					if c.keep(i) {
						d.Add(now, report(entry, now))
					}
				}
			}
			d.Add(now, report("e3", now.Add(-time.Minute))) // stale
			rates := d.Rates(now)
			if c.rate == 0 {
				is.Equal(len(rates), 0)
				return
			}
			is.Equal(rates, []plan.Rate{{
				Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: c.rate / 250, Prefill: 2 * c.rate, Decode: c.rate / 5,
			}})
		})
	}
}
