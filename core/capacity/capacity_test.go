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

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var specialised = []fleet.Role{fleet.Prefill, fleet.Decode, fleet.Decode, fleet.Decode}

// Guards against a leader that acts without a lease, before it has observed,
// without demand, or before it has heard each serving target.
func TestStepWaits(t *testing.T) {
	for name, c := range map[string]struct {
		alter func(w *world, v *capacity.View, l *authority.Gate)
		acts  bool
	}{
		"ready":          {func(*world, *capacity.View, *authority.Gate) {}, true},
		"no lease":       {func(_ *world, _ *capacity.View, l *authority.Gate) { l.Held = false }, false},
		"lease ended":    {func(w *world, _ *capacity.View, l *authority.Gate) { l.Expires = w.now }, false},
		"former lease":   {func(w *world, _ *capacity.View, l *authority.Gate) { l.NotBefore = w.now.Add(1) }, false},
		"new leader":     {func(w *world, v *capacity.View, _ *authority.Gate) { v.Since = w.now.Add(-89 * time.Second) }, false},
		"no demand":      {func(_ *world, v *capacity.View, _ *authority.Gate) { v.Rates = nil }, false},
		"unheard target": {func(_ *world, v *capacity.View, _ *authority.Gate) { delete(v.Signs, "t0") }, false},
		"old incarnation": {func(_ *world, v *capacity.View, _ *authority.Gate) {
			s := v.Signs["t0"]
			s.Incarnation = 9
			v.Signs["t0"] = s
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(budget(), nil, specialised...)
			w.rates = steady(18000, 1500)
			n := 0
			for range 150 {
				v, l := w.view(), w.lease()
				c.alter(w, &v, &l)
				n += len(w.term.Step(w.now, l, v))
				w.now = w.now.Add(capacity.Period)
			}
			is.New(t).Equal(n > 0, c.acts)
		})
	}
}

// Guards against a planner whose acts never reach the engines, and against a
// change that a new leader reverses.
func TestRoleChangeThenNewLeader(t *testing.T) {
	is := is.New(t)
	w := newWorld(budget(), nil, specialised...)
	w.platform = false
	w.elect()
	w.rates = steady(18000, 1500)
	base := w.machine.Config().Revision
	w.play(10 * time.Minute)
	is.True(w.roles > 0)
	before := w.roles
	for range 5 {
		w.elect()
		w.play(5 * time.Minute)
	}
	is.Equal(w.roles, before)
	is.Equal(w.violated, "")
	// An operator who read the state before the planner acted is not refused.
	is.Equal(w.apply(state.Change{
		ID: "late", Base: base, Operator: "op", Time: w.now, Action: state.CancelDrain{Target: "t0"},
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

// Guards against a lost answer to a target order that becomes a second target,
// whether the order arrived or not, and also with a new leader.
func TestLostAnswerToOrder(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		for _, elected := range []bool{true, false} {
			t.Run(fmt.Sprintf("arrives=%t,elected=%t", arrives, elected), func(t *testing.T) {
				is := is.New(t)
				b := budget()
				b.HourlyCap, b.StartDelay = 0, 10*time.Minute
				w := newWorld(b, nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
				w.rates = steady(20000, 3000) // needs 4.8 engines: one more
				lost := 0
				w.lose = func() bool {
					if len(orders(w.proposals)) > 0 {
						lost++
					}
					return lost == 1
				}
				w.arrives = func() bool { return arrives }
				for len(orders(w.proposals)) == 0 && w.now.Sub(start) < 10*time.Minute {
					w.play(capacity.Period)
				}
				is.Equal(len(orders(w.proposals)), 1)
				if elected {
					w.elect()
				}
				w.play(8 * time.Minute) // less than the start delay
				is.Equal(w.planned(), 1)
				for _, o := range orders(w.proposals) {
					is.Equal(o.ID, orders(w.proposals)[0].ID)
				}
				is.Equal(len(orders(w.proposals)) > 1, !arrives)
			})
		}
	}
}

// Guards against a cap that a new leader may use up again.
func TestCapAcrossLeaders(t *testing.T) {
	is := is.New(t)
	w := newWorld(budget(), nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
	w.rates = steady(90000, 15000)
	for range 6 {
		w.play(6 * time.Minute)
		w.elect()
	}
	is.Equal(w.violated, "")
	is.Equal(w.planned(), 2)
}

// Guards against a target that counts as capacity although it does not serve:
// then nothing would be ordered in its place.
func TestAbsentTargetsAreNoCapacity(t *testing.T) {
	for name, leave := range map[string]func(w *world, name fleet.TargetName){
		"drained by an operator": func(w *world, name fleet.TargetName) {
			w.change(state.DrainTarget{Target: name, Until: w.now.Add(time.Hour)})
		},
		"unknown": func(w *world, name fleet.TargetName) {
			w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Unknown, Until: w.now.Add(time.Hour), Time: w.now})
		},
		"lost": func(w *world, name fleet.TargetName) {
			w.apply(state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Lost, Time: w.now})
		},
		"none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(budget(), nil, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
			w.rates = steady(14000, 2000) // four engines carry it, two do not
			if leave != nil {
				leave(w, "t0")
				leave(w, "t1")
			}
			w.play(5 * time.Minute)
			is.New(t).Equal(w.planned() > 0, leave != nil)
		})
	}
}

