package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayarock/core/admit"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/route"
)

const (
	enginePool         = "language"
	servicePool        = "application"
	siteDelay          = time.Millisecond       // one way, within a data centre
	regionDelay        = 20 * time.Millisecond  // one way, between data centres
	reportInterval     = 200 * time.Millisecond // between load reports
	cacheInterval      = 500 * time.Millisecond // between cache updates, and their delay
	lossDetection      = 3 * time.Second        // until control marks targets as lost
	failoverDelay      = time.Second            // until callers no longer use a lost site
	configurationDelay = 100 * time.Millisecond // until entries have a new configuration
	outputWeight       = 0.01                   // weight of one response in the moving average of output tokens
	promptCost         = 60e-6                  // seconds of an engine per prompt token
	outputCost         = 500e-6                 // seconds of an engine per output token
)

// simulation is the state of one run.
type simulation struct {
	clock      clock
	seed       uint64
	scenario   scenario
	policy     policy
	size       size
	engines    []*engine
	byName     map[fleet.TargetName]int
	configured []fleet.Target // as last sent to the entries
	entries    []*entry
	control    *control
	result     *result
	faultRand  *rand.Rand
	lostSite   int     // site that callers no longer use; -1 if none
	meanOutput float64 // moving average of output tokens per served request
}

func newSimulation(seed uint64, sc scenario, p policy, sz size) *simulation {
	sim := &simulation{
		seed: seed, scenario: sc, policy: p, size: sz, byName: make(map[fleet.TargetName]int),
		result: newResult(sz), faultRand: rand.New(rand.NewPCG(seed, 7)), lostSite: -1, meanOutput: outputFloor + outputMean,
	}
	for site := range sz.engines {
		for i := range sz.engines[site] {
			sim.addEngine(site, initialRole(p, i, sz.engines[site]))
		}
		for range sz.services[site] {
			sim.add(&engine{site: site, target: fleet.Target{Kind: fleet.Service, Pool: servicePool, Slots: serviceSlots}})
		}
		for i := range sz.entries {
			sim.entries = append(sim.entries, newEntry(sim, site, i))
		}
	}
	sim.control = newControl(sim)
	sim.configure()
	sim.configureAdmission()
	return sim
}

// initialRole returns the role with which engine i of the n engines of a data centre
// starts.
func initialRole(p policy, i, n int) fleet.Role {
	if p.roles == rolesMixed {
		return fleet.Mixed
	}
	if i < n/2 {
		return fleet.Prefill
	}
	return fleet.Decode
}

func (sim *simulation) addEngine(site int, r fleet.Role) {
	sim.add(&engine{site: site, fcfs: sim.policy.fcfs, target: fleet.Target{Kind: fleet.Engine, Pool: enginePool, Role: r, Slots: engineSlots}})
}

// add names an engine or service and adds it to the fleet; configure then makes it
// known to the entries.
func (sim *simulation) add(e *engine) {
	e.clock, e.slowdown, e.paidFrom = &sim.clock, 1, sim.clock.now
	e.promptSpeed, _ = nominalSpeeds(e.target.Role)
	e.target.Name = fleet.TargetName(fmt.Sprintf("t%d", len(sim.engines)))
	e.target.DataCentre, e.target.Region, e.target.Phase = dataCentre(e.site), region(e.site), fleet.Ready
	sim.byName[e.target.Name] = len(sim.engines)
	sim.engines = append(sim.engines, e)
}

// simulate runs a scenario and returns its measurements.
func simulate(seed uint64, sc scenario, p policy, sz size) *result {
	sim := newSimulation(seed, sc, p, sz)
	totalWeight := 0.0
	for c := range sz.customers {
		totalWeight += weight(c)
	}
	for c := range sz.customers {
		s := &source{sim: sim, rng: rand.New(rand.NewPCG(seed, uint64(1000+c))), customer: c, share: weight(c) / totalWeight, homeSite: c % len(sz.engines)}
		s.scheduleNext()
	}
	for site := range sz.engines {
		sim.scheduleServiceRequests(rand.New(rand.NewPCG(seed, uint64(500+site))), site)
	}
	sim.clock.every(reportInterval, sim.sendLoadReports)
	sim.clock.every(cacheInterval, sim.sendCacheEvents)
	sim.control.start()
	sim.scheduleFaults()
	sim.clock.runUntil(runTime + time.Minute)
	sim.finishAccounting()
	return sim.result
}

