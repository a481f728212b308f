package catalog

import (
	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrInvalid reports an inconsistent document.
var ErrInvalid = errors.New("catalog is not valid")

// Validate returns nil if d is consistent, and otherwise an error that wraps
// ErrInvalid and describes the first fault.
func Validate(d Document) error {
	if f := faults(d); len(f) > 0 {
		return errors.Wrap(ErrInvalid, f[0].Text)
	}
	return nil
}

// faults returns the findings of the class Invalid.
func faults(d Document) findings {
	var f findings
	pools := make(map[string]bool, len(d.Pools))
	for i, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			f.add(Invalid, Place{SectionPools, i, FieldName, 0}, "pool name %q is empty or not unique", p.Name)
		}
		pools[p.Name] = true
	}
	type routeKey struct{ host, prefix string }
	routes := make(map[routeKey]string, len(d.Routes))
	for i, r := range d.Routes {
		f.checkRoute(i, r, pools)
		key := routeKey{r.Host, r.Prefix}
		if other, ok := routes[key]; ok {
			f.add(Invalid, Place{SectionRoutes, i, FieldPrefix, 0}, "routes %q and %q have the same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
			continue
		}
		routes[key] = r.Name
	}
	f.checkCustomers(d.Customers)
	return f
}

func (f *findings) checkRoute(i int, r Route, pools map[string]bool) {
	at := func(field Field, item int) Place { return Place{SectionRoutes, i, field, item} }
	if r.Timeout <= 0 {
		f.add(Invalid, at(FieldTimeout, 0), "route %q has no timeout", r.Name)
	}
	if n := len(r.Prefix); n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/' {
		f.add(Invalid, at(FieldPrefix, 0), "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	total := 0
	for k, s := range r.Shares {
		if !pools[s.Pool] {
			f.add(Invalid, at(FieldSharePool, k), "route %q refers to unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 {
			f.add(Invalid, at(FieldShareWeight, k), "route %q: weight %d of pool %q is negative", r.Name, s.Weight, s.Pool)
		}
		total += s.Weight
	}
	if total == 0 {
		f.add(Invalid, at(FieldShares, 0), "route %q: sum of weights is 0", r.Name)
	}
}

func (f *findings) checkCustomers(list []Customer) {
	owners := make(map[string]fleet.Customer)
	names := make(map[fleet.Customer]bool, len(list))
	for i, c := range list {
		if c.Name == "" || names[c.Name] {
			f.add(Invalid, Place{SectionCustomers, i, FieldName, 0}, "customer name %q is empty or not unique", c.Name)
		}
		names[c.Name] = true
		l := c.Limit
		for _, n := range []struct {
			field Field
			value float64
		}{{FieldRate, l.Rate}, {FieldBurst, l.Burst}, {FieldPlainTokens, l.PlainTokens}} {
			if n.value < 0 {
				f.add(Invalid, Place{SectionCustomers, i, n.field, 0},
					"customer %q: rate %v, burst %v or tokens of a plain request %v is negative", c.Name, l.Rate, l.Burst, l.PlainTokens)
			}
		}
		for k, key := range c.Keys {
			if other, ok := owners[key]; ok && other != c.Name {
				f.add(Invalid, Place{SectionCustomers, i, FieldKey, k}, "customers %q and %q have a key in common", other, c.Name)
			}
			owners[key] = c.Name
		}
	}
}
