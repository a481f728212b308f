package state

import (
	"maps"
	"slices"
	"strings"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

// PlannerOrderPrefix is the prefix of the id of each platform order that the planner
// places. Only these orders are checked against the budget: an operator may
// exceed it.
const PlannerOrderPrefix = "plan "

// adapt starts a change of a target that the planner decided on. Repeating the
// command has no effect, because the target is no longer in service.
func (m *Machine) adapt(c Adapt) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return m.targetResult(TargetNotFound, nil)
	case c.Term < m.term || c.Incarnation != r.Target.Incarnation:
		return m.targetResult(TargetStale, r)
	case c.Until.IsZero() || !r.Adaptable() || m.beingReplaced(c.Target):
		return m.targetResult(TargetNotAllowed, r)
	case c.Kind == AdaptRelease && !m.aboveMinimum(r.Target.Pool):
		return m.targetResult(TargetNotAllowed, r)
	case c.Kind == AdaptRole && c.Role == r.Target.Role:
		return m.targetResult(TargetUnchanged, r)
	}
	m.EnterTerm(c.Term)
	if c.Kind == AdaptRelease {
		m.setDesired(r, DesiredGone, c.Until)
		return m.targetResult(TargetUpdated, r)
	}
	r.RoleChangePending, r.DesiredRole, r.DesiredUntil = true, c.Role, c.Until
	r.setPhase(fleet.Draining, c.Until)
	m.markUpdated(r)
	return m.targetResult(TargetUpdated, r)
}

// Adaptable reports whether the planner may change the target: an engine in
// service without an open order, an outstanding read or a pending operator
// change.
func (r *TargetRecord) Adaptable() bool {
	return r.Target.Kind == fleet.Engine && r.Target.Phase == fleet.Ready && r.Desired == DesiredServing &&
		!r.RoleChangePending && r.Open == nil && !r.ReadRequired
}

// beingReplaced reports whether an operator has ordered a replacement for the
// target.
func (m *Machine) beingReplaced(name fleet.TargetName) bool {
	for _, r := range m.targets {
		if r.Replaces == name {
			return true
		}
	}
	return false
}

// aboveMinimum reports whether a pool keeps its minimum size, which is at least
// 1, without one of its targets. Only targets in service count.
func (m *Machine) aboveMinimum(pool string) bool {
	n := 0
	for _, r := range m.targets {
		if r.Target.Pool == pool && r.Target.Phase == fleet.Ready && r.Desired == DesiredServing {
			n++
		}
	}
	return n > max(1, m.config.General.Budget.MinimumPerPool[pool])
}

// WithinBudget reports whether one more target in a pool stays within the budget.
// Every target that is not gone counts, because the platform may charge for it.
func WithinBudget(b config.Budget, targets []TargetRecord, pool string) bool {
	n := make(map[string]int)
	for _, r := range targets {
		if r.Target.Phase != fleet.Gone {
			n[r.Target.Pool]++
		}
	}
	return withinBudget(b, n, pool)
}

func withinBudget(b config.Budget, counts map[string]int, pool string) bool {
	if maximum, ok := b.MaximumPerPool[pool]; ok && counts[pool] >= maximum {
		return false
	}
	if b.HourlyCap == 0 {
		return true
	}
	cost := b.PricePerHour[pool]
	// The sum runs in a fixed order and each product is rounded to float64, so
	// that all replicas compute the same result.
	for _, p := range slices.Sorted(maps.Keys(counts)) {
		cost += float64(float64(counts[p]) * b.PricePerHour[p])
	}
	return cost <= b.HourlyCap
}

// overBudget reports whether a start order comes from the planner and would
// exceed the budget. Orders from operators are never over budget.
func (m *Machine) overBudget(c PlacePlatformOrder) bool {
	if !strings.HasPrefix(c.ID, PlannerOrderPrefix) {
		return false
	}
	n := make(map[string]int)
	for _, r := range m.targets {
		if r.Target.Phase != fleet.Gone {
			n[r.Target.Pool]++
		}
	}
	return !withinBudget(m.config.General.Budget, n, c.Pool)
}

// PoolLocation is a combination of pool and data centre in which targets serve.
type PoolLocation struct {
	Pool       string
	DataCentre fleet.DataCentre
}

// PlannedStarts returns, for each pool and data centre, the number of the
// planner's latest start order whose record is still kept.
func (m *Machine) PlannedStarts() map[PoolLocation]fleet.OrderNumber {
	out := make(map[PoolLocation]fleet.OrderNumber)
	for _, r := range m.platform.byNumber {
		o := r.Order
		k := PoolLocation{o.Pool, o.DataCentre}
		if o.Kind == PlatformStart && strings.HasPrefix(o.ID, PlannerOrderPrefix) && o.Number.Compare(out[k]) > 0 {
			out[k] = o.Number
		}
	}
	return out
}
