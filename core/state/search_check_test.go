package state

import (
	"fmt"
	"reflect"

	"papayarock/core/fleet"
)

// checks records what an observer of all messages and log entries sees.
type checks struct {
	counts struct{ effects, reads, grants, windows, starts, changes, adapts int }

	contents     map[fleet.OrderNumber]Order
	open         map[fleet.TargetName]fleet.OrderNumber
	readRequired map[fleet.TargetName]bool
	desired      map[fleet.TargetName]DesiredState // before the command being checked
	incarnation  map[fleet.TargetName]fleet.Incarnation
	starts       map[string]fleet.TargetName
	results      map[string]ChangeResult // by change id and content
	bases        map[uint64]string       // id of the accepted change, by base
	revision     uint64
}

func newChecks() checks {
	return checks{
		contents: make(map[fleet.OrderNumber]Order), open: make(map[fleet.TargetName]fleet.OrderNumber),
		readRequired: make(map[fleet.TargetName]bool), desired: make(map[fleet.TargetName]DesiredState),
		incarnation: make(map[fleet.TargetName]fleet.Incarnation),
		starts:      make(map[string]fleet.TargetName), results: make(map[string]ChangeResult), bases: make(map[uint64]string),
	}
}

func (c *checks) add(o checks) {
	c.counts.effects += o.counts.effects
	c.counts.reads += o.counts.reads
	c.counts.grants += o.counts.grants
	c.counts.windows += o.counts.windows
	c.counts.starts += o.counts.starts
	c.counts.changes += o.counts.changes
	c.counts.adapts += o.counts.adapts
}

// checkContent checks that all orders with the same number have the same
// content.
func (c *checks) checkContent(sim *simulation, o Order) {
	o.Incarnation = 0 // the variant anyIncarnation rewrites it
	first, ok := c.contents[o.Number]
	if !ok {
		c.contents[o.Number] = o
	} else if first != o {
		sim.failf("order %s has two contents: %+v and %+v", o.Number, first, o)
	}
}

func (c *checks) checkStart(sim *simulation, o PlatformOrder) {
	first, ok := c.starts[o.ID]
	if !ok {
		c.starts[o.ID] = o.Target
		c.counts.starts++
	} else if first != o.Target {
		sim.failf("platform order %s started both %s and %s", o.ID, first, o.Target)
	}
}

// check checks the invariants that concern a command and its result.
func (sim *simulation) check(c Command, r Result) {
	switch c := c.(type) {
	case Change:
		sim.checkChange(c, r.(ChangeResult))
	case Announce:
		sim.checkTarget(c.Target.Name, r.(TargetResult))
	case TargetPhase:
		sim.checkTarget(c.Target, r.(TargetResult))
	case Observed:
		if r.(TargetResult).Outcome == TargetUpdated {
			delete(sim.checks.readRequired, c.Target)
		}
	case PlaceOrder:
		sim.checkPlaced(c, r.(OrderResult))
	case AcknowledgeOrder:
		if r.(OrderResult).Outcome == OrderClosed {
			delete(sim.checks.open, c.Target)
		}
	case AbandonOrder:
		if r.(OrderResult).Outcome == OrderClosed {
			delete(sim.checks.open, c.Target)
			sim.checks.readRequired[c.Target] = true
		}
	case Adapt:
		sim.checkAdapt(c, r.(TargetResult))
	case Claim:
		if a := sim.entries.requests[c.Request]; r.(ClaimResult).Outcome == ClaimGranted {
			sim.checks.counts.grants++
			if a.barred && sim.m.claims.byKey[c.Key].Index == sim.index {
				sim.failf("request %v is granted after it was barred", c.Request)
			}
		}
	}
	for name, t := range sim.m.targets {
		sim.checks.desired[name] = t.Desired
	}
}

