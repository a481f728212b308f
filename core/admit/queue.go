package admit

import (
	"math"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

const classes = 2

// Options bounds a Queue. Zero fields take defaults.
type Options struct {
	MaxPerCustomer int           // waiting requests of one customer; 0 means 256
	MaxTotal       int           // waiting requests; 0 means 4096
	PrefillDepth   time.Duration // prompt work handed over and not yet processed, per target; 0 means 250 ms
	Lead           time.Duration // time before a window opens in which patient work is already held back; 0 means 10 s
	Limits         *Limits       // shared by the queues of all pools; nil grants limited customers nothing
}

// Queue admits the requests of one pool. Use New.
type Queue struct {
	o         Options
	capacity  Capacity
	windows   []config.Window
	customers map[fleet.Customer]*customer
	items     map[fleet.RequestID]*item
	active    [classes]ordered[*backlog]
	expiry    ordered[*item]
	longest   ordered[*customer]
	class     [classes]classState
	estimates estimates
	actions   []Action
	drained   drain
	virtual   float64 // highest start tag that was dispatched
	overhead  overhead
}

// classState sums the requests of one class.
type classState struct {
	weights float64 // of customers with waiting requests
	waiting float64 // price of waiting requests
	prompts float64 // price of prompts handed over and not yet processed
	running float64 // requests handed over
}

type customer struct {
	name     fleet.Customer
	weight   float64
	limited  bool
	start    float64 // start tag of the next request, price over weight
	finish   float64 // finish tag of the last dispatched request
	queues   [classes]backlog
	waiting  int
	inFlight int
	place    int
}

// backlog is the queue of one customer and class.
type backlog struct {
	owner *customer
	class fleet.Class
	list  []*item
	head  int
	price float64
	place int
}

type item struct {
	Submit
	owner      *customer
	output     float64 // estimated output tokens
	charged    float64 // price charged to the customer so far
	prompt     float64 // price of the prompt
	refuseAt   time.Time
	dispatched bool
	handed     time.Time // when it was dispatched
	first      bool
	gone       bool // refused or cancelled while in the middle of a backlog
	place      int
}

func (b *backlog) position() *int  { return &b.place }
func (c *customer) position() *int { return &c.place }
func (i *item) position() *int     { return &i.place }

// New returns an empty queue without capacity.
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
	if o.Lead == 0 {
		o.Lead = 10 * time.Second
	}
	if o.Limits == nil {
		o.Limits = &Limits{}
	}
	q := &Queue{
		o:         o,
		customers: make(map[fleet.Customer]*customer),
		items:     make(map[fleet.RequestID]*item),
		estimates: make(estimates),
	}
	for c := range q.active {
		q.active[c].less = func(a, b *backlog) bool { return a.owner.start < b.owner.start }
	}
	q.expiry.less = func(a, b *item) bool { return a.refuseAt.Before(b.refuseAt) }
	q.longest.less = func(a, b *customer) bool { return a.waiting > b.waiting }
	return q
}

