package state

import (
	"maps"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// lostFor is how long a lost target may come back under its name.
	lostFor = time.Hour
	// goneFor is how long a gone target is remembered, so that a delayed
	// announcement of an older incarnation is still recognised.
	goneFor = 24 * time.Hour
	// unknownFor bounds the wait for a read of an unknown target.
	unknownFor = 10 * time.Minute
)

// announce registers an agent incarnation. A new incarnation of a known target
// leaves it unknown: the former agent may have left a change half done.
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
	case r.Target.Phase == fleet.Gone && r.Wanted == WantedGone:
		return m.targetResult(TargetNotAllowed, r)
	case c.Target.Incarnation == r.Target.Incarnation:
		return m.announceAgain(c, r)
	}
	first := r.Target.Incarnation == 0
	r.describe(c.Target)
	if first {
		r.enter(fleet.Announced, c.Until)
	} else {
		m.becomeUnknown(r, c.Until)
	}
	m.touch(r)
	return m.targetResult(TargetUpdated, r)
}

func (m *Machine) announceNew(c Announce) Result {
	if len(m.targets) >= m.limits.targets {
		return m.targetResult(TargetLimit, nil)
	}
	r := &TargetRecord{Target: c.Target}
	r.enter(fleet.Announced, c.Until)
	m.targets[c.Target.Name] = r
	m.touch(r)
	return m.targetResult(TargetUpdated, r)
}

// announceAgain handles an incarnation that is already registered. It brings a
// target back that was taken for lost; an unread one must still be read.
func (m *Machine) announceAgain(c Announce, r *TargetRecord) Result {
	before := r.Target
	r.describe(c.Target)
	if r.Target.Phase == fleet.Lost || r.Target.Phase == fleet.Gone {
		if r.Unread || r.Target.Phase == fleet.Gone {
			m.becomeUnknown(r, c.Until)
		} else {
			r.enter(fleet.Announced, c.Until)
		}
	}
	if r.Target == before {
		return m.targetResult(TargetUnchanged, r)
	}
	m.touch(r)
	return m.targetResult(TargetUpdated, r)
}

// describe takes over what the agent says about itself, but not the phase. The
// role changes only by an order or a read: a repeated announcement may be older.
func (r *TargetRecord) describe(t fleet.Target) {
	if r.Target.Incarnation != 0 {
		t.Role = r.Target.Role
	}
	t.Phase, t.PhaseUntil = r.Target.Phase, r.Target.PhaseUntil
	r.Target = t
}

func (r *TargetRecord) enter(p fleet.Phase, until time.Time) {
	r.Target.Phase, r.Target.PhaseUntil = p, until
}

// becomeUnknown ends the open order without an answer and assigns the number
// under which the target is to be read. The number is above that of every
// earlier order, so the read shuts those out at the agent's fence.
func (m *Machine) becomeUnknown(r *TargetRecord, until time.Time) {
	if r.Open != nil {
		r.Closed = &ClosedOrder{Order: *r.Open, Abandoned: true}
		r.Open = nil
	}
	r.Unread = true
	r.Read = m.number()
	r.enter(fleet.Unknown, until)
}

func (m *Machine) targetResult(o TargetOutcome, r *TargetRecord) Result {
	res := TargetResult{Outcome: o, Revision: m.publish()}
	if r != nil {
		res.Target = r.Target
		if r.Unread {
			res.Read = r.Read
		}
	}
	return res
}

// allowed lists the phases that TargetPhase may lead to. Announced follows
// only from an announcement or a read.
var allowed = map[fleet.Phase][]fleet.Phase{
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
		return m.targetResult(TargetNotKnown, nil)
	case c.Incarnation != r.Target.Incarnation:
		return m.targetResult(TargetStale, r)
	case !slices.Contains(allowed[r.Target.Phase], c.Phase) || !r.permits(c):
		return m.targetResult(TargetNotAllowed, r)
	case r.Target.Phase == c.Phase && r.Target.PhaseUntil.Equal(c.Until):
		return m.targetResult(TargetUnchanged, r)
	}
	m.move(r, c.Phase, c.Until, c.Time)
	return m.targetResult(TargetUpdated, r)
}

// permits refuses what would undo the wish of an operator or leave a phase
// without an end.
func (r *TargetRecord) permits(c TargetPhase) bool {
	if c.Incarnation == 0 && c.Phase != fleet.Gone && c.Phase != fleet.Lost {
		return false // no agent has announced the target yet
	}
	switch c.Phase {
	case fleet.Ready:
		if r.Target.Phase == fleet.Draining && r.Open != nil {
			return false
		}
		return r.Wanted == WantedServing && !r.RoleWanted
	case fleet.Leaving:
		return !c.Until.IsZero()
	}
	return true
}

