package answers

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayarock/core/config"
)

// Change is one difference between two configurations.
type Change struct {
	Subject string `json:"subject"` // such as customer "klang"
	Field   string `json:"field"`   // "" if the subject is added or removed
	Before  string `json:"before"`  // "" if the subject is added
	After   string `json:"after"`   // "" if the subject is removed
	For     string `json:"for"`     // whom it concerns
	Confirm string `json:"confirm"` // why an operator must confirm it; "" if none need
}

const (
	present  = "present"
	everyone = "all callers"
	keyed    = "all customers"
)

// Diff lists what a revision changes, in the order customers, routes, pools,
// models, windows, budget.
func Diff(before, after config.Document) []Change {
	changes := []Change{}
	if before.Team != after.Team {
		changes = append(changes, Change{Subject: "team", Field: "name", Before: before.Team, After: after.Team, For: keyed})
	}
	changes = append(changes, compare(before.Customers, after.Customers, customerItem)...)
	changes = append(changes, compare(before.Routes, after.Routes, routeItem)...)
	changes = append(changes, lostPools(before, after)...)
	changes = append(changes, compare(pools(before), pools(after), func(p pool) item { return p.item() })...)
	changes = append(changes, compare(before.Models, after.Models, modelItem)...)
	changes = append(changes, compare(before.Windows, after.Windows, windowItem)...)
	return append(changes, compare([]config.Budget{before.Budget}, []config.Budget{after.Budget}, budgetItem)...)
}

// item is what compare needs to know of a subject.
type item struct {
	subject string
	forWhom string
	fields  []field
	removal string // why its removal must be confirmed; "" if it need not
}

type field struct {
	name, value string
	confirm     func(before, after string) string // nil if no change needs it
}

// compare matches subjects by name and lists their differences.
func compare[T any](before, after []T, describe func(T) item) []Change {
	next := make(map[string]item, len(after))
	for _, v := range after {
		next[describe(v).subject] = describe(v)
	}
	var changes []Change
	known := make(map[string]bool, len(before))
	for _, v := range before {
		b := describe(v)
		known[b.subject] = true
		a, ok := next[b.subject]
		if !ok {
			changes = append(changes, Change{Subject: b.subject, Before: present, For: b.forWhom, Confirm: b.removal})
			continue
		}
		changes = append(changes, fieldChanges(b, a)...)
	}
	for _, v := range after {
		if a := describe(v); !known[a.subject] {
			changes = append(changes, Change{Subject: a.subject, After: present, For: a.forWhom})
		}
	}
	return changes
}

func fieldChanges(b, a item) []Change {
	var changes []Change
	for i, f := range b.fields {
		now := a.fields[i].value
		if f.value == now {
			continue
		}
		c := Change{Subject: b.subject, Field: f.name, Before: f.value, After: now, For: b.forWhom}
		if f.confirm != nil {
			c.Confirm = f.confirm(f.value, now)
		}
		changes = append(changes, c)
	}
	return changes
}

func customerItem(c config.Customer) item {
	return item{
		subject: fmt.Sprintf("customer %q", c.Name),
		forWhom: string(c.Name),
		removal: "removes a served customer; its keys stop working",
		fields: []field{
			{name: "weight", value: fmt.Sprint(c.Weight)},
			{name: "tokens-per-second", value: limit(c.TokensPerSecond)},
			{name: "requests-per-second", value: limit(c.RequestsPerSec)},
			{name: "large", value: fmt.Sprint(c.Large)},
		},
	}
}

func limit(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return fmt.Sprint(v)
}

func routeItem(r config.Route) item {
	i := item{subject: fmt.Sprintf("route %q", r.Name), forWhom: keyed, removal: "removes a route; its requests are refused"}
	if r.Open {
		i.forWhom, i.removal = everyone, "removes an open route; callers without a key are refused"
	}
	i.fields = []field{
		{name: "prefix", value: r.Prefix, confirm: func(b, _ string) string { return "requests to " + b + " lose this route" }},
		{name: "open", value: fmt.Sprint(r.Open), confirm: func(b, _ string) string {
			if b == "true" {
				return "removes an open route; callers without a key are refused"
			}
			return ""
		}},
		{name: "protocol", value: protocolName(r.Protocol)},
		{name: "pool", value: r.Pool},
		{name: "class", value: r.Class.String()},
		{name: "idempotent", value: fmt.Sprint(r.Idempotent)},
		{name: "safe-reads", value: fmt.Sprint(r.SafeReads)},
		{name: "promise", value: r.Promise.String()},
		{name: "first-token", value: r.FirstToken.String()},
	}
	return i
}

// lostPools lists the routes that stay but lose their last targets.
func lostPools(before, after config.Document) []Change {
	has := func(d config.Document, r config.Route) bool { return d.Budget.MaximumPerPool[r.Pool] > 0 }
	var changes []Change
	for _, r := range after.Routes {
		i := slices.IndexFunc(before.Routes, func(b config.Route) bool { return b.Name == r.Name })
		if i < 0 || !has(before, before.Routes[i]) || has(after, r) {
			continue
		}
		changes = append(changes, Change{
			Subject: fmt.Sprintf("route %q", r.Name), Field: "targets", Before: present, For: routeItem(r).forWhom,
			Confirm: "removes the last target pool of the route; its requests are refused",
		})
	}
	return changes
}

type pool struct {
	name             string
	minimum, maximum int
	price            float64
	routes           []string
}

func pools(d config.Document) []pool {
	var all []pool
	for name, maximum := range d.Budget.MaximumPerPool {
		p := pool{name: name, maximum: maximum, minimum: d.Budget.MinimumPerPool[name], price: d.Budget.PricePerHour[name]}
		for _, r := range d.Routes {
			if r.Pool == name {
				p.routes = append(p.routes, r.Name)
			}
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b pool) int { return strings.Compare(a.name, b.name) })
	return all
}

func (p pool) item() item {
	return item{
		subject: fmt.Sprintf("pool %q", p.name),
		forWhom: "routes " + strings.Join(p.routes, ", "),
		fields: []field{
			{name: "minimum", value: fmt.Sprint(p.minimum)},
			{name: "maximum", value: fmt.Sprint(p.maximum)},
			{name: "price-per-hour", value: fmt.Sprint(p.price)},
		},
	}
}

func modelItem(m config.Model) item {
	return item{
		subject: fmt.Sprintf("model %q", m.Name),
		forWhom: "language routes",
		fields: []field{
			{name: "version", value: m.Version},
			{name: "bytes", value: fmt.Sprint(m.Bytes)},
		},
	}
}

func windowItem(w config.Window) item {
	return item{
		subject: fmt.Sprintf("window %q", w.Name),
		forWhom: keyed,
		fields: []field{
			{name: "opens", value: w.Opens.Format(time.RFC3339)},
			{name: "closes", value: w.Closes.Format(time.RFC3339)},
			{name: "reserved", value: fmt.Sprint(w.Reserved)},
		},
	}
}

func budgetItem(b config.Budget) item {
	return item{
		subject: "budget",
		forWhom: keyed,
		fields: []field{
			{name: "hourly-cap", value: limit(b.HourlyCap)},
			{name: "start-delay", value: b.StartDelay.String()},
			{name: "role-change-delay", value: b.RoleChangeDelay.String()},
		},
	}
}
