package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

const (
	// staleAfter is how long a target may be silent before others are preferred:
	// announcements come about once a second and some are late.
	staleAfter = 6 * time.Second
	// slotUse is how many requests per slot all gateways together may keep
	// running at a target. Gateways have uneven shares of the callers.
	slotUse = 2
	// leastRunning is the least number of requests that a gateway may keep
	// running at a target.
	leastRunning = 3
	// regionDelay and centreDelay stand for the way to a target that has not
	// been connected to yet.
	regionDelay = 40 * time.Millisecond
	centreDelay = 2 * time.Millisecond
	// centreFactor and regionFactor are how much longer KV cache takes to
	// another data centre and to another region.
	centreFactor = 2
	regionFactor = 10
	// decodeReading is the speed at which a decode engine reads prompts against a
	// prefill engine: at half the speed and in quarter pieces, each with a step.
	decodeReading = 0.35
	// longestPromise bounds what refused callers are told: loads shift within
	// seconds.
	longestPromise = 3 * time.Second
	// unknownWait is told to callers while nothing is known of the rate.
	unknownWait = time.Second
)

type waiter struct {
	id    uint64
	ask   Ask
	until time.Time
}

// Offer decides on a request. With Wait, id names the request in later grants
// and in Withdraw.
func (p *Placer) Offer(now time.Time, id uint64, a Ask) Decision {
	x := p.pool(a.Pool)
	if !x.serves(a) {
		return Decision{Step: Refuse, Reason: NoTarget, RetryAt: now.Add(unknownWait)}
	}
	ahead := x.ahead(a)
	if ahead == 0 || a.From != "" {
		if t := p.pick(now, x, a); t != nil {
			return Decision{Step: Send, Target: t.take(now)}
		}
	}
	at, until := p.expected(now, x, a, ahead+1), p.until(now, x, a)
	if at.After(until) {
		return Decision{Step: Refuse, Reason: Full, RetryAt: p.promise(now, x, a, at), Queue: ahead}
	}
	x.enqueue(waiter{id: id, ask: a, until: until})
	return Decision{Step: Wait, Until: until, Queue: ahead}
}

// latest is until when the request may wait for a place by its objective alone: a
// target that is within its limit then answers in time.
func (a Ask) latest() time.Time {
	at := a.Start.Add(time.Duration(waitShare * float64(a.Objective)))
	if a.Objective <= 0 || a.Deadline.Before(at) {
		return a.Deadline
	}
	return at
}

// until is until when a may wait for a place: the answer is then expected to be in
// time, by what requests to its targets have taken lately.
func (p *Placer) until(now time.Time, x *pool, a Ask) time.Time {
	latest := a.latest()
	if a.Objective <= 0 {
		return latest
	}
	at := a.Start.Add(a.Objective - p.way(now, x, a))
	if at.Before(latest) {
		return at
	}
	return latest
}

// way is the expected time from a place to the first event.
func (p *Placer) way(now time.Time, x *pool, a Ask) time.Duration {
	decode := p.usable(now, x, a, false)
	if a.Affinity == "" {
		if t := p.cheapest(decode, a); t != nil {
			return t.expected()
		}
		return 0
	}
	last := home(decode, a.Affinity)
	if last == nil {
		return 0
	}
	if a.Split {
		first := home(append(decode, p.usable(now, x, a, true)...), a.Affinity)
		if first.record.Role == fleet.Prefill {
			return first.expected() + last.expected()
		}
		return first.expected()
	}
	return last.expected()
}

// serves reports whether a target of the pool may serve a at all.
func (x *pool) serves(a Ask) bool {
	return slices.ContainsFunc(x.targets, func(t *target) bool { return t.fits(a, false) })
}

// fits reports whether t may serve a, by what it says of itself.
func (t *target) fits(a Ask, prefill bool) bool {
	return t.record.Condition == roster.Ready && t.gone.IsZero() && (t.record.Role == fleet.Prefill) == prefill &&
		!slices.Contains(a.Exclude, t.record.Target)
}

