package state

import (
	"maps"
	"slices"
	"strings"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// PlanPrefix begins the id of each platform order that the planner places.
// The budget is checked for these alone: an operator may go beyond it.
const PlanPrefix = "plan "

// adapt starts what the planner wants of a target. The same command again
// finds the target out of service and changes nothing.
func (m *Machine) adapt(c Adapt) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return m.targetResult(TargetNotKnown, nil)
	case c.Term < m.term || c.Incarnation != r.Target.Incarnation:
		return m.targetResult(TargetStale, r)
	case c.Until.IsZero() || !r.Adaptable() || m.replaced(c.Target):
		return m.targetResult(TargetNotAllowed, r)
	case c.Kind == AdaptRelease && !m.spare(r.Target.Pool):
		return m.targetResult(TargetNotAllowed, r)
	case c.Kind == AdaptRole && c.Role == r.Target.Role:
		return m.targetResult(TargetUnchanged, r)
	}
	m.EnterTerm(c.Term)
	if c.Kind == AdaptRelease {
		m.want(r, WantedGone, c.Until)
		return m.targetResult(TargetUpdated, r)
	}
	r.RoleWanted, r.Role, r.WantedUntil = true, c.Role, c.Until
	r.enter(fleet.Draining, c.Until)
	m.touch(r)
	return m.targetResult(TargetUpdated, r)
}

// Adaptable says whether the planner may change the target: an engine in
// service, of which nobody wants anything else.
func (r *TargetRecord) Adaptable() bool {
	return r.Target.Kind == fleet.Engine && r.Target.Phase == fleet.Ready && r.Wanted == WantedServing &&
		!r.RoleWanted && r.Open == nil && !r.Unread
}

// replaced says whether an operator has a new target take this one's place.
func (m *Machine) replaced(name fleet.TargetName) bool {
	for _, r := range m.targets {
		if r.Replaces == name {
			return true
		}
	}
	return false
}

// spare says whether a pool keeps its minimum without one of its targets.
func (m *Machine) spare(pool string) bool {
	n := 0
	for _, r := range m.targets {
		if r.Target.Pool == pool && r.Target.Phase == fleet.Ready && r.Wanted == WantedServing {
			n++
		}
	}
	return n > max(1, m.config.General.Budget.MinimumPerPool[pool])
}

// Affordable says whether one more target of a pool stays within the budget.
// Each target that is not gone counts, as the platform may charge for it.
func Affordable(b config.Budget, targets []TargetRecord, pool string) bool {
	n := make(map[string]int)
	for _, r := range targets {
		if r.Target.Phase != fleet.Gone {
			n[r.Target.Pool]++
		}
	}
	return affordable(b, n, pool)
}

func affordable(b config.Budget, n map[string]int, pool string) bool {
	if most, ok := b.MaximumPerPool[pool]; ok && n[pool] >= most {
		return false
	}
	if b.HourlyCap == 0 {
		return true
	}
	spent := b.PricePerHour[pool]
	// The order is fixed and each product rounded, so that every replica
	// reaches the same sum.
	for _, p := range slices.Sorted(maps.Keys(n)) {
		spent += float64(float64(n[p]) * b.PricePerHour[p])
	}
	return spent <= b.HourlyCap
}

// overBudget says whether a start that the planner asks for costs too much.
func (m *Machine) overBudget(c PlacePlatformOrder) bool {
	if !strings.HasPrefix(c.ID, PlanPrefix) {
		return false
	}
	n := make(map[string]int)
	for _, r := range m.targets {
		if r.Target.Phase != fleet.Gone {
			n[r.Target.Pool]++
		}
	}
	return !affordable(m.config.General.Budget, n, c.Pool)
}

// Place is where a target stands in service of a pool.
type Place struct {
	Pool       string
	DataCentre fleet.DataCentre
}

// PlannedStarts returns the number of the last remembered start by the planner
// for each place.
func (m *Machine) PlannedStarts() map[Place]fleet.OrderNumber {
	out := make(map[Place]fleet.OrderNumber)
	for _, r := range m.platform.byNumber {
		o := r.Order
		k := Place{o.Pool, o.DataCentre}
		if o.Kind == PlatformStart && strings.HasPrefix(o.ID, PlanPrefix) && o.Number.Compare(out[k]) > 0 {
			out[k] = o.Number
		}
	}
	return out
}
