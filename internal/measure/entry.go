package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayarock/core/admit"
	"papayarock/core/fleet"
	"papayarock/core/retry"
	"papayarock/core/route"
)

// entry models one entry process of a data centre.
type entry struct {
	sim         *simulation
	host        fleet.Host
	site        int
	router      *route.Router
	queue       *admit.Queue
	budget      retry.Budget
	nextTarget  int // round-robin position in simulation.configured
	outstanding map[fleet.TargetName]int
	waiting     map[fleet.RequestID]*request // in the admission queue
	demand      map[int]float64              // engine seconds since the last split of capacity, by customer
	nextTick    time.Duration                // time of the next scheduled Tick of the queue; 0 means none
	dead        bool
}

func newEntry(sim *simulation, site, i int) *entry {
	host := fleet.Host(fmt.Sprintf("entry-%d-%d", site, i))
	return &entry{
		sim: sim, host: host, site: site,
		router: route.New(route.Options{
			DataCentre: dataCentre(site), Region: region(site), BlockTokens: blockTokens,
			Random: rand.New(rand.NewPCG(sim.seed, uint64(100+site*10+i))),
		}),
		queue:       admit.New(admit.Options{}),
		outstanding: make(map[fleet.TargetName]int),
		waiting:     make(map[fleet.RequestID]*request),
		demand:      make(map[int]float64),
	}
}

func dataCentre(site int) fleet.DataCentre { return fleet.DataCentre(fmt.Sprintf("dc%d", site)) }
func region(site int) fleet.Region         { return fleet.Region(fmt.Sprintf("r%d", site)) }
func customer(n int) fleet.Customer        { return fleet.Customer(fmt.Sprintf("c%d", n)) }

// arrive receives a request from a caller and queues it for admission, or starts it
// where the policy has no admission control.
func (n *entry) arrive(r *request) {
	if n.dead {
		n.sim.dropRequest(r)
		return
	}
	r.outputEstimate = n.sim.meanOutput
	if !n.sim.policy.admit || r.service {
		n.start(r)
		return
	}
	n.demand[r.customer] += r.promptTokens*promptCost + n.sim.meanOutput*outputCost
	first, _ := r.promise()
	n.waiting[r.id] = r
	callerRoundTrip := n.sim.callerRoundTrip()
	n.applyActions(n.queue.Step(n.sim.clock.time(), admit.Submit{
		ID: r.id, Customer: customer(r.customer), Route: r.class.String(), Class: r.class,
		PromptTokens: r.promptTokens,
		FirstTokenBy: epoch.Add(r.arrived + first - callerRoundTrip),
		Deadline:     epoch.Add(r.arrived + time.Minute),
	}))
}

// stepQueue passes an event to the admission queue, if the policy has one.
func (n *entry) stepQueue(e admit.Event) {
	if n.sim.policy.admit && !n.dead {
		n.applyActions(n.queue.Step(n.sim.clock.time(), e))
	}
}

// applyActions starts or refuses requests as the admission queue decided, and
// schedules the queue's next Tick.
func (n *entry) applyActions(actions []admit.Action) {
	// Starting a request can step the queue again, which reuses the slice of actions.
	for _, a := range append([]admit.Action(nil), actions...) {
		r := n.waiting[a.ID]
		delete(n.waiting, a.ID)
		if a.Decision == admit.Dispatch {
			r.outputEstimate = a.OutputTokens
			n.start(r)
		} else {
			n.sim.recordRefused(r)
		}
	}
	next := n.queue.Next()
	if next.IsZero() {
		return
	}
	// The queue refuses a request only after the time that Next returns.
	at := next.Sub(epoch) + time.Millisecond
	if n.nextTick == 0 || at < n.nextTick {
		n.nextTick = at
		n.sim.clock.after(at-n.sim.clock.now, func() {
			if n.nextTick == at {
				n.nextTick = 0
				n.stepQueue(admit.Tick{})
			}
		})
	}
}

// start begins an attempt of a request.
func (n *entry) start(r *request) {
	if n.dead {
		n.sim.dropRequest(r)
		return
	}
	if r.attempts == 0 {
		n.budget.CountFirstAttempt()
	}
	r.attempts++
	n.sim.result.recordAttempt(n.sim.clock.now, r)
	n.dispatch(r, route.Start, "")
}

// dispatch sends a stage of a request to a target. For the decode stage,
// prefillDataCentre is where the prompt was processed; otherwise it is empty.
func (n *entry) dispatch(r *request, stage route.Stage, prefillDataCentre fleet.DataCentre) {
	if n.dead {
		n.sim.dropRequest(r)
		return
	}
	c, ok := n.choose(r, stage, prefillDataCentre)
	if !ok {
		n.reportDone(r, true)
		n.sim.recordRefused(r)
		return
	}
	e := n.sim.engines[n.sim.byName[c.Target]]
	if e.site != n.site {
		n.sim.result.crossRegionBytes += r.promptTokens*bytesPerToken + float64(r.outputTokens)*bytesPerToken
	}
	delay := n.sim.networkDelay(n.site, e.site)
	if c.TransferKV {
		delay = n.sim.kvMoveTime(r, prefillDataCentre, e)
	}
	n.outstanding[c.Target]++
	returnDelay := n.sim.networkDelay(n.site, e.site)
	s := &stageRun{r: r, decodeOnly: c.TransferKV, prefillOnly: c.PrefillOnly}
	s.onFirstToken = func() { n.sim.clock.after(returnDelay, func() { n.handleFirstToken(r, c, e) }) }
	s.onEnd = func(ok bool) { n.sim.clock.after(returnDelay, func() { n.endStage(r, c, e, stage, ok) }) }
	n.sim.clock.after(delay, func() { e.accept(s) })
}

