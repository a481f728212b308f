package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Queued requests of one rank are served by start-time fair queuing: each customer has a
// tag, the work that it has been given, and the request of the customer with the lowest tag
// goes first. A customer without queued requests keeps no credit: its next request gets at
// least the tag of the request that was sent last. A customer that competes with no other
// one in its pool and rank is served in the order of pool.waiting.

const (
	// minWork is the least work of a request, in prompt tokens. Requests without a stated
	// prompt all count the same. An engine processes as many tokens in about one step, which
	// is the least that any request costs it.
	minWork = 512
	// flowIdle is how long the state of a customer is kept after its last request. Its tag
	// has no effect after the next request of any customer; the time only decides for how
	// long customers count as competing. Refused callers return within maxRetryDelay.
	flowIdle = 5 * time.Second
	// flowSweepInterval is the time between two searches for idle customers.
	flowSweepInterval = time.Second
	// maxFlows is the number of customers of one pool and rank with a state of their own.
	// Further ones share one, and thus the share of one customer.
	maxFlows = 1024
	// sharedFlow is the name of the state of customers above maxFlows. It is no valid name
	// of a customer.
	sharedFlow fleet.Customer = "\x00"
	// shareWindow is the time constant of the measured shares of customers.
	shareWindow = time.Second
)

// fairness is the state of the fair order of one pool.
type fairness struct {
	ranks     map[int]*rankFlows
	order     []turn // of the queued requests; current if ordered is set
	ordered   bool
	nextSweep time.Time
}

// rankFlows are the customers with requests of one rank.
type rankFlows struct {
	virtual float64 // tag of the request that was sent last, in tokens
	served  recentWork
	flows   map[fleet.Customer]*flow
}

// flow is the state of one customer in one rank of a pool.
type flow struct {
	rank        *rankFlows
	next        float64 // tag of the next request while requests are queued
	tagged      float64 // tag of the next request to be tagged by arrange
	queued      int     // requests
	lastUsed    time.Time
	served      recentWork
	lastRetryAt time.Time // as in pool, for this customer and rank
}

// turn is a queued request in the order of service.
type turn struct {
	index   int // in pool.waiting
	flow    *flow
	urgency time.Time
	tag     float64
}

// recentWork is a sum of work that decays with shareWindow.
type recentWork struct {
	sum float64 // in tokens, at the time at
	at  time.Time
}

func (r *recentWork) add(now time.Time, work float64) { r.sum, r.at = r.value(now)+work, now }

func (r *recentWork) value(now time.Time) float64 {
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/shareWindow.Seconds())
}

// work returns the expected work of req in prompt tokens.
func (req Request) work() float64 {
	if req.CacheFrom != "" {
		return minWork
	}
	shared := float64(req.Prompt.Tokens - req.Prompt.Unique)
	return max(minWork, float64(req.Prompt.Unique)+sharedMissShare*shared)
}

// urgency returns the time by which the requests of one customer are ordered: the deadline
// for admission, less the time for which the caller has already tried. A caller that
// returns after a refusal thus goes before a new one.
func (req Request) urgency() time.Time {
	at := req.admissionDeadline()
	if !req.FirstSent.IsZero() && req.FirstSent.Before(req.Start) {
		at = at.Add(req.FirstSent.Sub(req.Start))
	}
	return at
}

// flow returns the state of the customer of req, which it creates if necessary.
func (f *fairness) flow(now time.Time, req Request) *flow {
	f.sweep(now)
	r := f.ranks[req.Rank]
	if r == nil {
		if f.ranks == nil {
			f.ranks = make(map[int]*rankFlows)
		}
		r = &rankFlows{flows: make(map[fleet.Customer]*flow)}
		f.ranks[req.Rank] = r
	}
	c := r.find(req.Customer)
	if c == nil {
		name := req.Customer
		if len(r.flows) >= maxFlows {
			name = sharedFlow
		}
		c = &flow{rank: r}
		r.flows[name] = c
		f.ordered = false
	}
	c.lastUsed = now
	return c
}

