package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// MaxClaimRetention limits how far in the future a claim may expire.
	MaxClaimRetention = 7 * 24 * time.Hour
	// unknownRetention is how long a key stays blocked after its request ended
	// with an unknown result. A caller that reuses the key later must have
	// checked what happened.
	unknownRetention = 30 * 24 * time.Hour
	// maxBarredRequests limits the barred requests under one key. An entry
	// that refuses a request under load bars it to be sure that it has not run,
	// and the caller may retry every second within a promised minute.
	maxBarredRequests = 64
	// maxIdempotencyKeyBytes limits the idempotency key of a caller.
	maxIdempotencyKeyBytes = 256
	// claimOverheadBytes is the memory of a claim without its strings: the
	// record and its entries in the map and the heap.
	claimOverheadBytes = 448
)

// claims holds the claims and counts them and the memory they use, in total and
// by customer.
type claims struct {
	byKey      map[ClaimKey]*ClaimRecord
	expiries   expiryHeap
	byCustomer map[fleet.Customer]claimUsage
	total      claimUsage
}

// claimUsage counts claims and their bytes.
type claimUsage struct{ claims, bytes int }

func (u claimUsage) add(claims, bytes int) claimUsage {
	return claimUsage{u.claims + claims, u.bytes + bytes}
}

func (r *ClaimRecord) size() int {
	n := claimOverheadBytes + len(r.Claim.Key.Customer) + len(r.Claim.Key.IdempotencyKey) + len(r.Claim.Target)
	n += len(r.Barred) * len(fleet.RequestID{})
	if r.Answer != nil {
		n += r.Answer.size()
	}
	return n
}

