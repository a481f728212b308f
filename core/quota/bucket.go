package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one customer at a gateway. It starts empty.
type bucket struct {
	limit    Limit
	bounds   Bounds
	gateways int // among which the fallback share is divided; zero before the first lease

	at      time.Time // of level
	level   float64
	share   float64   // of the lease
	expires time.Time // of the lease; zero if there was none

	balance        float64 // grants of the leader that are not spent
	balanceExpires time.Time
	granted        float64   // total of the grants of the term
	released       float64   // those that are spent, returned or have expired
	returned       float64   // those that the leader may grant again
	leader         Lease     // newest lease
	leaderAt       time.Time // when it was received

	charged, asked float64 // totals
	askedAt        time.Time
	size           float64 // mean size of recent requests
	queue          []waiter
	reportedNeed   bool // requests were waiting at the last report
}

// waiter is a request that waits for its charge.
type waiter struct {
	id     uint64
	cost   float64
	giveUp time.Time
}

// sizeWeight is the weight of a request in the mean size of requests.
const sizeWeight = 0.1

// leased reports whether the lease is valid.
func (b *bucket) leased(now time.Time) bool { return now.Before(b.expires) }

// rates returns the fill rate and the depth with or without a valid lease.
func (b *bucket) rates(leased bool) (rate, depth float64) {
	if leased {
		return b.share * b.limit.Rate, b.share * b.limit.Burst
	}
	if b.gateways == 0 {
		return 0, 0
	}
	f, n := b.bounds.scale(), float64(b.gateways)
	depth = f*(fallbackWindowDepth*b.limit.Rate*b.bounds.Window.Seconds()+fallbackBurstDepth*b.limit.Burst) +
		fallbackSlackDepth*b.limit.slack(b.bounds)
	return f * fallbackShare * b.limit.Rate / n, depth / n
}

// advance fills the bucket up to now. A lease that has expired meanwhile fills it up to its
// expiry, and the fallback share from then on.
func (b *bucket) advance(now time.Time) {
	if b.balance > 0 && !now.Before(b.balanceExpires) {
		b.released += b.balance
		b.balance = 0
	}
	if !now.After(b.at) {
		return
	}
	if b.at.Before(b.expires) {
		end := now
		if !b.leased(now) {
			end = b.expires
		}
		b.fill(end, true)
	}
	if !b.leased(now) {
		b.fill(now, false)
	}
}

func (b *bucket) fill(end time.Time, leased bool) {
	rate, depth := b.rates(leased)
	b.level = min(b.level+rate*end.Sub(b.at).Seconds(), depth)
	b.at = end
}

// available returns what can be charged now.
func (b *bucket) available() float64 { return b.level + b.balance }

// rounding covers the rounding errors of sums of shares and grants.
const rounding = 1e-3

// covers reports whether an amount can be charged now.
func (b *bucket) covers(amount float64) bool { return b.available() >= amount-rounding }

// charge takes an amount, which must be covered, from the grants and then from the level.
func (b *bucket) charge(amount float64) {
	granted := min(b.balance, amount)
	b.balance -= granted
	b.released += granted
	b.level -= amount - granted
	b.charged += amount
}

// credit returns a charge up to the depth of the bucket, and the rest to the grants if it
// was taken from them.
func (b *bucket) credit(now time.Time, amount float64) {
	b.charged -= amount
	_, depth := b.rates(b.leased(now))
	room := min(amount, max(0, depth-b.level))
	b.level += room
	granted := min(amount-room, b.released)
	if now.Before(b.balanceExpires) {
		b.balance += granted
		b.released -= granted
	}
}

// queued returns the sum of the costs of the requests that wait.
func (b *bucket) queued() (sum float64) {
	for _, w := range b.queue {
		sum += w.cost
	}
	return sum
}

