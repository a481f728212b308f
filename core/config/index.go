package config

import (
	"crypto/sha256"
	"sort"
	"strings"

	"papayarock/core/fleet"
)

// Index answers lookups on one Snapshot.
type Index struct {
	Snapshot  Snapshot
	keys      map[Digest]Key
	customers map[fleet.Customer]Customer
	routes    []Route // longest prefix first
	pools     map[string][]fleet.Target
}

// NewIndex builds the lookups of s.
func NewIndex(s Snapshot) *Index {
	x := &Index{
		Snapshot:  s,
		keys:      make(map[Digest]Key, len(s.Keys)),
		customers: make(map[fleet.Customer]Customer, len(s.Document.Customers)),
		routes:    append([]Route(nil), s.Document.Routes...),
		pools:     make(map[string][]fleet.Target),
	}
	for _, k := range s.Keys {
		x.keys[k.Digest] = k
	}
	for _, c := range s.Document.Customers {
		x.customers[c.Name] = c
	}
	for _, t := range s.Targets {
		x.pools[t.Pool] = append(x.pools[t.Pool], t)
	}
	sort.SliceStable(x.routes, func(i, j int) bool {
		return len(x.routes[i].Prefix) > len(x.routes[j].Prefix)
	})
	return x
}

// Key finds a key by its secret text. The lookup hashes the secret first, so
// its time does not depend on how much of the secret matches.
func (x *Index) Key(secret string) (Key, bool) {
	k, ok := x.keys[sha256.Sum256([]byte(secret))]
	return k, ok
}

// Customer finds a customer by name.
func (x *Index) Customer(name fleet.Customer) (Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// Route finds the route with the longest prefix of path that ends at a slash
// or at the end of path.
func (x *Index) Route(path string) (Route, bool) {
	for _, r := range x.routes {
		if matches(r.Prefix, path) {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the targets that serve a pool, in no stated order.
func (x *Index) Pool(name string) []fleet.Target { return x.pools[name] }

func matches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