// Step applies an event. The result is valid until the next Step.
func (q *Queue) Step(now time.Time, e Event) []Action {
	q.actions = q.actions[:0]
	switch e := e.(type) {
	case Configure:
		q.configure(e)
	case Capacity:
		q.capacity = e
		if q.capacity.Prefilling == 0 {
			q.capacity.Prefilling = e.Targets
		}
	case Submit:
		q.submit(now, e)
	case FirstToken:
		if i := q.items[e.ID]; i != nil && i.dispatched {
			q.learnOverhead(now, i)
			q.firstToken(i)
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

// Next returns when the next Tick is due; zero means that nothing waits.
func (q *Queue) Next() time.Time {
	if len(q.expiry.list) == 0 {
		return time.Time{}
	}
	return q.expiry.list[0].refuseAt
}

// Waiting is the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.expiry.list) }

func (q *Queue) configure(e Configure) {
	q.windows = e.Windows
	known := make(map[fleet.Customer]bool, len(e.Customers))
	for _, c := range e.Customers {
		known[c.Name] = true
		x := q.customer(c.Name)
		for class := range x.queues {
			if x.queues[class].place > 0 {
				q.class[class].weights += float64(max(c.Weight, 1)) - x.weight
			}
		}
		x.weight = float64(max(c.Weight, 1))
		x.limited = c.TokensPerSecond > 0 || c.RequestsPerSec > 0
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
	if q.items[e.ID] != nil || int(e.Class) >= classes {
		q.refuse(e.ID, Full, 0)
		return
	}
	c := q.customer(e.Customer)
	i := &item{Submit: e, owner: c, output: q.estimates.of(e.Customer, e.Route, e.MaxOutput)}
	i.prompt = e.PromptTokens * q.capacity.PrefillPrice
	i.charged = i.prompt + i.output*q.capacity.DecodePrice
	i.refuseAt = q.latestStart(now, i)
	if c.limited {
		if wait, ok := q.o.Limits.spend(now, c.name, i.PromptTokens+i.output); !ok {
			q.refuse(e.ID, Limited, wait)
			return
		}
	}
	wait := q.expectedWait(c, i)
	if now.Add(wait).After(i.refuseAt) {
		q.refund(i)
		q.refuse(e.ID, Late, wait)
		return
	}
	if c.waiting >= q.o.MaxPerCustomer || (q.Waiting() >= q.o.MaxTotal && !q.displace(c, e.Class)) {
		q.refund(i)
		q.refuse(e.ID, Full, wait)
		return
	}
	q.items[e.ID] = i
	q.enqueue(i)
}

// latestStart is the time after which handing the request over cannot keep its
// promise.
func (q *Queue) latestStart(now time.Time, i *item) time.Time {
	prompt := time.Duration((i.prompt + q.overhead.bound(now)) * float64(time.Second))
	by := i.Deadline.Add(-prompt)
	if !i.FirstTokenBy.IsZero() && i.FirstTokenBy.Add(-prompt).Before(by) {
		by = i.FirstTokenBy.Add(-prompt)
	}
	return by
}

func (q *Queue) enqueue(i *item) {
	b := &i.owner.queues[i.Class]
	s := &q.class[i.Class]
	if i.owner.waiting == 0 {
		i.owner.start = math.Max(q.virtual, i.owner.finish)
	}
	if b.empty() {
		s.weights += i.owner.weight
	}
	b.list = append(b.list, i)
	b.price += i.charged
	s.waiting += i.charged
	q.active[i.Class].put(b)
	q.expiry.put(i)
	i.owner.waiting++
	q.longest.put(i.owner)
}

func (b *backlog) empty() bool { return b.head == len(b.list) }

// unqueue takes a waiting item out of all sums. The item stays in its
// backlog's list, marked as gone, until it reaches the head.
func (q *Queue) unqueue(i *item) {
	b := &i.owner.queues[i.Class]
	s := &q.class[i.Class]
	i.gone = true
	b.price = math.Max(0, b.price-i.charged)
	s.waiting = math.Max(0, s.waiting-i.charged)
	q.expiry.drop(i)
	i.owner.waiting--
	if i.owner.waiting == 0 {
		q.longest.drop(i.owner)
	} else {
		q.longest.put(i.owner)
	}
	for !b.empty() && b.list[b.head].gone {
		b.list[b.head] = nil
		b.head++
	}
	if b.empty() {
		b.list, b.head, b.price = b.list[:0], 0, 0
		q.active[i.Class].drop(b)
		s.weights -= i.owner.weight
		if len(q.active[i.Class].list) == 0 {
			s.weights, s.waiting = 0, 0
		}
	} else if b.head > 64 && b.head > len(b.list)/2 {
		b.list, b.head = append(b.list[:0], b.list[b.head:]...), 0
	}
}

func (q *Queue) refuse(id fleet.RequestID, r Reason, after time.Duration) {
	q.actions = append(q.actions, Action{ID: id, Reason: r, RetryAfter: after})
}

// displace makes room in a full queue: the newest patient request of the
// customer with the longest queue goes first, so that a customer with little
// waiting is not refused because of another's backlog.
func (q *Queue) displace(c *customer, class fleet.Class) bool {
	l := q.longest.list[0]
	if l.waiting <= c.waiting+1 && class == fleet.Patient {
		return false
	}
	for k := range l.queues {
		if fleet.Class(k) > class && l.waiting <= c.waiting+1 {
			continue
		}
		b := &l.queues[k]
		for n := len(b.list) - 1; n >= b.head; n-- {
			if i := b.list[n]; !i.gone {
				q.drop(i, Displaced)
				return true
			}
		}
	}
	return false
}

// drop refuses a waiting request.
func (q *Queue) drop(i *item, r Reason) {
	q.unqueue(i)
	q.refund(i)
	delete(q.items, i.ID)
	q.refuse(i.ID, r, 0)
}

func (q *Queue) expire(now time.Time) {
	for len(q.expiry.list) > 0 && q.expiry.list[0].refuseAt.Before(now) {
		q.drop(q.expiry.list[0], Late)
	}
}

// refund gives back what a request took that has not run.
func (q *Queue) refund(i *item) {
	if i.owner.limited {
		q.o.Limits.refund(i.owner.name, i.PromptTokens+i.output, 1)
	}
}
