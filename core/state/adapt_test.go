package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// Guards against an Adapt that undoes an operator's change, that comes from an
// old term, or that is applied twice.
func TestAdaptPreconditions(t *testing.T) {
	role := Adapt{Term: 2, Target: "e1", Incarnation: 1, Role: fleet.Decode, Until: start.Add(time.Minute), Time: start}
	release := role
	release.Kind = AdaptRelease
	operator := func(a Action) func(tm *testMachine) {
		return func(tm *testMachine) { tm.change("c1", tm.Config().Revision, a) }
	}
	tests := map[string]struct {
		before  func(tm *testMachine)
		command Adapt
		outcome TargetOutcome
	}{
		"serving":           {command: role, outcome: TargetUpdated},
		"same role":         {command: func() Adapt { c := role; c.Role = fleet.Mixed; return c }(), outcome: TargetUnchanged},
		"no deadline":       {command: func() Adapt { c := role; c.Until = time.Time{}; return c }(), outcome: TargetNotAllowed},
		"drained":           {operator(DrainTarget{Target: "e1", Until: start.Add(time.Hour)}), role, TargetNotAllowed},
		"drained, release":  {operator(DrainTarget{Target: "e1", Until: start.Add(time.Hour)}), release, TargetNotAllowed},
		"leaving":           {operator(DrainTarget{Target: "e1", Until: start.Add(time.Hour), Leave: true}), role, TargetNotAllowed},
		"role by operator":  {operator(SetRole{Target: "e1", Role: fleet.Prefill, Until: start.Add(time.Hour)}), role, TargetNotAllowed},
		"being replaced":    {operator(ReplaceTarget{Target: "e1", DrainFor: 1, Deadline: start.Add(time.Hour)}), release, TargetNotAllowed},
		"older term":        {func(tm *testMachine) { tm.EnterTerm(3) }, role, TargetStale},
		"older incarnation": {func(tm *testMachine) { tm.ready("e1", 2) }, role, TargetStale},
		"repeated":          {func(tm *testMachine) { apply[TargetResult](tm, role) }, role, TargetNotAllowed},
		"last of its pool":  {operator(DrainTarget{Target: "e2", Until: start.Add(time.Hour)}), release, TargetNotAllowed},
		"release":           {command: release, outcome: TargetUpdated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm := newTestMachine()
			tm.ready("e1", 1)
			tm.ready("e2", 1)
			if tt.before != nil {
				tt.before(tm)
			}
			is.Equal(apply[TargetResult](tm, tt.command).Outcome, tt.outcome)
		})
	}
}

// Guards against an operator's change that is refused because the planner acted
// after the operator read the state, and against an automatic change in the
// audit list.
func TestAdaptKeepsOperatorBase(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	tm.ready("e1", 1)
	tm.ready("e2", 1)
	base := tm.Config().Revision
	is.Equal(apply[TargetResult](tm, Adapt{Term: 1, Target: "e1", Incarnation: 1, Role: fleet.Decode, Until: start.Add(time.Minute), Time: start}).Outcome, TargetUpdated)
	is.Equal(tm.change("c1", base, CancelDrain{Target: "e1"}).Outcome, ChangeAccepted)
	is.Equal(len(tm.Snapshot().Audit), 1)
	e, _ := tm.Config().Target("e1")
	is.Equal(e.Phase, fleet.Announced) // the operator's change takes precedence
}

// Guards against a spending cap or a pool maximum that each new leader can use
// up again.
func TestPlannedStartKeepsBudget(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	d := document("a")
	d.Budget = config.Budget{HourlyCap: 6, PricePerHour: map[string]float64{"p": 2}, MaximumPerPool: map[string]int{"q": 1}}
	tm.change("c1", 0, ReplaceDocument{d})
	tm.ready("e1", 1)
	tm.ready("e2", 1)
	place := func(term uint64, id, pool string) OrderOutcome {
		return apply[PlatformResult](tm, PlacePlatformOrder{ID: id, Term: term, DataCentre: "dc", Pool: pool, Deadline: start.Add(time.Hour), Time: start}).Outcome
	}
	is.Equal(place(1, "plan a", "p"), OrderPlaced)
	is.Equal(place(1, "plan a", "p"), OrderPlaced) // the same order
	is.Equal(place(2, "plan b", "p"), OrderNotAllowed)
	is.Equal(place(2, "plan c", "q"), OrderPlaced)
	is.Equal(place(3, "plan d", "q"), OrderNotAllowed)
	is.Equal(place(3, "change x", "p"), OrderPlaced) // an operator may exceed the budget
	is.Equal(len(tm.OpenPlatformOrders()), 3)
	is.Equal(len(tm.PlannedStarts()), 2)
}
