package state

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// lostRetention is how long a lost target may return under its name.
	lostRetention = time.Hour
	// goneRetention is how long a gone target is kept, so that a delayed
	// announcement of an older incarnation is still recognised.
	goneRetention = 24 * time.Hour
	// agentTimeout limits how long a target may wait for its agent: for a read
	// after its order was abandoned, or for a report after its drain was
	// cancelled.
	agentTimeout = 10 * time.Minute
)

// announce registers an agent incarnation. If the target had another
// incarnation before, its state becomes unknown: the previous agent may have
// left a change incomplete.
func (m *Machine) announce(c Announce) Result {
	name := c.Target.Name
	if name == "" || len(name) > maxNameBytes || c.Target.Incarnation == 0 {
		return m.targetResult(TargetNotAllowed, nil)
	}
	r := m.targets[name]
	switch {
	case r == nil:
		return m.announceNew(c)
	case c.Target.Incarnation < r.Target.Incarnation:
		return m.targetResult(TargetStale, r)
	case r.Target.Phase == fleet.Gone && r.Desired == DesiredGone:
		return m.targetResult(TargetNotAllowed, r) // removed on request, so it must not return
	case c.Target.Incarnation == r.Target.Incarnation:
		return m.announceAgain(c, r)
	}
	first := r.Target.Incarnation == 0
	r.updateDescription(c.Target)
	if first {
		r.setPhase(fleet.Announced, c.Until)
	} else {
		m.becomeUnknown(r, c.Until)
	}
	m.markUpdated(r)
	return m.targetResult(TargetUpdated, r)
}

func (m *Machine) announceNew(c Announce) Result {
	if len(m.targets) >= m.limits.targets {
		return m.targetResult(TargetLimit, nil)
	}
	r := &TargetRecord{Target: c.Target}
	r.setPhase(fleet.Announced, c.Until)
	m.targets[c.Target.Name] = r
	m.markUpdated(r)
	return m.targetResult(TargetUpdated, r)
}

// announceAgain handles an incarnation that is already registered. A target
// that was considered lost becomes announced again, unless a read is
// outstanding; one that was considered gone must be read first.
func (m *Machine) announceAgain(c Announce, r *TargetRecord) Result {
	before := r.Target
	r.updateDescription(c.Target)
	if r.Target.Phase == fleet.Lost || r.Target.Phase == fleet.Gone {
		if r.ReadRequired || r.Target.Phase == fleet.Gone {
			m.becomeUnknown(r, c.Until)
		} else {
			r.setPhase(fleet.Announced, c.Until)
		}
	}
	if r.Target == before {
		return m.targetResult(TargetUnchanged, r)
	}
	m.markUpdated(r)
	return m.targetResult(TargetUpdated, r)
}

// updateDescription copies what the agent reports about its target, except the
// phase. Once an agent is registered the role changes only by an order or a
// read, because a repeated announcement may be outdated.
func (r *TargetRecord) updateDescription(t fleet.Target) {
	if r.Target.Incarnation != 0 {
		t.Role = r.Target.Role
	}
	t.Phase, t.PhaseUntil = r.Target.Phase, r.Target.PhaseUntil
	r.Target = t
}

func (r *TargetRecord) setPhase(p fleet.Phase, until time.Time) {
	r.Target.Phase, r.Target.PhaseUntil = p, until
}

// becomeUnknown abandons the open order and assigns the number under which the
// target is to be read. That number is higher than those of all earlier orders,
// so after the read the agent refuses these orders.
func (m *Machine) becomeUnknown(r *TargetRecord, until time.Time) {
	if r.Open != nil {
		r.Closed = &ClosedOrder{Order: *r.Open, Abandoned: true}
		r.Open = nil
	}
	r.ReadRequired = true
	r.ReadNumber = m.nextOrderNumber()
	r.setPhase(fleet.Unknown, until)
}

func (m *Machine) targetResult(o TargetOutcome, r *TargetRecord) Result {
	res := TargetResult{Outcome: o, Revision: m.publish()}
	if r != nil {
		res.Target = r.Target
		if r.ReadRequired {
			res.ReadNumber = r.ReadNumber
		}
	}
	return res
}

// allowedTransitions lists the phases that TargetPhase may lead to. Announced
// is otherwise entered by a start order, an announcement, a read or a cancelled
// drain.
var allowedTransitions = map[fleet.Phase][]fleet.Phase{
	fleet.Announced: {fleet.Announced, fleet.Ready, fleet.Draining, fleet.Leaving, fleet.Gone, fleet.Lost, fleet.Unknown},
	fleet.Ready:     {fleet.Ready, fleet.Draining, fleet.Leaving, fleet.Lost, fleet.Unknown},
	fleet.Draining:  {fleet.Ready, fleet.Draining, fleet.Leaving, fleet.Lost, fleet.Unknown},
	fleet.Leaving:   {fleet.Leaving, fleet.Gone, fleet.Lost, fleet.Unknown},
	fleet.Lost:      {fleet.Lost, fleet.Gone},
	fleet.Unknown:   {fleet.Unknown, fleet.Gone, fleet.Lost},
}

func (m *Machine) targetPhase(c TargetPhase) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return m.targetResult(TargetNotFound, nil)
	case c.Incarnation != r.Target.Incarnation:
		return m.targetResult(TargetStale, r)
	case !slices.Contains(allowedTransitions[r.Target.Phase], c.Phase) || !r.permitsPhase(c):
		return m.targetResult(TargetNotAllowed, r)
	case r.Target.Phase == c.Phase && r.Target.PhaseUntil.Equal(c.Until):
		return m.targetResult(TargetUnchanged, r)
	}
	m.enterPhase(r, c.Phase, c.Until, c.Time)
	return m.targetResult(TargetUpdated, r)
}

