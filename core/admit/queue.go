package admit

import (
	"math"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

const classCount = 2

// Options configures a Queue.
type Options struct {
	MaxPerCustomer int           // maximum number of waiting requests of one customer; 0 means 256
	MaxTotal       int           // maximum number of waiting requests; 0 means 4096
	PrefillDepth   time.Duration // prompt work that is dispatched and not yet processed, per target; 0 means 250 ms
	WindowLead     time.Duration // how long before a window opens its Reserved share applies; 0 means 10 s
	Limits         *Limits       // shared by the queues of all pools; if nil, all requests of limited customers are refused
}

// Queue admits the requests of one pool. Use New to create one.
type Queue struct {
	options       Options
	capacity      Capacity
	windows       []config.Window
	customers     map[fleet.Customer]*customer
	requests      map[fleet.RequestID]*request
	backlogs      [classCount]indexedHeap[*backlog]
	byRefuseAt    indexedHeap[*request]
	byWaiting     indexedHeap[*customer]
	totals        [classCount]classTotals
	estimates     estimates
	actions       []Action
	dispatchRates dispatchRates
	virtualTime   float64 // highest start tag of a dispatched request
	overhead      overhead
}

// classTotals holds sums over the requests of one class.
type classTotals struct {
	weights     float64 // sum over customers with waiting requests
	waitingCost float64 // cost of waiting requests
	promptCost  float64 // cost of prompts that are dispatched and not yet processed
	running     float64 // number of running requests
}

// customer is the state of a customer at this queue. Start and finish tags are those
// of start-time fair queueing.
type customer struct {
	name         fleet.Customer
	weight       float64
	limited      bool
	startTag     float64 // start tag of the next request, in cost divided by weight
	finishTag    float64 // finish tag of the last dispatched request
	queues       [classCount]backlog
	waiting      int
	inFlight     int
	heapPosition int
}

// backlog is the queue of one customer and class.
type backlog struct {
	owner        *customer
	class        fleet.Class
	requests     []*request
	head         int
	cost         float64
	heapPosition int
}

type request struct {
	Submit
	owner          *customer
	outputTokens   float64 // estimate
	chargedCost    float64 // cost charged to the customer so far
	promptCost     float64 // cost of the prompt
	refuseAt       time.Time
	dispatched     bool
	dispatchedAt   time.Time
	firstTokenSeen bool
	removed        bool // no longer waiting, but possibly still in backlog.requests
	heapPosition   int
}

func (b *backlog) position() *int  { return &b.heapPosition }
func (c *customer) position() *int { return &c.heapPosition }
func (r *request) position() *int  { return &r.heapPosition }

// New returns an empty queue with a capacity of zero.
func New(o Options) *Queue {
	if o.MaxPerCustomer == 0 {
		o.MaxPerCustomer = 256
	}
	if o.MaxTotal == 0 {
		o.MaxTotal = 4096
	}
	if o.PrefillDepth == 0 {
		o.PrefillDepth = 250 * time.Millisecond
	}
	if o.WindowLead == 0 {
		o.WindowLead = 10 * time.Second
	}
	if o.Limits == nil {
		o.Limits = &Limits{}
	}
	q := &Queue{
		options:   o,
		customers: make(map[fleet.Customer]*customer),
		requests:  make(map[fleet.RequestID]*request),
		estimates: make(estimates),
	}
	for c := range q.backlogs {
		q.backlogs[c].less = func(a, b *backlog) bool { return a.owner.startTag < b.owner.startTag }
	}
	q.byRefuseAt.less = func(a, b *request) bool { return a.refuseAt.Before(b.refuseAt) }
	q.byWaiting.less = func(a, b *customer) bool { return a.waiting > b.waiting }
	return q
}

// Step applies an event and returns the resulting actions. The slice is valid
// until the next call of Step.
func (q *Queue) Step(now time.Time, e Event) []Action {
	q.actions = q.actions[:0]
	switch e := e.(type) {
	case Configure:
		q.configure(e)
	case Capacity:
		q.capacity = e
		if q.capacity.PrefillTargets == 0 {
			q.capacity.PrefillTargets = e.Targets
		}
	case Submit:
		q.submit(now, e)
	case FirstToken:
		if req := q.requests[e.ID]; req != nil && req.dispatched {
			q.recordOverhead(now, req)
			q.recordFirstToken(req)
		}
	case Progress:
		q.progress(e)
	case Done:
		q.done(e)
	case Cancel:
		q.cancel(e.ID)
	case Tick:
	}
	q.expire(now)
	q.dispatch(now)
	return q.actions
}

// Next returns when the next Tick is due, or the zero time if no request is
// waiting.
func (q *Queue) Next() time.Time {
	if len(q.byRefuseAt.elements) == 0 {
		return time.Time{}
	}
	return q.byRefuseAt.elements[0].refuseAt
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.byRefuseAt.elements) }

// configure keeps customers that are not in e while they have waiting or running
// requests, with their last weight.
func (q *Queue) configure(e Configure) {
	q.windows = e.Windows
	known := make(map[fleet.Customer]bool, len(e.Customers))
	for _, c := range e.Customers {
		known[c.Name] = true
		state := q.customer(c.Name)
		for class := range state.queues {
			if state.queues[class].heapPosition > 0 {
				q.totals[class].weights += float64(max(c.Weight, 1)) - state.weight
			}
		}
		state.weight = float64(max(c.Weight, 1))
		state.limited = c.TokensPerSecond > 0 || c.RequestsPerSec > 0
	}
	for name, c := range q.customers {
		if !known[name] && c.waiting == 0 && c.inFlight == 0 {
			delete(q.customers, name)
		}
	}
}

