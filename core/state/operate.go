package state

import (
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

func (m *Machine) existingTarget(name fleet.TargetName) (*TargetRecord, error) {
	r := m.targets[name]
	if r == nil || r.Target.Phase == fleet.Gone {
		return nil, errors.Errorf("target %q does not exist or is gone", name)
	}
	return r, nil
}

func (m *Machine) drainTarget(a DrainTarget) error {
	r, err := m.existingTarget(a.Target)
	if err != nil {
		return err
	}
	if a.Until.IsZero() {
		return errors.Errorf("drain of target %q has no deadline", a.Target)
	}
	desired := DesiredDrained
	if a.Leave {
		desired = DesiredGone
	}
	if r.Desired == DesiredGone && !a.Leave {
		return errors.Errorf("target %q is leaving: cancel that first", a.Target)
	}
	m.setDesired(r, desired, a.Until)
	return nil
}

// replaceTarget opens the platform order in the same step, so that accepting
// the change orders exactly one target. The old target serves until the new one
// is ready.
func (m *Machine) replaceTarget(c Change, a ReplaceTarget) error {
	r, err := m.existingTarget(a.Target)
	if err != nil {
		return err
	}
	if r.Desired == DesiredGone || a.DrainFor <= 0 {
		return errors.Errorf("target %q is leaving, or the drain of %s is not positive", a.Target, a.DrainFor)
	}
	for _, o := range m.targets {
		if o.Replaces == a.Target {
			return errors.Errorf("target %q is being replaced by %q", a.Target, o.Target.Name)
		}
	}
	res := m.placeStart(PlacePlatformOrder{
		ID: "change " + c.ID, Kind: PlatformStart, DataCentre: r.Target.DataCentre, Region: r.Target.Region,
		Pool: r.Target.Pool, Deadline: a.Deadline, Time: c.Time,
	})
	if res.Outcome != OrderPlaced {
		return errors.Errorf("target %q: no further platform order can be opened", a.Target)
	}
	n := m.targets[res.Order.Target]
	n.Replaces, n.DrainFor = a.Target, a.DrainFor
	n.Target.Kind = r.Target.Kind
	m.markUpdated(n)
	return nil
}

// setRole leaves a role change pending even if the recorded role is the requested
// one, as long as a read is required: the actual role may differ.
func (m *Machine) setRole(a SetRole) error {
	r, err := m.existingTarget(a.Target)
	switch {
	case err != nil:
		return err
	case r.Target.Kind != fleet.Engine:
		return errors.Errorf("target %q is not an engine", a.Target)
	case r.Desired == DesiredGone:
		return errors.Errorf("target %q is leaving", a.Target)
	case a.Until.IsZero():
		return errors.Errorf("role change of target %q has no drain deadline", a.Target)
	case r.Open != nil:
		return errors.Errorf("target %q has the open order %s", a.Target, r.Open.Number)
	}
	r.RoleChangePending, r.DesiredRole = a.Role != r.Target.Role || r.ReadRequired, a.Role
	if r.RoleChangePending {
		r.DesiredUntil = a.Until
		switch r.Target.Phase {
		case fleet.Announced, fleet.Ready, fleet.Draining:
			r.setPhase(fleet.Draining, a.Until)
		}
	}
	m.markUpdated(r)
	return nil
}

// cancelDrain returns the target to Announced rather than Ready: whether it can
// serve is for its agent to report.
func (m *Machine) cancelDrain(c Change, a CancelDrain) error {
	r := m.targets[a.Target]
	if r == nil {
		return errors.Errorf("target %q does not exist", a.Target)
	}
	if r.Open != nil {
		return errors.Errorf("target %q has the open order %s", a.Target, r.Open.Number)
	}
	r.Desired, r.RoleChangePending, r.DesiredUntil = DesiredServing, false, time.Time{}
	for _, o := range m.targets {
		if o.Replaces == a.Target {
			o.Replaces, o.DrainFor = "", 0
		}
	}
	if p := r.Target.Phase; p == fleet.Draining || p == fleet.Leaving {
		r.setPhase(fleet.Announced, c.Time.Add(agentTimeout))
	}
	m.markUpdated(r)
	return nil
}
