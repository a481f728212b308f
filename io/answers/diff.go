package answers

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayarock/core/config"
)

// Change is a difference between two configurations.
type Change struct {
	Subject  string `json:"subject"` // such as customer "klang"
	Field    string `json:"field"`   // "" if the subject is added or removed
	Before   string `json:"before"`  // "" if the subject is added
	After    string `json:"after"`   // "" if the subject is removed
	Affected string `json:"for"`     // callers, customers or routes that are affected
	Confirm  string `json:"confirm"` // why an operator must confirm it; "" if no confirmation is needed
}

const (
	present      = "present"     // value of something that is added or removed as a whole
	allCallers   = "all callers" // including those without a key, whom open routes serve
	allCustomers = "all customers"
)

// Diff returns the differences between two configurations, in the order team,
// customers, routes, pools, models, windows, budget.
func Diff(before, after config.Document) []Change {
	changes := []Change{}
	if before.Team != after.Team {
		changes = append(changes, Change{Subject: "team", Field: "name", Before: before.Team, After: after.Team, Affected: allCustomers})
	}
	changes = append(changes, compare(before.Customers, after.Customers, customerItem)...)
	changes = append(changes, compare(before.Routes, after.Routes, routeItem)...)
	changes = append(changes, routesWithoutTargets(before, after)...)
	changes = append(changes, compare(poolBudgets(before), poolBudgets(after), func(p poolBudget) item { return p.item() })...)
	changes = append(changes, compare(before.Models, after.Models, modelItem)...)
	changes = append(changes, compare(before.Windows, after.Windows, windowItem)...)
	return append(changes, compare([]config.Budget{before.Budget}, []config.Budget{after.Budget}, budgetItem)...)
}

// item describes a subject, such as a customer, for compare.
type item struct {
	subject  string
	affected string
	fields   []field
	removal  string // why its removal must be confirmed; "" if no confirmation is needed
}

type field struct {
	name, value string
	confirm     func(before, after string) string // reason to confirm a change; nil if none is needed
}

// compare matches the subjects of two configurations by name and returns their
// differences.
func compare[T any](before, after []T, describe func(T) item) []Change {
	afterItems := make(map[string]item, len(after))
	for _, v := range after {
		afterItems[describe(v).subject] = describe(v)
	}
	var changes []Change
	beforeSubjects := make(map[string]bool, len(before))
	for _, v := range before {
		beforeItem := describe(v)
		beforeSubjects[beforeItem.subject] = true
		afterItem, ok := afterItems[beforeItem.subject]
		if !ok {
			changes = append(changes, Change{Subject: beforeItem.subject, Before: present, Affected: beforeItem.affected, Confirm: beforeItem.removal})
			continue
		}
		changes = append(changes, fieldChanges(beforeItem, afterItem)...)
	}
	for _, v := range after {
		if afterItem := describe(v); !beforeSubjects[afterItem.subject] {
			changes = append(changes, Change{Subject: afterItem.subject, After: present, Affected: afterItem.affected})
		}
	}
	return changes
}

// fieldChanges returns the differences between two items of the same kind, whose fields
// have the same names in the same order.
func fieldChanges(before, after item) []Change {
	var changes []Change
	for i, f := range before.fields {
		newValue := after.fields[i].value
		if f.value == newValue {
			continue
		}
		c := Change{Subject: before.subject, Field: f.name, Before: f.value, After: newValue, Affected: before.affected}
		if f.confirm != nil {
			c.Confirm = f.confirm(f.value, newValue)
		}
		changes = append(changes, c)
	}
	return changes
}

func customerItem(c config.Customer) item {
	return item{
		subject:  fmt.Sprintf("customer %q", c.Name),
		affected: string(c.Name),
		removal:  "removes a served customer; its keys stop working",
		fields: []field{
			{name: "weight", value: fmt.Sprint(c.Weight)},
			{name: "tokens-per-second", value: formatLimit(c.TokensPerSecond)},
			{name: "requests-per-second", value: formatLimit(c.RequestsPerSec)},
			{name: "large", value: fmt.Sprint(c.Large)},
		},
	}
}

func formatLimit(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return fmt.Sprint(v)
}

func routeItem(r config.Route) item {
	i := item{subject: fmt.Sprintf("route %q", r.Name), affected: allCustomers, removal: "removes a route; its requests are refused"}
	if r.Open {
		i.affected, i.removal = allCallers, "removes an open route; callers without a key are refused"
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

// routesWithoutTargets returns a change for each route that remains, but loses its
// last targets.
func routesWithoutTargets(before, after config.Document) []Change {
	hasTargets := func(d config.Document, r config.Route) bool { return d.Budget.MaximumPerPool[r.Pool] > 0 }
	var changes []Change
	for _, r := range after.Routes {
		i := slices.IndexFunc(before.Routes, func(b config.Route) bool { return b.Name == r.Name })
		if i < 0 || !hasTargets(before, before.Routes[i]) || hasTargets(after, r) {
			continue
		}
		changes = append(changes, Change{
			Subject: fmt.Sprintf("route %q", r.Name), Field: "targets", Before: present, Affected: routeItem(r).affected,
			Confirm: "removes the last target pool of the route; its requests are refused",
		})
	}
	return changes
}

// poolBudget describes a pool by its entries in config.Budget, which lists all pools.
type poolBudget struct {
	name             string
	minimum, maximum int
	price            float64
	routes           []string
}

// poolBudgets returns the pools of a configuration, sorted by name.
func poolBudgets(d config.Document) []poolBudget {
	var all []poolBudget
	for name, maximum := range d.Budget.MaximumPerPool {
		p := poolBudget{name: name, maximum: maximum, minimum: d.Budget.MinimumPerPool[name], price: d.Budget.PricePerHour[name]}
		for _, r := range d.Routes {
			if r.Pool == name {
				p.routes = append(p.routes, r.Name)
			}
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b poolBudget) int { return strings.Compare(a.name, b.name) })
	return all
}

func (p poolBudget) item() item {
	return item{
		subject:  fmt.Sprintf("pool %q", p.name),
		affected: "routes " + strings.Join(p.routes, ", "),
		fields: []field{
			{name: "minimum", value: fmt.Sprint(p.minimum)},
			{name: "maximum", value: fmt.Sprint(p.maximum)},
			{name: "price-per-hour", value: fmt.Sprint(p.price)},
		},
	}
}

func modelItem(m config.Model) item {
	return item{
		subject:  fmt.Sprintf("model %q", m.Name),
		affected: "language routes",
		fields: []field{
			{name: "version", value: m.Version},
			{name: "bytes", value: fmt.Sprint(m.Bytes)},
		},
	}
}

func windowItem(w config.Window) item {
	return item{
		subject:  fmt.Sprintf("window %q", w.Name),
		affected: allCustomers,
		fields: []field{
			{name: "opens", value: w.Opens.Format(time.RFC3339)},
			{name: "closes", value: w.Closes.Format(time.RFC3339)},
			{name: "reserved", value: fmt.Sprint(w.Reserved)},
		},
	}
}

func budgetItem(b config.Budget) item {
	return item{
		subject:  "budget",
		affected: allCustomers,
		fields: []field{
			{name: "hourly-cap", value: formatLimit(b.HourlyCap)},
			{name: "start-delay", value: b.StartDelay.String()},
			{name: "role-change-delay", value: b.RoleChangeDelay.String()},
		},
	}
}
