package state

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/fleet"
)

// leaderStep lets the current leader make a decision. Former leaders only carry
// out what they decided while they led.
func (sim *simulation) leaderStep(l *leader) {
	if l.gate.Term != sim.term || l.gate.Term == 0 {
		return
	}
	switch sim.IntN(6) {
	case 0:
		sim.proposeStart(l)
	case 1:
		sim.proposeReport(l)
	default:
		sim.manageTarget(l, sim.agents[sim.IntN(len(sim.agents))])
	}
}

// manageTarget takes one action on a target: it places, resends or abandons an
// order, requests a read, or changes the phase.
func (sim *simulation) manageTarget(l *leader, a *agent) {
	r := sim.m.targets[a.name]
	if r == nil {
		return
	}
	i := r.Target.Incarnation
	switch {
	case r.Open != nil && sim.chance(25):
		sim.propose(sim.term, AbandonOrder{Term: sim.term, Number: r.Open.Number, Target: a.name, Time: sim.now}, nil)
	case r.Open != nil:
		sim.queueOrder(l, a, *r.Open)
	case r.ReadRequired:
		n := r.ReadNumber
		l.pending = append(l.pending, func() { sim.act(l, func() { a.read(i, n) }) })
	case r.Target.Phase == fleet.Ready && sim.chance(50), sim.chance(25):
		c := Adapt{Term: sim.term, Target: a.name, Incarnation: i, Kind: AdaptKind(sim.IntN(8) / 7), Role: fleet.Role(sim.IntN(3)), Until: sim.now.Add(10 * time.Second), Time: sim.now}
		sim.propose(sim.term, c, nil)
	case sim.chance(30):
		p := []fleet.Phase{fleet.Ready, fleet.Draining, fleet.Lost, fleet.Unknown}[sim.IntN(4)]
		sim.propose(sim.term, TargetPhase{Target: a.name, Incarnation: i, Phase: p, Until: sim.now.Add(10 * time.Second), Time: sim.now}, nil)
	default:
		c := PlaceOrder{Term: sim.term, Target: a.name, Incarnation: i, Deadline: sim.now.Add(time.Second), Time: sim.now}
		c.Kind = OrderKind(sim.IntN(2))
		c.Content = OrderContent{Model: fmt.Sprint("m", sim.IntN(4)), Role: fleet.Role(sim.IntN(3))}
		sim.propose(sim.term, c, func(res Result) {
			if o := res.(OrderResult); o.Outcome == OrderPlaced {
				sim.queueOrder(l, a, o.Order)
			}
		})
	}
}

func (sim *simulation) queueOrder(l *leader, a *agent, o Order) {
	if sim.variant.alterContent && sim.chance(20) {
		o.Content.Model += "x"
	}
	l.pending = append(l.pending, func() { sim.act(l, func() { a.offer(o) }) })
}

// proposeStart proposes a start under one of a few ids, so that ids repeat, and
// sends the open orders to the platform.
func (sim *simulation) proposeStart(l *leader) {
	c := PlacePlatformOrder{ID: fmt.Sprint("plan-", sim.IntN(3)), Term: sim.term, DataCentre: "dc", Pool: "p", Deadline: sim.now.Add(time.Minute), Time: sim.now}
	sim.propose(sim.term, c, nil)
	for _, o := range sim.m.OpenPlatformOrders() {
		l.pending = append(l.pending, func() { sim.act(l, func() { sim.start(o) }) })
	}
}

// start simulates the platform, which starts one target per number.
func (sim *simulation) start(o PlatformOrder) {
	sim.checks.checkStart(sim, o)
	sim.forward(AcknowledgePlatform{Number: o.Number, Done: true, Time: sim.now}, nil)
}

func (sim *simulation) proposeReport(l *leader) {
	number, _ := sim.m.OpenWindow()
	if sim.variant.reportOpen {
		open := sim.m.usage.open()
		l.pending = append(l.pending, func() { sim.act(l, func() { sim.usage.report(open) }) })
	}
	sim.propose(sim.term, SealUsage{Window: number, Until: sim.now}, nil)
	for _, u := range sim.m.UnacknowledgedWindows() {
		l.pending = append(l.pending, func() { sim.act(l, func() { sim.usage.report(u) }) })
	}
}

