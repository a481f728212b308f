package state

import (
	"strings"
	"time"

	"papayarock/core/fleet"
)

// placeOrder opens an order unless another one is open or the target must be
// read first. Repeating the proposal of an open order returns that order with
// its number.
func (m *Machine) placeOrder(c PlaceOrder) Result {
	r := m.targets[c.Target]
	switch {
	case r == nil:
		return OrderResult{Outcome: OrderNotFound}
	case c.Term < m.term || c.Incarnation != r.Target.Incarnation || c.Incarnation == 0:
		return OrderResult{Outcome: OrderStale}
	case r.ReadRequired:
		return OrderResult{Outcome: OrderReadRequired, ReadNumber: r.ReadNumber}
	case r.Open != nil:
		o := *r.Open
		if o.Kind == c.Kind && o.Content == c.Content {
			return OrderResult{Outcome: OrderPlaced, Order: o}
		}
		return OrderResult{Outcome: OrderAnotherOpen, Order: o}
	case !orderAllowed(r, c.Kind):
		return OrderResult{Outcome: OrderNotAllowed}
	}
	m.EnterTerm(c.Term)
	r.Open = &Order{
		Number: m.nextOrderNumber(), Target: c.Target, Incarnation: c.Incarnation,
		Kind: c.Kind, Content: c.Content, Deadline: c.Deadline,
	}
	return OrderResult{Outcome: OrderPlaced, Order: *r.Open}
}

// orderAllowed reports whether the phase of a target allows an order. A role
// change interrupts running requests, so a ready target must be drained first.
func orderAllowed(r *TargetRecord, k OrderKind) bool {
	switch r.Target.Phase {
	case fleet.Announced:
		return k == OrderDrain || r.Target.Kind == fleet.Engine
	case fleet.Ready:
		return k == OrderDrain || k == OrderLoad && r.Target.Kind == fleet.Engine
	case fleet.Draining:
		return k == OrderDrain || r.Target.Kind == fleet.Engine
	case fleet.Leaving:
		return k == OrderDrain
	}
	return false
}

// acknowledgeOrder closes an order once. A late result of an abandoned order
// has no effect, because the target is read instead.
func (m *Machine) acknowledgeOrder(c AcknowledgeOrder) Result {
	r := m.targets[c.Target]
	if r == nil {
		return OrderResult{Outcome: OrderNotFound}
	}
	if d := r.Closed; d != nil && d.Order.Number == c.Number && !d.Abandoned {
		return OrderResult{Outcome: OrderAlreadyClosed, Order: d.Order, Done: d.Done, Detail: d.Detail}
	}
	if r.Open == nil || r.Open.Number != c.Number || r.Open.Incarnation != c.Incarnation {
		return OrderResult{Outcome: OrderStale}
	}
	detail := truncateDetail(c.Detail)
	r.Closed = &ClosedOrder{Order: *r.Open, Done: c.Done, Detail: detail}
	r.Open = nil
	if c.Done {
		m.applyOrderEffect(r)
	}
	m.publish()
	return OrderResult{Outcome: OrderClosed, Order: r.Closed.Order, Done: c.Done, Detail: detail}
}

// applyOrderEffect updates a target whose most recently closed order was carried
// out.
func (m *Machine) applyOrderEffect(r *TargetRecord) {
	o := r.Closed.Order
	switch o.Kind {
	case OrderLoad:
		r.Loaded = o.Content
	case OrderRole:
		r.Target.Role = o.Content.Role
		r.RoleChangePending = r.RoleChangePending && r.DesiredRole != o.Content.Role
		if r.Target.Phase == fleet.Draining && r.Desired == DesiredServing && !r.RoleChangePending {
			r.setPhase(fleet.Ready, time.Time{})
		}
		m.markUpdated(r)
	}
}

func (m *Machine) abandonOrder(c AbandonOrder) Result {
	r := m.targets[c.Target]
	if r == nil {
		return OrderResult{Outcome: OrderNotFound}
	}
	if d := r.Closed; d != nil && d.Order.Number == c.Number {
		return OrderResult{Outcome: OrderAlreadyClosed, Order: d.Order, Done: d.Done, Detail: d.Detail, ReadNumber: r.pendingRead()}
	}
	if c.Term < m.term || r.Open == nil || r.Open.Number != c.Number {
		return OrderResult{Outcome: OrderStale}
	}
	m.EnterTerm(c.Term)
	m.becomeUnknown(r, c.Time.Add(agentTimeout))
	m.markUpdated(r)
	m.publish()
	return OrderResult{Outcome: OrderClosed, Order: r.Closed.Order, ReadNumber: r.ReadNumber}
}

// pendingRead returns the number of a read that is still required, or zero.
func (r *TargetRecord) pendingRead() fleet.OrderNumber {
	if !r.ReadRequired {
		return fleet.OrderNumber{}
	}
	return r.ReadNumber
}

// truncateDetail limits the length of text from agents and the platform and
// keeps it valid UTF-8, which the snapshot encoding requires.
func truncateDetail(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxNameBytes)], "")
}
