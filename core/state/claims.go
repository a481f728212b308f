package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// MaxClaimRetention bounds how far ahead a claim may expire.
	MaxClaimRetention = 7 * 24 * time.Hour
	// unknownRetention is how long a claim that ended unknown bars its key. A
	// caller that reuses a key after that must have checked what happened.
	unknownRetention = 30 * 24 * time.Hour
	// maxAttempts bounds the barred attempts under one key. An entry that refuses
	// a request under load bars one attempt to be sure that none has run, and its
	// caller may repeat the request each second of a promised minute.
	maxAttempts = 64
	// maxIdempotencyKeyBytes bounds the caller's key.
	maxIdempotencyKeyBytes = 256
	// claimOverheadBytes is what a claim takes in memory beside its texts: the
	// record, its map and heap entries.
	claimOverheadBytes = 448
)

// claims holds the claims and their bounds.
type claims struct {
	byKey map[ClaimKey]*ClaimRecord
	byEnd deadlines
	held  map[fleet.Customer]holding
	total holding
}

// holding is what claims take up.
type holding struct{ claims, bytes int }

func (h holding) plus(claims, bytes int) holding {
	return holding{h.claims + claims, h.bytes + bytes}
}

func (r *ClaimRecord) size() int {
	n := claimOverheadBytes + len(r.Claim.Key.Customer) + len(r.Claim.Key.IdempotencyKey) + len(r.Claim.Target)
	n += len(r.Barred) * len(fleet.RequestID{})
	if r.Answer != nil {
		n += r.Answer.size()
	}
	return n
}