// move enters a phase with what follows from it.
func (m *Machine) move(r *TargetRecord, p fleet.Phase, until, now time.Time) {
	switch p {
	case fleet.Unknown:
		if r.Target.Phase != fleet.Unknown {
			m.becomeUnknown(r, until)
		}
		r.Target.PhaseUntil = until
	case fleet.Leaving:
		r.Wanted, r.WantedUntil = WantedGone, until
		r.enter(p, until)
	case fleet.Lost:
		r.enter(p, orLater(until, now.Add(lostFor)))
	case fleet.Gone:
		m.leave(r, now)
	default:
		r.enter(p, until)
	}
	m.touch(r)
	if p == fleet.Ready {
		m.replaceOld(r, now)
	}
}

// leave ends a target's life. An order still open can have no more effect that
// matters, and is closed as abandoned.
func (m *Machine) leave(r *TargetRecord, now time.Time) {
	if r.Open != nil {
		r.Closed = &ClosedOrder{Order: *r.Open, Abandoned: true}
		r.Open = nil
		r.Unread = true
	}
	r.Replaces, r.DrainFor = "", 0
	r.enter(fleet.Gone, now.Add(goneFor))
}

// replaceOld starts the drain of the target that a ready one replaces.
func (m *Machine) replaceOld(r *TargetRecord, now time.Time) {
	old := m.targets[r.Replaces]
	until := now.Add(r.DrainFor)
	r.Replaces, r.DrainFor = "", 0
	if old == nil || old.Target.Phase == fleet.Gone {
		return
	}
	m.want(old, WantedGone, until)
}

// want notes what operators want of a target and starts on it at once where
// the phase allows.
func (m *Machine) want(r *TargetRecord, w Wanted, until time.Time) {
	r.Wanted, r.WantedUntil = w, until
	switch r.Target.Phase {
	case fleet.Announced, fleet.Ready, fleet.Draining, fleet.Leaving:
		r.enter(r.resting(), until)
	}
	m.touch(r)
}

// resting is the phase of a target that is not in service for an operator's
// reason.
func (r *TargetRecord) resting() fleet.Phase {
	if r.Wanted == WantedGone {
		return fleet.Leaving
	}
	return fleet.Draining
}

// observed ends the unknown phase. The number shows that the agent was asked
// after it could no longer accept an earlier order.
func (m *Machine) observed(c Observed) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return m.targetResult(TargetNotKnown, nil)
	case c.Incarnation != r.Target.Incarnation || c.Number != r.Read:
		return m.targetResult(TargetStale, r)
	case !r.Unread:
		return m.targetResult(TargetUnchanged, r)
	case r.Target.Phase != fleet.Unknown:
		return m.targetResult(TargetNotAllowed, r)
	}
	r.Unread = false
	r.Target.Role, r.Loaded = c.Role, c.Loaded
	r.RoleWanted = r.RoleWanted && r.Role != c.Role
	if r.Wanted != WantedServing || r.RoleWanted {
		r.enter(r.resting(), r.WantedUntil)
	} else {
		r.enter(fleet.Announced, c.Until)
	}
	m.touch(r)
	return m.targetResult(TargetUpdated, r)
}

// expireTargets ends the phases whose deadline has passed.
func (m *Machine) expireTargets() int {
	n := 0
	for _, name := range slices.Sorted(maps.Keys(m.targets)) {
		r := m.targets[name]
		until := r.Target.PhaseUntil
		if until.IsZero() || until.After(m.now) {
			continue
		}
		n++
		switch r.Target.Phase {
		case fleet.Announced, fleet.Ready, fleet.Unknown:
			r.enter(fleet.Lost, m.now.Add(lostFor))
		case fleet.Draining:
			r.enter(fleet.Draining, time.Time{}) // the drain is over
		case fleet.Leaving, fleet.Lost:
			m.leave(r, m.now)
		case fleet.Gone:
			delete(m.targets, name)
			m.pending.RemoveTargets = append(m.pending.RemoveTargets, name)
			continue
		}
		m.touch(r)
	}
	return n
}

func orLater(t, otherwise time.Time) time.Time {
	if t.IsZero() {
		return otherwise
	}
	return t
}
