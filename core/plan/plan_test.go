package plan_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = 5 * time.Second

// site simulates a data centre that carries out the planner's orders and role
// changes. It ignores releases.
type site struct {
	engines  []plan.Engine
	ready    map[fleet.TargetName]time.Time
	starting []plan.Engine
	changes  int
}

func newSite(roles ...fleet.Role) *site {
	s := &site{ready: make(map[fleet.TargetName]time.Time)}
	for i, r := range roles {
		s.engines = append(s.engines, plan.Engine{Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Pool: "m", DataCentre: "dc", Role: r, Ready: true})
	}
	return s
}

// order adds a target that becomes ready after the start delay.
func (s *site) order(at time.Time) {
	e := plan.Engine{Name: fleet.TargetName(fmt.Sprintf("t%d", len(s.engines)+len(s.starting))), Pool: "m", DataCentre: "dc"}
	s.starting = append(s.starting, e)
	s.ready[e.Name] = at.Add(budget().StartDelay)
}

// run steps the planner during the period d under a load of prompt and output
// tokens/s and returns the decisions.
func (s *site) run(p *plan.Planner, now time.Time, d time.Duration, load func(time.Duration) (prefill, decode float64)) (decisions []plan.Decision) {
	for t := time.Duration(0); t < d; t += step {
		at := now.Add(t)
		for len(s.starting) > 0 && !at.Before(s.ready[s.starting[0].Name]) {
			s.engines, s.starting = append(s.engines, s.starting[0]), s.starting[1:]
		}
		for i := range s.engines {
			s.engines[i].Ready = !at.Before(s.ready[s.engines[i].Name])
		}
		prefill, decode := load(t)
		got := p.Step(at, plan.Demand{Engines: s.engines, Rates: []plan.Rate{{
			Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: prefill / 1000, Prefill: prefill, Decode: decode,
		}}})
		for _, a := range got {
			if a.Kind == plan.OrderTarget {
				s.order(at)
			}
			if a.Kind != plan.ChangeRole {
				continue
			}
			s.changes++
			for i := range s.engines {
				if s.engines[i].Name == a.Target {
					s.engines[i].Role = a.Role
					s.ready[a.Target] = at.Add(9 * time.Second)
				}
			}
		}
		decisions = append(decisions, got...)
	}
	return decisions
}

func budget() config.Budget {
	return config.Budget{
		HourlyCap: 6, PricePerHour: map[string]float64{"m": 1}, StartDelay: 2 * time.Minute,
		RoleChangeDelay: 5 * time.Second, MinimumPerPool: map[string]int{"m": 2},
	}
}

// Guards against a planner that does not adapt the roles to a sustained load,
// and against one that keeps changing them afterwards.
func TestSustainedLoadSettles(t *testing.T) {
	is := is.New(t)
	p := plan.New(plan.Options{Budget: budget()})
	s := newSite(fleet.Prefill, fleet.Decode, fleet.Decode, fleet.Decode)
	s.run(p, start, 10*time.Minute, func(time.Duration) (float64, float64) { return 18000, 1500 })
	is.True(s.changes > 0)
	is.True(s.engines[0].Role == fleet.Prefill)
	before := s.changes
	s.run(p, start.Add(10*time.Minute), 10*time.Minute, func(time.Duration) (float64, float64) { return 18000, 1500 })
	is.Equal(s.changes, before)
}

// Guards against thrashing: a token mix that reverses every two minutes must not
// cause a role change per swing.
func TestOscillatingLoadDoesNotThrash(t *testing.T) {
	is := is.New(t)
	p := plan.New(plan.Options{Budget: budget()})
	s := newSite(fleet.Prefill, fleet.Prefill, fleet.Decode, fleet.Decode)
	s.run(p, start, time.Hour, func(t time.Duration) (float64, float64) {
		x := 0.5 * math.Sin(2*math.Pi*t.Minutes()/4)
		return 14000 * (1 + x), 3000 * (1 - x)
	})
	t.Logf("%d role changes in 30 swings", s.changes)
	is.True(s.changes <= 8)
}

// Guards against spending above the cap, and against ordering a target for a
// short peak that ends before the target is ready.
func TestTargetOrders(t *testing.T) {
	for name, c := range map[string]struct {
		load  func(time.Duration) (float64, float64)
		order bool
	}{
		"lasting overload": {func(time.Duration) (float64, float64) { return 60000, 10000 }, true},
		"short peak": {func(t time.Duration) (float64, float64) {
			if t > time.Minute && t < 90*time.Second {
				return 60000, 10000
			}
			return 5000, 1000
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := plan.New(plan.Options{Budget: budget()})
			s := newSite(fleet.Mixed, fleet.Mixed, fleet.Mixed, fleet.Mixed)
			orders := 0
			for _, a := range s.run(p, start, 4*time.Minute, c.load) {
				if a.Kind == plan.OrderTarget {
					orders++
				}
			}
			is.Equal(orders > 0, c.order)
			is.True(len(s.engines)+len(s.starting) <= 6) // the hourly cap at a price of 1
		})
	}
}