// checkAdapt checks that the planner changes neither a target that an operator
// drains nor the base of operators' changes.
func (sim *simulation) checkAdapt(c Adapt, r TargetResult) {
	if sim.m.changes.revision != sim.checks.revision {
		sim.failf("the planner changed the base of operators' changes to %d", sim.m.changes.revision)
	}
	if r.Outcome != TargetUpdated {
		return
	}
	sim.checks.counts.adapts++
	if sim.checks.desired[c.Target] != DesiredServing {
		sim.failf("the planner changes target %s, which an operator drains", c.Target)
	}
}

func (sim *simulation) checkTarget(name fleet.TargetName, r TargetResult) {
	k := &sim.checks
	if r.Target.Incarnation < k.incarnation[name] {
		sim.failf("target %s goes back from incarnation %d to %d", name, k.incarnation[name], r.Target.Incarnation)
	}
	renewed := k.incarnation[name] != 0 && r.Target.Incarnation > k.incarnation[name]
	if renewed || r.Outcome == TargetUpdated && r.Target.Phase == fleet.Unknown {
		k.readRequired[name] = true
		delete(k.open, name)
	}
	k.incarnation[name] = r.Target.Incarnation
}

// checkPlaced checks that an order is opened only on a target whose state is
// known and that has no other open order.
func (sim *simulation) checkPlaced(c PlaceOrder, r OrderResult) {
	if r.Outcome != OrderPlaced {
		return
	}
	k := &sim.checks
	k.checkContent(sim, r.Order)
	if n, ok := k.open[c.Target]; ok {
		if n != r.Order.Number {
			sim.failf("target %s has the open orders %s and %s", c.Target, n, r.Order.Number)
		}
		return
	}
	k.open[c.Target] = r.Order.Number
	if k.readRequired[c.Target] {
		sim.failf("target %s gets order %s before it is read", c.Target, r.Order.Number)
	}
	for _, a := range sim.agents {
		t := sim.m.targets[c.Target]
		if a.name == c.Target && (a.engine.role != t.Target.Role || a.engine.loaded != t.Loaded) {
			sim.failf("target %s gets order %s while its state is %v %v, not %v %v", c.Target, r.Order.Number,
				a.engine.role, a.engine.loaded, t.Target.Role, t.Loaded)
		}
	}
}

// checkChange checks that one change is accepted per base and that the result
// stored under an id does not change.
func (sim *simulation) checkChange(c Change, r ChangeResult) {
	k := &sim.checks
	if a, ok := c.Action.(SetRole); ok { // the deadline is relative to the time of the change
		a.Until = start.Add(a.Until.Sub(c.Time))
		c.Action = a
	}
	if a, ok := c.Action.(EditDocument); ok { // the digest identifies the document, whatever the edit was computed from
		if r.Outcome == ChangeMismatch {
			return // not stored: the id remains unused
		}
		d, err := sim.m.config.Document().Digest()
		if first := r.Outcome == ChangeAccepted && sim.m.config.Revision == r.Revision; first && (err != nil || d != a.Digest) {
			sim.failf("change %s resulted in a document that does not match its digest", c.ID)
		}
		c.Action = EditDocument{Digest: a.Digest}
	}
	if a, ok := c.Action.(StageDocument); ok {
		if r.Outcome == ChangeStaged || r.Outcome == ChangeMismatch {
			return
		}
		c.Action = EditDocument{Digest: a.Digest}
	}
	c.Time = start
	key := fmt.Sprintf("%+v", c)
	if first, ok := k.results[key]; ok {
		if !reflect.DeepEqual(first, r) {
			sim.failf("change %s has the results %+v and %+v", c.ID, first, r)
		}
		return
	}
	k.results[key] = r
	if r.Outcome != ChangeAccepted {
		if r.Outcome == ChangeConflict && (r.Winner.ID == "" || r.Winner.Revision <= c.Base) {
			sim.failf("change %s with base %d lost to %+v", c.ID, c.Base, r.Winner)
		}
		return
	}
	k.counts.changes++
	if first, ok := k.bases[c.Base]; ok || c.Base < k.revision {
		sim.failf("changes %q and %s are accepted on base %d", first, c.ID, c.Base)
	}
	k.bases[c.Base], k.revision = c.ID, r.Revision
}