func (q *Queue) customer(name fleet.Customer) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, weight: 1}
		for class := range c.queues {
			c.queues[class] = backlog{owner: c, class: fleet.Class(class)}
		}
		q.customers[name] = c
	}
	return c
}

func (q *Queue) submit(now time.Time, e Submit) {
	if q.requests[e.ID] != nil || int(e.Class) >= classCount {
		q.refuse(e.ID, Full, 0)
		return
	}
	c := q.customer(e.Customer)
	req := &request{Submit: e, owner: c, outputTokens: q.estimates.predict(e.Customer, e.Route, e.MaxOutput)}
	req.promptCost = e.PromptTokens * q.capacity.PrefillCost
	req.chargedCost = req.promptCost + req.outputTokens*q.capacity.DecodeCost
	req.refuseAt = q.latestStart(now, req)
	if c.limited {
		if wait, ok := q.options.Limits.spend(now, c.name, req.PromptTokens+req.outputTokens); !ok {
			q.refuse(e.ID, Limited, wait)
			return
		}
	}
	wait := q.expectedWait(c, req)
	if now.Add(wait).After(req.refuseAt) {
		q.refund(req)
		q.refuse(e.ID, Late, wait)
		return
	}
	if c.waiting >= q.options.MaxPerCustomer || (q.Waiting() >= q.options.MaxTotal && !q.makeRoom(c, e.Class)) {
		q.refund(req)
		q.refuse(e.ID, Full, wait)
		return
	}
	q.requests[e.ID] = req
	q.enqueue(req)
}

// latestStart returns the latest time at which the request can be dispatched and
// still meet its deadlines.
func (q *Queue) latestStart(now time.Time, req *request) time.Time {
	prompt := time.Duration((req.promptCost + q.overhead.allowance(now)) * float64(time.Second))
	latest := req.Deadline.Add(-prompt)
	if !req.FirstTokenBy.IsZero() && req.FirstTokenBy.Add(-prompt).Before(latest) {
		latest = req.FirstTokenBy.Add(-prompt)
	}
	return latest
}

func (q *Queue) enqueue(req *request) {
	b := &req.owner.queues[req.Class]
	totals := &q.totals[req.Class]
	if req.owner.waiting == 0 {
		req.owner.startTag = math.Max(q.virtualTime, req.owner.finishTag)
	}
	if b.empty() {
		totals.weights += req.owner.weight
	}
	b.requests = append(b.requests, req)
	b.cost += req.chargedCost
	totals.waitingCost += req.chargedCost
	q.backlogs[req.Class].put(b)
	q.byRefuseAt.put(req)
	req.owner.waiting++
	q.byWaiting.put(req.owner)
}

func (b *backlog) empty() bool { return b.head == len(b.requests) }

// dequeue removes a waiting request from all heaps and sums. The request stays in
// its backlog's list, marked as removed, until it reaches the head.
func (q *Queue) dequeue(req *request) {
	b := &req.owner.queues[req.Class]
	totals := &q.totals[req.Class]
	req.removed = true
	b.cost = math.Max(0, b.cost-req.chargedCost)
	totals.waitingCost = math.Max(0, totals.waitingCost-req.chargedCost)
	q.byRefuseAt.remove(req)
	req.owner.waiting--
	if req.owner.waiting == 0 {
		q.byWaiting.remove(req.owner)
	} else {
		q.byWaiting.put(req.owner)
	}
	for !b.empty() && b.requests[b.head].removed {
		b.requests[b.head] = nil
		b.head++
	}
	if b.empty() {
		b.requests, b.head, b.cost = b.requests[:0], 0, 0
		q.backlogs[req.Class].remove(b)
		totals.weights -= req.owner.weight
		if len(q.backlogs[req.Class].elements) == 0 {
			totals.weights, totals.waitingCost = 0, 0
		}
	} else if b.head > 64 && b.head > len(b.requests)/2 {
		b.requests, b.head = append(b.requests[:0], b.requests[b.head:]...), 0
	}
}

func (q *Queue) refuse(id fleet.RequestID, d Decision, retryAfter time.Duration) {
	q.actions = append(q.actions, Action{ID: id, Decision: d, RetryAfter: retryAfter})
}

// makeRoom displaces a request from a full queue and reports whether it could. It
// takes the newest request of the customer with the most waiting requests, a
// patient one if there is any. A customer with few waiting requests is therefore
// not refused because of another customer's backlog. A patient request displaces
// nothing unless that customer has at least two more waiting requests than c.
func (q *Queue) makeRoom(c *customer, class fleet.Class) bool {
	longest := q.byWaiting.elements[0]
	if longest.waiting <= c.waiting+1 && class == fleet.Patient {
		return false
	}
	for k := range longest.queues {
		if fleet.Class(k) > class && longest.waiting <= c.waiting+1 {
			continue
		}
		b := &longest.queues[k]
		for n := len(b.requests) - 1; n >= b.head; n-- {
			if req := b.requests[n]; !req.removed {
				q.refuseWaiting(req, Displaced)
				return true
			}
		}
	}
	return false
}

// refuseWaiting refuses a waiting request.
func (q *Queue) refuseWaiting(req *request, d Decision) {
	q.dequeue(req)
	q.refund(req)
	delete(q.requests, req.ID)
	q.refuse(req.ID, d, 0)
}

func (q *Queue) expire(now time.Time) {
	for len(q.byRefuseAt.elements) > 0 && q.byRefuseAt.elements[0].refuseAt.Before(now) {
		q.refuseWaiting(q.byRefuseAt.elements[0], Late)
	}
}

// refund returns to the customer's limits what a request that has not run took
// from them.
func (q *Queue) refund(req *request) {
	if req.owner.limited {
		q.options.Limits.refund(req.owner.name, req.PromptTokens+req.outputTokens, 1)
	}
}
