package capacity

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
)

type step struct {
	*Term
	now   time.Time
	lease authority.Gate
	view  View
	out   []Proposal
}

// act turns an act of the planner into a command. An act of a group with a
// command under way is dropped; the planner decides again later.
func (s *step) act(a plan.Act) {
	place := state.Place{Pool: a.Pool, DataCentre: a.DataCentre}
	if _, ok := s.starts[place]; ok || s.now.Before(s.busy[place]) {
		return
	}
	if a.Kind == plan.OrderTarget {
		s.order(place, a)
		return
	}
	r, ok := s.record(a.Target)
	if !ok || !r.Adaptable() {
		return
	}
	c := state.Adapt{
		Term: s.lease.Term, Target: a.Target, Incarnation: r.Target.Incarnation, Kind: state.AdaptRole,
		Role: a.Role, Until: s.now.Add(drainFor), Time: s.now,
	}
	if a.Kind == plan.ReleaseTarget {
		c.Kind, c.Role, c.Until = state.AdaptRelease, 0, s.now.Add(releaseFor)
	}
	s.note(s.now, a)
	s.out = append(s.out, Proposal{Place: place, Command: c})
}

// order remembers a target order until its answer is known.
func (s *step) order(place state.Place, a plan.Act) {
	region, ok := s.region(place)
	if !ok || !s.affordable(place.Pool) {
		return
	}
	s.note(s.now, a)
	s.starts[place] = start{region: region, until: s.now.Add(repeatFor), after: s.view.Starts[place]}
	s.place(place)
}

// repeat proposes the target orders again whose answer was lost.
func (s *step) repeat() {
	for place, o := range s.starts {
		if s.view.Starts[place] != o.after || !s.now.Before(o.until) {
			delete(s.starts, place) // it was committed, or is given up
			continue
		}
		if !s.now.Before(s.busy[place]) && s.affordable(place.Pool) {
			s.place(place)
		}
	}
}

// place proposes a target order. Its id follows from the last order that was
// committed for the place, so a repetition, also by the next leader, has the
// same id until one of them is committed.
func (s *step) place(place state.Place) {
	o := s.starts[place]
	s.busy[place] = s.now.Add(settle)
	deadline := max(startFor, 2*s.view.Config.General.Budget.StartDelay)
	s.out = append(s.out, Proposal{Place: place, Command: state.PlacePlatformOrder{
		ID:   fmt.Sprintf("%s%q %q after %s", state.PlanPrefix, place.DataCentre, place.Pool, o.after),
		Term: s.lease.Term, Kind: state.PlatformStart, DataCentre: place.DataCentre, Region: o.region,
		Pool: place.Pool, Deadline: s.now.Add(deadline), Time: s.now,
	}})
}

func (s *step) affordable(pool string) bool {
	return state.Affordable(s.view.Config.General.Budget, s.view.Targets, pool)
}

func (s *step) record(name fleet.TargetName) (state.TargetRecord, bool) {
	for _, r := range s.view.Targets {
		if r.Target.Name == name {
			return r, true
		}
	}
	return state.TargetRecord{}, false
}

// region returns the region of a data centre that has targets of the pool.
func (s *step) region(place state.Place) (fleet.Region, bool) {
	for _, r := range s.view.Targets {
		if r.Target.Pool == place.Pool && r.Target.DataCentre == place.DataCentre {
			return r.Target.Region, true
		}
	}
	return "", false
}
