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
	enginePool     = "language"
	servicePool    = "application"
	siteDelay      = time.Millisecond
	regionDelay    = 20 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	cacheInterval  = 500 * time.Millisecond
	lossDetection  = 3 * time.Second // until control marks targets as lost
	callersMove    = time.Second     // until the load balancer avoids a lost site
	configDelay    = 100 * time.Millisecond
	outputWeight   = 0.01   // of one answer in the average of output tokens
	promptPrice    = 60e-6  // seconds of an engine per prompt token
	outputPrice    = 500e-6 // seconds of an engine per output token
)

// world is one run.
type world struct {
	clock    clock
	seed     uint64
	scenario scenario
	policy   policy
	size     size
	engines  []*engine
	byName   map[fleet.TargetName]int
	known    []fleet.Target // as configured
	entries  []*entry
	control  *control
	res      *result
	faults   *rand.Rand
	lostSite int
	outputs  float64 // moving average of output tokens per served request
}

func newWorld(seed uint64, sc scenario, p policy, sz size) *world {
	w := &world{
		seed: seed, scenario: sc, policy: p, size: sz, byName: make(map[fleet.TargetName]int),
		res: newResult(sz), faults: rand.New(rand.NewPCG(seed, 7)), lostSite: -1, outputs: outputFloor + outputMean,
	}
	for site := range sz.engines {
		for i := range sz.engines[site] {
			w.addEngine(site, role(p, i, sz.engines[site]))
		}
		for range sz.services[site] {
			w.add(&engine{site: site, target: fleet.Target{Kind: fleet.Service, Pool: servicePool, Slots: serviceSlots}})
		}
		for i := range sz.entries {
			w.entries = append(w.entries, newEntry(w, site, i))
		}
	}
	w.control = newControl(w)
	w.configure()
	w.limits()
	return w
}

// role is the role of engine i of n at the start.
func role(p policy, i, n int) fleet.Role {
	if p.roles == rolesMixed {
		return fleet.Mixed
	}
	if i < n/2 {
		return fleet.Prefill
	}
	return fleet.Decode
}

func (w *world) addEngine(site int, r fleet.Role) {
	w.add(&engine{site: site, fifo: w.policy.fifo, target: fleet.Target{Kind: fleet.Engine, Pool: enginePool, Role: r, Slots: engineSlots}})
}

func (w *world) add(e *engine) {
	e.c, e.slow, e.since = &w.clock, 1, w.clock.now
	e.promptSpeed, _ = nominal(e.target.Role)
	e.target.Name = fleet.TargetName(fmt.Sprintf("t%d", len(w.engines)))
	e.target.DataCentre, e.target.Region, e.target.Phase = dataCentre(e.site), region(e.site), fleet.Ready
	w.byName[e.target.Name] = len(w.engines)
	w.engines = append(w.engines, e)
}

// run plays the scenario and returns what was measured.
func run(seed uint64, sc scenario, p policy, sz size) *result {
	w := newWorld(seed, sc, p, sz)
	sum := 0.0
	for c := range sz.customers {
		sum += weight(c)
	}
	for c := range sz.customers {
		s := &source{w: w, rng: rand.New(rand.NewPCG(seed, uint64(1000+c))), customer: c, share: weight(c) / sum, home: c % len(sz.engines)}
		s.next()
	}
	for site := range sz.engines {
		w.services(rand.New(rand.NewPCG(seed, uint64(500+site))), site)
	}
	w.clock.every(reportInterval, w.report)
	w.clock.every(cacheInterval, w.cacheEvents)
	w.control.run()
	w.inject()
	w.clock.runUntil(runTime + time.Minute)
	w.close()
	return w.res
}

// inject schedules the faults of the scenario.
func (w *world) inject() {
	if w.scenario.slow {
		w.clock.in(eventFrom, func() { w.engines[0].slow = slowFactor })
		w.clock.in(2*eventFrom, func() { w.engines[0].slow = 1 })
	}
	if w.scenario.loss {
		w.clock.in(eventFrom, w.loseSite)
	}
}

// loseSite ends a data centre; of a single one, a tenth of its engines.
func (w *world) loseSite() {
	site := len(w.size.engines) - 1
	for i, e := range w.engines {
		if e.site == site && (site > 0 || i%10 == 0) {
			e.kill()
		}
	}
	if site > 0 {
		for _, n := range w.entries {
			n.dead = n.dead || n.site == site
		}
		w.clock.in(callersMove, func() { w.lostSite = site })
	}
	w.clock.in(lossDetection, w.configure)
}

// configure tells every entry the targets.
func (w *world) configure() {
	targets := make([]fleet.Target, 0, len(w.engines))
	for _, e := range w.engines {
		t := e.target
		switch {
		case e.dead:
			t.Phase = fleet.Lost
		case e.away:
			t.Phase = fleet.Draining
		}
		targets = append(targets, t)
	}
	w.clock.in(configDelay, func() {
		w.known = targets
		for _, n := range w.entries {
			n.router.Step(w.clock.time(), route.Configure{Targets: targets})
		}
	})
}

