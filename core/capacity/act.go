package capacity

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
)

// step holds the input of one Term.Step and the proposals made so far.
type step struct {
	*Term
	now       time.Time
	lease     authority.Gate
	view      Input
	proposals []Proposal
}

// propose converts an action of the planner into a command. It drops actions for
// a group whose previous command is still in progress; the planner decides again
// in a later step.
func (s *step) propose(a plan.Act) {
	place := state.PoolLocation{Pool: a.Pool, DataCentre: a.DataCentre}
	if _, ok := s.pendingStarts[place]; ok || s.now.Before(s.pausedUntil[place]) {
		return
	}
	if a.Kind == plan.OrderTarget {
		s.proposeOrder(place, a)
		return
	}
	r, ok := s.record(a.Target)
	if !ok || !r.Adaptable() {
		return
	}
	c := state.Adapt{
		Term: s.lease.Term, Target: a.Target, Incarnation: r.Target.Incarnation, Kind: state.AdaptRole,
		Role: a.Role, Until: s.now.Add(roleDrainTimeout), Time: s.now,
	}
	if a.Kind == plan.ReleaseTarget {
		c.Kind, c.Role, c.Until = state.AdaptRelease, 0, s.now.Add(releaseDrainTimeout)
	}
	s.recordAction(s.now, a)
	s.proposals = append(s.proposals, Proposal{Location: place, Command: c})
}

// proposeOrder proposes a target order and keeps it until its result is known.
func (s *step) proposeOrder(place state.PoolLocation, a plan.Act) {
	region, ok := s.region(place)
	if !ok || !s.withinBudget(place.Pool) {
		return
	}
	s.recordAction(s.now, a)
	s.pendingStarts[place] = pendingStart{region: region, retryUntil: s.now.Add(orderRetryTime), lastOrder: s.view.LastStarts[place]}
	s.proposeStart(place)
}

// repeatOrders proposes again the target orders whose result was lost.
func (s *step) repeatOrders() {
	for place, o := range s.pendingStarts {
		if s.view.LastStarts[place] != o.lastOrder || !s.now.Before(o.retryUntil) {
			delete(s.pendingStarts, place) // it was committed, or its retry time has expired
			continue
		}
		if !s.now.Before(s.pausedUntil[place]) && s.withinBudget(place.Pool) {
			s.proposeStart(place)
		}
	}
}

// proposeStart proposes a target order. The ID is derived from the last order
// committed for the pool in the data centre, so retries, including those by the
// next leader, have the same ID until one of them is committed.
func (s *step) proposeStart(place state.PoolLocation) {
	o := s.pendingStarts[place]
	s.pausedUntil[place] = s.now.Add(uncertainPause)
	deadline := max(minStartTimeout, 2*s.view.Config.General.Budget.StartDelay)
	s.proposals = append(s.proposals, Proposal{Location: place, Command: state.PlacePlatformOrder{
		ID:   fmt.Sprintf("%s%q %q after %s", state.PlanPrefix, place.DataCentre, place.Pool, o.lastOrder),
		Term: s.lease.Term, Kind: state.PlatformStart, DataCentre: place.DataCentre, Region: o.region,
		Pool: place.Pool, Deadline: s.now.Add(deadline), Time: s.now,
	}})
}

func (s *step) withinBudget(pool string) bool {
	return state.WithinBudget(s.view.Config.General.Budget, s.view.Targets, pool)
}

func (s *step) record(name fleet.TargetName) (state.TargetRecord, bool) {
	for _, r := range s.view.Targets {
		if r.Target.Name == name {
			return r, true
		}
	}
	return state.TargetRecord{}, false
}

// region returns the region of the data centre, taken from a target of the pool
// there. It returns false if there is none.
func (s *step) region(place state.PoolLocation) (fleet.Region, bool) {
	for _, r := range s.view.Targets {
		if r.Target.Pool == place.Pool && r.Target.DataCentre == place.DataCentre {
			return r.Target.Region, true
		}
	}
	return "", false
}
