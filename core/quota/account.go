package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the mean demand of a gateway. Requests differ by a
	// factor of a hundred, so that a shorter one moves shares without need. A share that is
	// moved is not usable until the gateway that had it has confirmed the lower one.
	demandTime = 8 * time.Second
	// headroom is the ratio of a share to the demand of its gateway while the limit allows
	// it. What is not leased is granted where it is needed.
	headroom = 1.25
	// maxLeased is the part of a limit that is leased. The rest is for gateways without
	// recent demand, and for those whose share is used up early.
	maxLeased = 0.9
	// minChange is the relative change below which a share stays as it is. A share that is
	// moved is not usable until the gateway has confirmed the lower one.
	minChange = 0.03
	// minDepth is the least depth of a leased bucket in usual requests, and keepDepth that of
	// one that is leased already. A gateway with less gets grants, since its share would be
	// smaller than a request.
	minDepth, keepDepth = 6.0, 4.0
	// prefetchLevel is the part of the leader's bucket that is kept for requests that wait.
	// What exceeds it is granted in advance to gateways with demand.
	prefetchLevel = 0.75
	// prefetchTime is the demand that is granted in advance. It is below Lifetime, after
	// which a grant expires.
	prefetchTime = time.Second
)

// account is the limit of one customer and its assignment.
type account[K comparable] struct {
	limit   Limit
	debt    float64 // by which the level may become negative for a request above the burst
	depth   float64 // of the leader's bucket beside its part of the burst
	at      time.Time
	level   float64 // of the leader's bucket, which starts empty
	free    float64 // part of the limit that fills the bucket: what is not leased
	holders map[K]*holder
	list    []*holder // of holders, in the order of their first report, so that replays agree
}

// add adds a gateway.
func (a *account[K]) add(k K, h *holder) {
	a.holders[k] = h
	a.list = append(a.list, h)
}

// remove removes a gateway.
func (a *account[K]) remove(k K) {
	h := a.holders[k]
	delete(a.holders, k)
	a.list = slices.DeleteFunc(a.list, func(other *holder) bool { return other == h })
}

// holder is a gateway in an account.
type holder struct {
	heard   time.Time // receipt of the newest demand
	since   time.Time // of the first demand
	askedAt time.Time
	asked   float64 // total at askedAt
	demand  float64 // per second
	share   float64 // that the gateway has reported in force
	size    float64 // of a usual request
	want    float64 // missing for the requests that wait
	need    float64 // missing for the first of them; zero if none waits
	waits   time.Time

	leases       []leased
	granted      float64
	released     float64
	returned     float64
	grantExpires time.Time
}

// leased is a share that a gateway may use, of one or more updates in sequence.
type leased struct {
	share   float64
	first   uint64 // sequence of the first update with it
	expires time.Time
}

// minSample is the least time over which the demand is measured.
const minSample = 100 * time.Millisecond

// record applies a demand that the gateway has reported.
func (h *holder) record(now time.Time, d Demand) {
	h.share, h.size, h.want = d.Share, d.Size, d.Want
	if d.Need > 0 && h.need == 0 {
		h.waits = now
	}
	h.need = d.Need
	dt := now.Sub(h.askedAt)
	if dt < minSample {
		return
	}
	tau := min(demandTime, now.Sub(h.since))
	weight := 1 - math.Exp(-dt.Seconds()/tau.Seconds())
	if h.askedAt.Equal(h.since) {
		weight = 1
	}
	h.demand += weight * (max(0, d.Asked-h.asked)/dt.Seconds() - h.demand)
	h.asked, h.askedAt = d.Asked, now
}

// confirm removes the leases that the update with the given sequence, or one before it, has
// replaced.
func (h *holder) confirm(applied uint64) {
	for i := len(h.leases) - 1; i > 0; i-- {
		if h.leases[i].first <= applied {
			h.leases = slices.Delete(h.leases, 0, i)
			return
		}
	}
}

// lease records a lease that is sent to the gateway.
func (h *holder) lease(now time.Time, sequence uint64, share float64, expires time.Time) {
	h.prune(now)
	if n := len(h.leases); n > 0 && h.leases[n-1].share == share {
		h.leases[n-1].expires = expires
		return
	}
	h.leases = append(h.leases, leased{share, sequence, expires})
}

// prune removes the leases that have expired.
func (h *holder) prune(now time.Time) {
	h.leases = slices.DeleteFunc(h.leases, func(l leased) bool { return !now.Before(l.expires) })
}

// inUse returns the share that the gateway may use now.
func (h *holder) inUse(now time.Time) (share float64) {
	for _, l := range h.leases {
		if now.Before(l.expires) {
			share = max(share, l.share)
		}
	}
	return share
}

// current returns the share of the newest lease, which must not have expired.
func (h *holder) current() float64 {
	if n := len(h.leases); n > 0 {
		return h.leases[n-1].share
	}
	return 0
}

