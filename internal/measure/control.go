package measure

import (
	"math"
	"time"

	"papayarock/core/admit"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
)

const (
	shareInterval   = time.Second
	planInterval    = 5 * time.Second
	perfectInterval = 5 * time.Second
	startDelay      = 2 * time.Minute
	drainPoll       = 50 * time.Millisecond
	greedyRatio     = 1.2 // load per engine of one phase over the other, at which greedy switches
	demandWeight    = 0.5 // of the last second in the demand that shares follow
)

// control is the leader: it divides capacity and gives orders.
type control struct {
	w       *world
	planner *plan.Planner
	demand  map[*entry]map[int]float64
	rates   map[rateKey]*plan.Rate
	granted map[fleet.Customer]float64 // share of its demand that a customer is entitled to
}

type rateKey struct {
	site  int
	class fleet.Class
}

func newControl(w *world) *control {
	c := &control{w: w, demand: make(map[*entry]map[int]float64), rates: make(map[rateKey]*plan.Rate), granted: make(map[fleet.Customer]float64)}
	prefill, decode := nominal(fleet.Prefill)
	c.planner = plan.New(plan.Options{
		Windows: w.windows(), PrefillSpeed: prefill, DecodeSpeed: decode,
		Budget: config.Budget{
			HourlyCap: float64(w.size.total()), PricePerHour: map[string]float64{enginePool: 1},
			StartDelay: startDelay, RoleChangeDelay: roleChangeTime,
		},
	})
	for _, n := range w.entries {
		c.demand[n] = make(map[int]float64)
	}
	return c
}

func (c *control) run() {
	c.w.clock.every(shareInterval, c.share)
	switch c.w.policy.roles {
	case rolesPlanned:
		c.w.clock.every(planInterval, c.plan)
	case rolesGreedy:
		c.w.clock.every(planInterval, c.greedy)
	case rolesPerfect:
		c.w.clock.every(perfectInterval, c.perfect)
	}
}

// share gives every entry its part of the ready engines.
func (c *control) share() {
	var engines, prefilling, slots float64
	for _, e := range c.w.engines {
		if e.dead || e.away || e.target.Kind != fleet.Engine {
			continue
		}
		engines++
		if e.target.Role != fleet.Decode {
			prefilling++
		}
		if e.target.Role != fleet.Prefill {
			slots += engineSlots
		}
	}
	var wants []admit.CustomerDemand
	for _, n := range c.w.entries {
		if n.dead {
			continue
		}
		for id := range c.w.size.customers {
			d := c.demand[n]
			d[id] += demandWeight * (n.demand[id]/shareInterval.Seconds() - d[id])
			n.demand[id] = 0
			// A minimum keeps an idle entry able to begin.
			wants = append(wants, admit.CustomerDemand{Entry: n.host, Customer: customer(id), Weight: weight(id), Demand: d[id] + 1e-3})
		}
	}
	shares := admit.SplitCapacity(engines, wants)
	grants := admit.FairShares(engines, wants)
	total := make(map[fleet.Customer]float64)
	for _, x := range wants {
		total[x.Customer] += x.Demand
	}
	for name, d := range total {
		c.granted[name] = grants[name] / d
	}
	for _, n := range c.w.entries {
		part := shares[n.host] / engines
		n.step(admit.Capacity{
			PrefillCost: promptPrice, DecodeCost: outputPrice,
			Targets: engines * part, PrefillTargets: prefilling * part, Slots: slots * part,
		})
	}
}

// offered counts a request for the planner.
func (c *control) offered(r *request, site int) {
	k := rateKey{site, r.class}
	x := c.rates[k]
	if x == nil {
		x = &plan.Rate{Pool: enginePool, DataCentre: dataCentre(site), Class: r.class}
		c.rates[k] = x
	}
	part := 1.0
	if g, ok := c.granted[customer(r.customer)]; ok {
		part = g
	}
	x.Requests += part / planInterval.Seconds()
	x.Prefill += part * r.prompt / planInterval.Seconds()
	x.Decode += part * c.w.outputs / planInterval.Seconds()
}

// measured returns the demand since the last call.
func (c *control) measured() plan.Demand {
	var d plan.Demand
	asked, saved := 1.0, 0.0
	for _, e := range c.w.engines {
		asked += e.asked
		saved += e.saved
		e.asked, e.saved = e.asked*0.9, e.saved*0.9
	}
	for site := range c.w.size.engines {
		for class := fleet.Patient; class <= fleet.Urgent; class++ {
			if x := c.rates[rateKey{site, class}]; x != nil {
				x.Prefill *= 1 - saved/asked
				d.Rates = append(d.Rates, *x)
				x.Requests, x.Prefill, x.Decode = 0, 0, 0
			}
		}
	}
	for _, e := range c.w.engines {
		if e.dead || e.target.Kind != fleet.Engine {
			continue
		}
		p, o := e.backlog()
		d.Engines = append(d.Engines, plan.Engine{
			Name: e.target.Name, Pool: enginePool, DataCentre: e.target.DataCentre, Role: e.target.Role,
			Ready: !e.away, Load: p*promptPrice + o*outputPrice,
		})
		if s, ok := e.speed(); ok {
			d.Speeds = append(d.Speeds, s)
		}
	}
	return d
}

