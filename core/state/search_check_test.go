package state

import (
	"fmt"
	"reflect"

	"papayarock/core/fleet"
)

// checks is what an observer of every message and log entry remembers.
type checks struct {
	counts struct{ effects, reads, grants, windows, starts, changes, adapts int }

	contents    map[fleet.OrderNumber]Order
	open        map[fleet.TargetName]fleet.OrderNumber
	unread      map[fleet.TargetName]bool
	wanted      map[fleet.TargetName]Wanted // by operators
	incarnation map[fleet.TargetName]fleet.Incarnation
	starts      map[string]fleet.TargetName
	answers     map[string]ChangeResult // by change id and content
	bases       map[uint64]string       // accepted change by base
	revision    uint64
}

func newChecks() checks {
	return checks{
		contents: make(map[fleet.OrderNumber]Order), open: make(map[fleet.TargetName]fleet.OrderNumber),
		unread: make(map[fleet.TargetName]bool), wanted: make(map[fleet.TargetName]Wanted),
		incarnation: make(map[fleet.TargetName]fleet.Incarnation),
		starts:      make(map[string]fleet.TargetName), answers: make(map[string]ChangeResult), bases: make(map[uint64]string),
	}
}

func (c *checks) reached(o checks) {
	c.counts.effects += o.counts.effects
	c.counts.reads += o.counts.reads
	c.counts.grants += o.counts.grants
	c.counts.windows += o.counts.windows
	c.counts.starts += o.counts.starts
	c.counts.changes += o.counts.changes
	c.counts.adapts += o.counts.adapts
}

// content checks that a number means one order, wherever it is seen.
func (c *checks) content(w *world, o Order) {
	o.Incarnation = 0 // a variant rewrites it
	first, ok := c.contents[o.Number]
	if !ok {
		c.contents[o.Number] = o
	} else if first != o {
		w.failf("order %s is %+v and %+v", o.Number, first, o)
	}
}

func (c *checks) started(w *world, o PlatformOrder) {
	first, ok := c.starts[o.ID]
	if !ok {
		c.starts[o.ID] = o.Target
		c.counts.starts++
	} else if first != o.Target {
		w.failf("plan %s started %s and %s", o.ID, first, o.Target)
	}
}

// check compares the result of a command with what the observer expects.
func (w *world) check(c Command, r Result) {
	switch c := c.(type) {
	case Change:
		w.checkChange(c, r.(ChangeResult))
	case Announce:
		w.checkTarget(c.Target.Name, r.(TargetResult))
	case TargetPhase:
		w.checkTarget(c.Target, r.(TargetResult))
	case Observed:
		if r.(TargetResult).Outcome == TargetUpdated {
			delete(w.checks.unread, c.Target)
		}
	case PlaceOrder:
		w.checkPlaced(c, r.(OrderResult))
	case AcknowledgeOrder:
		if r.(OrderResult).Outcome == OrderClosed {
			delete(w.checks.open, c.Target)
		}
	case AbandonOrder:
		if r.(OrderResult).Outcome == OrderClosed {
			delete(w.checks.open, c.Target)
			w.checks.unread[c.Target] = true
		}
	case Adapt:
		w.checkAdapt(c, r.(TargetResult))
	case Claim:
		if a := w.entries.requests[c.Request]; r.(ClaimResult).Outcome == ClaimGranted {
			w.checks.counts.grants++
			if a.barred && w.m.claims.byKey[c.Key].Index == w.index {
				w.failf("request %v is granted after it was barred", c.Request)
			}
		}
	}
	for name, t := range w.m.targets {
		w.checks.wanted[name] = t.Wanted
	}
}

// checkAdapt checks that the planner leaves alone what an operator wants, and
// the base of operators.
func (w *world) checkAdapt(c Adapt, r TargetResult) {
	if w.m.changes.revision != w.checks.revision {
		w.failf("the planner moves the base of operators to %d", w.m.changes.revision)
	}
	if r.Outcome != TargetUpdated {
		return
	}
	w.checks.counts.adapts++
	if w.checks.wanted[c.Target] != WantedServing {
		w.failf("the planner changes target %s, which an operator drains", c.Target)
	}
}

func (w *world) checkTarget(name fleet.TargetName, r TargetResult) {
	k := &w.checks
	if r.Target.Incarnation < k.incarnation[name] {
		w.failf("target %s goes back from incarnation %d to %d", name, k.incarnation[name], r.Target.Incarnation)
	}
	renewed := k.incarnation[name] != 0 && r.Target.Incarnation > k.incarnation[name]
	if renewed || r.Outcome == TargetUpdated && r.Target.Phase == fleet.Unknown {
		k.unread[name] = true
		delete(k.open, name)
	}
	k.incarnation[name] = r.Target.Incarnation
}

// checkPlaced checks that an order is opened only on a target whose state is
// known and that has no other open order.
func (w *world) checkPlaced(c PlaceOrder, r OrderResult) {
	if r.Outcome != OrderPlaced {
		return
	}
	k := &w.checks
	k.content(w, r.Order)
	if n, ok := k.open[c.Target]; ok {
		if n != r.Order.Number {
			w.failf("target %s has the open orders %s and %s", c.Target, n, r.Order.Number)
		}
		return
	}
	k.open[c.Target] = r.Order.Number
	if k.unread[c.Target] {
		w.failf("target %s gets order %s before it is read", c.Target, r.Order.Number)
	}
	for _, a := range w.agents {
		t := w.m.targets[c.Target]
		if a.name == c.Target && (a.engine.role != t.Target.Role || a.engine.loaded != t.Loaded) {
			w.failf("target %s gets order %s while its state is %v %v, not %v %v", c.Target, r.Order.Number,
				a.engine.role, a.engine.loaded, t.Target.Role, t.Loaded)
		}
	}
}

// checkChange checks that one change wins per base and that an id keeps its
// answer.
func (w *world) checkChange(c Change, r ChangeResult) {
	k := &w.checks
	if a, ok := c.Action.(SetRole); ok { // the deadline is reckoned from the time of the change
		a.Until = start.Add(a.Until.Sub(c.Time))
		c.Action = a
	}
	if a, ok := c.Action.(EditDocument); ok { // the digest names the document, whatever the edit was made from
		if r.Outcome == ChangeMismatch {
			return // not an answer: the id stays free
		}
		d, err := w.m.config.Document().Digest()
		if first := r.Outcome == ChangeAccepted && w.m.config.Revision == r.Revision; first && (err != nil || d != a.Digest) {
			w.failf("change %s made another document than its digest says", c.ID)
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
	same := fmt.Sprintf("%+v", c)
	if first, ok := k.answers[same]; ok {
		if !reflect.DeepEqual(first, r) {
			w.failf("change %s is answered %+v, then %+v", c.ID, first, r)
		}
		return
	}
	k.answers[same] = r
	if r.Outcome != ChangeAccepted {
		if r.Outcome == ChangeConflict && (r.Winner.ID == "" || r.Winner.Revision <= c.Base) {
			w.failf("change %s with base %d lost to %+v", c.ID, c.Base, r.Winner)
		}
		return
	}
	k.counts.changes++
	if first, ok := k.bases[c.Base]; ok || c.Base < k.revision {
		w.failf("changes %q and %s are accepted on base %d", first, c.ID, c.Base)
	}
	k.bases[c.Base], k.revision = c.ID, r.Revision
}
