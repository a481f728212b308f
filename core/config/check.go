package config

import (
	"math"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// ErrDocument reports a document that nodes could not serve by.
var ErrDocument = errors.New("document")

// MaxCustomers bounds the customers of a document.
const MaxCustomers = 16384

// MaxNameBytes bounds names in a document.
const MaxNameBytes = 128

// Check validates a document as a whole.
func Check(d Document) error {
	if len(d.Customers) > MaxCustomers {
		return errors.Wrapf(ErrDocument, "%d customers are more than %d", len(d.Customers), MaxCustomers)
	}
	seen := make(map[string]bool, len(d.Customers))
	for _, c := range d.Customers {
		if c.Name == "" || len(c.Name) > MaxNameBytes || seen[string(c.Name)] {
			return errors.Wrapf(ErrDocument, "customer %q is empty, too long or occurs twice", c.Name)
		}
		seen[string(c.Name)] = true
		if c.Weight < 1 || !limit(c.TokensPerSecond) || !limit(c.RequestsPerSec) {
			return errors.Wrapf(ErrDocument, "customer %q: weight %d or a limit is out of range", c.Name, c.Weight)
		}
	}
	return checkGeneral(d)
}

func checkGeneral(d Document) error {
	names, prefixes := make(map[string]bool), make(map[string]bool)
	for _, r := range d.Routes {
		if r.Name == "" || names[r.Name] || prefixes[r.Prefix] || !strings.HasPrefix(r.Prefix, "/") {
			return errors.Wrapf(ErrDocument, "route %q: name or prefix %q is empty or occurs twice", r.Name, r.Prefix)
		}
		names[r.Name], prefixes[r.Prefix] = true, true
	}
	for _, w := range d.Windows {
		if !w.Opens.Before(w.Closes) || !limit(w.Reserved) || w.Reserved > 1 {
			return errors.Wrapf(ErrDocument, "window %q: times or reserved share %v are out of range", w.Name, w.Reserved)
		}
	}
	if !limit(d.Budget.HourlyCap) {
		return errors.Wrapf(ErrDocument, "hourly cap %v is out of range", d.Budget.HourlyCap)
	}
	for pool, price := range d.Budget.PricePerHour {
		if !limit(price) {
			return errors.Wrapf(ErrDocument, "price of pool %q is out of range", pool)
		}
	}
	return nil
}

func limit(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// Equal reports whether g and o are the same configuration.
func (g General) Equal(o General) bool {
	return g.Team == o.Team && sameList(g.Routes, o.Routes) && sameList(g.Models, o.Models) && sameMap(g.PoolModel, o.PoolModel) &&
		sameList(g.Windows, o.Windows) && sameBudget(g.Budget, o.Budget)
}

// sameList treats nil and empty alike; the codec does not tell them apart.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || reflect.DeepEqual(a, b))
}

func sameBudget(a, b Budget) bool {
	return a.HourlyCap == b.HourlyCap && a.StartDelay == b.StartDelay && a.RoleChangeDelay == b.RoleChangeDelay &&
		sameMap(a.PricePerHour, b.PricePerHour) && sameMap(a.MinimumPerPool, b.MinimumPerPool) &&
		sameMap(a.MaximumPerPool, b.MaximumPerPool)
}

func sameMap[V comparable](a, b map[string]V) bool {
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
