package dispatch

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// stepTarget decides the next action for one target. It begins at most one
// action at a time, with the precedence given by the order of the cases.
func (s *step) stepTarget(r state.TargetRecord) {
	t := r.Target
	poll, alive := s.lastPoll(r)
	switch {
	case t.Phase == fleet.Gone || t.Incarnation == 0:
	case t.Phase == fleet.Lost:
		// The agent announces itself again when it returns. The return of a
		// target that was leaving is not awaited.
		if s.platform && r.Desired == state.DesiredGone {
			s.stopTarget(t)
		}
	case !alive:
		s.proposePhase(r, fleet.Lost, time.Time{})
	case r.Open != nil:
		s.sendOrAbandon(r)
	case t.Phase == fleet.Unknown && r.ReadRequired:
		s.readTarget(r)
	case t.Phase == fleet.Leaving:
		s.stopLeaving(r, poll)
	case t.Phase == fleet.Announced:
		s.admitAnnounced(r, poll)
	case t.Phase == fleet.Draining:
		s.finishDrain(r, poll)
	case t.Phase == fleet.Ready:
		s.drainForUpgrade(r)
	}
}

// lastPoll returns the last poll of the registered incarnation, and whether the
// target is considered alive: the poll is recent, or others reach the target. A
// target that has not polled this leader yet is considered alive until its
// agent has had time to do so.
func (s *step) lastPoll(r state.TargetRecord) (LastPoll, bool) {
	poll := s.view.Polls[r.Target.Name]
	if poll.Incarnation != r.Target.Incarnation {
		poll = LastPoll{}
	}
	last := poll.At
	if last.Before(s.view.PollsSince) {
		last = s.view.PollsSince
	}
	return poll, s.now.Sub(last) <= watch.DeadAfter || poll.Condition == watch.Partitioned
}

// sendOrAbandon sends the open order of a target. Once orderGrace has passed
// since its deadline, it abandons the order instead.
func (s *step) sendOrAbandon(r state.TargetRecord) {
	o := *r.Open
	if s.now.After(o.Deadline.Add(orderGrace)) {
		s.propose(Key{kind: kindPropose, target: r.Target.Name, number: o.Number}, state.AbandonOrder{
			Term: s.lease.Term, Number: o.Number, Target: r.Target.Name, Time: s.now,
		})
		return
	}
	s.beginExternal(Key{kind: kindOrder, number: o.Number}, func(k Key, by time.Time) Action {
		return SendOrder{Key: k, Target: r.Target, Order: o, Deadline: by}
	})
}

func (s *step) readTarget(r state.TargetRecord) {
	s.beginExternal(Key{kind: kindRead, number: r.ReadNumber}, func(k Key, by time.Time) Action {
		return ReadTarget{Key: k, Target: r.Target, Number: r.ReadNumber, Deadline: by}
	})
}

// stopLeaving stops a leaving target once it rejects new requests and has
// finished its own. With a platform, it also does so when the deadline is near.
func (s *step) stopLeaving(r state.TargetRecord, poll LastPoll) {
	idle := poll.Refusing && poll.Running == 0
	// The platform must receive the order before the deadline of the phase
	// passes. A target in phase gone without a stop order would continue to
	// incur costs.
	deadlineNear := !r.Target.PhaseUntil.IsZero() && s.now.After(r.Target.PhaseUntil.Add(-stopLead))
	switch {
	case s.platform && (idle || deadlineNear):
		s.stopTarget(r.Target)
	case !s.platform && idle:
		s.proposePhase(r, fleet.Gone, time.Time{})
	}
}

// stopTarget proposes an order to the platform to stop a target, unless a
// platform order for it is open.
func (s *step) stopTarget(t fleet.Target) {
	for _, o := range s.view.Platform {
		if o.Target == t.Name {
			return
		}
	}
	s.propose(Key{kind: kindPropose, target: t.Name, phase: fleet.Leaving}, state.PlacePlatformOrder{
		ID: "stop " + string(t.Name), Term: s.lease.Term, Kind: state.PlatformStop, DataCentre: t.DataCentre,
		Region: t.Region, Pool: t.Pool, Target: t.Name, Deadline: s.now.Add(phaseTimeout), Time: s.now,
	})
}

