package controller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/operator"
	"papayarock/io/replica"
)

var errStale = errors.New("this replica cannot confirm that its state is current")

// currentSnapshot returns a state that includes every change accepted before the
// request, or answers with an error. Operators base their next change on this state.
// A copy that is only fresh enough to serve callers may lack the operator's own last
// change, and a next change based on it would be refused as a conflict.
func (c *Controller) currentSnapshot(w http.ResponseWriter, r *http.Request) (*state.Snapshot, bool) {
	if _, ok := c.age(); !ok {
		writeError(w, http.StatusServiceUnavailable, "stale", errStale)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	err := c.member.ReadBarrier(ctx)
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		c.refuseNotLeader(w, notLeader)
		return nil, false
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "stale", errors.Wrap(errStale, err.Error()))
		return nil, false
	}
	var snapshot *state.Snapshot
	c.machine.read(func(s *state.Machine) { snapshot = s.Snapshot() })
	return snapshot, true
}

// serveList returns a handler that answers with the items that list reads from the
// state.
func serveList[T any](c *Controller, list func(c *Controller, snapshot *state.Snapshot) []T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		snapshot, ok := c.currentSnapshot(w, r)
		if !ok {
			return
		}
		writeJSON(w, http.StatusOK, operator.List[T]{Revision: snapshot.Config.Revision, Items: list(c, snapshot)})
	}
}

func listTargets(c *Controller, snapshot *state.Snapshot) []operator.Target {
	polls := c.lastPolls()
	assessments := c.assessments(time.Now())
	out := make([]operator.Target, 0, len(snapshot.Targets))
	for _, r := range snapshot.Targets {
		t := r.Target
		item := operator.Target{
			Name: string(t.Name), Host: string(t.Host), DataCentre: string(t.DataCentre), Pool: t.Pool,
			Kind: t.Kind.String(), Role: t.Role.String(), Phase: t.Phase.String(), Until: t.PhaseUntil,
			Incarnation: uint64(t.Incarnation), Running: polls[t.Name].Running,
			Model: r.Loaded.Model, Version: r.Loaded.Version,
		}
		if a, ok := assessments[t.Name]; ok {
			item.Condition, item.Reason = a.Condition.String(), a.Reason
		}
		if r.Open != nil {
			item.Order = r.Open.Number.String()
		}
		out = append(out, item)
	}
	return out
}

// listHosts lists the members of the log and all nodes that poll.
func listHosts(c *Controller, snapshot *state.Snapshot) []operator.Host {
	byName := make(map[fleet.Host]*operator.Host)
	c.mu.Lock()
	for _, s := range c.tracker.Subscribers() {
		byName[s.Host] = &operator.Host{Name: string(s.Host), Via: string(s.Via), Revision: s.Revision, Seen: s.Seen}
	}
	c.mu.Unlock()
	leader := c.member.Leader()
	for _, m := range c.member.Members() {
		h := byName[m.Host]
		if h == nil {
			h = &operator.Host{Name: string(m.Host)}
			byName[m.Host] = h
		}
		h.Member, h.Leading = "voter", m.Host == leader
		if m.Learner {
			h.Member = "learner"
		}
		if m.Host == c.self {
			h.Revision, h.Seen = snapshot.Config.Revision, time.Now()
		}
	}
	out := make([]operator.Host, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

func listKeys(_ *Controller, snapshot *state.Snapshot) []operator.Key {
	out := make([]operator.Key, 0, len(snapshot.Config.Keys))
	for _, k := range snapshot.Config.Keys {
		out = append(out, operator.Key{ID: k.ID, Customer: string(k.Customer), Issued: k.Issued})
	}
	return out
}

func listRevocations(_ *Controller, snapshot *state.Snapshot) []operator.Revocation {
	out := make([]operator.Revocation, 0, len(snapshot.Config.Revoked))
	for _, r := range snapshot.Config.Revoked {
		out = append(out, operator.Revocation{Host: string(r.Host), IssuedBefore: r.IssuedBefore})
	}
	return out
}

func listUsage(_ *Controller, snapshot *state.Snapshot) []operator.Usage {
	out := []operator.Usage{}
	for _, w := range snapshot.Usage.Sealed {
		windowState := "sealed"
		if w.Acknowledged {
			windowState = "acknowledged"
		}
		out = append(out, usageItems(w, windowState)...)
	}
	return append(out, usageItems(snapshot.Usage.Open, "open")...)
}

func usageItems(w state.UsageWindow, windowState string) []operator.Usage {
	base := operator.Usage{Window: w.Number, From: w.From, Until: w.Until, State: windowState}
	if len(w.Figures) == 0 {
		return []operator.Usage{base}
	}
	out := make([]operator.Usage, 0, len(w.Figures))
	for _, f := range w.Figures {
		item := base
		item.Customer, item.Route = string(f.Customer), f.Route
		item.Requests, item.PromptTokens, item.OutputTokens = f.Requests, f.PromptTokens, f.OutputTokens
		out = append(out, item)
	}
	return out
}

var orderKinds = map[state.OrderKind]string{
	state.OrderLoad: "load", state.OrderRole: "role", state.OrderDrain: "drain",
}

func listOrders(_ *Controller, snapshot *state.Snapshot) []operator.Order {
	out := []operator.Order{}
	for _, r := range snapshot.Targets {
		if r.Open != nil {
			out = append(out, targetOrder(*r.Open, "open", ""))
		}
		if r.Closed != nil {
			out = append(out, targetOrder(r.Closed.Order, closedState(r.Closed.Done, r.Closed.Abandoned), r.Closed.Detail))
		}
	}
	for _, p := range snapshot.Platform {
		item := operator.Order{
			Number: p.Order.Number.String(), To: "platform", Target: string(p.Order.Target),
			Kind: "start", State: "open", Detail: p.Detail, Deadline: p.Order.Deadline,
		}
		if p.Order.Kind == state.PlatformStop {
			item.Kind = "stop"
		}
		if p.Closed {
			item.State = closedState(p.Done, false)
		}
		out = append(out, item)
	}
	return out
}

func targetOrder(o state.Order, orderState, detail string) operator.Order {
	return operator.Order{
		Number: o.Number.String(), To: "target", Target: string(o.Target), Kind: orderKinds[o.Kind],
		State: orderState, Detail: detail, Deadline: o.Deadline,
	}
}

func closedState(done, abandoned bool) string {
	switch {
	case abandoned:
		return "abandoned"
	case done:
		return "done"
	}
	return "failed"
}

func listAudit(_ *Controller, snapshot *state.Snapshot) []operator.AuditEntry {
	out := make([]operator.AuditEntry, 0, len(snapshot.Audit))
	for _, a := range snapshot.Audit {
		out = append(out, operator.AuditEntry{
			Time: a.Time, Operator: a.Operator, Description: a.What, ChangeID: a.Change, Revision: a.Revision,
		})
	}
	return out
}