func (a *KeptAnswer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// admits says whether a customer may hold that much more. Nobody may hold more
// than is still free, so one customer alone gets at most half, and a customer
// that holds little is admitted while large ones are refused.
func (c *claims) admits(name fleet.Customer, claims, bytes int, l limits) bool {
	own := c.held[name].plus(claims, bytes)
	free := holding{l.claims - c.total.claims, l.claimBytes - c.total.bytes}
	return (claims == 0 || own.claims <= free.claims) && own.bytes <= free.bytes
}

func (c *claims) account(name fleet.Customer, claims, bytes int) {
	c.total = c.total.plus(claims, bytes)
	h := c.held[name].plus(claims, bytes)
	if h == (holding{}) {
		delete(c.held, name)
		return
	}
	c.held[name] = h
}

func (c *claims) claim(index uint64, now time.Time, q Claim, l limits) Result {
	r := c.byKey[q.Key]
	if r == nil {
		return c.grantNew(index, now, q, l)
	}
	if slices.Contains(r.Barred, q.Request) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	if r.Phase == PhaseFree {
		return c.grantFreed(index, now, r, q, l)
	}
	res := ClaimResult{Index: r.Index, Holder: r.Claim.Request, Target: r.Claim.Target}
	switch {
	case r.Claim.Body != q.Body:
		res.Outcome = ClaimMismatch
	case r.Phase == PhaseUnknown:
		res.Outcome = ClaimUnknown
	case r.Phase == PhaseRan && r.Answer != nil:
		res.Outcome, res.Answer = ClaimAnswered, *r.Answer
	case r.Phase == PhaseRan:
		res.Outcome = ClaimRan
	case r.Claim.Request == q.Request:
		res.Outcome = ClaimGranted // the same grant again, after a lost answer
	default:
		res.Outcome = ClaimRunning
	}
	return res
}

func validClaim(now time.Time, q Claim) bool {
	if q.Key.IdempotencyKey == "" || len(q.Key.IdempotencyKey) > maxIdempotencyKeyBytes {
		return false
	}
	return q.Expires.After(now) && (now.IsZero() || !q.Expires.After(now.Add(MaxClaimRetention)))
}

func (c *claims) grantNew(index uint64, now time.Time, q Claim, l limits) Result {
	r := &ClaimRecord{Claim: q, Index: index}
	if !validClaim(now, q) || !c.admits(q.Key.Customer, 1, r.size(), l) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	c.add(r)
	return granted(r)
}

func (c *claims) add(r *ClaimRecord) {
	c.byKey[r.Claim.Key] = r
	c.account(r.Claim.Key.Customer, 1, r.size())
	heap.Push(&c.byEnd, deadline{r.Claim.Expires, r.Claim.Key})
}

// grantFreed grants a claim whose former request is barred.
func (c *claims) grantFreed(index uint64, now time.Time, r *ClaimRecord, q Claim, l limits) Result {
	if !validClaim(now, q) || len(r.Barred) >= maxAttempts {
		return ClaimResult{Outcome: ClaimRefused}
	}
	next := ClaimRecord{Claim: q, Index: index, Barred: r.Barred}
	if more := next.size() - r.size(); more > 0 && !c.admits(q.Key.Customer, 0, more, l) {
		return ClaimResult{Outcome: ClaimRefused}
	}
	if next.Claim.Expires.Before(r.Claim.Expires) {
		next.Claim.Expires = r.Claim.Expires // the barred ids stay barred
	}
	c.account(q.Key.Customer, 0, next.size()-r.size())
	*r = next
	heap.Push(&c.byEnd, deadline{r.Claim.Expires, q.Key})
	return granted(r)
}

func granted(r *ClaimRecord) ClaimResult {
	return ClaimResult{Outcome: ClaimGranted, Index: r.Index, Holder: r.Claim.Request, Target: r.Claim.Target}
}

// settle ends a claim. A claim that ended unknown may still turn out to have
// run; nothing else follows an end.
func (c *claims) settle(now time.Time, s Settle, l limits) Result {
	r := c.byKey[s.Key]
	if r == nil || slices.Contains(r.Barred, s.Request) {
		return SettleResult{Outcome: SettledBefore}
	}
	if r.Claim.Request != s.Request {
		return SettleResult{Outcome: SettleNotHolder}
	}
	if r.Phase != PhaseRunning && (r.Phase != PhaseUnknown || s.Settlement != SettledRan) {
		return SettleResult{Outcome: SettledBefore}
	}
	before := r.size()
	switch s.Settlement {
	case SettledRan:
		r.Phase = PhaseRan
		c.keep(r, s.Answer, l)
	case SettledBarred:
		r.Phase = PhaseFree
		r.Barred = append(slices.Clip(r.Barred), s.Request)
	case SettledUnknown:
		c.endUnknown(r, now)
	}
	c.account(s.Key.Customer, 0, r.size()-before)
	return SettleResult{Outcome: Settled}
}

// keep retains an answer if the bounds allow; otherwise only the fact remains.
func (c *claims) keep(r *ClaimRecord, a *KeptAnswer, l limits) {
	if a == nil || a.size() > MaxKeptAnswerBytes || !c.admits(r.Claim.Key.Customer, 0, a.size(), l) {
		return
	}
	r.Answer = a
}

// endUnknown bars the key for longer than other ends, since the request may
// still have run.
func (c *claims) endUnknown(r *ClaimRecord, now time.Time) {
	r.Phase = PhaseUnknown
	if now.Before(r.Claim.Expires) {
		now = r.Claim.Expires
	}
	r.Claim.Expires = now.Add(unknownRetention)
	heap.Push(&c.byEnd, deadline{r.Claim.Expires, r.Claim.Key})
}

// expire forgets claims at their deadline. One that was never settled ends
// unknown instead: its entry may have died after the hand-over.
func (c *claims) expire(now time.Time) int {
	n := 0
	for len(c.byEnd) > 0 && !c.byEnd[0].at.After(now) {
		d := heap.Pop(&c.byEnd).(deadline)
		r := c.byKey[d.key]
		if r == nil || !r.Claim.Expires.Equal(d.at) {
			continue // the deadline was moved
		}
		n++
		if r.Phase == PhaseRunning {
			c.endUnknown(r, now)
			continue
		}
		c.account(d.key.Customer, -1, -r.size())
		delete(c.byKey, d.key)
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

// deadline is the stored end of a claim.
type deadline struct {
	at  time.Time
	key ClaimKey
}

// deadlines is a heap by time. The order of equal times has no effect on the
// state, since each claim expires on its own.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(v any) { *d = append(*d, v.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
