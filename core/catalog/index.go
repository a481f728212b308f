package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/quota"
)

// Index provides lookups in a document. It is immutable.
type Index struct {
	Document Document
	byHost   map[string][]*Route // sorted by descending prefix length
	byKey    map[string]*Customer
	pools    map[string]*Pool
}

// NewIndex returns the index of a document, which must be valid according to
// Validate.
func NewIndex(d Document) *Index {
	x := &Index{
		Document: d, byHost: make(map[string][]*Route), byKey: make(map[string]*Customer),
		pools: make(map[string]*Pool, len(d.Pools)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
	}
	for _, list := range x.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Customers {
		for _, k := range d.Customers[i].Keys {
			x.byKey[k] = &d.Customers[i]
		}
	}
	for i := range d.Pools {
		x.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	return x
}

// Route returns the route on host with the longest matching prefix of path.
func (x *Index) Route(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// CustomerByKey returns the customer that owns the given API key.
func (x *Index) CustomerByKey(key string) (*Customer, bool) {
	c, ok := x.byKey[key]
	return c, ok
}

// Limits returns the limits of the customers that have one.
func (x *Index) Limits() []quota.Limit { return x.Document.QuotaLimits() }

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// RequiresKey reports whether requests must carry a key unless their route is open.
func (x *Index) RequiresKey() bool { return len(x.Document.Customers) > 0 }

// PickPool selects a pool of r by weighted hashing of key, which is not an API key
// but a property of the request. Equal keys select the same pool, so that requests
// with the same prefix or id stay together. PickPool returns "" if no share has a
// weight.
func (r *Route) PickPool(key string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Pool
		}
		point -= s.Weight
	}
	return ""
}