// ahead returns how many waiting requests go before a.
func (x *pool) ahead(a Ask) int {
	n := 0
	for _, w := range x.waiting {
		if w.ask.Rank <= a.Rank {
			n++
		}
	}
	return n
}

func (x *pool) enqueue(w waiter) {
	at, _ := slices.BinarySearchFunc(x.waiting, w, func(x, y waiter) int {
		if c := cmp.Compare(x.ask.Rank, y.ask.Rank); c != 0 {
			return c
		}
		if c := x.until.Compare(y.until); c != 0 {
			return c
		}
		return -1 // behind those that came earlier
	})
	x.waiting = slices.Insert(x.waiting, at, w)
}

// Withdraw takes a waiting request out of its queue. It returns false if the
// request does not wait any more, and else when a place is expected.
func (p *Placer) Withdraw(now time.Time, id uint64, name string) (time.Time, bool) {
	x := p.pool(name)
	at := slices.IndexFunc(x.waiting, func(w waiter) bool { return w.id == id })
	if at < 0 {
		return time.Time{}, false
	}
	w := x.waiting[at]
	x.waiting = slices.Delete(x.waiting, at, at+1)
	return p.promise(now, x, w.ask, p.expected(now, x, w.ask, at+1)), true
}

// promise returns when a refused caller is told to come back: when a place is
// expected, but behind the callers that were refused before.
func (p *Placer) promise(now time.Time, x *pool, a Ask, at time.Time) time.Time {
	one := p.expected(now, x, a, 1).Sub(now)
	if next := x.promised.Add(one); next.After(at) {
		at = next
	}
	if longest := now.Add(longestPromise); at.After(longest) {
		at = longest
	}
	x.promised = at
	return at
}

// expected returns when the n-th place from now becomes free: by Little's law a
// target serves its limit in the time to a first event.
func (p *Placer) expected(now time.Time, x *pool, a Ask, n int) time.Time {
	var second float64 // places a second
	for _, prefill := range []bool{false, true} {
		if prefill && !a.Split {
			continue
		}
		for _, t := range p.usable(now, x, a, prefill) {
			second += t.limit / t.expected().Seconds()
		}
	}
	if second == 0 {
		return now.Add(unknownWait)
	}
	return now.Add(time.Duration(float64(n) / second * float64(time.Second)))
}

// serve gives free places to waiting requests.
func (p *Placer) serve(now time.Time, x *pool) []Grant {
	if len(x.waiting) == 0 {
		return nil
	}
	var out []Grant
	kept := x.waiting[:0]
	for _, w := range x.waiting {
		t := p.pick(now, x, w.ask)
		if t == nil {
			kept = append(kept, w)
			continue
		}
		out = append(out, Grant{ID: w.id, Target: t.take(now)})
	}
	clear(x.waiting[len(kept):])
	x.waiting = kept
	return out
}

// take counts a request that goes to t.
func (t *target) take(now time.Time) roster.Record {
	t.running++
	t.reading++
	t.sent = now
	return t.record
}

// pick returns a target with a free place; nil if there is none.
func (p *Placer) pick(now time.Time, x *pool, a Ask) *target {
	if a.Split {
		if t := p.reader(now, x, a); t != nil {
			return t
		}
	}
	free := p.usable(now, x, a, false)
	if a.Affinity != "" {
		// KV cache is always taken.
		if t := home(free, a.Affinity); t != nil && (a.From != "" || p.open(now, t)) {
			return t
		}
		return nil
	}
	// A prompt that has been read is not wasted: its KV cache takes little of a
	// decode engine.
	if a.From == "" {
		free = slices.DeleteFunc(free, func(t *target) bool { return !p.open(now, t) })
	}
	return p.cheapest(free, a)
}

