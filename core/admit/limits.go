package admit

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	// burstDuration sets the bucket size: a bucket holds what accrues in this time.
	burstDuration = 3 * time.Second
	// missingShareRetry is the retry delay when a share is missing or has expired.
	// Entries renew their shares every few seconds.
	missingShareRetry = time.Second
)

// Share is the part of a customer's rate limits that is assigned to this entry. A
// rate that is not limited is infinite.
type Share struct {
	Customer          fleet.Customer
	TokensPerSecond   float64
	RequestsPerSecond float64
	Expires           time.Time
}

// Limits enforces the rate limits of customers at this entry, over all pools
// together. The zero value admits no requests of limited customers. It is not safe
// for concurrent use, so all queues that share it need a common lock.
//
// Each customer has a token bucket that is refilled at the rate of its share. A
// request larger than the bucket is admitted when the bucket is full, and a
// response longer than its estimate is charged when its length is known. Both make
// the bucket negative, and the next request waits until it is refilled, so that
// the mean rate holds for requests of any size.
type Limits struct{ buckets map[fleet.Customer]*bucket }

type bucket struct {
	share      Share
	tokens     float64 // may be negative
	requests   float64
	refilledAt time.Time
}

// Grant replaces all shares. Requests of limited customers without a share are
// refused. A customer whose share is renewed keeps the fill level of its bucket, so
// that early renewal gives no advantage.
func (l *Limits) Grant(now time.Time, shares []Share) {
	next := make(map[fleet.Customer]*bucket, len(shares))
	for _, s := range shares {
		b := l.buckets[s.Customer]
		if b == nil {
			b = &bucket{refilledAt: now, tokens: math.Inf(1), requests: math.Inf(1)}
		}
		b.refill(now)
		b.share = s
		b.clamp()
		next[s.Customer] = b
	}
	l.buckets = next
}

func tokenCapacity(s Share) float64 { return s.TokensPerSecond * burstDuration.Seconds() }
func requestCapacity(s Share) float64 {
	return math.Max(1, s.RequestsPerSecond*burstDuration.Seconds())
}

// clamp limits the fill level to the bucket's capacity.
func (b *bucket) clamp() {
	b.tokens = math.Min(b.tokens, tokenCapacity(b.share))
	b.requests = math.Min(b.requests, requestCapacity(b.share))
}

func (b *bucket) refill(now time.Time) {
	end := now
	if b.share.Expires.Before(end) {
		end = b.share.Expires
	}
	if span := end.Sub(b.refilledAt).Seconds(); span > 0 {
		b.tokens += b.share.TokensPerSecond * span
		b.requests += b.share.RequestsPerSecond * span
		b.clamp()
	}
	b.refilledAt = now
}

// spend takes one request with the given number of tokens from the customer's
// bucket. If the bucket holds too little, it returns how long to wait.
func (l *Limits) spend(now time.Time, name fleet.Customer, tokens float64) (wait time.Duration, ok bool) {
	b := l.buckets[name]
	if b == nil || !now.Before(b.share.Expires) || b.share.TokensPerSecond <= 0 || b.share.RequestsPerSecond <= 0 {
		return missingShareRetry, false
	}
	b.refill(now)
	need := math.Min(tokens, tokenCapacity(b.share))
	seconds := math.Max(secondsUntil(need, b.tokens, b.share.TokensPerSecond), secondsUntil(1, b.requests, b.share.RequestsPerSecond))
	if seconds > roundingTolerance {
		return time.Duration(seconds * float64(time.Second)), false
	}
	b.tokens -= tokens
	b.requests--
	return 0, true
}

// secondsUntil returns the seconds until a bucket that holds have and is refilled
// at perSecond holds need.
func secondsUntil(need, have, perSecond float64) float64 {
	if have >= need {
		return 0
	}
	return (need - have) / perSecond
}

// roundingTolerance is a wait in seconds that is treated as zero. Without it, a
// caller that waits exactly as long as it was told could be refused again because
// of rounding.
const roundingTolerance = 1e-6

// refund adds tokens and requests to the customer's bucket. Negative amounts are
// charged.
func (l *Limits) refund(name fleet.Customer, tokens, requests float64) {
	b := l.buckets[name]
	if b == nil {
		return
	}
	b.tokens += tokens
	b.requests += requests
	b.clamp()
}
