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
	splitInterval     = time.Second           // between two calls of splitCapacity
	planInterval      = 5 * time.Second       // between two calls of applyPlan or switchGreedily
	optimalInterval   = 5 * time.Second       // between two calls of setOptimalRoles
	startDelay        = 2 * time.Minute       // from the order of an engine until it serves requests
	drainPollInterval = 50 * time.Millisecond // between two checks whether a draining engine is idle
	greedyRatio       = 1.2                   // load per engine of one phase relative to the other above which greedy changes a role
	demandWeight      = 0.5                   // weight of the last interval in the moving average of demand
)

// control models the control leader, which splits capacity among entries and
// orders role changes, starts and releases of engines.
type control struct {
	sim          *simulation
	planner      *plan.Planner
	demand       map[*entry]map[int]float64 // moving average by customer, in engine seconds per second
	rates        map[rateKey]*plan.Rate     // demand since the last call of takeDemand
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

// start schedules the split of capacity and the role changes of the policy.
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

// splitCapacity assigns each entry its share of the capacity of available engines.
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
	var demands []admit.CustomerDemand
	for _, n := range c.sim.entries {
		if n.dead {
			continue
		}
		for id := range c.sim.size.customers {
			averages := c.demand[n]
			averages[id] += demandWeight * (n.demand[id]/splitInterval.Seconds() - averages[id])
			n.demand[id] = 0
			// The added 1e-3 gives an idle entry enough capacity for its first requests.
			demands = append(demands, admit.CustomerDemand{Entry: n.host, Customer: customer(id), Weight: weight(id), Demand: averages[id] + 1e-3})
		}
	}
	entryShares := admit.SplitCapacity(engines, demands)
	fairShares := admit.FairShares(engines, demands)
	total := make(map[fleet.Customer]float64)
	for _, d := range demands {
		total[d.Customer] += d.Demand
	}
	for name, d := range total {
		c.grantedShare[name] = fairShares[name] / d
	}
	for _, n := range c.sim.entries {
		share := entryShares[n.host] / engines
		n.stepQueue(admit.Capacity{
			PrefillCost: promptCost, DecodeCost: outputCost,
			Targets: engines * share, PrefillTargets: prefilling * share, Slots: slots * share,
		})
	}
}

// recordOffered adds a request to the demand that the planner sees. Of a customer
// above its fair share, the planner sees only the part that this share covers.
func (c *control) recordOffered(r *request, site int) {
	key := rateKey{site, r.class}
	rate := c.rates[key]
	if rate == nil {
		rate = &plan.Rate{Pool: enginePool, DataCentre: dataCentre(site), Class: r.class}
		c.rates[key] = rate
	}
	fraction := 1.0
	if share, ok := c.grantedShare[customer(r.customer)]; ok {
		fraction = share
	}
	rate.Requests += fraction / planInterval.Seconds()
	rate.Prefill += fraction * r.promptTokens / planInterval.Seconds()
	rate.Decode += fraction * c.sim.meanOutput / planInterval.Seconds()
}

// takeDemand returns the demand since the last call and resets it. The token counts
// behind the cache hit ratio are not reset but decay by a tenth per call.
func (c *control) takeDemand() plan.Demand {
	var d plan.Demand
	promptTokens, cachedTokens := 1.0, 0.0 // 1 avoids a division by zero
	for _, e := range c.sim.engines {
		promptTokens += e.promptTokens
		cachedTokens += e.cachedTokens
		e.promptTokens, e.cachedTokens = e.promptTokens*0.9, e.cachedTokens*0.9
	}
	for site := range c.sim.size.engines {
		for class := fleet.Patient; class <= fleet.Urgent; class++ {
			if rate := c.rates[rateKey{site, class}]; rate != nil {
				rate.Prefill *= 1 - cachedTokens/promptTokens
				d.Rates = append(d.Rates, *rate)
				rate.Requests, rate.Prefill, rate.Decode = 0, 0, 0
			}
		}
	}
	for _, e := range c.sim.engines {
		if e.dead || e.target.Kind != fleet.Engine {
			continue
		}
		prefill, decode := e.backlog()
		d.Engines = append(d.Engines, plan.Engine{
			Name: e.target.Name, Pool: enginePool, DataCentre: e.target.DataCentre, Role: e.target.Role,
			Ready: !e.unavailable, Load: prefill*promptCost + decode*outputCost,
		})
		if s, ok := e.takeSpeed(); ok {
			d.Speeds = append(d.Speeds, s)
		}
	}
	return d
}

