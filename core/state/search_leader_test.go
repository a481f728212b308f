package state

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
)

// lead lets the present leader decide on something; others only carry out what
// they decided while they led.
func (w *world) lead(l *leader) {
	if l.gate.Term != w.term || l.gate.Term == 0 {
		return
	}
	switch w.IntN(6) {
	case 0:
		w.planStart(l)
	case 1:
		w.planReport(l)
	default:
		w.tend(l, w.agents[w.IntN(len(w.agents))])
	}
}

// tend moves one target on: places, resends or gives up an order, or reads.
func (w *world) tend(l *leader, a *agent) {
	r := w.m.targets[a.name]
	if r == nil {
		return
	}
	i := r.Target.Incarnation
	switch {
	case r.Open != nil && w.chance(25):
		w.propose(w.term, AbandonOrder{Term: w.term, Number: r.Open.Number, Target: a.name, Time: w.now}, nil)
	case r.Open != nil:
		w.planOrder(l, a, *r.Open)
	case r.Unread:
		n := r.Read
		l.todo = append(l.todo, func() { w.act(l, func() { a.read(i, n) }) })
	case r.Target.Phase == fleet.Ready && w.chance(50), w.chance(25):
		c := Adapt{Term: w.term, Target: a.name, Incarnation: i, Kind: AdaptKind(w.IntN(8) / 7), Role: fleet.Role(w.IntN(3)), Until: w.now.Add(10 * time.Second), Time: w.now}
		w.propose(w.term, c, nil)
	case w.chance(30):
		p := []fleet.Phase{fleet.Ready, fleet.Draining, fleet.Lost, fleet.Unknown}[w.IntN(4)]
		w.propose(w.term, TargetPhase{Target: a.name, Incarnation: i, Phase: p, Until: w.now.Add(10 * time.Second), Time: w.now}, nil)
	default:
		c := PlaceOrder{Term: w.term, Target: a.name, Incarnation: i, Deadline: w.now.Add(time.Second), Time: w.now}
		c.Kind = OrderKind(w.IntN(2))
		c.Content = Content{Model: fmt.Sprint("m", w.IntN(4)), Role: fleet.Role(w.IntN(3))}
		w.propose(w.term, c, func(res Result) {
			if o := res.(OrderResult); o.Outcome == OrderPlaced {
				w.planOrder(l, a, o.Order)
			}
		})
	}
}

func (w *world) planOrder(l *leader, a *agent, o Order) {
	if w.v.alter && w.chance(20) {
		o.Content.Model += "x"
	}
	l.todo = append(l.todo, func() { w.act(l, func() { a.offer(o) }) })
}

// planStart proposes a start under one of a few ids, again and again, and
// sends the open ones to the platform.
func (w *world) planStart(l *leader) {
	c := PlacePlatformOrder{ID: fmt.Sprint("plan-", w.IntN(3)), Term: w.term, DataCentre: "dc", Pool: "p", Deadline: w.now.Add(time.Minute), Time: w.now}
	w.propose(w.term, c, nil)
	for _, o := range w.m.OpenPlatform() {
		l.todo = append(l.todo, func() { w.act(l, func() { w.start(o) }) })
	}
}

// start is the platform: the same number starts one target.
func (w *world) start(o PlatformOrder) {
	w.checks.started(w, o)
	w.forward(AcknowledgePlatform{Number: o.Number, Done: true, Time: w.now}, nil)
}

func (w *world) planReport(l *leader) {
	number, _ := w.m.OpenWindow()
	if w.v.reportOpen {
		open := w.m.usage.open()
		l.todo = append(l.todo, func() { w.act(l, func() { w.usage.report(open) }) })
	}
	w.propose(w.term, SealUsage{Window: number, Until: w.now}, nil)
	for _, u := range w.m.Unreported() {
		l.todo = append(l.todo, func() { w.act(l, func() { w.usage.report(u) }) })
	}
}

// engine outlives the agent beside it.
type backEnd struct {
	running *Order
	last    fleet.OrderNumber // of the last effect or read
	role    fleet.Role
	loaded  Content
}

