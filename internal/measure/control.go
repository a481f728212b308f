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
	splitInterval   = time.Second
	planInterval    = 5 * time.Second
	optimalInterval = 5 * time.Second
	startDelay      = 2 * time.Minute
	drainPoll       = 50 * time.Millisecond
	greedyRatio     = 1.2 // load per engine of one phase relative to the other above which greedy changes a role
	demandWeight    = 0.5 // weight of the last interval in the moving average of demand
)

// control models the control leader, which splits capacity among entries and
// orders role changes, starts and releases of engines.
type control struct {
	sim          *simulation
	planner      *plan.Planner
	demand       map[*entry]map[int]float64
	rates        map[rateKey]*plan.Rate
	grantedShare map[fleet.Customer]float64 // fraction of a customer's demand covered by its fair share
}

type rateKey struct {
	site  int
	class fleet.Class
}

func newControl(sim *simulation) *control {
	c := &control{sim: sim, demand: make(map[*entry]map[int]float64), rates: make(map[rateKey]*plan.Rate), grantedShare: make(map[fleet.Customer]float64)}
	prefill, decode := nominalSpeeds(fleet.Prefill)
	c.planner = plan.New(plan.Options{
		Windows: sim.windows(), PrefillSpeed: prefill, DecodeSpeed: decode,
		Budget: config.Budget{
			HourlyCap: float64(sim.size.totalEngines()), PricePerHour: map[string]float64{enginePool: 1},
			StartDelay: startDelay, RoleChangeDelay: roleChangeTime,
		},
	})
	for _, n := range sim.entries {
		c.demand[n] = make(map[int]float64)
	}
	return c
}

func (c *control) start() {
	c.sim.clock.every(splitInterval, c.splitCapacity)
	switch c.sim.policy.roles {
	case rolesPlanned:
		c.sim.clock.every(planInterval, c.applyPlan)
	case rolesGreedy:
		c.sim.clock.every(planInterval, c.switchGreedily)
	case rolesOptimal:
		c.sim.clock.every(optimalInterval, c.setOptimalRoles)
	}
}

