package quota

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// maxQueue limits the requests of one customer that wait at a gateway.
	maxQueue = 256
	// maxReports is the number of the newest reports whose times a gateway remembers. A lease
	// that answers an older one has nearly expired or has expired.
	maxReports = 256
	// minRetry is the least time after which a refused caller is told to return.
	minRetry = 100 * time.Millisecond
	// unknownRetry is that time if it is not known when a request can be charged.
	unknownRetry = 5 * time.Second
)

// Action is the decision on a request.
type Action uint8

// Actions.
const (
	Admit  Action = iota // the request is charged
	Wait                 // Tick decides on the request
	Refuse               // the request exceeds the limit
)

// Decision is the decision on one request with its inputs.
type Decision struct {
	ID      uint64
	Action  Action
	Charge  Charge    // if Action is Admit
	RetryAt time.Time // if Action is Refuse: when the customer may expect to be admitted

	Level  float64 // that was available
	Share  float64 // of the limit that the gateway holds
	Leased bool    // the share is leased; otherwise it is the fallback share
	Queued int     // requests of the customer that wait
}

// Charge is a charge that can be credited.
type Charge struct {
	Customer fleet.Customer
	Amount   float64
	At       time.Time
}

// Limiter is the part of a gateway. Use NewLimiter to create one.
type Limiter struct {
	bounds   Bounds
	buckets  map[fleet.Customer]*bucket
	names    []fleet.Customer // of buckets, sorted
	term     uint64
	applied  uint64 // sequence of the newest update of the term
	sequence uint64 // of the newest report
	sentAt   [maxReports]time.Time
	urgent   bool
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(b Bounds) *Limiter {
	return &Limiter{bounds: b, buckets: make(map[fleet.Customer]*bucket)}
}

// SetLimits replaces the limits. The level of a bucket is kept up to its new depth. It returns
// decisions on requests that wait and are not limited any more.
func (l *Limiter) SetLimits(now time.Time, limits []Limit) (out []Decision) {
	buckets := make(map[fleet.Customer]*bucket, len(limits))
	l.names = nil
	for _, limit := range limits {
		b := l.buckets[limit.Customer]
		if b == nil {
			b = &bucket{bounds: l.bounds, at: now}
		}
		b.advance(now)
		b.limit = limit
		if _, depth := b.rates(b.leased(now)); b.level > depth {
			b.level = depth
		}
		buckets[limit.Customer] = b
		l.names = append(l.names, limit.Customer)
	}
	for name, b := range l.buckets {
		if buckets[name] == nil {
			for _, w := range b.queue {
				out = append(out, Decision{ID: w.id, Action: Admit})
			}
		}
	}
	slices.Sort(l.names)
	l.buckets = buckets
	return out
}

// Limited reports whether there are limits.
func (l *Limiter) Limited() bool { return len(l.buckets) > 0 }

// Leased reports whether the leases are valid.
func (l *Limiter) Leased(now time.Time) bool {
	for _, b := range l.buckets {
		if b.leased(now) {
			return true
		}
	}
	return false
}

// Offer decides on a request of a customer. A request that can be charged before giveUp
// waits.
func (l *Limiter) Offer(now time.Time, id uint64, customer fleet.Customer, cost float64, giveUp time.Time) Decision {
	b := l.buckets[customer]
	if b == nil {
		return Decision{ID: id, Action: Admit}
	}
	b.advance(now)
	b.observe(now, cost)
	if len(b.queue) == 0 && b.covers(cost) {
		return b.admit(now, id, cost)
	}
	at, ok := b.readyAt(now, b.queued(), cost)
	if !ok || !at.Before(giveUp) || len(b.queue) >= maxQueue {
		return b.refuse(now, id, cost)
	}
	b.queue = append(b.queue, waiter{id, cost, giveUp})
	l.urgent = true
	return b.decide(now, id, Wait)
}

func (b *bucket) decide(now time.Time, id uint64, a Action) Decision {
	return Decision{ID: id, Action: a, Level: b.available(), Share: b.share, Leased: b.leased(now), Queued: len(b.queue)}
}

func (b *bucket) admit(now time.Time, id uint64, cost float64) Decision {
	d := b.decide(now, id, Admit)
	b.charge(cost)
	d.Charge = Charge{b.limit.Customer, cost, now}
	return d
}

func (b *bucket) refuse(now time.Time, id uint64, cost float64) Decision {
	d := b.decide(now, id, Refuse)
	at, ok := b.readyAt(now, b.queued(), cost)
	if !ok {
		at = now.Add(unknownRetry)
	}
	if d.RetryAt = at; at.Before(now.Add(minRetry)) {
		d.RetryAt = now.Add(minRetry)
	}
	return d
}

// Credit returns the charge of a request that has ended without having run. It reports
// whether the charge is recent enough for that.
func (l *Limiter) Credit(now time.Time, c Charge) bool {
	b := l.buckets[c.Customer]
	if b == nil || c.Amount <= 0 || now.Sub(c.At) > l.bounds.creditAge() {
		return false
	}
	b.advance(now)
	b.credit(now, c.Amount)
	return true
}

// Withdraw removes a request that waits. It returns false if Tick or Apply has decided on it.
func (l *Limiter) Withdraw(customer fleet.Customer, id uint64) bool {
	b := l.buckets[customer]
	if b == nil {
		return false
	}
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w waiter) bool { return w.id == id })
	l.urgent = l.urgent || b.reportedNeed && len(b.queue) == 0
	return len(b.queue) < n
}