// scheduleFaults schedules the faults of the scenario.
func (sim *simulation) scheduleFaults() {
	if sim.scenario.slow {
		sim.clock.after(eventFrom, func() { sim.engines[0].slowdown = slowFactor })
		sim.clock.after(2*eventFrom, func() { sim.engines[0].slowdown = 1 })
	}
	if sim.scenario.loss {
		sim.clock.after(eventFrom, sim.loseSite)
	}
}

// loseSite kills all engines, services and entries of the last data centre, or a tenth
// of the engines if there is only one data centre.
func (sim *simulation) loseSite() {
	site := len(sim.size.engines) - 1
	for i, e := range sim.engines {
		if e.site == site && (site > 0 || i%10 == 0) {
			e.kill()
		}
	}
	if site > 0 {
		for _, n := range sim.entries {
			n.dead = n.dead || n.site == site
		}
		sim.clock.after(failoverDelay, func() { sim.lostSite = site })
	}
	sim.clock.after(lossDetection, sim.configure)
}

// configure sends the current targets to every entry.
func (sim *simulation) configure() {
	targets := make([]fleet.Target, 0, len(sim.engines))
	for _, e := range sim.engines {
		t := e.target
		switch {
		case e.dead:
			t.Phase = fleet.Lost
		case e.unavailable:
			t.Phase = fleet.Draining
		}
		targets = append(targets, t)
	}
	sim.clock.after(configurationDelay, func() {
		sim.configured = targets
		for _, n := range sim.entries {
			n.router.Step(sim.clock.time(), route.Configure{Targets: targets})
		}
	})
}

// configureAdmission sets the customers and windows of every entry's admission queue.
func (sim *simulation) configureAdmission() {
	e := admit.Configure{Windows: sim.windows()}
	for c := range sim.size.customers {
		e.Customers = append(e.Customers, config.Customer{Name: customer(c), Weight: uint32(weight(c))})
	}
	for _, n := range sim.entries {
		n.queue.Step(epoch, e)
	}
}

func (sim *simulation) windows() []config.Window {
	if !sim.scenario.window {
		return nil
	}
	return []config.Window{{Name: "tide", Opens: epoch.Add(windowFrom), Closes: epoch.Add(windowTo), Reserved: 0.6}}
}

// sendLoadReports sends the load of each engine to each entry. The reports arrive
// after the lag of the scenario.
func (sim *simulation) sendLoadReports() {
	now := sim.clock.time()
	var loads []route.Load
	for _, e := range sim.engines {
		if e.dead {
			continue
		}
		prefill, decode := e.backlog()
		l := route.Load{Target: e.target.Name, MeasuredAt: now, PrefillTokens: prefill, DecodeTokens: decode, Requests: uint32(len(e.prompts) + len(e.waitingDecode) + len(e.running))}
		_, l.DecodeSpeed = nominalSpeeds(e.target.Role)
		l.PrefillSpeed = e.promptSpeed
		loads = append(loads, l)
	}
	sim.clock.after(sim.scenario.lag, func() {
		for _, n := range sim.entries {
			for _, l := range loads {
				n.router.Step(sim.clock.time(), l)
			}
		}
	})
}

// nominalSpeeds returns the prompt and output tokens/s of a role whose batches hold
// only one phase.
func nominalSpeeds(r fleet.Role) (prefill, decode float64) {
	promptSpeed := func(chunk float64) float64 { return chunk / (batchTime.Seconds() + chunk*promptTime.Seconds()) }
	decode = engineSlots / (batchTime + engineSlots*sequenceTime).Seconds()
	if r == fleet.Prefill {
		return promptSpeed(prefillChunk), decode
	}
	return promptSpeed(mixedChunk), decode
}