// filledAt returns when the share alone covers the requests that wait and a further one. It
// returns false if it never does.
func (b *bucket) filledAt(now time.Time, ahead, cost float64) (time.Time, bool) {
	rate, depth := b.rates(b.leased(now))
	missing := ahead + cost - b.available()
	if missing <= 0 {
		return now, true
	}
	if rate <= 0 || cost > depth+b.balance {
		return time.Time{}, false
	}
	seconds := min(missing/rate, maxWait.Seconds())
	return now.Add(time.Duration(math.Ceil(seconds * float64(time.Second)))), true
}

// maxWait bounds the times that are computed from rates.
const maxWait = time.Minute

// grantedAt returns when the leader is expected to grant what the share does not cover. It
// returns false if it does not, or if the gateway has no lease.
func (b *bucket) grantedAt(now time.Time, ahead, cost float64) (time.Time, bool) {
	if b.expires.IsZero() {
		return now, true // the first lease is on its way
	}
	if !b.leased(now) || cost-b.available() > b.limit.Burst+b.limit.debt(b.bounds) {
		return time.Time{}, false
	}
	missing := ahead + cost - b.available() - b.leader.Available
	if missing <= 0 {
		return now, true
	}
	if b.leader.Fill <= 0 {
		return time.Time{}, false
	}
	seconds := min(missing/b.leader.Fill, maxWait.Seconds())
	at := b.leaderAt.Add(time.Duration(math.Ceil(seconds * float64(time.Second))))
	if at.Before(now) {
		at = now
	}
	return at, true
}

// readyAt returns when a request can be charged: when the share covers it, or when the
// leader is expected to grant it. It returns false if it is not known.
func (b *bucket) readyAt(now time.Time, ahead, cost float64) (time.Time, bool) {
	at, ok := b.filledAt(now, ahead, cost)
	if grant, granted := b.grantedAt(now, ahead, cost); granted && (!ok || grant.Before(at)) {
		return grant, true
	}
	return at, ok
}

// observe counts a request that asks for a charge.
func (b *bucket) observe(now time.Time, cost float64) {
	b.asked += cost
	b.askedAt = now
	if b.size == 0 {
		b.size = cost
	}
	b.size += sizeWeight * (cost - b.size)
}

// apply puts a lease in force that expires at the given time.
func (b *bucket) apply(now time.Time, l Lease, expires time.Time, gateways int) {
	b.advance(now)
	b.gateways = max(b.gateways, gateways)
	b.share, b.expires = l.Share, expires
	b.leader, b.leaderAt = l, now
	if _, depth := b.rates(b.leased(now)); b.level > depth {
		b.level = depth
	}
	if b.leased(now) {
		b.balanceExpires = expires
	}
	if l.Granted > b.granted {
		if b.leased(now) {
			b.balance += l.Granted - b.granted
		} else {
			b.released += l.Granted - b.granted
		}
		b.granted = l.Granted
	}
}

// newTerm drops the grants of the last leader, which the next one does not know.
func (b *bucket) newTerm() { b.balance, b.granted, b.released, b.returned = 0, 0, 0, 0 }

const (
	// reserveSizes is the reserve that a gateway keeps for further requests, in usual ones.
	reserveSizes = 2
	// idleTime is the time since the last request from which a gateway keeps no reserve.
	idleTime = time.Second
)

// reserve returns the amount that the gateway keeps for further requests.
func (b *bucket) reserve(now time.Time) float64 {
	if now.Sub(b.askedAt) > idleTime {
		return 0
	}
	return reserveSizes * b.size
}

// keptLevel is the part of the depth that a gateway keeps of its own share. What exceeds it
// would soon be lost, since the bucket is nearly full.
const keptLevel = 0.8

// giveBack returns to the leader what the gateway does not need if no request waits.
func (b *bucket) giveBack(now time.Time) {
	if len(b.queue) > 0 || !b.leased(now) {
		return
	}
	if excess := b.balance - b.reserve(now); excess > 0 {
		b.balance -= excess
		b.released += excess
		b.returned += excess
	}
	_, depth := b.rates(true)
	if excess := b.level - max(keptLevel*depth, b.reserve(now)); excess > 0 {
		b.level -= excess
		b.returned += excess
	}
}