// speed reports what the engine achieved if its batches were full.
func (e *engine) speed() (plan.Speed, bool) {
	busy, p, o, full := e.worked.Seconds(), e.prefilled, e.made, e.full
	e.worked, e.prefilled, e.made, e.full = 0, 0, 0, false
	if !full || busy < 0.8*planInterval.Seconds() || e.target.Role == fleet.Mixed {
		return plan.Speed{}, false
	}
	s := plan.Speed{Pool: enginePool, Role: e.target.Role}
	if s.Role == fleet.Prefill {
		s.Prefill = p / busy
	} else {
		s.Decode = o / busy
	}
	return s, true
}

func (c *control) plan() {
	for _, a := range c.planner.Step(c.w.clock.time(), c.measured()) {
		switch a.Kind {
		case plan.ChangeRole:
			c.w.changeRole(c.w.engines[c.w.byName[a.Target]], a.Role)
		case plan.OrderTarget:
			site := 0
			for dataCentre(site) != a.DataCentre {
				site++
			}
			// A started target is paid for from the order on.
			ordered := c.w.clock.now
			c.w.clock.in(startDelay, func() {
				c.w.addEngine(site, a.Role)
				c.w.engines[len(c.w.engines)-1].since = ordered
				c.w.configure()
			})
		case plan.ReleaseTarget:
			e := c.w.engines[c.w.byName[a.Target]]
			c.w.drain(e, e.kill)
		}
	}
}

// changeRole drains an engine and gives it a role.
func (w *world) changeRole(e *engine, r fleet.Role) {
	w.res.changes++
	w.drain(e, func() {
		w.clock.in(roleChangeTime, func() {
			e.target.Role = r
			e.promptSpeed, _ = nominal(r)
			e.away = false
			w.configure()
		})
	})
}

// drain calls done when the engine has ended what it had.
func (w *world) drain(e *engine, done func()) {
	e.away = true
	w.configure()
	var poll func()
	poll = func() {
		if e.dead {
			return
		}
		if e.empty() {
			done()
			return
		}
		w.clock.in(drainPoll, poll)
	}
	w.clock.in(2*configDelay, poll)
}

// greedy switches one engine per data centre when one phase is busier than the
// other by a threshold.
func (c *control) greedy() {
	d := c.measured()
	for site := range c.w.size.engines {
		var p, o float64
		for _, r := range d.Rates {
			if r.DataCentre == dataCentre(site) {
				p += r.Prefill
				o += r.Decode
			}
		}
		var by [3][]*engine
		away := false
		for _, e := range c.w.engines {
			if e.site == site && !e.dead && e.target.Kind == fleet.Engine {
				by[e.target.Role] = append(by[e.target.Role], e)
				away = away || e.away
			}
		}
		vp, vd := nominal(fleet.Prefill)
		np, nd := float64(len(by[fleet.Prefill])), float64(len(by[fleet.Decode]))
		switch {
		case away || np == 0 || nd == 0:
		case p/vp/np > greedyRatio*o/vd/nd && nd > 1:
			c.w.changeRole(by[fleet.Decode][0], fleet.Prefill)
		case o/vd/nd > greedyRatio*p/vp/np && np > 1:
			c.w.changeRole(by[fleet.Prefill][0], fleet.Decode)
		}
	}
}

// perfect gives each data centre the best split for the true mix of now.
func (c *control) perfect() {
	mix := 0.0
	if c.w.scenario.swing {
		mix = 0.5 * math.Sin(2*math.Pi*(c.w.clock.now+perfectInterval/2).Seconds()/swingPeriod.Seconds())
	}
	vp, vd := nominal(fleet.Prefill)
	cached := sharedShare * prefixBlocks * blockTokens * 0.9
	one := plan.Rate{
		Requests: c.w.scenario.load * engineRate,
		Prefill:  c.w.scenario.load * engineRate * (promptFloor + promptMean*(1+mix) - cached),
		Decode:   c.w.scenario.load * engineRate * (outputFloor + outputMean*(1-mix)),
	}
	for site := range c.w.size.engines {
		var l []*engine
		for _, e := range c.w.engines {
			if e.site == site && !e.dead && e.target.Kind == fleet.Engine {
				l = append(l, e)
			}
		}
		k := float64(len(l))
		best := plan.OptimalRoles(len(l), plan.Rate{Requests: one.Requests * k, Prefill: one.Prefill * k, Decode: one.Decode * k}, 0.5, plan.Options{PrefillSpeed: vp, DecodeSpeed: vd})
		np, nd := best[fleet.Prefill], best[fleet.Decode]
		for i, e := range l {
			e.target.Role = fleet.Mixed
			if i < np {
				e.target.Role = fleet.Prefill
			} else if i < np+nd {
				e.target.Role = fleet.Decode
			}
		}
	}
	c.w.configure()
}