// permitsPhase reports whether a target may enter a phase that
// allowedTransitions permits. It refuses phases that undo what an operator or
// the planner requested, Ready for a draining target with an open order, and
// Leaving without a deadline.
func (r *TargetRecord) permitsPhase(c TargetPhase) bool {
	if c.Incarnation == 0 && c.Phase != fleet.Gone && c.Phase != fleet.Lost {
		return false // no agent has announced the target yet
	}
	switch c.Phase {
	case fleet.Ready:
		if r.Target.Phase == fleet.Draining && r.Open != nil {
			return false
		}
		return r.Desired == DesiredServing && !r.RoleChangePending
	case fleet.Leaving:
		return !c.Until.IsZero()
	}
	return true
}

// enterPhase moves a target to a phase and applies the effects of that phase.
func (m *Machine) enterPhase(r *TargetRecord, p fleet.Phase, until, now time.Time) {
	switch p {
	case fleet.Unknown:
		if r.Target.Phase != fleet.Unknown {
			m.becomeUnknown(r, until)
		}
		r.Target.PhaseUntil = until
	case fleet.Leaving:
		r.Desired, r.DesiredUntil = DesiredGone, until
		r.setPhase(p, until)
	case fleet.Lost:
		r.setPhase(p, timeOr(until, now.Add(lostRetention)))
	case fleet.Gone:
		m.markGone(r, now)
	default:
		r.setPhase(p, until)
	}
	m.markUpdated(r)
	if p == fleet.Ready {
		m.drainReplaced(r, now)
	}
}

// markGone moves a target to Gone. An order that is still open is closed as
// abandoned, and the target must be read if it returns.
func (m *Machine) markGone(r *TargetRecord, now time.Time) {
	if r.Open != nil {
		r.Closed = &ClosedOrder{Order: *r.Open, Abandoned: true}
		r.Open = nil
		r.ReadRequired = true
	}
	r.Replaces, r.DrainFor = "", 0
	r.setPhase(fleet.Gone, now.Add(goneRetention))
}

// drainReplaced starts the drain of the target that a ready target replaces.
func (m *Machine) drainReplaced(r *TargetRecord, now time.Time) {
	old := m.targets[r.Replaces]
	until := now.Add(r.DrainFor)
	r.Replaces, r.DrainFor = "", 0
	if old == nil || old.Target.Phase == fleet.Gone {
		return
	}
	m.setDesired(old, DesiredGone, until)
}

// setDesired records the desired state of a target and starts the drain at once
// if the phase allows it.
func (m *Machine) setDesired(r *TargetRecord, desired DesiredState, until time.Time) {
	r.Desired, r.DesiredUntil = desired, until
	switch r.Target.Phase {
	case fleet.Announced, fleet.Ready, fleet.Draining, fleet.Leaving:
		r.setPhase(r.outOfServicePhase(), until)
	}
	m.markUpdated(r)
}

// outOfServicePhase returns the phase of a target that is to be drained.
func (r *TargetRecord) outOfServicePhase() fleet.Phase {
	if r.Desired == DesiredGone {
		return fleet.Leaving
	}
	return fleet.Draining
}

// observed ends the unknown phase. The number proves that the state was read
// after the agent had begun to refuse all earlier orders.
func (m *Machine) observed(c Observed) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return m.targetResult(TargetNotFound, nil)
	case c.Incarnation != r.Target.Incarnation || c.Number != r.ReadNumber:
		return m.targetResult(TargetStale, r)
	case !r.ReadRequired:
		return m.targetResult(TargetUnchanged, r)
	case r.Target.Phase != fleet.Unknown:
		return m.targetResult(TargetNotAllowed, r)
	}
	r.ReadRequired = false
	r.Target.Role, r.Loaded = c.Role, c.Loaded
	r.RoleChangePending = r.RoleChangePending && r.DesiredRole != c.Role
	if r.Desired != DesiredServing || r.RoleChangePending {
		r.setPhase(r.outOfServicePhase(), r.DesiredUntil)
	} else {
		r.setPhase(fleet.Announced, c.Until)
	}
	m.markUpdated(r)
	return m.targetResult(TargetUpdated, r)
}

// expireTargets handles the targets whose phase deadline has passed, and returns
// their number. The iteration order has no effect: no numbers are assigned here,
// and commit sorts the edits.
func (m *Machine) expireTargets() int {
	var due []fleet.TargetName
	for name, r := range m.targets {
		if until := r.Target.PhaseUntil; !until.IsZero() && !until.After(m.now) {
			due = append(due, name)
		}
	}
	for _, name := range due {
		r := m.targets[name]
		switch r.Target.Phase {
		case fleet.Announced, fleet.Ready, fleet.Unknown:
			r.setPhase(fleet.Lost, m.now.Add(lostRetention))
		case fleet.Draining:
			r.setPhase(fleet.Draining, time.Time{}) // remains in this phase, now without a deadline
		case fleet.Leaving, fleet.Lost:
			m.markGone(r, m.now)
		case fleet.Gone:
			delete(m.targets, name)
			m.pending.RemoveTargets = append(m.pending.RemoveTargets, name)
			continue
		}
		m.markUpdated(r)
	}
	return len(due)
}

func timeOr(t, otherwise time.Time) time.Time {
	if t.IsZero() {
		return otherwise
	}
	return t
}
