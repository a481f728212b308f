package admit

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	urgentGuard    = 0.1             // share of slots and prompt depth that patient work leaves free
	urgentAhead    = 2 * time.Second // of capacity that urgent work of one customer may run ahead of another's patient work
	drainWeight    = 0.2
	drainInterval  = time.Second
	overheadWeight = 0.05
	trustOverhead  = 10 * time.Second // age at which what was learned of the overhead has lost 63% of its weight
	minimumPrompts = 1.0              // prompts each target may always hold
)

// drain measures how fast waiting work is handed over, in price per second.
type drain struct {
	rate  [classes]float64
	sum   [classes]float64
	since time.Time
}

// expectedWait is the time until the customer's next request of this class is
// handed over.
func (q *Queue) expectedWait(c *customer, i *item) time.Duration {
	s := &q.class[i.Class]
	b := &c.queues[i.Class]
	weights := s.weights
	if b.empty() {
		weights += c.weight
	}
	ahead := math.Min(b.price*weights/c.weight, s.waiting)
	if i.Class == fleet.Patient {
		ahead += q.class[fleet.Urgent].waiting
	}
	rate := math.Max(q.drained.rate[i.Class], q.capacity.Targets*0.1)
	if q.drained.rate[i.Class] == 0 {
		rate = q.capacity.Targets
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

func (q *Queue) measure(now time.Time) {
	d := &q.drained
	if d.since.IsZero() {
		d.since = now
	}
	span := now.Sub(d.since)
	if span < drainInterval {
		return
	}
	for c := range d.rate {
		// Without a backlog the hand-over rate is the arrival rate and says
		// nothing about capacity.
		if len(q.active[c].list) > 0 {
			r := d.sum[c] / span.Seconds()
			if d.rate[c] == 0 {
				d.rate[c] = r
			}
			d.rate[c] += drainWeight * (r - d.rate[c])
		}
		d.sum[c] = 0
	}
	d.since = now
}

// dispatch hands over waiting requests while the targets have room, urgent
// ones first.
func (q *Queue) dispatch(now time.Time) {
	q.measure(now)
	reserved := q.reserved(now)
	for {
		b := q.first(reserved)
		if b == nil {
			return
		}
		q.hand(now, b)
	}
}

// first returns the backlog whose turn it is. Urgent work goes before patient
// work, unless its customer is so far ahead of its share that the patient work
// of another would pay for it.
func (q *Queue) first(reserved float64) *backlog {
	var u, p *backlog
	if l := q.active[fleet.Urgent].list; len(l) > 0 && q.room(fleet.Urgent, reserved) {
		u = l[0]
	}
	if l := q.active[fleet.Patient].list; len(l) > 0 && q.room(fleet.Patient, reserved) {
		p = l[0]
	}
	if u == nil || p == nil {
		if u == nil {
			return p
		}
		return u
	}
	weights := q.class[fleet.Urgent].weights + q.class[fleet.Patient].weights
	slack := urgentAhead.Seconds() * q.capacity.Targets / math.Max(weights, 1)
	if p.owner.start+slack < u.owner.start {
		return p
	}
	return u
}

// reserved is the share of capacity that patient work may not use now.
func (q *Queue) reserved(now time.Time) float64 {
	r := urgentGuard
	for _, w := range q.windows {
		if !now.Before(w.Opens.Add(-q.o.Lead)) && now.Before(w.Closes) {
			r = math.Max(r, w.Reserved)
		}
	}
	return r
}

// room says whether the targets can take another request of a class. Engines
// process urgent prompts first, so that patient prompts don't use up the depth
// that urgent ones may fill.
func (q *Queue) room(class fleet.Class, reserved float64) bool {
	u, p := &q.class[fleet.Urgent], &q.class[fleet.Patient]
	depth := q.o.PrefillDepth.Seconds() * q.capacity.Prefilling
	least := q.capacity.Prefilling * minimumPrompts
	running := u.running + p.running
	if running >= q.capacity.Slots {
		return false
	}
	if class == fleet.Urgent {
		return u.prompts < depth || u.running < least
	}
	if running >= q.capacity.Slots*(1-urgentGuard) || p.running >= q.capacity.Slots*(1-reserved) {
		return false
	}
	return u.prompts+p.prompts < depth*(1-reserved) || running < least
}

// hand dispatches the first request of a backlog.
func (q *Queue) hand(now time.Time, b *backlog) {
	i := b.list[b.head]
	s := &q.class[b.class]
	c := i.owner
	q.virtual = math.Max(q.virtual, c.start)
	c.finish = c.start + i.charged/c.weight
	c.start = c.finish
	q.unqueue(i)
	q.reorder(c)
	i.gone, i.dispatched, i.handed = false, true, now
	i.owner.inFlight++
	s.prompts += i.prompt
	s.running++
	q.drained.sum[b.class] += i.charged
	q.actions = append(q.actions, Action{ID: i.ID, Reason: Dispatch, Output: i.output})
}

// reorder restores the order after a customer's start tag has changed.
func (q *Queue) reorder(c *customer) {
	for k := range c.queues {
		if c.queues[k].place > 0 {
			q.active[k].put(&c.queues[k])
		}
	}
}

// overhead follows the time from hand-over to first token beyond the price of
// the prompt, in seconds, as moving averages.
type overhead struct {
	mean, spread float64
	learned      time.Time
}

// bound is the time to leave for it. The mean alone let p99 of the first token
// rise to 444 ms against a promise of 330 ms; mean plus a whole mean deviation
// refused requests that would have been in time (goodput 97.1 to 93.8% under a
// swing). It loses weight while nothing is learned: a bound above the promise
// refuses all urgent work, so that nothing would show that it has become wrong.
func (o overhead) bound(now time.Time) float64 {
	return math.Max(0, o.mean+o.spread/2) * o.trust(now)
}

// trust stays near 1 over the usual gap between two first tokens.
func (o overhead) trust(now time.Time) float64 {
	age := float64(now.Sub(o.learned)) / float64(trustOverhead)
	return math.Exp(-age * age)
}

// learnOverhead follows how long first tokens of urgent requests take beyond
// the price of their prompts: queues at the targets, batches and the network.
func (q *Queue) learnOverhead(now time.Time, i *item) {
	if i.first || i.Class != fleet.Urgent {
		return
	}
	x := now.Sub(i.handed).Seconds() - i.prompt
	o := &q.overhead
	w := math.Max(overheadWeight, 1-o.trust(now))
	o.learned = now
	o.mean += w * (x - o.mean)
	o.spread += w * (math.Abs(x-o.mean) - o.spread)
}

func (q *Queue) firstToken(i *item) {
	if i.first {
		return
	}
	i.first = true
	s := &q.class[i.Class]
	s.prompts = math.Max(0, s.prompts-i.prompt)
}

// progress raises the estimate of an answer that has outgrown it, and charges
// the customer for the difference.
func (q *Queue) progress(e Progress) {
	i := q.items[e.ID]
	if i == nil || !i.dispatched {
		return
	}
	q.firstToken(i)
	if e.OutputTokens > i.output {
		q.charge(i, i.PromptTokens, e.OutputTokens*overrunExtension)
	}
}

// charge sets what a request costs its customer.
func (q *Queue) charge(i *item, prompt, output float64) {
	if i.owner.limited {
		q.o.Limits.refund(i.owner.name, i.PromptTokens+i.output-prompt-output, 0)
	}
	price := prompt*q.capacity.PrefillPrice + output*q.capacity.DecodePrice
	d := (price - i.charged) / i.owner.weight
	i.owner.finish += d
	if i.owner.waiting > 0 {
		i.owner.start += d
		q.reorder(i.owner)
	}
	i.output, i.charged, i.PromptTokens = output, price, prompt
}

func (q *Queue) done(e Done) {
	i := q.items[e.ID]
	if i == nil || !i.dispatched {
		return
	}
	q.charge(i, e.PromptTokens, e.OutputTokens)
	q.end(i)
	if !e.Failed {
		q.estimates.learn(i.Customer, i.Route, e.OutputTokens)
	}
}

// end takes a running request out of the sums.
func (q *Queue) end(i *item) {
	q.firstToken(i)
	q.class[i.Class].running--
	i.owner.inFlight--
	delete(q.items, i.ID)
}

func (q *Queue) cancel(id fleet.RequestID) {
	i := q.items[id]
	switch {
	case i == nil:
	case i.dispatched:
		q.end(i)
	default:
		q.unqueue(i)
		q.refund(i)
		delete(q.items, id)
	}
}
