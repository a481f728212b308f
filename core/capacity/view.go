package capacity

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// RecentDecision is a past decision of the planner with its outcome.
type RecentDecision struct {
	plan.Decision
	At      time.Time
	Outcome string // empty until known
}

func (r RecentDecision) location() state.PoolLocation {
	return state.PoolLocation{Pool: r.Pool, DataCentre: r.DataCentre}
}

// Status is the state of the planner as displayed to operators.
type Status struct {
	Waiting   string    // why nothing is proposed; empty if the planner is active
	Stepped   time.Time // time of the last step
	Rates     []plan.Rate
	Estimates []plan.Estimate
	Speeds    []plan.LearnedSpeeds
	Recent    []RecentDecision // last decisions, oldest first
}

// Status returns a copy of the planner's state.
func (t *TermPlanner) Status() Status {
	s := Status{Waiting: t.waitReason, Stepped: t.lastStep, Rates: t.rates, Recent: append([]RecentDecision(nil), t.recent...)}
	if t.planner != nil {
		s.Estimates, s.Speeds = t.planner.Estimates(), t.planner.LearnedSpeeds()
	}
	return s
}

func (t *TermPlanner) recordDecision(now time.Time, d plan.Decision) {
	if len(t.recent) >= maxRecent {
		t.recent = append(t.recent[:0], t.recent[1:]...)
	}
	t.recent = append(t.recent, RecentDecision{Decision: d, At: now})
}

// planDemand converts the rates and targets of v into the planner's input.
func planDemand(now time.Time, v Input) plan.Demand {
	d := plan.Demand{Rates: v.Rates}
	replaced := make(map[fleet.TargetName]bool)
	for _, r := range v.Targets {
		if r.Replaces != "" {
			replaced[r.Replaces] = true
		}
	}
	for _, r := range v.Targets {
		t := r.Target
		// A target that was ordered and has not started yet has no incarnation.
		if t.Incarnation == 0 && t.Phase == fleet.Announced && (t.Kind == fleet.Engine || v.Config.General.PoolModel[t.Pool] != "") {
			d.Starting = append(d.Starting, plan.Starting{Pool: t.Pool, DataCentre: t.DataCentre})
		}
		if t.Kind != fleet.Engine || t.Incarnation == 0 {
			continue
		}
		addEngine(&d, now, r, v.AgentStatuses[t.Name], replaced[t.Name])
	}
	return d
}

// addEngine adds an engine to the demand, with its measured speed if it serves. An
// engine that is announced is added as starting. Engines that an operator drains, or
// that are leaving or lost, are omitted: they provide no capacity and are not
// expected to return.
func addEngine(d *plan.Demand, now time.Time, r state.TargetRecord, status watch.AgentStatus, replaced bool) {
	t := r.Target
	e := plan.Engine{
		Name: t.Name, Pool: t.Pool, DataCentre: t.DataCentre, Role: t.Role, Load: float64(status.Running),
	}
	serving := r.Desired == state.DesiredServing
	switch {
	case t.Phase == fleet.Ready && serving && !r.ReadRequired:
		e.Ready = r.Adaptable() && !replaced
		if status.Incarnation == t.Incarnation && (status.Prefill > 0 || status.Decode > 0) {
			d.Speeds = append(d.Speeds, plan.Speed{Pool: t.Pool, Role: t.Role, Prefill: status.Prefill, Decode: status.Decode})
		}
	case t.Phase == fleet.Draining && serving && r.RoleChangePending && now.Before(r.DesiredUntil):
		e.Role = r.DesiredRole // it returns to service with this role
	case t.Phase == fleet.Announced && serving:
		d.Starting = append(d.Starting, plan.Starting{Pool: t.Pool, DataCentre: t.DataCentre})
		return
	case serving && (t.Phase == fleet.Unknown || t.Phase == fleet.Draining):
		e.Unknown = true
	default:
		return
	}
	d.Engines = append(d.Engines, e)
}
