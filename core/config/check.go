package config

import (
	"math"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalidDocument is the cause of errors about an invalid document.
var ErrInvalidDocument = errors.New("document")

// MaxCustomers is the maximum number of customers in a document.
const MaxCustomers = 16384

// MaxNameBytes is the maximum length of a name in bytes. Check applies it to the
// names of customers, core/state to other names that it stores.
const MaxNameBytes = 128

// Check returns an error if the document is not valid. The replicated state stores
// the text of the error, so replicas of two builds must return the same text.
func Check(d Document) error {
	if len(d.Customers) > MaxCustomers {
		return errors.Wrapf(ErrInvalidDocument, "%d customers are more than %d", len(d.Customers), MaxCustomers)
	}
	seen := make(map[string]bool, len(d.Customers))
	for _, c := range d.Customers {
		if c.Name == "" || len(c.Name) > MaxNameBytes || seen[string(c.Name)] {
			return errors.Wrapf(ErrInvalidDocument, "customer %q is empty, too long or occurs twice", c.Name)
		}
		seen[string(c.Name)] = true
		if c.Weight < 1 || !isFiniteNonNegative(c.TokensPerSecond) || !isFiniteNonNegative(c.RequestsPerSec) {
			return errors.Wrapf(ErrInvalidDocument, "customer %q: weight %d or a limit is out of range", c.Name, c.Weight)
		}
	}
	return checkGeneral(d)
}

// checkGeneral checks the parts of a document other than the customers.
func checkGeneral(d Document) error {
	names, prefixes := make(map[string]bool), make(map[string]bool)
	for _, r := range d.Routes {
		if r.Name == "" || names[r.Name] || prefixes[r.Prefix] || !strings.HasPrefix(r.Prefix, "/") {
			return errors.Wrapf(ErrInvalidDocument, "route %q: name or prefix %q is empty or occurs twice", r.Name, r.Prefix)
		}
		names[r.Name], prefixes[r.Prefix] = true, true
	}
	for _, w := range d.Windows {
		if !w.Opens.Before(w.Closes) || !isFiniteNonNegative(w.Reserved) || w.Reserved > 1 {
			return errors.Wrapf(ErrInvalidDocument, "window %q: times or reserved share %v are out of range", w.Name, w.Reserved)
		}
	}
	if !isFiniteNonNegative(d.Budget.HourlyCap) {
		return errors.Wrapf(ErrInvalidDocument, "hourly cap %v is out of range", d.Budget.HourlyCap)
	}
	for pool, price := range d.Budget.PricePerHour {
		if !isFiniteNonNegative(price) {
			return errors.Wrapf(ErrInvalidDocument, "price of pool %q is out of range", pool)
		}
	}
	return nil
}

func isFiniteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// Equal reports whether g and o are equal. Nil and empty lists and maps are equal.
func (g General) Equal(o General) bool {
	return g.Team == o.Team && equalLists(g.Routes, o.Routes) && equalLists(g.Models, o.Models) && equalMaps(g.PoolModel, o.PoolModel) &&
		equalLists(g.Windows, o.Windows) && equalBudgets(g.Budget, o.Budget)
}

// equalLists compares two lists. Nil equals empty, since the wire encoding does not
// distinguish them.
func equalLists[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || reflect.DeepEqual(a, b))
}

func equalBudgets(a, b Budget) bool {
	return a.HourlyCap == b.HourlyCap && a.StartDelay == b.StartDelay && a.RoleChangeDelay == b.RoleChangeDelay &&
		equalMaps(a.PricePerHour, b.PricePerHour) && equalMaps(a.MinimumPerPool, b.MinimumPerPool) &&
		equalMaps(a.MaximumPerPool, b.MaximumPerPool)
}

func equalMaps[V comparable](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}