// agent stands beside one engine.
type agent struct {
	w           *world
	name        fleet.TargetName
	incarnation fleet.Incarnation
	fence       authority.Fence[orderContent, bool]
	engine      backEnd
}

type orderContent struct {
	kind    OrderKind
	content Content
}

func newAgent(w *world, name fleet.TargetName) *agent {
	a := &agent{w: w, name: name}
	a.restart()
	return a
}

// restart draws a new incarnation. A change that the engine had begun is
// either carried out or not; nobody learns which.
func (a *agent) restart() {
	a.incarnation++
	a.fence = authority.Fence[orderContent, bool]{Incarnation: a.incarnation}
	if a.engine.running != nil && a.w.chance(50) {
		a.effect(*a.engine.running)
	}
	a.engine.running = nil
	a.announce()
}

func (a *agent) announce() {
	t := fleet.Target{Name: a.name, Incarnation: a.incarnation, Kind: fleet.Engine, Role: a.engine.role}
	a.w.forward(Announce{Target: t, Until: a.w.now.Add(5 * time.Second), Time: a.w.now}, nil)
}

func (a *agent) step() {
	switch {
	case a.w.chance(8):
		a.restart()
	case a.engine.running != nil && a.w.chance(85):
		a.finish()
	default:
		a.announce()
	}
}

// offer is the arrival of an order.
func (a *agent) offer(o Order) {
	a.w.checks.content(a.w, o)
	if a.w.v.anyIncarnation {
		o.Incarnation = a.incarnation
	}
	if a.w.v.forgetFence {
		a.fence = authority.Fence[orderContent, bool]{Incarnation: a.incarnation}
	}
	v, kept := a.fence.Offer(o.Incarnation, o.Number, orderContent{o.Kind, o.Content})
	if v == authority.Busy && a.w.v.ignoreBusy {
		v = authority.Begin
	}
	switch v {
	case authority.Begin:
		if a.engine.running != nil {
			a.w.failf("target %s carries out %s and %s at once", a.name, a.engine.running.Number, o.Number)
		}
		a.engine.running = &o
	case authority.Kept:
		a.acknowledge(o, kept)
	}
}

func (a *agent) finish() {
	o := *a.engine.running
	a.engine.running = nil
	done := a.w.chance(90) // otherwise refused by the engine without effect
	if done {
		a.effect(o)
	}
	a.fence.Finish(o.Number, done)
	a.acknowledge(o, done)
}

func (a *agent) acknowledge(o Order, done bool) {
	a.w.forward(AcknowledgeOrder{Number: o.Number, Target: a.name, Incarnation: a.incarnation, Done: done, Time: a.w.now}, nil)
}

// effect changes the engine.
func (a *agent) effect(o Order) {
	a.w.checks.counts.effects++
	a.w.checks.content(a.w, o)
	if o.Number.Compare(a.engine.last) <= 0 {
		a.w.failf("target %s: order %s has effect after %s", a.name, o.Number, a.engine.last)
	}
	a.engine.last = o.Number
	if o.Kind == OrderRole {
		a.engine.role = o.Content.Role
	} else {
		a.engine.loaded = o.Content
	}
}

// read reports the actual state under a read number.
func (a *agent) read(i fleet.Incarnation, n fleet.OrderNumber) {
	if a.w.v.readUnfenced {
		if i != a.incarnation || a.engine.running != nil {
			return
		}
	} else if v := a.fence.Read(i, n); v != authority.Begin && (v != authority.Busy || !a.w.v.ignoreBusy) {
		return
	}
	if n.Compare(a.engine.last) > 0 {
		a.engine.last = n
	}
	a.w.checks.counts.reads++
	a.w.forward(Observed{
		Target: a.name, Incarnation: i, Number: n, Role: a.engine.role, Loaded: a.engine.loaded,
		Until: a.w.now.Add(5 * time.Second), Time: a.w.now,
	}, nil)
}