// Guards against decisions that leave a data centre unable to serve a phase or
// that make too many engines unavailable at once.
func TestDecisionsKeepCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "engines")
		roles := make([]fleet.Role, n)
		for i := range roles {
			roles[i] = fleet.Mixed
		}
		p := plan.New(plan.Options{Budget: budget()})
		s := newSite(roles...)
		now := start
		for range 20 {
			prefill := rapid.Float64Range(0, 200000).Draw(t, "prefill")
			decode := rapid.Float64Range(0, 40000).Draw(t, "decode")
			s.run(p, now, time.Minute, func(time.Duration) (float64, float64) { return prefill, decode })
			now = now.Add(time.Minute)
			var count [3]int
			unavailable := 0
			for _, e := range s.engines {
				count[e.Role]++
				if !e.Ready {
					unavailable++
				}
			}
			if count[fleet.Mixed] == 0 && (count[fleet.Prefill] == 0 || count[fleet.Decode] == 0) {
				t.Fatalf("roles %v cannot serve both phases", count)
			}
			if unavailable > max(1, n/10) {
				t.Fatalf("%d of %d engines unavailable", unavailable, n)
			}
		}
	})
}

// Guards against a pool of mixed engines that keeps the initial speeds: it would
// order targets although its engines are faster than assumed.
func TestLearnedSpeedsOfMixedEngines(t *testing.T) {
	is := is.New(t)
	p := plan.New(plan.Options{Budget: budget()})
	d := plan.Demand{Rates: []plan.Rate{{Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: 40, Prefill: 40000, Decode: 6000}}}
	for i := range 4 {
		d.Engines = append(d.Engines, plan.Engine{Name: fleet.TargetName(fmt.Sprint("t", i)), Pool: "m", DataCentre: "dc", Ready: true})
		d.Speeds = append(d.Speeds, plan.Speed{Pool: "m", Prefill: 24000, Decode: 4800})
	}
	for at := time.Duration(0); at < 10*time.Minute; at += step {
		if at < time.Minute {
			p.Observe(start.Add(at), d)
			continue
		}
		for _, a := range p.Step(start.Add(at), d) {
			is.True(a.Kind != plan.OrderTarget) // four engines can serve the load
		}
	}
	l := p.LearnedSpeeds()[0]
	is.True(math.Abs(l.Prefill-30000) < 30) // at the assumed efficiency of 0.8
	is.True(math.Abs(l.Decode-6000) < 6)
	d.Engines[0].Role, d.Speeds[0] = fleet.Prefill, plan.Speed{Pool: "m", Role: fleet.Prefill, Prefill: 26000}
	for at := time.Duration(0); at < 10*time.Minute; at += step {
		p.Observe(start.Add(at+10*time.Minute), d)
	}
	l = p.LearnedSpeeds()[0]
	is.True(math.Abs(l.Prefill-26000) < 30) // the dedicated engine's report takes precedence
	is.True(l.Mixed > 0.85)
}

// Guards against a planner that treats a data centre without reports as idle, or
// that repeats the orders of an earlier leader.
func TestIncompleteDemand(t *testing.T) {
	engines := make([]plan.Engine, 4)
	for i := range engines {
		engines[i] = plan.Engine{Name: fleet.TargetName(fmt.Sprint("t", i)), Pool: "m", DataCentre: "dc", Ready: true}
	}
	overload := []plan.Rate{{Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: 60, Prefill: 60000, Decode: 4000}}
	idle := []plan.Rate{{Pool: "m", DataCentre: "dc"}}
	starting := make([]plan.Starting, 20)
	for i := range starting {
		starting[i] = plan.Starting{Pool: "m", DataCentre: "dc"}
	}
	unknown := append([]plan.Engine{{Name: "t9", Pool: "m", DataCentre: "dc", Unknown: true}}, engines...)
	for name, c := range map[string]struct {
		d    plan.Demand
		kind plan.DecisionKind
		want bool // whether a decision of this kind is expected
	}{
		"overload":                 {plan.Demand{Engines: engines, Rates: overload}, plan.OrderTarget, true},
		"overload, targets coming": {plan.Demand{Engines: engines, Rates: overload, Starting: starting}, plan.OrderTarget, false},
		"idle":                     {plan.Demand{Engines: engines, Rates: idle}, plan.ReleaseTarget, true},
		"silent":                   {plan.Demand{Engines: engines}, plan.ReleaseTarget, false},
		"an engine is unknown":     {plan.Demand{Engines: unknown, Rates: overload}, plan.ChangeRole, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget()
			b.HourlyCap = 0
			p := plan.New(plan.Options{Budget: b})
			found := false
			for d := time.Duration(0); d < 20*time.Minute; d += step {
				for _, a := range p.Step(start.Add(d), c.d) {
					found = found || a.Kind == c.kind
				}
			}
			is.New(t).Equal(found, c.want)
		})
	}
}