// sendCacheEvents sends the cache changes of each engine to each entry.
func (sim *simulation) sendCacheEvents() {
	for i, e := range sim.engines {
		if len(e.stored)+len(e.evicted) == 0 || e.dead {
			continue
		}
		e.seq++
		ev := route.CacheUpdate{Target: e.target.Name, Sequence: e.seq, Stored: e.stored, Evicted: e.evicted}
		e.stored, e.evicted = nil, nil
		for _, n := range sim.entries {
			if sim.faultRand.Float64() < sim.scenario.cacheLoss {
				continue
			}
			sim.clock.after(cacheInterval, func() {
				if len(n.router.Step(sim.clock.time(), ev)) > 0 {
					sim.resync(n, sim.engines[i])
				}
			})
		}
	}
}

// resync sends the complete cache content of an engine to an entry. This message is
// never lost.
func (sim *simulation) resync(n *entry, e *engine) {
	ev := route.CacheUpdate{Target: e.target.Name, Sequence: e.seq, Full: true, Stored: append([]uint64(nil), e.cache...)}
	sim.clock.after(cacheInterval, func() { n.router.Step(sim.clock.time(), ev) })
}

func (sim *simulation) callerRoundTrip() time.Duration {
	return 2 * time.Duration(sim.size.callerDelayMillis) * time.Millisecond
}

// networkDelay returns the one-way delay between two sites.
func (sim *simulation) networkDelay(a, b int) time.Duration {
	if a == b {
		return siteDelay
	}
	return regionDelay
}

// kvMoveTime returns the time to transfer a KV cache to e, and counts the bytes
// between data centres.
func (sim *simulation) kvMoveTime(r *request, from fleet.DataCentre, e *engine) time.Duration {
	const local, remote = 5 * time.Millisecond, 500 * time.Millisecond
	if e.target.DataCentre == from {
		return local
	}
	sim.result.crossRegionBytes += r.promptTokens * kvBytes
	return remote
}

// arrive sends a request to an entry of its site, or of another one after the loss of
// its site. The low byte of the id, which is that of the request's number, spreads
// the requests over sites and entries.
func (sim *simulation) arrive(r *request) {
	sim.result.recordOffered(r)
	site := r.site
	if site == sim.lostSite {
		site = int(r.id[0]) % (len(sim.size.engines) - 1)
	}
	n := sim.entries[site*sim.size.entries+int(r.id[0]>>1)%sim.size.entries]
	if !r.service {
		sim.control.recordOffered(r, site)
	}
	sim.clock.after(sim.callerRoundTrip()/2, func() { n.arrive(r) })
}

// dropRequest ends a request whose entry has failed. The request counts as offered,
// but not as refused.
func (sim *simulation) dropRequest(r *request) { r.ended = true }

// recordRefused ends a request that was refused or failed.
func (sim *simulation) recordRefused(r *request) {
	r.ended = true
	sim.result.refused++
}

// recordServed ends a request whose response is complete at the entry, and counts it
// as on time if it kept its promise.
func (sim *simulation) recordServed(r *request) {
	r.ended = true
	if !r.service {
		sim.meanOutput += outputWeight * (float64(r.outputTokens) - sim.meanOutput)
	}
	end := sim.clock.now + sim.callerRoundTrip()/2
	first, interval := r.promise()
	promiseKept := r.firstTokenAt > 0 && r.firstTokenAt-r.arrived <= first && (r.outputTokens <= 1 || end-r.firstTokenAt <= time.Duration(r.outputTokens)*interval)
	if promiseKept {
		sim.result.recordOnTime(r)
	}
}

// finishAccounting adds up the paid time of all engines at the end of a run.
func (sim *simulation) finishAccounting() {
	for _, e := range sim.engines {
		if !e.dead {
			e.paidTime += runTime - e.paidFrom
		}
		if e.target.Kind == fleet.Engine {
			sim.result.paidTime += e.paidTime
		}
	}
}