// find returns the state of a customer, or nil if there is none.
func (r *rankFlows) find(name fleet.Customer) *flow {
	if c := r.flows[name]; c != nil || len(r.flows) < maxFlows {
		return c
	}
	return r.flows[sharedFlow]
}

// sweep removes the state of idle customers.
func (f *fairness) sweep(now time.Time) {
	if now.Before(f.nextSweep) {
		return
	}
	f.nextSweep = now.Add(flowSweepInterval)
	for rank, r := range f.ranks {
		for name, c := range r.flows {
			if c.queued == 0 && now.Sub(c.lastUsed) > flowIdle {
				delete(r.flows, name)
				f.ordered = false
			}
		}
		if len(r.flows) == 0 {
			delete(f.ranks, rank)
		}
	}
}

// contested reports whether the customer of req competes with others of the same rank.
func (f *fairness) contested(req Request) bool {
	r := f.ranks[req.Rank]
	return r != nil && (len(r.flows) > 1 || len(r.flows) == 1 && r.find(req.Customer) == nil)
}

// sole reports whether no customer but that of req has requests in the pool, of any rank.
func (f *fairness) sole(req Request) bool {
	for _, r := range f.ranks {
		if len(r.flows) > 1 || len(r.flows) == 1 && r.find(req.Customer) == nil {
			return false
		}
	}
	return true
}

// start returns the tag of a request of c that is sent or queued before all others of c.
func (c *flow) start() float64 {
	if c.queued > 0 {
		return c.next
	}
	return max(c.next, c.rank.virtual)
}

// share returns the part of the recent work of the rank that was done for c, and an equal
// part for each customer.
func (c *flow) share(now time.Time) (measured, equal float64) {
	equal = 1 / float64(len(c.rank.flows))
	if total := c.rank.served.value(now); total > 0 {
		measured = c.served.value(now) / total
	}
	return measured, equal
}

// join accounts for a request of c that is queued.
func (f *fairness) join(c *flow) {
	c.next = c.start()
	c.queued++
	f.ordered = false
}

// leave accounts for a request of c that is no longer queued.
func (f *fairness) leave(c *flow) {
	c.queued--
	f.ordered = false
}

// charge accounts for a request of c that is sent to a target.
func (f *fairness) charge(now time.Time, c *flow, req Request) {
	start, work := c.start(), req.work()
	c.next = start + work
	c.rank.virtual = max(c.rank.virtual, start)
	c.served.add(now, work)
	c.rank.served.add(now, work)
	c.lastUsed = now
	if c.queued > 0 {
		f.ordered = false
	}
}

// serviceOrder returns the queued requests in the order of service. It is computed again
// only after a change to the queue, in O(n log n). The result is valid until then.
func (x *pool) serviceOrder() []turn {
	f := &x.fair
	if f.ordered {
		return f.order
	}
	f.order = f.order[:0]
	begin := 0
	for i, w := range x.waiting {
		if w.request.Rank != x.waiting[begin].request.Rank {
			x.arrange(f.order[begin:])
			begin = i
		}
		f.order = append(f.order, turn{index: i, flow: w.flow, urgency: w.request.urgency()})
	}
	x.arrange(f.order[begin:])
	f.ordered = true
	return f.order
}

// arrange sorts the queued requests of one rank by tag. It keeps their order if they are of
// the only customer.
func (x *pool) arrange(list []turn) {
	if len(list) == 0 {
		return
	}
	contested := len(list[0].flow.rank.flows) > 1
	byUrgency := func(a, b turn) int { return cmp.Or(a.urgency.Compare(b.urgency), cmp.Compare(a.index, b.index)) }
	if contested {
		slices.SortFunc(list, byUrgency)
	}
	for _, t := range list {
		t.flow.tagged = t.flow.next
	}
	for i := range list {
		t := &list[i]
		t.tag = t.flow.tagged
		t.flow.tagged += x.waiting[t.index].request.work()
	}
	if contested {
		slices.SortFunc(list, func(a, b turn) int { return cmp.Or(cmp.Compare(a.tag, b.tag), byUrgency(a, b)) })
	}
}

