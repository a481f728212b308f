package quota

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// Leader is the leader's part: it assigns the shares of limits to gateways, which K
// identifies. Use NewLeader for each term.
type Leader[K comparable] struct {
	term     uint64
	bounds   Bounds
	assignAt time.Time // before, leases that gateways report are renewed and none is assigned
	accounts map[fleet.Customer]*account[K]
	names    []fleet.Customer // of accounts, sorted
	gateways map[K]*member
}

// member is a gateway that has sent a report.
type member struct {
	heard    time.Time // receipt of the newest report
	seen     uint64    // its sequence
	sequence uint64    // of the newest update to the gateway
}

// liveTimeout is the age of the newest report of a gateway from which its demand is not
// considered any more. Gateways report at least every 0.5 s.
const liveTimeout = 1200 * time.Millisecond

// NewLeader returns a Leader for a term that begins at now. It does not know the leases of
// earlier terms, so that it only renews those that gateways report until they have expired.
func NewLeader[K comparable](now time.Time, term uint64, b Bounds) *Leader[K] {
	return &Leader[K]{
		term: term, bounds: b, assignAt: now.Add(Lifetime + guard),
		accounts: make(map[fleet.Customer]*account[K]), gateways: make(map[K]*member),
	}
}

// SetLimits replaces the limits. Leases are shares of them, so that they stay in force.
func (l *Leader[K]) SetLimits(now time.Time, limits []Limit) {
	accounts := make(map[fleet.Customer]*account[K], len(limits))
	l.names = nil
	for _, limit := range limits {
		a := l.accounts[limit.Customer]
		if a == nil {
			a = &account[K]{at: now, holders: make(map[K]*holder)}
		}
		a.advance(now)
		a.limit, a.debt, a.depth = limit, limit.debt(l.bounds), limit.depth(l.bounds)
		a.settle(now, l.assigns(now))
		accounts[limit.Customer] = a
		l.names = append(l.names, limit.Customer)
	}
	slices.Sort(l.names)
	l.accounts = accounts
}

// assigns reports whether all leases of earlier terms have expired.
func (l *Leader[K]) assigns(now time.Time) bool { return !now.Before(l.assignAt) }

// Report records the report of a gateway. It reports whether the gateway asks for a grant for
// requests that wait, so that the next update to it should not be delayed.
func (l *Leader[K]) Report(now time.Time, k K, r Report) (urgent bool) {
	m := l.gateways[k]
	if m == nil {
		// A gateway that was forgotten in this term continues from its totals: it ignores
		// updates with lower ones.
		m = &member{}
		if r.Term == l.term {
			m.sequence = r.Applied
		}
		l.gateways[k] = m
	}
	if r.Sequence <= m.seen {
		return false
	}
	m.seen, m.heard = r.Sequence, now
	for _, d := range r.Demands {
		a := l.accounts[d.Customer]
		if a == nil {
			continue
		}
		a.advance(now)
		h := a.holders[k]
		if h == nil {
			h = &holder{since: now, askedAt: now, asked: d.Asked}
			if r.Term == l.term { // its leases and grants have expired
				h.granted, h.released, h.returned = d.Released, d.Released, d.Returned
			}
			a.add(k, h)
		}
		h.heard = now
		h.record(now, d)
		if r.Term == l.term {
			h.confirm(r.Applied)
			h.released = min(d.Released, h.granted)
			if d.Returned > h.returned {
				a.level += d.Returned - h.returned
				h.returned = d.Returned
			}
		}
		a.settle(now, l.assigns(now))
		urgent = urgent || h.need > 0
	}
	return urgent
}

// Update returns the next update for a gateway, with leases if the gateway has sent a report.
// If urgent is set, the update has only the customers whose requests wait for a grant. Update
// returns false if there is nothing to send. Retry reports whether requests of the gateway
// wait for a grant that was not possible yet.
func (l *Leader[K]) Update(now time.Time, k K, urgent bool) (u Update, retry, ok bool) {
	if len(l.accounts) == 0 {
		return Update{}, false, false
	}
	l.expire(now)
	m := l.gateways[k]
	if m == nil {
		return Update{Term: l.term, Gateways: len(l.gateways)}, false, !urgent
	}
	m.sequence++
	u = Update{Term: l.term, Sequence: m.sequence, Seen: m.seen, Gateways: len(l.gateways)}
	for _, name := range l.names {
		a := l.accounts[name]
		h := a.holders[k]
		if h == nil || urgent && h.need <= 0 {
			continue
		}
		a.advance(now)
		lease := Lease{Customer: name, Share: a.assign(now, h, l.assigns(now))}
		h.lease(now, m.sequence, lease.Share, m.heard.Add(Lifetime+guard))
		if h.outstanding(now) > 0 {
			h.grantExpires = m.heard.Add(Lifetime + guard)
		}
		a.settle(now, l.assigns(now))
		if l.assigns(now) {
			a.grant(now, h, m.heard.Add(Lifetime+guard))
		}
		lease.Granted = h.granted
		lease.Available, lease.Fill = a.available(), a.free*a.limit.Rate
		retry = retry || h.need > 0
		u.Leases = append(u.Leases, lease)
	}
	return u, retry, !urgent || len(u.Leases) > 0
}

// expire forgets gateways whose leases have expired.
func (l *Leader[K]) expire(now time.Time) {
	for k, m := range l.gateways {
		if now.Sub(m.heard) <= Lifetime+guard {
			continue
		}
		delete(l.gateways, k)
		for _, a := range l.accounts {
			a.advance(now)
			a.remove(k)
			a.settle(now, l.assigns(now))
		}
	}
}

// Assignment is the state of one customer's limit.
type Assignment struct {
	Customer fleet.Customer
	InUse    float64 // part of the limit that may be in use by leases
	Demand   float64 // per second, of all gateways
	Level    float64 // of the bucket of the leader
	Holders  int     // gateways with a share
}

// Assignments returns the state of all limits, sorted by customer.
func (l *Leader[K]) Assignments(now time.Time) []Assignment {
	var out []Assignment
	for _, name := range l.names {
		a := l.accounts[name]
		a.advance(now)
		x := Assignment{Customer: name, InUse: a.inUse(now), Demand: a.demand(now), Level: a.level}
		for _, h := range a.list {
			if h.inUse(now) > 0 {
				x.Holders++
			}
		}
		out = append(out, x)
	}
	return out
}