// limits tells every entry customers and windows.
func (w *world) limits() {
	e := admit.Configure{Windows: w.windows()}
	for c := range w.size.customers {
		e.Customers = append(e.Customers, config.Customer{Name: customer(c), Weight: uint32(weight(c))})
	}
	for _, n := range w.entries {
		n.queue.Step(epoch, e)
	}
}

func (w *world) windows() []config.Window {
	if !w.scenario.window {
		return nil
	}
	return []config.Window{{Name: "tide", Opens: epoch.Add(windowFrom), Closes: epoch.Add(windowTo), Reserved: 0.6}}
}

// report sends the load of each engine to each entry.
func (w *world) report() {
	now := w.clock.time()
	var loads []route.Load
	for _, e := range w.engines {
		if e.dead {
			continue
		}
		p, d := e.backlog()
		l := route.Load{Target: e.target.Name, Taken: now, PrefillTokens: p, DecodeTokens: d, Requests: uint32(len(e.prompts) + len(e.wait) + len(e.running))}
		_, l.DecodeSpeed = nominal(e.target.Role)
		l.PrefillSpeed = e.promptSpeed
		loads = append(loads, l)
	}
	w.clock.in(w.scenario.lag, func() {
		for _, n := range w.entries {
			for _, l := range loads {
				n.router.Step(w.clock.time(), l)
			}
		}
	})
}

// nominal returns the speeds of a role that does only one phase at a time.
func nominal(r fleet.Role) (prefill, decode float64) {
	one := func(chunk float64) float64 { return chunk / (batchTime.Seconds() + chunk*promptTime.Seconds()) }
	decode = engineSlots / (batchTime + engineSlots*sequenceTime).Seconds()
	if r == fleet.Prefill {
		return one(prefillChunk), decode
	}
	return one(mixedChunk), decode
}

// cacheEvents sends the cache changes of each engine to each entry.
func (w *world) cacheEvents() {
	for i, e := range w.engines {
		if len(e.stored)+len(e.gone) == 0 || e.dead {
			continue
		}
		e.seq++
		ev := route.CacheUpdate{Target: e.target.Name, Sequence: e.seq, Stored: e.stored, Evicted: e.gone}
		e.stored, e.gone = nil, nil
		for _, n := range w.entries {
			if w.faults.Float64() < w.scenario.cacheLoss {
				continue
			}
			w.clock.in(cacheInterval, func() {
				if len(n.router.Step(w.clock.time(), ev)) > 0 {
					w.resync(n, w.engines[i])
				}
			})
		}
	}
}

// resync sends the whole cache content, unless that is lost too.
func (w *world) resync(n *entry, e *engine) {
	ev := route.CacheUpdate{Target: e.target.Name, Sequence: e.seq, Full: true, Stored: append([]uint64(nil), e.cache...)}
	w.clock.in(cacheInterval, func() { n.router.Step(w.clock.time(), ev) })
}

func (w *world) clientDelay() time.Duration {
	return 2 * time.Duration(w.size.client) * time.Millisecond
}

func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return siteDelay
	}
	return regionDelay
}

// move returns the time to move a KV cache to e and counts the bytes.
func (w *world) move(r *request, from fleet.DataCentre, e *engine) time.Duration {
	const local, remote = 5 * time.Millisecond, 500 * time.Millisecond
	if e.target.DataCentre == from {
		return local
	}
	w.res.crossed += r.prompt * kvBytes
	return remote
}

// arrive brings a request to an entry of its site.
func (w *world) arrive(r *request) {
	w.res.offer(r)
	site := r.site
	if site == w.lostSite {
		site = int(r.id[0]) % (len(w.size.engines) - 1)
	}
	n := w.entries[site*w.size.entries+int(r.id[0]>>1)%w.size.entries]
	if !r.service {
		w.control.offered(r, site)
	}
	w.clock.in(w.clientDelay()/2, func() { n.arrive(r) })
}

func (w *world) lost(r *request) { r.ended = true }

func (w *world) refused(r *request) {
	r.ended = true
	w.res.refused++
}

// served ends a request whose answer is complete at the entry.
func (w *world) served(r *request) {
	r.ended = true
	if !r.service {
		w.outputs += outputWeight * (float64(r.output) - w.outputs)
	}
	end := w.clock.now + w.clientDelay()/2
	first, interval := r.promise()
	kept := r.first > 0 && r.first-r.arrived <= first && (r.output <= 1 || end-r.first <= time.Duration(r.output)*interval)
	if kept {
		w.res.keep(r)
	}
}

func (w *world) close() {
	for _, e := range w.engines {
		if !e.dead {
			e.cost += runTime - e.since
		}
		if e.target.Kind == fleet.Engine {
			w.res.paid += e.cost
		}
	}
}