// Tick decides on the requests that wait.
func (l *Limiter) Tick(now time.Time) (out []Decision) {
	for _, name := range l.names {
		b := l.buckets[name]
		out = append(out, b.tick(now)...)
		l.urgent = l.urgent || b.reportedNeed && len(b.queue) == 0
	}
	return out
}

// tick admits waiting requests in their order. A request behind one that is too large for
// now waits as well, so that large requests are not starved.
func (b *bucket) tick(now time.Time) (out []Decision) {
	if len(b.queue) == 0 {
		return nil
	}
	b.advance(now)
	kept := b.queue[:0]
	for _, w := range b.queue {
		switch {
		case len(kept) == 0 && b.covers(w.cost):
			out = append(out, b.admit(now, w.id, w.cost))
		case !now.Before(w.giveUp):
			out = append(out, b.refuse(now, w.id, w.cost))
		default:
			kept = append(kept, w)
		}
	}
	b.queue = kept
	return out
}

// NextWake returns when Tick is to be called next without any other event, or the zero time.
func (l *Limiter) NextWake(now time.Time) (at time.Time) {
	earlier := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, b := range l.buckets {
		if len(b.queue) == 0 {
			continue
		}
		if t, ok := b.filledAt(now, 0, b.queue[0].cost); ok {
			earlier(t)
		}
		for _, w := range b.queue {
			earlier(w.giveUp)
		}
	}
	return at
}

// Apply puts the leases of an update in force and decides on requests that wait. An update of
// an earlier term, or one that is older than the newest of its term, has no effect.
func (l *Limiter) Apply(now time.Time, u Update) []Decision {
	if u.Term < l.term || u.Term == l.term && u.Sequence <= l.applied || u.Seen == 0 || u.Seen > l.sequence {
		return nil
	}
	if u.Term > l.term {
		for _, b := range l.buckets {
			b.newTerm()
		}
	}
	l.term, l.applied = u.Term, u.Sequence
	if l.sequence-u.Seen >= maxReports {
		return nil
	}
	// The leader counts the lease as in use from the receipt of the report, which is later.
	expires := l.sentAt[u.Seen%maxReports].Add(Lifetime)
	for _, lease := range u.Leases {
		if b := l.buckets[lease.Customer]; b != nil {
			b.apply(now, lease, expires, u.Gateways)
		}
	}
	return l.Tick(now)
}

// Urgent reports whether requests have begun to wait since the last report, or those that did
// then don't wait any more, so that the next report is not to be delayed.
func (l *Limiter) Urgent() bool { return l.urgent }

// Report returns the next report to the leader, which the caller sends at once. If urgent is
// set, the report has only the customers whose requests wait, or have waited at the last
// report. Report returns false if there is nothing to report.
func (l *Limiter) Report(now time.Time, urgent bool) (Report, bool) {
	if !l.Limited() {
		return Report{}, false
	}
	l.sequence++
	l.urgent = false
	l.sentAt[l.sequence%maxReports] = now
	r := Report{Sequence: l.sequence, Term: l.term, Applied: l.applied}
	for _, name := range l.names {
		b := l.buckets[name]
		if urgent && len(b.queue) == 0 && !b.reportedNeed {
			continue
		}
		b.reportedNeed = len(b.queue) > 0
		b.advance(now)
		b.giveBack(now)
		d := Demand{Customer: name, Charged: b.charged, Asked: b.asked, Released: b.released, Returned: b.returned, Size: b.size}
		if b.leased(now) {
			d.Share = b.share
		}
		if len(b.queue) > 0 {
			d.Want, d.Need = max(0, b.queued()-b.available()), max(0, b.queue[0].cost-b.available())
		} else {
			d.Want = max(0, b.reserve(now)-b.available())
		}
		r.Demands = append(r.Demands, d)
	}
	return r, len(r.Demands) > 0
}

// Usage is the use of one customer's limit at this gateway.
type Usage struct {
	Customer       fleet.Customer
	Charged, Asked float64 // totals
	Share          float64 // leased; zero without a valid lease
	Level          float64
	Waiting        int
}

// Usage returns the use of all limits, sorted by customer.
func (l *Limiter) Usage(now time.Time) []Usage {
	var out []Usage
	for _, name := range l.names {
		b := l.buckets[name]
		b.advance(now)
		u := Usage{Customer: name, Charged: b.charged, Asked: b.asked, Level: b.available(), Waiting: len(b.queue)}
		if b.leased(now) {
			u.Share = b.share
		}
		out = append(out, u)
	}
	return out
}
