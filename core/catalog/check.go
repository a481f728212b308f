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
	pools := make(map[string]bool, len(d.Pools))
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return errors.Wrapf(ErrInvalid, "pool name %q is empty or not unique", p.Name)
		}
		pools[p.Name] = true
	}
	type routeKey struct{ host, prefix string }
	routes := make(map[routeKey]string, len(d.Routes))
	for _, r := range d.Routes {
		if err := validateRoute(r, pools); err != nil {
			return err
		}
		key := routeKey{r.Host, r.Prefix}
		if other, ok := routes[key]; ok {
			return errors.Wrapf(ErrInvalid, "routes %q and %q have the same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		routes[key] = r.Name
	}
	return validateCustomers(d.Customers)
}

func validateRoute(r Route, pools map[string]bool) error {
	if r.Timeout <= 0 {
		return errors.Wrapf(ErrInvalid, "route %q has no timeout", r.Name)
	}
	if n := len(r.Prefix); n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/' {
		return errors.Wrapf(ErrInvalid, "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	total := 0
	for _, s := range r.Shares {
		if !pools[s.Pool] {
			return errors.Wrapf(ErrInvalid, "route %q refers to unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "route %q: weight %d of pool %q is negative", r.Name, s.Weight, s.Pool)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.Wrapf(ErrInvalid, "route %q: sum of weights is 0", r.Name)
	}
	return nil
}

func validateCustomers(list []Customer) error {
	owners := make(map[string]fleet.Customer)
	names := make(map[fleet.Customer]bool, len(list))
	for _, c := range list {
		if c.Name == "" || names[c.Name] {
			return errors.Wrapf(ErrInvalid, "customer name %q is empty or not unique", c.Name)
		}
		names[c.Name] = true
		if l := c.Limit; l.Rate < 0 || l.Burst < 0 || l.PlainTokens < 0 {
			return errors.Wrapf(ErrInvalid, "customer %q: rate %v, burst %v or tokens of a plain request %v is negative", c.Name, l.Rate, l.Burst, l.PlainTokens)
		}
		for _, k := range c.Keys {
			if other, ok := owners[k]; ok && other != c.Name {
				return errors.Wrapf(ErrInvalid, "customers %q and %q have a key in common", other, c.Name)
			}
			owners[k] = c.Name
		}
	}
	return nil
}