// takeSpeed returns the tokens/s of the engine while it was busy since the last call.
// It returns false if the engine was not saturated, was busy for less than 80 % of
// planInterval, or is mixed.
func (e *engine) takeSpeed() (plan.Speed, bool) {
	busy, prefilled, decoded, saturated := e.busyTime.Seconds(), e.prefilled, e.decoded, e.saturated
	e.busyTime, e.prefilled, e.decoded, e.saturated = 0, 0, 0, false
	if !saturated || busy < 0.8*planInterval.Seconds() || e.target.Role == fleet.Mixed {
		return plan.Speed{}, false
	}
	s := plan.Speed{Pool: enginePool, Role: e.target.Role}
	if s.Role == fleet.Prefill {
		s.Prefill = prefilled / busy
	} else {
		s.Decode = decoded / busy
	}
	return s, true
}

// applyPlan runs the planner and carries out its actions.
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
			// An engine is paid for from its order on, before it starts.
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
		sim.clock.after(drainPollInterval, pollIdle)
	}
	// Entries send work to the engine until they have the new configuration.
	sim.clock.after(2*configurationDelay, pollIdle)
}

// switchGreedily changes the role of one engine per data centre when the load per
// engine of one phase exceeds that of the other by greedyRatio.
func (c *control) switchGreedily() {
	demand := c.takeDemand()
	for site := range c.sim.size.engines {
		var prefill, decode float64
		for _, r := range demand.Rates {
			if r.DataCentre == dataCentre(site) {
				prefill += r.Prefill
				decode += r.Decode
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
		prefillSpeed, decodeSpeed := nominalSpeeds(fleet.Prefill)
		prefillEngines, decodeEngines := float64(len(byRole[fleet.Prefill])), float64(len(byRole[fleet.Decode]))
		switch {
		case changing || prefillEngines == 0 || decodeEngines == 0:
		case prefill/prefillSpeed/prefillEngines > greedyRatio*decode/decodeSpeed/decodeEngines && decodeEngines > 1:
			c.sim.changeRole(byRole[fleet.Decode][0], fleet.Prefill)
		case decode/decodeSpeed/decodeEngines > greedyRatio*prefill/prefillSpeed/prefillEngines && prefillEngines > 1:
			c.sim.changeRole(byRole[fleet.Prefill][0], fleet.Decode)
		}
	}
}

// setOptimalRoles sets, without delay or cost, the roles in each data centre that are
// optimal for the true request mix in the middle of the next interval. It assumes
// that nine of ten blocks of a shared prefix are cached.
func (c *control) setOptimalRoles() {
	mix := 0.0
	if c.sim.scenario.swing {
		mix = 0.5 * math.Sin(2*math.Pi*(c.sim.clock.now+optimalInterval/2).Seconds()/swingPeriod.Seconds())
	}
	prefillSpeed, decodeSpeed := nominalSpeeds(fleet.Prefill)
	cachedTokens := sharedShare * prefixBlocks * blockTokens * 0.9
	perEngine := plan.Rate{
		Requests: c.sim.scenario.load * engineRate,
		Prefill:  c.sim.scenario.load * engineRate * (promptFloor + promptMean*(1+mix) - cachedTokens),
		Decode:   c.sim.scenario.load * engineRate * (outputFloor + outputMean*(1-mix)),
	}
	for site := range c.sim.size.engines {
		var engines []*engine
		for _, e := range c.sim.engines {
			if e.site == site && !e.dead && e.target.Kind == fleet.Engine {
				engines = append(engines, e)
			}
		}
		n := float64(len(engines))
		// Half of the requests are urgent, except in a scenario with a window.
		best := plan.OptimalRoles(len(engines), plan.Rate{Requests: perEngine.Requests * n, Prefill: perEngine.Prefill * n, Decode: perEngine.Decode * n}, 0.5, plan.Options{PrefillSpeed: prefillSpeed, DecodeSpeed: decodeSpeed})
		prefillEngines, decodeEngines := best[fleet.Prefill], best[fleet.Decode]
		for i, e := range engines {
			e.target.Role = fleet.Mixed
			if i < prefillEngines {
				e.target.Role = fleet.Prefill
			} else if i < prefillEngines+decodeEngines {
				e.target.Role = fleet.Decode
			}
		}
	}
	c.sim.configure()
}