// Guards against engines that are still in the roles of the present load when
// a known window opens. The window brings a load that was seen in the last one.
func TestKnownWindow(t *testing.T) {
	is := is.New(t)
	window := func(after time.Duration) config.Window {
		return config.Window{Name: "tide", Opens: start.Add(after), Closes: start.Add(after + 10*time.Minute), Reserved: 0.5}
	}
	b := budget()
	b.HourlyCap = 8
	w := newWorld(b, []config.Window{window(10 * time.Minute), window(40 * time.Minute)}, fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
	w.rates = func() []plan.Rate {
		if at := w.now.Sub(start) % (30 * time.Minute); at >= 10*time.Minute && at < 20*time.Minute {
			return steady(30000, 5000)()
		}
		return steady(8000, 1000)()
	}
	w.play(30 * time.Minute)
	seen := len(w.proposals)
	for _, r := range w.machine.Targets() { // the platform withdraws what the first window needed
		if r.Target.Phase == fleet.Ready && r.Target.Name[0] != 't' {
			w.apply(state.TargetPhase{Target: r.Target.Name, Incarnation: 1, Phase: fleet.Leaving, Until: w.now.Add(time.Second), Time: w.now})
		}
	}
	w.play(10 * time.Minute)
	is.True(len(orders(w.proposals[seen:])) > 0) // before the window opens
}

// Guards against any schedule of load, leader changes, lost answers and
// operators in which the planner breaks the cap, reverses itself or undoes a
// drain.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roles := rapid.SliceOfN(rapid.SampledFrom([]fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode}), 2, 6).Draw(t, "roles")
		w := newWorld(budget(), nil, roles...)
		w.lose = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		w.arrives = func() bool { return rapid.Bool().Draw(t, "arrives") }
		for range 8 {
			w.rates = steady(rapid.Float64Range(0, 60000).Draw(t, "prefill"), rapid.Float64Range(0, 10000).Draw(t, "decode"))
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
			w.play(time.Duration(rapid.IntRange(1, 8).Draw(t, "minutes")) * time.Minute)
			if w.violated != "" {
				t.Fatal(w.violated)
			}
		}
	})
}

// Guards against rates that a lost, stale or repeatedly split report changes.
func TestDemandRates(t *testing.T) {
	report := func(entry string, at time.Time) capacity.Report {
		return capacity.Report{
			Entry: fleet.Host(entry), Pool: "m", DataCentre: "dc", Class: fleet.Urgent,
			Requests: 1, Prompt: 500, Output: 50, Period: 500 * time.Millisecond, At: at,
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