// admitAnnounced moves an announced target to phase ready once its agent
// reports it ready and it holds the weights of its pool.
func (s *step) admitAnnounced(r state.TargetRecord, poll LastPoll) {
	// A target that was lost during a drain returns in phase announced.
	if r.RoleChangePending || r.Desired == state.DesiredDrained {
		s.proposePhase(r, fleet.Draining, r.DesiredUntil)
		return
	}
	if r.Desired == state.DesiredGone {
		s.proposePhase(r, fleet.Leaving, s.now.Add(phaseTimeout))
		return
	}
	if model, outdated := s.outdatedModel(r); outdated {
		// A target that returns after it was lost may still run requests.
		if poll.Ready && poll.Running == 0 && s.countLoads(r.Target.Pool) < maxConcurrentLoads {
			s.orderLoad(r, model)
		}
		return
	}
	if poll.Ready {
		s.proposePhase(r, fleet.Ready, time.Time{})
	}
}

// finishDrain continues with a draining target once it has finished its
// requests.
func (s *step) finishDrain(r state.TargetRecord, poll LastPoll) {
	if !poll.Refusing || poll.Running > 0 {
		return
	}
	if r.RoleChangePending {
		s.placeOrder(r, state.OrderRole, state.OrderContent{Role: r.DesiredRole})
		return
	}
	if r.Desired != state.DesiredServing {
		return
	}
	if model, outdated := s.outdatedModel(r); outdated {
		s.orderLoad(r, model)
		return
	}
	if poll.Ready {
		s.proposePhase(r, fleet.Ready, time.Time{})
	}
}

// drainForUpgrade drains a ready target if there is a newer version of its
// model. It drains one target of a pool at a time, and only while another one
// is ready.
func (s *step) drainForUpgrade(r state.TargetRecord) {
	if _, outdated := s.outdatedModel(r); !outdated {
		return
	}
	others := 0
	for _, o := range s.view.Targets {
		if o.Target.Pool != r.Target.Pool || o.Target.Name == r.Target.Name {
			continue
		}
		switch o.Target.Phase {
		case fleet.Ready:
			others++
		case fleet.Draining, fleet.Announced, fleet.Unknown:
			return
		}
	}
	if others == 0 || s.drainProposed(r.Target.Pool) {
		return
	}
	s.proposePhase(r, fleet.Draining, s.now.Add(phaseTimeout))
}

// poolOf returns the pool of a target according to the configuration.
func (s *step) poolOf(name fleet.TargetName) string {
	t, _ := s.view.Config.Target(name)
	return t.Pool
}

// drainProposed reports whether this step already drains a target of the pool.
func (s *step) drainProposed(pool string) bool {
	for _, a := range s.actions {
		p, ok := a.(Propose)
		if !ok {
			continue
		}
		c, ok := p.Command.(state.TargetPhase)
		if !ok || c.Phase != fleet.Draining {
			continue
		}
		if s.poolOf(c.Target) == pool {
			return true
		}
	}
	return false
}

// orderLoad places an order to load the weights of m.
func (s *step) orderLoad(r state.TargetRecord, m config.Model) {
	s.placeOrder(r, state.OrderLoad, state.OrderContent{Model: m.Name, Version: m.Version, Role: r.Target.Role})
}

// placeOrder proposes an order to the engine of r. The phase in the key only
// tells the proposal apart from others.
func (s *step) placeOrder(r state.TargetRecord, k state.OrderKind, c state.OrderContent) {
	s.propose(Key{kind: kindPropose, target: r.Target.Name, phase: fleet.Unknown}, state.PlaceOrder{
		Term: s.lease.Term, Target: r.Target.Name, Incarnation: r.Target.Incarnation,
		Kind: k, Content: c, Deadline: s.now.Add(orderTimeout), Time: s.now,
	})
}

// outdatedModel returns the model of the target's pool, and whether the target
// holds a different version of it or another model.
func (s *step) outdatedModel(r state.TargetRecord) (config.Model, bool) {
	if r.Target.Kind != fleet.Engine || s.view.Config == nil {
		return config.Model{}, false
	}
	for _, m := range s.view.Config.General.Models {
		if m.Name == s.view.Config.General.PoolModel[r.Target.Pool] {
			return m, r.Loaded.Model != m.Name || r.Loaded.Version != m.Version
		}
	}
	return config.Model{}, false
}

// countLoads returns the number of engines of the pool that are ordered to load
// weights, including by proposals of this step.
func (s *step) countLoads(pool string) int {
	n := 0
	for _, r := range s.view.Targets {
		if r.Target.Pool == pool && r.Open != nil && r.Open.Kind == state.OrderLoad {
			n++
		}
	}
	for _, a := range s.actions {
		if p, ok := a.(Propose); ok {
			if c, ok := p.Command.(state.PlaceOrder); ok && c.Kind == state.OrderLoad && c.Target != "" && s.poolOf(c.Target) == pool {
				n++
			}
		}
	}
	return n
}