// outstanding returns the grants that may not be spent yet.
func (h *holder) outstanding(now time.Time) float64 {
	if !now.Before(h.grantExpires) {
		return 0
	}
	return h.granted - h.released
}

func (a *account[K]) inUse(now time.Time) (sum float64) {
	for _, h := range a.list {
		sum += h.inUse(now)
	}
	return sum
}

func (a *account[K]) outstanding(now time.Time) (sum float64) {
	for _, h := range a.list {
		sum += h.outstanding(now)
	}
	return sum
}

// demand returns the demand of the gateways that are connected.
func (a *account[K]) demand(now time.Time) (sum float64) {
	for _, h := range a.list {
		if now.Sub(h.heard) < liveTimeout {
			sum += h.demand
		}
	}
	return sum
}

// advance fills the leader's bucket up to now by what was not leased until then.
func (a *account[K]) advance(now time.Time) {
	if now.After(a.at) {
		a.level += a.free * a.limit.Rate * now.Sub(a.at).Seconds()
		a.at = now
		a.level = min(a.level, a.capacity(now))
	}
}

// fullDepth returns the depth of the leader's bucket.
func (a *account[K]) fullDepth() float64 { return a.free*a.limit.Burst + a.depth }

// capacity returns the depth of the leader's bucket less the grants that are not spent.
func (a *account[K]) capacity(now time.Time) float64 {
	return max(0, a.fullDepth()-a.outstanding(now))
}

// settle computes the part of the limit that fills the leader's bucket after a change of
// leases. While leases of earlier terms are valid there is none.
func (a *account[K]) settle(now time.Time, assigns bool) {
	a.free = 0
	if assigns {
		a.free = max(0, 1-a.inUse(now))
	}
	a.level = min(a.level, a.capacity(now))
}

// assign returns the share of a gateway.
func (a *account[K]) assign(now time.Time, h *holder, assigns bool) float64 {
	h.prune(now)
	current := h.current()
	if !assigns {
		if len(h.leases) == 0 {
			return h.share
		}
		return min(h.share, current)
	}
	target := a.target(now, h, current)
	if math.Abs(target-current) < minChange*current && target > 0 {
		target = current
	}
	if target <= current {
		return target
	}
	available := 1 - a.inUse(now)
	if a.limit.Burst > 0 {
		available -= a.outstanding(now) / a.limit.Burst
	}
	return max(current, min(target, h.inUse(now)+max(0, available)))
}

// target returns the share that the demand of a gateway justifies.
func (a *account[K]) target(now time.Time, h *holder, current float64) float64 {
	demand := a.demand(now)
	if h.demand <= 0 || demand <= 0 {
		return 0
	}
	target := h.demand / a.limit.Rate * min(headroom, maxLeased*a.limit.Rate/demand)
	least := minDepth
	if current > 0 {
		least = keepDepth
	}
	if target*a.limit.Burst < least*a.size() {
		return 0
	}
	return target
}

// grant grants what the gateway asks for as far as possible. The gateway whose requests
// have waited longest comes first.
func (a *account[K]) grant(now time.Time, h *holder, expires time.Time) {
	amount := 0.0
	capacity := a.capacity(now)
	switch {
	case h.want <= 0:
		return
	case h.need <= 0:
		if expected := h.demand * prefetchTime.Seconds(); expected >= a.size() {
			amount = min(h.want, expected-h.outstanding(now), a.level-prefetchLevel*a.fullDepth())
		}
	default:
		reserved := a.reserved(now, h)
		amount = min(h.want, a.level-reserved)
		if amount < h.need {
			// A request above the burst is granted when the bucket is full.
			if reserved > 0 || h.need <= capacity || a.level < capacity || h.need-a.level > a.debt {
				return
			}
			amount = h.need
		}
		h.want -= amount
		h.need = 0
	}
	if amount <= 0 {
		return
	}
	if !now.Before(h.grantExpires) {
		h.released = h.granted
	}
	a.level -= amount
	h.granted += amount
	h.grantExpires = expires
}

// reserved returns what gateways need whose requests wait longer than those of h.
func (a *account[K]) reserved(now time.Time, h *holder) (sum float64) {
	for _, other := range a.list {
		if other != h && other.need > 0 && other.waits.Before(h.waits) && now.Sub(other.heard) < liveTimeout {
			sum += other.need
		}
	}
	return sum
}

// waitTime is about how long requests wait. Those for which it is not enough are refused
// soon.
const waitTime = 100 * time.Millisecond

// available returns what can be granted beside the requests that wait.
func (a *account[K]) available() float64 {
	waiting := 0.0
	for _, h := range a.list {
		if h.need > 0 {
			waiting += h.want
		}
	}
	return a.level - min(waiting, max(0, a.level)+a.free*a.limit.Rate*waitTime.Seconds())
}

// size returns the mean size of usual requests at the gateways.
func (a *account[K]) size() float64 {
	sum, n := 0.0, 0.0
	for _, h := range a.list {
		if h.size > 0 {
			sum, n = sum+h.size, n+1
		}
	}
	return sum / max(1, n)
}