// cheapest returns the target of the list with the shortest expected wait; nil of
// an empty list.
func (p *Placer) cheapest(list []*target, a Ask) *target {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(s, t *target) int { return cmp.Compare(p.cost(s, a), p.cost(t, a)) })
}

// usable returns the targets that may serve a. Those that are stale or left
// alone serve only if no other does.
func (p *Placer) usable(now time.Time, x *pool, a Ask, prefill bool) []*target {
	var sound, other []*target
	for _, t := range x.targets {
		if !t.fits(a, prefill) {
			continue
		}
		if now.Before(t.benched) || now.Before(t.full) || now.Sub(t.record.Heard) > staleAfter || t.probing() {
			other = append(other, t)
		} else {
			sound = append(sound, t)
		}
	}
	if len(sound) == 0 && !prefill {
		sound = other
	}
	return sound
}

// open reports whether t has a free place for this gateway.
func (p *Placer) open(now time.Time, t *target) bool {
	at, ok := t.opens()
	return ok && !now.Before(at) && t.running < max(leastRunning, slotUse*t.record.Slots/p.gateways)
}

// Wake returns when a place becomes free for a waiting request by time alone;
// zero if none does.
func (p *Placer) Wake() time.Time {
	var first time.Time
	for _, x := range p.pools {
		if len(x.waiting) == 0 {
			continue
		}
		for _, t := range x.targets {
			if at, ok := t.opens(); ok && !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}

// Tick returns the waiting requests that have a place at now.
func (p *Placer) Tick(now time.Time) []Grant {
	var out []Grant
	for _, x := range p.pools {
		out = append(out, p.serve(now, x)...)
	}
	return out
}

// reader returns the engine that reads a long prompt: the home of its prefix
// among all engines, so that a prefix is held once, else the home among the
// prefill engines. It returns nil if neither has a place.
func (p *Placer) reader(now time.Time, x *pool, a Ask) *target {
	prefill := p.usable(now, x, a, true)
	if a.Affinity == "" {
		return p.cheapest(slices.DeleteFunc(prefill, func(t *target) bool { return !p.open(now, t) }), a)
	}
	if t := home(append(p.usable(now, x, a, false), prefill...), a.Affinity); t != nil && p.open(now, t) {
		return t
	}
	if t := home(prefill, a.Affinity); t != nil && p.open(now, t) {
		return t
	}
	return nil
}

// home returns the first target in the order of a prefix; nil of an empty list.
func home(list []*target, prefix string) *target {
	var best *target
	var most float64
	for _, t := range list {
		if w := weight(t, prefix); best == nil || w > most {
			best, most = t, w
		}
	}
	return best
}

// weight orders the targets for a prefix, so that each comes first for a share of
// the prefixes that fits the speed at which it reads.
func weight(t *target, prefix string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(t.record.Target))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prefix)
	// A uniform number above zero and below one.
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	speed := 1.0
	if t.record.Role == fleet.Decode {
		speed = decodeReading
	}
	return -speed / math.Log(u)
}

// cost is the expected time to an answer of t.
func (p *Placer) cost(t *target, a Ask) time.Duration {
	share := max(1, t.record.Slots/p.gateways)
	cost := p.distanceTo(t) + t.expected()*time.Duration(t.running)/time.Duration(share)
	if a.From != "" {
		cost += a.Transfer * time.Duration(p.factor(a.From, t.record.DataCentre))
	}
	return cost
}

func (p *Placer) factor(from, to fleet.DataCentre) int {
	switch {
	case from == to:
		return 1
	case p.regions[from] == p.regions[to]:
		return centreFactor
	}
	return regionFactor
}

// distanceTo is the time to reach t and back.
func (p *Placer) distanceTo(t *target) time.Duration {
	switch {
	case t.distance > 0:
		return t.distance
	case t.record.DataCentre == p.self:
		return 0
	case p.regions[t.record.DataCentre] == p.regions[p.self]:
		return centreDelay
	}
	return regionDelay
}
