package admit

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	// limitBurst is the time for which a customer may save up what it does not
	// spend.
	limitBurst = 3 * time.Second
	// shareWait is how long a caller should wait for a share that is missing or
	// has expired; entries renew theirs every few seconds.
	shareWait = time.Second
)

// Share is the part of a customer's limits that this entry may spend. A limit
// that the customer does not have is infinite.
type Share struct {
	Customer          fleet.Customer
	TokensPerSecond   float64
	RequestsPerSecond float64
	Expires           time.Time
}

// Limits holds what each limited customer may still spend at this entry, in all
// pools together. The zero value grants nothing.
//
// Each customer has a token bucket that its share refills. A request larger
// than the bucket runs when the bucket is full, and an answer longer than its
// estimate is charged when it is known: both leave a debt that is paid before
// the next request, so that the mean rate holds whatever the size of requests.
type Limits struct{ buckets map[fleet.Customer]*bucket }

type bucket struct {
	share    Share
	tokens   float64 // may be negative
	requests float64
	filled   time.Time
}

// Grant replaces the shares. Customers without one can spend nothing; what the
// others have spent still counts, so that shares may be granted at any time.
func (l *Limits) Grant(now time.Time, shares []Share) {
	next := make(map[fleet.Customer]*bucket, len(shares))
	for _, s := range shares {
		b := l.buckets[s.Customer]
		if b == nil {
			b = &bucket{filled: now, tokens: math.Inf(1), requests: math.Inf(1)}
		}
		b.refill(now)
		b.share = s
		b.clamp()
		next[s.Customer] = b
	}
	l.buckets = next
}

func tokenRoom(s Share) float64   { return s.TokensPerSecond * limitBurst.Seconds() }
func requestRoom(s Share) float64 { return math.Max(1, s.RequestsPerSecond*limitBurst.Seconds()) }

// clamp bounds the bucket by what its share lets it save up.
func (b *bucket) clamp() {
	b.tokens = math.Min(b.tokens, tokenRoom(b.share))
	b.requests = math.Min(b.requests, requestRoom(b.share))
}

func (b *bucket) refill(now time.Time) {
	until := now
	if b.share.Expires.Before(until) {
		until = b.share.Expires
	}
	if span := until.Sub(b.filled).Seconds(); span > 0 {
		b.tokens += b.share.TokensPerSecond * span
		b.requests += b.share.RequestsPerSecond * span
		b.clamp()
	}
	b.filled = now
}

// spend takes a request of so many tokens out of the customer's share, or says
// how long it has to wait.
func (l *Limits) spend(now time.Time, name fleet.Customer, tokens float64) (wait time.Duration, ok bool) {
	b := l.buckets[name]
	if b == nil || !now.Before(b.share.Expires) || b.share.TokensPerSecond <= 0 || b.share.RequestsPerSecond <= 0 {
		return shareWait, false
	}
	b.refill(now)
	need := math.Min(tokens, tokenRoom(b.share))
	seconds := math.Max(until(need, b.tokens, b.share.TokensPerSecond), until(1, b.requests, b.share.RequestsPerSecond))
	if seconds > roundingSeconds {
		return time.Duration(seconds * float64(time.Second)), false
	}
	b.tokens -= tokens
	b.requests--
	return 0, true
}

// until returns the seconds after which a bucket holds what is needed.
func until(need, have, perSecond float64) float64 {
	if have >= need {
		return 0
	}
	return (need - have) / perSecond
}

// roundingSeconds is below any time that matters; a caller that waits as long
// as it was told must not find a last fraction of a token missing.
const roundingSeconds = 1e-6

// refund gives back what a request did not use; it takes more for a negative
// amount.
func (l *Limits) refund(name fleet.Customer, tokens, requests float64) {
	b := l.buckets[name]
	if b == nil {
		return
	}
	b.tokens += tokens
	b.requests += requests
	b.clamp()
}
