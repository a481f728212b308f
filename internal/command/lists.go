package command

import (
	"context"

	"papayarock/io/operator"
)

// Targets lists the targets.
func (s *Session) Targets(ctx context.Context) error {
	l, err := s.Client.Targets(ctx)
	if err != nil {
		return err
	}
	type t = operator.Target
	return showTable(s.Out, l, l.Items,
		column[t]{"TARGET", func(t t) any { return t.Name }},
		column[t]{"HOST", func(t t) any { return t.Host }},
		column[t]{"DATA CENTRE", func(t t) any { return t.DataCentre }},
		column[t]{"POOL", func(t t) any { return t.Pool }},
		column[t]{"KIND", func(t t) any { return t.Kind }},
		column[t]{"ROLE", func(t t) any { return t.Role }},
		column[t]{"PHASE", func(t t) any { return t.Phase }},
		column[t]{"UNTIL", func(t t) any { return t.Until }},
		column[t]{"RUNNING", func(t t) any { return t.Running }},
		column[t]{"MODEL", func(t t) any { return t.Model }},
		column[t]{"VERSION", func(t t) any { return t.Version }},
		column[t]{"ORDER", func(t t) any { return t.Order }},
		column[t]{"CONDITION", func(t t) any { return t.Condition }},
		column[t]{"REASON", func(t t) any { return t.Reason }})
}

// Keys lists the keys by ID, without their secrets.
func (s *Session) Keys(ctx context.Context) error {
	l, err := s.Client.Keys(ctx)
	if err != nil {
		return err
	}
	type k = operator.Key
	return showTable(s.Out, l, l.Items,
		column[k]{"ID", func(k k) any { return k.ID }},
		column[k]{"CUSTOMER", func(k k) any { return k.Customer }},
		column[k]{"ISSUED", func(k k) any { return k.Issued }})
}

// Revocations lists the hosts with revoked certificates.
func (s *Session) Revocations(ctx context.Context) error {
	l, err := s.Client.Revocations(ctx)
	if err != nil {
		return err
	}
	type r = operator.Revocation
	return showTable(s.Out, l, l.Items,
		column[r]{"HOST", func(r r) any { return r.Host }},
		column[r]{"ISSUED BEFORE", func(r r) any { return r.IssuedBefore }})
}

// Usage lists the usage by window, customer and route.
func (s *Session) Usage(ctx context.Context) error {
	l, err := s.Client.Usage(ctx)
	if err != nil {
		return err
	}
	type u = operator.Usage
	return showTable(s.Out, l, l.Items,
		column[u]{"WINDOW", func(u u) any { return u.Window }},
		column[u]{"FROM", func(u u) any { return u.From }},
		column[u]{"UNTIL", func(u u) any { return u.Until }},
		column[u]{"STATE", func(u u) any { return u.State }},
		column[u]{"CUSTOMER", func(u u) any { return u.Customer }},
		column[u]{"ROUTE", func(u u) any { return u.Route }},
		column[u]{"REQUESTS", func(u u) any { return u.Requests }},
		column[u]{"PROMPT TOKENS", func(u u) any { return u.PromptTokens }},
		column[u]{"OUTPUT TOKENS", func(u u) any { return u.OutputTokens }})
}

// Orders lists the orders to targets and to the platform.
func (s *Session) Orders(ctx context.Context) error {
	l, err := s.Client.Orders(ctx)
	if err != nil {
		return err
	}
	type o = operator.Order
	return showTable(s.Out, l, l.Items,
		column[o]{"NUMBER", func(o o) any { return o.Number }},
		column[o]{"TO", func(o o) any { return o.To }},
		column[o]{"TARGET", func(o o) any { return o.Target }},
		column[o]{"KIND", func(o o) any { return o.Kind }},
		column[o]{"STATE", func(o o) any { return o.State }},
		column[o]{"DEADLINE", func(o o) any { return o.Deadline }},
		column[o]{"DETAIL", func(o o) any { return o.Detail }})
}

// Audit lists the accepted changes.
func (s *Session) Audit(ctx context.Context) error {
	l, err := s.Client.Audit(ctx)
	if err != nil {
		return err
	}
	type a = operator.AuditEntry
	return showTable(s.Out, l, l.Items,
		column[a]{"REVISION", func(a a) any { return a.Revision }},
		column[a]{"TIME", func(a a) any { return a.Time }},
		column[a]{"OPERATOR", func(a a) any { return a.Operator }},
		column[a]{"CHANGE", func(a a) any { return a.ChangeID }},
		column[a]{"WHAT", func(a a) any { return a.Description }})
}

// Hosts lists the members of the replicated log and the nodes that poll control.
func (s *Session) Hosts(ctx context.Context) error {
	l, err := s.Client.Hosts(ctx)
	if err != nil {
		return err
	}
	type h = operator.Host
	return showTable(s.Out, l, l.Items,
		column[h]{"HOST", func(h h) any { return h.Name }},
		column[h]{"MEMBER", func(h h) any { return h.Member }},
		column[h]{"LEADING", func(h h) any { return h.Leading }},
		column[h]{"VIA", func(h h) any { return h.Via }},
		column[h]{"REVISION", func(h h) any { return h.Revision }},
		column[h]{"SEEN", func(h h) any { return h.Seen }})
}