// position is the place of a request in the order of service.
type position struct {
	ahead int // queued requests
	own   int // those of the same customer and rank among them
	work  float64
}

// positionOf returns the position that req has if it is queued now. Retries do not count:
// they wait for targets other than those that they exclude, and get the capacity that
// becomes free there before new requests do.
func (x *pool) positionOf(req Request) position {
	var at position
	if len(x.waiting) == 0 {
		return at
	}
	contested := x.fair.contested(req)
	var own *flow
	var tag float64
	if r := x.fair.ranks[req.Rank]; r != nil {
		if own, tag = r.find(req.Customer), r.virtual; own != nil {
			tag = own.start()
		}
	}
	order, urgency := x.serviceOrder(), req.urgency()
	if contested {
		for _, t := range order {
			if t.flow == own && !t.urgency.After(urgency) {
				tag = t.tag + x.waiting[t.index].request.work()
			}
		}
	}
	for _, t := range order {
		w := &x.waiting[t.index].request
		switch {
		case w.Rank > req.Rank || len(w.Exclude) > 0:
			continue
		case w.Rank == req.Rank && contested && t.flow != own && t.tag > tag:
			continue
		case t.flow == own && contested && t.urgency.After(urgency):
			continue
		case t.flow == own:
			at.own++
		}
		at.ahead++
		at.work += w.work()
	}
	return at
}

// countAhead returns the number of queued requests that go before req.
func (x *pool) countAhead(req Request) int { return x.positionOf(req).ahead }

// admissions returns the number of admissions until req is admitted at the given position.
// Requests of other customers that come later go before those of a customer above its share,
// so that these are admitted only at the rate of its measured share.
func (p *Placer) admissions(now time.Time, x *pool, req Request, at position) int {
	if !x.fair.contested(req) {
		return at.ahead + 1
	}
	n := float64(at.ahead)
	if req.Split && p.usesBacklog(now, x, req) {
		// Each admission is expected to take the work of req then.
		n = at.work / req.work()
	}
	if measured, equal := x.fair.flow(now, req).share(now); measured > equal {
		n = max(n, float64(at.own)/measured)
	}
	return int(math.Ceil(n)) + 1
}

// retrySpacing returns the number of admissions between two retry times that the customer
// of req gets: those in which it is expected to get one.
func (x *pool) retrySpacing(now time.Time, req Request) int {
	if !x.fair.contested(req) {
		return 1
	}
	return max(1, int(math.Round(1/max(x.fair.flow(now, req).share(now)))))
}

// lastRetry returns the retry time that was given last to the customer and rank of req, or to
// any refused caller if no other customer has requests in the pool.
func (x *pool) lastRetry(now time.Time, req Request) time.Time {
	if x.fair.sole(req) {
		return x.lastRetryAt
	}
	return x.fair.flow(now, req).lastRetryAt
}

// setLastRetry records the retry time of a refused caller.
func (x *pool) setLastRetry(now time.Time, req Request, at time.Time) {
	x.lastRetryAt = at
	x.fair.flow(now, req).lastRetryAt = at
}

// Standing is the place of a customer in the fair order, for the log.
type Standing struct {
	Ahead     int     // queued requests that go before one like the given one
	Customers int     // that have had requests of this pool and rank lately
	Share     float64 // of the recent work for these customers, from 0 to 1
}

// Standing returns the place of a request like req at now.
func (p *Placer) Standing(now time.Time, req Request) Standing {
	x := p.pool(req.Pool)
	s := Standing{Ahead: x.positionOf(req).ahead}
	if r := x.fair.ranks[req.Rank]; r != nil {
		s.Customers = len(r.flows)
		if c := r.find(req.Customer); c != nil {
			s.Share, _ = c.share(now)
		}
	}
	return s
}

// Competing returns the number of customers of the pool and rank that has most of them. Those
// without requests for some seconds do not count, except after the last request of the pool.
func (p *Placer) Competing() int {
	n := 0
	for _, x := range p.pools {
		for _, r := range x.fair.ranks {
			n = max(n, len(r.flows))
		}
	}
	return n
}
