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

// entry is one entry process of a site.
type entry struct {
	w           *world
	host        fleet.Host
	site        int
	router      *route.Router
	queue       *admit.Queue
	budget      retry.Budget
	turn        int
	outstanding map[fleet.TargetName]int
	waiting     map[fleet.RequestID]*request
	demand      map[int]float64 // price per second by customer
	tick        time.Duration   // when the next Tick is scheduled; 0 means none
	dead        bool
}

func newEntry(w *world, site, n int) *entry {
	host := fleet.Host(fmt.Sprintf("entry-%d-%d", site, n))
	return &entry{
		w: w, host: host, site: site,
		router: route.New(route.Options{
			DataCentre: dataCentre(site), Region: region(site), BlockTokens: blockTokens,
			Random: rand.New(rand.NewPCG(w.seed, uint64(100+site*10+n))),
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

// arrive takes a request that a caller has sent.
func (n *entry) arrive(r *request) {
	if n.dead {
		n.w.lost(r)
		return
	}
	r.estimate = n.w.outputs
	if !n.w.policy.admit || r.service {
		n.start(r)
		return
	}
	n.demand[r.customer] += r.prompt*promptPrice + n.w.outputs*outputPrice
	first, _ := r.promise()
	n.waiting[r.id] = r
	back := n.w.clientDelay()
	n.apply(n.queue.Step(n.w.clock.time(), admit.Submit{
		ID: r.id, Customer: customer(r.customer), Route: r.class.String(), Class: r.class,
		PromptTokens: r.prompt,
		FirstTokenBy: epoch.Add(r.arrived + first - back),
		Deadline:     epoch.Add(r.arrived + time.Minute),
	}))
}

func (n *entry) step(e admit.Event) {
	if n.w.policy.admit && !n.dead {
		n.apply(n.queue.Step(n.w.clock.time(), e))
	}
}

func (n *entry) apply(actions []admit.Action) {
	// Starting a request can step the queue again, which reuses the slice.
	for _, a := range append([]admit.Action(nil), actions...) {
		r := n.waiting[a.ID]
		delete(n.waiting, a.ID)
		if a.Reason == admit.Dispatch {
			r.estimate = a.OutputTokens
			n.start(r)
		} else {
			n.w.refused(r)
		}
	}
	next := n.queue.Next()
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch) + time.Millisecond
	if n.tick == 0 || at < n.tick {
		n.tick = at
		n.w.clock.in(at-n.w.clock.now, func() {
			if n.tick == at {
				n.tick = 0
				n.step(admit.Tick{})
			}
		})
	}
}

func (n *entry) start(r *request) {
	if n.dead {
		n.w.lost(r)
		return
	}
	if r.attempts == 0 {
		n.budget.CountFirstAttempt()
	}
	r.attempts++
	n.w.res.attempt(n.w.clock.now, r)
	n.place(r, route.Start, "")
}

// place hands a stage of a request to a target.
func (n *entry) place(r *request, stage route.Stage, near fleet.DataCentre) {
	if n.dead {
		n.w.lost(r)
		return
	}
	c, ok := n.choose(r, stage, near)
	if !ok {
		n.finish(r, true)
		n.w.refused(r)
		return
	}
	e := n.w.engines[n.w.byName[c.Target]]
	if e.site != n.site {
		n.w.res.crossed += r.prompt*bytesPerToken + float64(r.output)*bytesPerToken
	}
	delay := n.w.delay(n.site, e.site)
	if c.MoveKV {
		delay = n.w.move(r, near, e)
	}
	n.outstanding[c.Target]++
	back := n.w.delay(n.site, e.site)
	a := &attempt{r: r, decode: c.MoveKV, prompt: c.HandOver}
	a.first = func() { n.w.clock.in(back, func() { n.first(r, c, e) }) }
	a.end = func(ok bool) { n.w.clock.in(back, func() { n.ended(r, c, e, stage, ok) }) }
	n.w.clock.in(delay, func() { e.accept(a) })
}

func (n *entry) choose(r *request, stage route.Stage, near fleet.DataCentre) (route.Choice, bool) {
	pool := enginePool
	if r.service {
		pool = servicePool
	}
	if n.w.policy.pick != byRouter {
		return n.plain(pool, r.tried)
	}
	first, _ := r.promise()
	q := route.Request{
		Pool: pool, Customer: customer(r.customer), Stage: stage, PrefillDataCentre: near,
		PromptTokens: r.prompt, OutputTokens: r.estimate, Prefix: r.prefix, Tried: r.tried,
		FirstTokenBy: epoch.Add(r.arrived + first - n.w.clientDelay()),
	}
	if stage == route.Decode {
		q.FirstTokenBy = time.Time{}
	}
	c, err := n.router.Pick(n.w.clock.time(), q)
	return c, err == nil
}

// plain is round robin or least outstanding over the targets of the own site,
// or of all sites when it has none.
func (n *entry) plain(pool string, tried []fleet.TargetName) (route.Choice, bool) {
	best := -1
	for _, own := range []bool{true, false} {
		for i := range n.w.known {
			k := (i + n.turn) % len(n.w.known)
			t := &n.w.known[k]
			if t.Pool != pool || t.Phase != fleet.Ready || (own && t.DataCentre != dataCentre(n.site)) || contains(tried, t.Name) {
				continue
			}
			if best < 0 || (n.w.policy.pick == byOutstanding && n.outstanding[t.Name] < n.outstanding[n.w.known[best].Name]) {
				best = k
			}
		}
		if best >= 0 {
			n.turn = best + 1
			return route.Choice{Target: n.w.known[best].Name, Sent: n.w.clock.time()}, true
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

// first passes the first token on to the caller.
func (n *entry) first(r *request, c route.Choice, e *engine) {
	if n.dead || r.ended {
		return
	}
	if n.w.policy.pick == byRouter && r.first == 0 {
		n.router.Step(n.w.clock.time(), route.FirstToken{Choice: c, Elapsed: n.w.clock.now - c.Sent.Sub(epoch)})
	}
	if r.first == 0 {
		r.first = n.w.clock.now + n.w.clientDelay()/2
		n.w.res.firstToken(r)
		n.step(admit.FirstToken{ID: r.id})
	}
	if e.target.Kind == fleet.Engine && c.HandOver && r.output > 1 {
		n.place(r, route.Decode, e.target.DataCentre)
	}
}

// ended reports the end of a stage.
func (n *entry) ended(r *request, c route.Choice, e *engine, stage route.Stage, ok bool) {
	n.outstanding[c.Target]--
	if n.dead || r.ended {
		return
	}
	if n.w.policy.pick == byRouter {
		o := route.Outcome{Choice: c, Customer: customer(r.customer), Result: route.Failed}
		if ok {
			o.Result = route.Served
			o.FirstTokenSeen = stage == route.Start
		}
		n.router.Step(n.w.clock.time(), o)
	}
	switch {
	case !ok:
		n.failed(r, c, e)
	case stage == route.Start && c.HandOver && r.output > 1 && !r.service:
	default:
		n.finish(r, false)
		n.w.served(r)
	}
}

// finish takes a request out of the queue's books.
func (n *entry) finish(r *request, failed bool) {
	if !r.service {
		n.step(admit.Done{ID: r.id, PromptTokens: r.prompt, OutputTokens: float64(r.output), Failed: failed})
	}
}

// failed decides what follows a failed attempt. A dead engine refuses
// connections, so that an attempt without a first token counts as not sent
// when the engine was already dead at its start.
func (n *entry) failed(r *request, c route.Choice, e *engine) {
	r.tried = append(r.tried, c.Target)
	again := false
	if n.w.policy.pick == byRouter && n.w.policy.admit {
		first, _ := r.promise()
		ran := retry.Lost
		if e.dead && e.since+e.cost < c.Sent.Sub(epoch) {
			ran = retry.NotSent
		}
		d := n.budget.Decide(n.w.clock.time(), retry.Failure{
			Idempotent: !r.service, Last: ran, AnswerStarted: r.first > 0, Attempts: r.attempts,
			Deadline: epoch.Add(r.arrived + first), MinRemaining: 50 * time.Millisecond,
		})
		again = d.Action == retry.Retry
	} else {
		again = !r.service && r.first == 0 && r.attempts < retry.MaxAttempts
	}
	if again {
		n.start(r)
		return
	}
	n.finish(r, true)
	n.w.refused(r)
}