// engineState is the state of an engine. It survives restarts of the agent.
type engineState struct {
	running *Order
	last    fleet.OrderNumber // number of the last effect or read
	role    fleet.Role
	loaded  OrderContent
}

// agent simulates the agent of one engine.
type agent struct {
	sim         *simulation
	name        fleet.TargetName
	incarnation fleet.Incarnation
	fence       authority.Fence[orderContent, bool]
	engine      engineState
}

type orderContent struct {
	kind    OrderKind
	content OrderContent
}

func newAgent(sim *simulation, name fleet.TargetName) *agent {
	a := &agent{sim: sim, name: name}
	a.restart()
	return a
}

// restart starts a new incarnation. A change that the engine had begun may or
// may not take effect, and its result is lost.
func (a *agent) restart() {
	a.incarnation++
	a.fence = authority.Fence[orderContent, bool]{Incarnation: a.incarnation}
	if a.engine.running != nil && a.sim.chance(50) {
		a.effect(*a.engine.running)
	}
	a.engine.running = nil
	a.announce()
}

func (a *agent) announce() {
	t := fleet.Target{Name: a.name, Incarnation: a.incarnation, Kind: fleet.Engine, Role: a.engine.role}
	a.sim.forward(Announce{Target: t, Until: a.sim.now.Add(5 * time.Second), Time: a.sim.now}, nil)
}

func (a *agent) step() {
	switch {
	case a.sim.chance(8):
		a.restart()
	case a.engine.running != nil && a.sim.chance(85):
		a.finish()
	default:
		a.announce()
	}
}

// offer delivers an order to the agent.
func (a *agent) offer(o Order) {
	a.sim.checks.checkContent(a.sim, o)
	if a.sim.variant.anyIncarnation {
		o.Incarnation = a.incarnation
	}
	if a.sim.variant.resetFence {
		a.fence = authority.Fence[orderContent, bool]{Incarnation: a.incarnation}
	}
	v, kept := a.fence.Admit(o.Incarnation, o.Number, orderContent{o.Kind, o.Content})
	if v == authority.Busy && a.sim.variant.ignoreBusy {
		v = authority.Begin
	}
	switch v {
	case authority.Begin:
		if a.engine.running != nil {
			a.sim.failf("target %s carries out %s and %s at once", a.name, a.engine.running.Number, o.Number)
		}
		a.engine.running = &o
	case authority.Completed:
		a.acknowledge(o, kept)
	}
}

func (a *agent) finish() {
	o := *a.engine.running
	a.engine.running = nil
	done := a.sim.chance(90) // otherwise refused by the engine without effect
	if done {
		a.effect(o)
	}
	a.fence.Finish(o.Number, done)
	a.acknowledge(o, done)
}

func (a *agent) acknowledge(o Order, done bool) {
	a.sim.forward(AcknowledgeOrder{Number: o.Number, Target: a.name, Incarnation: a.incarnation, Done: done, Time: a.sim.now}, nil)
}

// effect applies an order to the engine.
func (a *agent) effect(o Order) {
	a.sim.checks.counts.effects++
	a.sim.checks.checkContent(a.sim, o)
	if o.Number.Compare(a.engine.last) <= 0 {
		a.sim.failf("target %s: order %s has effect after %s", a.name, o.Number, a.engine.last)
	}
	a.engine.last = o.Number
	if o.Kind == OrderRole {
		a.engine.role = o.Content.Role
	} else {
		a.engine.loaded = o.Content
	}
}

// read reports the actual state in response to a read with number n.
func (a *agent) read(i fleet.Incarnation, n fleet.OrderNumber) {
	if a.sim.variant.readUnfenced {
		if i != a.incarnation || a.engine.running != nil {
			return
		}
	} else if v := a.fence.AdmitRead(i, n); v != authority.Begin && (v != authority.Busy || !a.sim.variant.ignoreBusy) {
		return
	}
	if n.Compare(a.engine.last) > 0 {
		a.engine.last = n
	}
	a.sim.checks.counts.reads++
	a.sim.forward(Observed{
		Target: a.name, Incarnation: i, Number: n, Role: a.engine.role, Loaded: a.engine.loaded,
		Until: a.sim.now.Add(5 * time.Second), Time: a.sim.now,
	}, nil)
}