// splitCapacity assigns each entry its part of the capacity of available engines.
func (c *control) splitCapacity() {
	var engines, prefilling, slots float64
	for _, e := range c.sim.engines {
		if e.dead || e.unavailable || e.target.Kind != fleet.Engine {
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
	for _, n := range c.sim.entries {
		if n.dead {
			continue
		}
		for id := range c.sim.size.customers {
			d := c.demand[n]
			d[id] += demandWeight * (n.demand[id]/splitInterval.Seconds() - d[id])
			n.demand[id] = 0
			// The minimum gives an idle entry enough capacity for its first requests.
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
		c.grantedShare[name] = grants[name] / d
	}
	for _, n := range c.sim.entries {
		part := shares[n.host] / engines
		n.stepQueue(admit.Capacity{
			PrefillCost: promptCost, DecodeCost: outputCost,
			Targets: engines * part, PrefillTargets: prefilling * part, Slots: slots * part,
		})
	}
}

// recordOffered adds a request to the demand that the planner sees.
func (c *control) recordOffered(r *request, site int) {
	k := rateKey{site, r.class}
	x := c.rates[k]
	if x == nil {
		x = &plan.Rate{Pool: enginePool, DataCentre: dataCentre(site), Class: r.class}
		c.rates[k] = x
	}
	part := 1.0
	if g, ok := c.grantedShare[customer(r.customer)]; ok {
		part = g
	}
	x.Requests += part / planInterval.Seconds()
	x.Prefill += part * r.promptTokens / planInterval.Seconds()
	x.Decode += part * c.sim.meanOutput / planInterval.Seconds()
}

// takeDemand returns the demand since the last call and resets it. The counts of the
// cache hit ratio decay by a tenth per call instead.
func (c *control) takeDemand() plan.Demand {
	var d plan.Demand
	promptTokens, cachedTokens := 1.0, 0.0
	for _, e := range c.sim.engines {
		promptTokens += e.promptTokens
		cachedTokens += e.cachedTokens
		e.promptTokens, e.cachedTokens = e.promptTokens*0.9, e.cachedTokens*0.9
	}
	for site := range c.sim.size.engines {
		for class := fleet.Patient; class <= fleet.Urgent; class++ {
			if x := c.rates[rateKey{site, class}]; x != nil {
				x.Prefill *= 1 - cachedTokens/promptTokens
				d.Rates = append(d.Rates, *x)
				x.Requests, x.Prefill, x.Decode = 0, 0, 0
			}
		}
	}
	for _, e := range c.sim.engines {
		if e.dead || e.target.Kind != fleet.Engine {
			continue
		}
		p, o := e.backlog()
		d.Engines = append(d.Engines, plan.Engine{
			Name: e.target.Name, Pool: enginePool, DataCentre: e.target.DataCentre, Role: e.target.Role,
			Ready: !e.unavailable, Load: p*promptCost + o*outputCost,
		})
		if s, ok := e.takeSpeed(); ok {
			d.Speeds = append(d.Speeds, s)
		}
	}
	return d
}

// takeSpeed returns the measured speed since the last call, and false if the engine
// was not saturated, was busy for less than 80 % of the interval, or is mixed.
func (e *engine) takeSpeed() (plan.Speed, bool) {
	busy, p, o, full := e.busyTime.Seconds(), e.prefilled, e.decoded, e.saturated
	e.busyTime, e.prefilled, e.decoded, e.saturated = 0, 0, 0, false
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

func (c *control) applyPlan() {
	for _, a := range c.planner.Step(c.sim.clock.time(), c.takeDemand()) {
		switch a.Kind {
		case plan.ChangeRole:
			c.sim.changeRole(c.sim.engines[c.sim.byName[a.Target]], a.Role)
		case plan.OrderTarget:
			site := 0
			for dataCentre(site) != a.DataCentre {
				site++
			}
			// A target costs from the time of its order.
			ordered := c.sim.clock.now
			c.sim.clock.after(startDelay, func() {
				c.sim.addEngine(site, a.Role)
				c.sim.engines[len(c.sim.engines)-1].paidFrom = ordered
				c.sim.configure()
			})
		case plan.ReleaseTarget:
			e := c.sim.engines[c.sim.byName[a.Target]]
			c.sim.drain(e, e.kill)
		}
	}
}

// changeRole drains an engine and then changes its role.
func (sim *simulation) changeRole(e *engine, r fleet.Role) {
	sim.result.roleChanges++
	sim.drain(e, func() {
		sim.clock.after(roleChangeTime, func() {
			e.target.Role = r
			e.promptSpeed, _ = nominalSpeeds(r)
			e.unavailable = false
			sim.configure()
		})
	})
}

// drain takes an engine out of routing and calls done when it is idle.
func (sim *simulation) drain(e *engine, done func()) {
	e.unavailable = true
	sim.configure()
	var pollIdle func()
	pollIdle = func() {
		if e.dead {
			return
		}
		if e.idle() {
			done()
			return
		}
		sim.clock.after(drainPoll, pollIdle)
	}
	sim.clock.after(2*configurationDelay, pollIdle)
}

// switchGreedily changes the role of one engine per data centre when the load per
// engine of one phase exceeds that of the other by greedyRatio.
func (c *control) switchGreedily() {
	d := c.takeDemand()
	for site := range c.sim.size.engines {
		var p, o float64
		for _, r := range d.Rates {
			if r.DataCentre == dataCentre(site) {
				p += r.Prefill
				o += r.Decode
			}
		}
		var byRole [3][]*engine
		changing := false
		for _, e := range c.sim.engines {
			if e.site == site && !e.dead && e.target.Kind == fleet.Engine {
				byRole[e.target.Role] = append(byRole[e.target.Role], e)
				changing = changing || e.unavailable
			}
		}
		vp, vd := nominalSpeeds(fleet.Prefill)
		np, nd := float64(len(byRole[fleet.Prefill])), float64(len(byRole[fleet.Decode]))
		switch {
		case changing || np == 0 || nd == 0:
		case p/vp/np > greedyRatio*o/vd/nd && nd > 1:
			c.sim.changeRole(byRole[fleet.Decode][0], fleet.Prefill)
		case o/vd/nd > greedyRatio*p/vp/np && np > 1:
			c.sim.changeRole(byRole[fleet.Prefill][0], fleet.Decode)
		}
	}
}

// setOptimalRoles sets the roles in each data centre that are optimal for the true
// request mix of the moment, without delay or cost.
func (c *control) setOptimalRoles() {
	mix := 0.0
	if c.sim.scenario.swing {
		mix = 0.5 * math.Sin(2*math.Pi*(c.sim.clock.now+optimalInterval/2).Seconds()/swingPeriod.Seconds())
	}
	vp, vd := nominalSpeeds(fleet.Prefill)
	cached := sharedShare * prefixBlocks * blockTokens * 0.9
	one := plan.Rate{
		Requests: c.sim.scenario.load * engineRate,
		Prefill:  c.sim.scenario.load * engineRate * (promptFloor + promptMean*(1+mix) - cached),
		Decode:   c.sim.scenario.load * engineRate * (outputFloor + outputMean*(1-mix)),
	}
	for site := range c.sim.size.engines {
		var engines []*engine
		for _, e := range c.sim.engines {
			if e.site == site && !e.dead && e.target.Kind == fleet.Engine {
				engines = append(engines, e)
			}
		}
		k := float64(len(engines))
		best := plan.OptimalRoles(len(engines), plan.Rate{Requests: one.Requests * k, Prefill: one.Prefill * k, Decode: one.Decode * k}, 0.5, plan.Options{PrefillSpeed: vp, DecodeSpeed: vd})
		np, nd := best[fleet.Prefill], best[fleet.Decode]
		for i, e := range engines {
			e.target.Role = fleet.Mixed
			if i < np {
				e.target.Role = fleet.Prefill
			} else if i < np+nd {
				e.target.Role = fleet.Decode
			}
		}
	}
	c.sim.configure()
}
