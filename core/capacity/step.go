package capacity

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
)

// step holds the input of one TermPlanner.Step and the proposals made so far.
type step struct {
	*TermPlanner
	now       time.Time
	lease     authority.Gate
	input     Input
	proposals []Proposal
}

// propose converts a decision of the planner into a command. It drops decisions for
// a pool in a data centre whose last order has no result yet or that is paused; the
// planner decides again in a later step.
func (s *step) propose(d plan.Decision) {
	location := state.PoolLocation{Pool: d.Pool, DataCentre: d.DataCentre}
	if _, ok := s.pendingOrders[location]; ok || s.now.Before(s.pausedUntil[location]) {
		return
	}
	if d.Kind == plan.OrderTarget {
		s.beginOrder(location, d)
		return
	}
	r, ok := s.record(d.Target)
	if !ok || !r.Adaptable() {
		return
	}
	c := state.Adapt{
		Term: s.lease.Term, Target: d.Target, Incarnation: r.Target.Incarnation, Kind: state.AdaptRole,
		Role: d.Role, Until: s.now.Add(roleDrainTimeout), Time: s.now,
	}
	if d.Kind == plan.ReleaseTarget {
		c.Kind, c.Role, c.Until = state.AdaptRelease, 0, s.now.Add(releaseDrainTimeout)
	}
	s.recordDecision(s.now, d)
	s.proposals = append(s.proposals, Proposal{Location: location, Command: c})
}

// beginOrder proposes a new target order and keeps it for retries until its result
// is known.
func (s *step) beginOrder(location state.PoolLocation, d plan.Decision) {
	region, ok := s.region(location)
	if !ok || !s.withinBudget(location.Pool) {
		return
	}
	s.recordDecision(s.now, d)
	s.pendingOrders[location] = pendingOrder{region: region, retryUntil: s.now.Add(orderRetryTime), lastOrder: s.input.LastStarts[location]}
	s.proposeOrder(location)
}

// retryOrders proposes the target orders without a result again, unless they are
// paused.
func (s *step) retryOrders() {
	for location, o := range s.pendingOrders {
		if s.input.LastStarts[location] != o.lastOrder || !s.now.Before(o.retryUntil) {
			delete(s.pendingOrders, location) // it was committed, or its retry time has expired
			continue
		}
		if !s.now.Before(s.pausedUntil[location]) && s.withinBudget(location.Pool) {
			s.proposeOrder(location)
		}
	}
}

// proposeOrder proposes the pending target order of a location. The ID is derived
// from the last order committed for the pool in the data centre, so retries,
// including those by the next leader, have the same ID until one of them is
// committed.
func (s *step) proposeOrder(location state.PoolLocation) {
	o := s.pendingOrders[location]
	s.pausedUntil[location] = s.now.Add(uncertainPause)
	deadline := max(minStartTimeout, 2*s.input.Config.General.Budget.StartDelay)
	s.proposals = append(s.proposals, Proposal{Location: location, Command: state.PlacePlatformOrder{
		ID:   fmt.Sprintf("%s%q %q after %s", state.PlannerOrderPrefix, location.DataCentre, location.Pool, o.lastOrder),
		Term: s.lease.Term, Kind: state.PlatformStart, DataCentre: location.DataCentre, Region: o.region,
		Pool: location.Pool, Deadline: s.now.Add(deadline), Time: s.now,
	}})
}

func (s *step) withinBudget(pool string) bool {
	return state.WithinBudget(s.input.Config.General.Budget, s.input.Targets, pool)
}

func (s *step) record(name fleet.TargetName) (state.TargetRecord, bool) {
	for _, r := range s.input.Targets {
		if r.Target.Name == name {
			return r, true
		}
	}
	return state.TargetRecord{}, false
}

// region returns the region of the data centre, taken from a target of the pool
// there. It returns false if there is none.
func (s *step) region(location state.PoolLocation) (fleet.Region, bool) {
	for _, r := range s.input.Targets {
		if r.Target.Pool == location.Pool && r.Target.DataCentre == location.DataCentre {
			return r.Target.Region, true
		}
	}
	return "", false
}
