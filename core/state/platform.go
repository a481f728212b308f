package state

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// closedOrderRetention is how long the id of a closed platform order is kept. A
// proposal repeated after that starts another target.
const closedOrderRetention = 24 * time.Hour

// maxOpenPlatformOrders limits the platform orders that are not acknowledged.
const maxOpenPlatformOrders = 256

// platform holds the orders to the platform.
type platform struct {
	byID     map[string]*PlatformRecord
	byNumber map[fleet.OrderNumber]*PlatformRecord
	open     int // number of open orders
}

func (p *platform) add(r *PlatformRecord) {
	p.byID[r.Order.ID] = r
	p.byNumber[r.Order.Number] = r
	if !r.Closed {
		p.open++
	}
}

func (p *platform) records() []PlatformRecord {
	out := make([]PlatformRecord, 0, len(p.byNumber))
	for _, r := range p.byNumber {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b PlatformRecord) int { return a.Order.Number.Compare(b.Order.Number) })
	return out
}

func (p *platform) openOrderFor(name fleet.TargetName) *PlatformRecord {
	for _, r := range p.byNumber {
		if !r.Closed && r.Order.Target == name {
			return r
		}
	}
	return nil
}

func (p *platform) expire(now time.Time) int {
	n := 0
	for number, r := range p.byNumber {
		if r.Closed && !r.Expires.After(now) {
			delete(p.byNumber, number)
			delete(p.byID, r.Order.ID)
			n++
		}
	}
	return n
}

func (m *Machine) placePlatformOrder(c PlacePlatformOrder) Result {
	if c.ID == "" || len(c.ID) > maxNameBytes {
		return PlatformResult{Outcome: OrderNotAllowed}
	}
	if r := m.platform.byID[c.ID]; r != nil {
		return repeatedPlatformOrder(r, c)
	}
	if c.Term < m.term {
		return PlatformResult{Outcome: OrderStale}
	}
	m.EnterTerm(c.Term)
	if c.Kind == PlatformStart {
		if m.overBudget(c) {
			return PlatformResult{Outcome: OrderNotAllowed}
		}
		res := m.placeStart(c)
		m.publish()
		return res
	}
	return m.placeStop(c)
}

// repeatedPlatformOrder returns the result for a proposal whose id is already
// in use. Different content under the same id is refused, so that an id always
// identifies one order.
func repeatedPlatformOrder(r *PlatformRecord, c PlacePlatformOrder) Result {
	o := r.Order
	same := o.Kind == c.Kind && o.DataCentre == c.DataCentre && o.Pool == c.Pool
	if !same || c.Kind == PlatformStop && o.Target != c.Target {
		return PlatformResult{Outcome: OrderNotAllowed, Order: o}
	}
	if r.Closed {
		return PlatformResult{Outcome: OrderAlreadyClosed, Order: o, Done: r.Done, Detail: r.Detail}
	}
	return PlatformResult{Outcome: OrderPlaced, Order: o}
}

func (m *Machine) hasOrderCapacity() bool {
	return m.platform.open < maxOpenPlatformOrders && len(m.platform.byNumber) < m.limits.platformOrders
}

// placeStart opens a start order and registers the target that it creates,
// under a name derived from data centre, pool and order number. Limiting the
// first two to half of maxNameBytes leaves room for the number.
func (m *Machine) placeStart(c PlacePlatformOrder) PlatformResult {
	if !m.hasOrderCapacity() || len(m.targets) >= m.limits.targets || len(c.DataCentre)+len(c.Pool) > maxNameBytes/2 {
		return PlatformResult{Outcome: OrderNotAllowed}
	}
	number := m.nextOrderNumber()
	name := fleet.TargetName(fmt.Sprintf("%s-%s-%s", c.DataCentre, c.Pool, number))
	o := PlatformOrder{
		Number: number, ID: c.ID, Kind: PlatformStart, DataCentre: c.DataCentre, Region: c.Region,
		Pool: c.Pool, Target: name, Deadline: c.Deadline,
	}
	m.platform.add(&PlatformRecord{Order: o})
	t := &TargetRecord{Target: fleet.Target{Name: name, DataCentre: c.DataCentre, Region: c.Region, Pool: c.Pool}}
	t.setPhase(fleet.Announced, c.Deadline)
	m.targets[name] = t
	m.markUpdated(t)
	return PlatformResult{Outcome: OrderPlaced, Order: o}
}

// placeStop opens a stop order for a target that is leaving, lost or gone.
func (m *Machine) placeStop(c PlacePlatformOrder) Result {
	t := m.targets[c.Target]
	if t == nil {
		return PlatformResult{Outcome: OrderNotFound}
	}
	if r := m.platform.openOrderFor(c.Target); r != nil {
		return PlatformResult{Outcome: OrderAnotherOpen, Order: r.Order}
	}
	p := t.Target.Phase
	if !m.hasOrderCapacity() || p != fleet.Leaving && p != fleet.Gone && p != fleet.Lost {
		return PlatformResult{Outcome: OrderNotAllowed}
	}
	o := PlatformOrder{
		Number: m.nextOrderNumber(), ID: c.ID, Kind: PlatformStop, DataCentre: c.DataCentre, Region: c.Region,
		Pool: c.Pool, Target: c.Target, Deadline: c.Deadline,
	}
	m.platform.add(&PlatformRecord{Order: o})
	return PlatformResult{Outcome: OrderPlaced, Order: o}
}

func (m *Machine) acknowledgePlatform(c AcknowledgePlatform) Result {
	r := m.platform.byNumber[c.Number]
	if r == nil {
		return PlatformResult{Outcome: OrderNotFound}
	}
	if r.Closed {
		return PlatformResult{Outcome: OrderAlreadyClosed, Order: r.Order, Done: r.Done, Detail: r.Detail}
	}
	r.Closed, r.Done, r.Detail = true, c.Done, truncateDetail(c.Detail)
	r.Expires = c.Time.Add(closedOrderRetention)
	m.platform.open--
	if t := m.targets[r.Order.Target]; t != nil && t.Target.Phase != fleet.Gone && targetTerminated(r, t) {
		m.markGone(t, c.Time)
		m.markUpdated(t)
	}
	m.publish()
	return PlatformResult{Outcome: OrderClosed, Order: r.Order, Done: r.Done, Detail: r.Detail}
}

// targetTerminated reports whether the result of a platform order means that
// the target does not run: it was stopped, or its start failed before an agent
// announced it.
func targetTerminated(r *PlatformRecord, t *TargetRecord) bool {
	if r.Order.Kind == PlatformStop {
		return r.Done
	}
	return !r.Done && t.Target.Incarnation == 0
}

// OpenPlatformOrders returns the platform orders that are not acknowledged,
// sorted by number.
func (m *Machine) OpenPlatformOrders() []PlatformOrder {
	var out []PlatformOrder
	for _, r := range m.platform.records() {
		if !r.Closed {
			out = append(out, r.Order)
		}
	}
	return out
}

// Targets returns the records of all targets, sorted by name.
func (m *Machine) Targets() []TargetRecord {
	out := make([]TargetRecord, 0, len(m.targets))
	for _, r := range m.targets {
		out = append(out, r.clone())
	}
	slices.SortFunc(out, func(a, b TargetRecord) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	return out
}

func (r *TargetRecord) clone() TargetRecord {
	c := *r
	if r.Open != nil {
		o := *r.Open
		c.Open = &o
	}
	if r.Closed != nil {
		d := *r.Closed
		c.Closed = &d
	}
	return c
}