// choose chooses a target by the method of the policy; false if there is none.
func (n *entry) choose(r *request, stage route.Stage, prefillDataCentre fleet.DataCentre) (route.Choice, bool) {
	pool := enginePool
	if r.service {
		pool = servicePool
	}
	if n.sim.policy.pick != byRouter {
		return n.chooseSimple(pool, r.tried)
	}
	first, _ := r.promise()
	q := route.Request{
		Pool: pool, Customer: customer(r.customer), Stage: stage, PrefillDataCentre: prefillDataCentre,
		PromptTokens: r.promptTokens, OutputTokens: r.outputEstimate, PrefixHashes: r.prefix, TriedTargets: r.tried,
		FirstTokenBy: epoch.Add(r.arrived + first - n.sim.callerRoundTrip()),
	}
	if stage == route.Decode {
		q.FirstTokenBy = time.Time{}
	}
	c, err := n.router.Pick(n.sim.clock.time(), q)
	return c, err == nil
}

// chooseSimple chooses by round robin or least outstanding requests among the
// targets of the entry's data centre, or among all if it has none.
func (n *entry) chooseSimple(pool string, tried []fleet.TargetName) (route.Choice, bool) {
	best := -1
	for _, local := range []bool{true, false} {
		for i := range n.sim.configured {
			k := (i + n.nextTarget) % len(n.sim.configured)
			t := &n.sim.configured[k]
			if t.Pool != pool || t.Phase != fleet.Ready || (local && t.DataCentre != dataCentre(n.site)) || contains(tried, t.Name) {
				continue
			}
			if best < 0 || (n.sim.policy.pick == byOutstanding && n.outstanding[t.Name] < n.outstanding[n.sim.configured[best].Name]) {
				best = k
			}
		}
		if best >= 0 {
			n.nextTarget = best + 1
			return route.Choice{Target: n.sim.configured[best].Name, Sent: n.sim.clock.time()}, true
		}
	}
	return route.Choice{}, false
}

func contains(l []fleet.TargetName, n fleet.TargetName) bool {
	for _, x := range l {
		if x == n {
			return true
		}
	}
	return false
}

// handleFirstToken records the first token of a request and dispatches its decode
// stage after a prefill stage.
func (n *entry) handleFirstToken(r *request, c route.Choice, e *engine) {
	if n.dead || r.ended {
		return
	}
	if n.sim.policy.pick == byRouter && r.firstTokenAt == 0 {
		n.router.Step(n.sim.clock.time(), route.FirstToken{Choice: c, Elapsed: n.sim.clock.now - c.Sent.Sub(epoch)})
	}
	if r.firstTokenAt == 0 {
		r.firstTokenAt = n.sim.clock.now + n.sim.callerRoundTrip()/2
		n.sim.result.recordFirstToken(r)
		n.stepQueue(admit.FirstToken{ID: r.id})
	}
	if e.target.Kind == fleet.Engine && c.PrefillOnly && r.outputTokens > 1 {
		n.dispatch(r, route.Decode, e.target.DataCentre)
	}
}

// endStage reports the result of a stage to the router, and completes the request or
// handles its failure.
func (n *entry) endStage(r *request, c route.Choice, e *engine, stage route.Stage, ok bool) {
	n.outstanding[c.Target]--
	if n.dead || r.ended {
		return
	}
	if n.sim.policy.pick == byRouter {
		o := route.Outcome{Choice: c, Customer: customer(r.customer), Result: route.Failed}
		if ok {
			o.Result = route.Served
			o.FirstTokenSeen = stage == route.Start
		}
		n.router.Step(n.sim.clock.time(), o)
	}
	switch {
	case !ok:
		n.handleFailure(r, c, e)
	case stage == route.Start && c.PrefillOnly && r.outputTokens > 1 && !r.service:
		// handleFirstToken has dispatched the decode stage.
	default:
		n.reportDone(r, false)
		n.sim.recordServed(r)
	}
}

// reportDone reports the end of a request to the admission queue.
func (n *entry) reportDone(r *request, failed bool) {
	if !r.service {
		n.stepQueue(admit.Done{ID: r.id, PromptTokens: r.promptTokens, OutputTokens: float64(r.outputTokens), Failed: failed})
	}
}

// handleFailure retries a failed request or ends it as refused. A dead engine refuses
// connections, so an attempt counts as not sent if the engine was already dead when
// the attempt began. A dead engine died at paidFrom+paidTime.
func (n *entry) handleFailure(r *request, c route.Choice, e *engine) {
	r.tried = append(r.tried, c.Target)
	retryAllowed := false
	if n.sim.policy.pick == byRouter && n.sim.policy.admit {
		first, _ := r.promise()
		last := retry.Lost
		if e.dead && e.paidFrom+e.paidTime < c.Sent.Sub(epoch) {
			last = retry.NotSent
		}
		d := n.budget.Decide(n.sim.clock.time(), retry.Failure{
			Idempotent: !r.service, Last: last, AnswerStarted: r.firstTokenAt > 0, Attempts: r.attempts,
			Deadline: epoch.Add(r.arrived + first), MinRemaining: 50 * time.Millisecond,
		})
		retryAllowed = d.Action == retry.Retry
	} else {
		retryAllowed = !r.service && r.firstTokenAt == 0 && r.attempts < retry.MaxAttempts
	}
	if retryAllowed {
		n.start(r)
		return
	}
	n.reportDone(r, true)
	n.sim.recordRefused(r)
}