func (a *StoredAnswer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// hasCapacity reports whether a customer may use that many more claims and
// bytes. Its usage including these must not exceed what is free now, so a single
// customer gets at most half, and small customers are admitted while large ones
// are refused. The number of claims is not checked when no claim is added.
func (c *claims) hasCapacity(name fleet.Customer, claims, bytes int, l limits) bool {
	own := c.byCustomer[name].add(claims, bytes)
	free := claimUsage{l.claims - c.total.claims, l.claimBytes - c.total.bytes}
	return (claims == 0 || own.claims <= free.claims) && own.bytes <= free.bytes
}

func (c *claims) addUsage(name fleet.Customer, claims, bytes int) {
	c.total = c.total.add(claims, bytes)
	own := c.byCustomer[name].add(claims, bytes)
	if own == (claimUsage{}) {
		delete(c.byCustomer, name)
		return
	}
	c.byCustomer[name] = own
}

func (c *claims) claim(index uint64, now time.Time, q Claim, l limits) Result {
	r := c.byKey[q.Key]
	if r == nil {
		return c.grantNew(index, now, q, l)
	}
	if slices.Contains(r.Barred, q.Request) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	if r.Phase == ClaimPhaseReleased {
		return c.regrant(index, now, r, q, l)
	}
	res := ClaimResult{Index: r.Index, Holder: r.Claim.Request, Target: r.Claim.Target}
	switch {
	case r.Claim.Body != q.Body:
		res.Outcome = ClaimMismatch
	case r.Phase == ClaimPhaseUnknown:
		res.Outcome = ClaimUnknown
	case r.Phase == ClaimPhaseCompleted && r.Answer != nil:
		res.Outcome, res.Answer = ClaimReplayed, *r.Answer
	case r.Phase == ClaimPhaseCompleted:
		res.Outcome = ClaimCompleted
	case r.Claim.Request == q.Request:
		res.Outcome = ClaimGranted // repeated after the first result was lost
	default:
		res.Outcome = ClaimRunning
	}
	return res
}

// validClaim checks the key and the expiry of a claim. Before the first tick the
// time is unknown, so the maximum retention cannot be checked.
func validClaim(now time.Time, q Claim) bool {
	if q.Key.IdempotencyKey == "" || len(q.Key.IdempotencyKey) > maxIdempotencyKeyBytes {
		return false
	}
	return q.Expires.After(now) && (now.IsZero() || !q.Expires.After(now.Add(MaxClaimRetention)))
}

func (c *claims) grantNew(index uint64, now time.Time, q Claim, l limits) Result {
	r := &ClaimRecord{Claim: q, Index: index}
	if !validClaim(now, q) || !c.hasCapacity(q.Key.Customer, 1, r.size(), l) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	c.add(r)
	return granted(r)
}

func (c *claims) add(r *ClaimRecord) {
	c.byKey[r.Claim.Key] = r
	c.addUsage(r.Claim.Key.Customer, 1, r.size())
	heap.Push(&c.expiries, claimExpiry{r.Claim.Expires, r.Claim.Key})
}

// regrant grants a claim whose previous request is barred.
func (c *claims) regrant(index uint64, now time.Time, r *ClaimRecord, q Claim, l limits) Result {
	if !validClaim(now, q) || len(r.Barred) >= maxBarredRequests {
		return ClaimResult{Outcome: ClaimRefused}
	}
	next := ClaimRecord{Claim: q, Index: index, Barred: r.Barred}
	if more := next.size() - r.size(); more > 0 && !c.hasCapacity(q.Key.Customer, 0, more, l) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	if next.Claim.Expires.Before(r.Claim.Expires) {
		next.Claim.Expires = r.Claim.Expires // keeps the barred requests recorded until the old deadline
	}
	c.addUsage(q.Key.Customer, 0, next.size()-r.size())
	*r = next
	heap.Push(&c.expiries, claimExpiry{r.Claim.Expires, q.Key})
	return granted(r)
}

func granted(r *ClaimRecord) ClaimResult {
	return ClaimResult{Outcome: ClaimGranted, Index: r.Index, Holder: r.Claim.Request, Target: r.Claim.Target}
}

// settle records the result of a claimed request. Only an unknown result may be
// replaced later, and only by the result that the request has run.
func (c *claims) settle(now time.Time, s Settle, l limits) Result {
	r := c.byKey[s.Key]
	if r == nil || slices.Contains(r.Barred, s.Request) {
		return SettleResult{Outcome: AlreadySettled}
	}
	if r.Claim.Request != s.Request {
		return SettleResult{Outcome: SettleNotHolder}
	}
	if r.Phase != ClaimPhaseRunning && (r.Phase != ClaimPhaseUnknown || s.Settlement != SettledCompleted) {
		return SettleResult{Outcome: AlreadySettled}
	}
	before := r.size()
	switch s.Settlement {
	case SettledCompleted:
		r.Phase = ClaimPhaseCompleted
		c.storeResponse(r, s.Answer, l)
	case SettledBarred:
		r.Phase = ClaimPhaseReleased
		r.Barred = append(slices.Clip(r.Barred), s.Request)
	case SettledUnknown:
		c.settleUnknown(r, now)
	}
	c.addUsage(s.Key.Customer, 0, r.size()-before)
	return SettleResult{Outcome: Settled}
}

// storeResponse stores a response if the limits allow it. Otherwise the claim
// records only that the request has run.
func (c *claims) storeResponse(r *ClaimRecord, a *StoredAnswer, l limits) {
	if a == nil || a.size() > MaxStoredAnswerBytes || !c.hasCapacity(r.Claim.Key.Customer, 0, a.size(), l) {
		return
	}
	r.Answer = a
}

// settleUnknown blocks the key for longer than other results do, since the
// request may have run.
func (c *claims) settleUnknown(r *ClaimRecord, now time.Time) {
	r.Phase = ClaimPhaseUnknown
	if now.Before(r.Claim.Expires) {
		now = r.Claim.Expires
	}
	r.Claim.Expires = now.Add(unknownRetention)
	heap.Push(&c.expiries, claimExpiry{r.Claim.Expires, r.Claim.Key})
}

// expire deletes claims at their deadline. A claim that was never settled
// becomes unknown instead: its entry may have failed after it forwarded
// the request. expire returns the number of claims whose deadline has passed.
func (c *claims) expire(now time.Time) int {
	n := 0
	for len(c.expiries) > 0 && !c.expiries[0].at.After(now) {
		e := heap.Pop(&c.expiries).(claimExpiry)
		r := c.byKey[e.key]
		if r == nil || !r.Claim.Expires.Equal(e.at) {
			continue // the deadline was extended
		}
		n++
		if r.Phase == ClaimPhaseRunning {
			c.settleUnknown(r, now)
			continue
		}
		c.addUsage(e.key.Customer, -1, -r.size())
		delete(c.byKey, e.key)
	}
	return n
}

func (c *claims) records() []ClaimRecord {
	out := make([]ClaimRecord, 0, len(c.byKey))
	for _, r := range c.byKey {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b ClaimRecord) int {
		return cmp.Or(cmp.Compare(a.Claim.Key.Customer, b.Claim.Key.Customer),
			cmp.Compare(a.Claim.Key.IdempotencyKey, b.Claim.Key.IdempotencyKey))
	})
	return out
}

// claimExpiry is the deadline of a claim.
type claimExpiry struct {
	at  time.Time
	key ClaimKey
}

// expiryHeap is a min-heap by time. The order of equal times does not affect
// the state, since each claim expires independently.
type expiryHeap []claimExpiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(v any) { *h = append(*h, v.(claimExpiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
