package dispatch

import (
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// target decides what is due for one target. At most one thing is begun at a
// time, in the order of the cases.
func (s *step) target(r state.TargetRecord) {
	t := r.Target
	sign, alive := s.sign(r)
	switch {
	case t.Phase == fleet.Gone || t.Incarnation == 0:
	case t.Phase == fleet.Lost:
		// The agent announces itself again when it is back. A target that was
		// leaving is not waited for.
		if s.platform && r.Wanted == state.WantedGone {
			s.stop(t)
		}
	case !alive:
		s.phase(r, fleet.Lost, time.Time{})
	case r.Open != nil:
		s.openOrder(r)
	case t.Phase == fleet.Unknown && r.Unread:
		s.read(r)
	case t.Phase == fleet.Leaving:
		s.leave(r, sign)
	case t.Phase == fleet.Announced:
		s.admit(r, sign)
	case t.Phase == fleet.Draining:
		s.drained(r, sign)
	case t.Phase == fleet.Ready:
		s.upgrade(r)
	}
}

// sign returns the last sign of the registered incarnation, and whether the
// target counts as alive: the sign is recent, or others reach the target. A target that this leader has not heard of yet counts as alive until
// its agent has had the time to poll.
func (s *step) sign(r state.TargetRecord) (Seen, bool) {
	sign := s.view.Signs[r.Target.Name]
	if sign.Incarnation != r.Target.Incarnation {
		sign = Seen{}
	}
	last := sign.At
	if last.Before(s.view.Since) {
		last = s.view.Since
	}
	return sign, s.now.Sub(last) <= watch.LostAfter || sign.Condition == watch.Partitioned
}

func (s *step) openOrder(r state.TargetRecord) {
	o := *r.Open
	if s.now.After(o.Deadline.Add(orderGrace)) {
		s.propose(Key{kind: propose, target: r.Target.Name, number: o.Number}, state.AbandonOrder{
			Term: s.lease.Term, Number: o.Number, Target: r.Target.Name, Time: s.now,
		})
		return
	}
	s.external(Key{kind: order, number: o.Number}, func(k Key, by time.Time) Action {
		return SendOrder{Key: k, Target: r.Target, Order: o, Deadline: by}
	})
}

func (s *step) read(r state.TargetRecord) {
	s.external(Key{kind: read, number: r.Read}, func(k Key, by time.Time) Action {
		return ReadTarget{Key: k, Target: r.Target, Number: r.Read, Deadline: by}
	})
}

// leave stops a target that has ended its requests and takes no new ones.
func (s *step) leave(r state.TargetRecord, sign Seen) {
	// The platform must be told before the deadline of the phase passes: a
	// target that is gone without an order would go on to cost money.
	ended := sign.Refusing && sign.Running == 0
	due := !r.Target.PhaseUntil.IsZero() && s.now.After(r.Target.PhaseUntil.Add(-stopAhead))
	switch {
	case s.platform && (ended || due):
		s.stop(r.Target)
	case !s.platform && ended:
		s.phase(r, fleet.Gone, time.Time{})
	}
}

// stop orders the platform to stop a target, unless that is under way.
func (s *step) stop(t fleet.Target) {
	for _, o := range s.view.Platform {
		if o.Target == t.Name {
			return
		}
	}
	s.propose(Key{kind: propose, target: t.Name, phase: fleet.Leaving}, state.PlacePlatformOrder{
		ID: "stop " + string(t.Name), Term: s.lease.Term, Kind: state.PlatformStop, DataCentre: t.DataCentre,
		Region: t.Region, Pool: t.Pool, Target: t.Name, Deadline: s.now.Add(settleTime), Time: s.now,
	})
}

// admit makes an announced target ready once its agent finds it so and it
// holds the weights of its pool.
func (s *step) admit(r state.TargetRecord, sign Seen) {
	// A target that was lost during a drain comes back as announced.
	if r.RoleWanted || r.Wanted == state.WantedDrained {
		s.phase(r, fleet.Draining, r.WantedUntil)
		return
	}
	if r.Wanted == state.WantedGone {
		s.phase(r, fleet.Leaving, s.now.Add(settleTime))
		return
	}
	if model, due := s.outdated(r); due {
		// A target that comes back from being lost may still run requests.
		if sign.Ready && sign.Running == 0 && s.loading(r.Target.Pool) < maxLoads {
			s.load(r, model)
		}
		return
	}
	if sign.Ready {
		s.phase(r, fleet.Ready, time.Time{})
	}
}

// drained goes on with a target that has ended its requests.
func (s *step) drained(r state.TargetRecord, sign Seen) {
	if !sign.Refusing || sign.Running > 0 {
		return
	}
	if r.RoleWanted {
		s.place(r, state.OrderRole, state.Content{Role: r.Role})
		return
	}
	if r.Wanted != state.WantedServing {
		return
	}
	if model, due := s.outdated(r); due {
		s.load(r, model)
		return
	}
	if sign.Ready {
		s.phase(r, fleet.Ready, time.Time{})
	}
}

// upgrade drains a serving target whose model has a newer version, one of a
// pool at a time and only while another target of the pool serves.
func (s *step) upgrade(r state.TargetRecord) {
	if _, due := s.outdated(r); !due {
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
	if others == 0 || s.proposing(r.Target.Pool) {
		return
	}
	s.phase(r, fleet.Draining, s.now.Add(settleTime))
}

func (s *step) poolOf(name fleet.TargetName) string {
	t, _ := s.view.Config.Target(name)
	return t.Pool
}

// proposing says whether this step already drains a target of the pool.
func (s *step) proposing(pool string) bool {
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

func (s *step) load(r state.TargetRecord, m config.Model) {
	s.place(r, state.OrderLoad, state.Content{Model: m.Name, Version: m.Version, Role: r.Target.Role})
}

func (s *step) place(r state.TargetRecord, k state.OrderKind, c state.Content) {
	s.propose(Key{kind: propose, target: r.Target.Name, phase: fleet.Unknown}, state.PlaceOrder{
		Term: s.lease.Term, Target: r.Target.Name, Incarnation: r.Target.Incarnation,
		Kind: k, Content: c, Deadline: s.now.Add(orderTime), Time: s.now,
	})
}

// outdated returns the model that the target's pool serves if the target does
// not hold its version.
func (s *step) outdated(r state.TargetRecord) (config.Model, bool) {
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

func (s *step) loading(pool string) int {
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
