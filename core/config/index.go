package config

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrGap reports a delta that starts after the revision it is applied to.
var ErrGap = errors.New("delta starts after the held revision")

// Index answers lookups on one revision of the configuration. It never
// changes; Apply returns a new Index that shares what the delta left alone.
type Index struct {
	Revision uint64
	General  General
	Cut      []CutKey     // keys withdrawn of late whose running requests are interrupted
	Revoked  []Revocation // sorted by host

	keys      partition[Digest, Key]
	digests   partition[string, Digest] // by key ID
	customers partition[fleet.Customer, Customer]
	targets   partition[fleet.TargetName, fleet.Target]
	pools     map[string][]fleet.Target // sorted by name
	routes    []Route                   // longest prefix first
}

// maxCut bounds the withdrawn keys that an Index remembers.
const maxCut = 1024

// NewIndex builds the lookups of s.
func NewIndex(s Snapshot) *Index {
	d := s.Document
	x, _ := (&Index{}).Apply(Delta{ // a delta from revision 0 never has a gap
		To: s.Revision, PutCustomers: d.Customers, PutKeys: s.Keys, PutTargets: s.Targets, Cut: s.Cut, Revoked: s.Revoked,
		General: &General{Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget},
	})
	x.Revision = s.Revision
	return x
}

// Apply returns the configuration at d.To. A delta that leads to an older
// revision changes nothing, since a node never goes back. The cost follows the
// size of the delta and of the pools it touches.
func (x *Index) Apply(d Delta) (*Index, error) {
	if d.From > x.Revision {
		return x, errors.Wrapf(ErrGap, "delta %d to %d at revision %d", d.From, d.To, x.Revision)
	}
	if d.To <= x.Revision && x.Revision > 0 {
		return x, nil
	}
	n := &Index{
		Revision: d.To, General: x.General, Cut: x.Cut, Revoked: mergeRevoked(x.Revoked, d.Revoked), keys: x.keys, digests: x.digests,
		customers: x.customers, targets: x.targets, pools: x.pools, routes: x.routes,
	}
	if d.General != nil {
		n.General = *d.General
		n.routes = byPrefix(d.General.Routes)
	}
	if len(d.Cut) > 0 {
		n.Cut = mergeCut(x.Cut, d.Cut)
	}
	n.applyCustomers(d)
	n.applyKeys(d)
	n.applyTargets(d)
	return n, nil
}

func (x *Index) applyCustomers(d Delta) {
	if len(d.RemoveCustomers)+len(d.PutCustomers) == 0 {
		return
	}
	e := edit[fleet.Customer, Customer]{partition: x.customers}
	for _, c := range d.RemoveCustomers {
		e.remove(hash(c), c)
	}
	for _, c := range d.PutCustomers {
		e.put(hash(c.Name), c.Name, c)
	}
	x.customers = e.partition
}

func (x *Index) applyKeys(d Delta) {
	if len(d.RemoveKeys)+len(d.PutKeys) == 0 {
		return
	}
	keys := edit[Digest, Key]{partition: x.keys}
	digests := edit[string, Digest]{partition: x.digests}
	for _, id := range d.RemoveKeys {
		if g, ok := digests.get(hash(id), id); ok {
			keys.remove(g[0], g)
			digests.remove(hash(id), id)
		}
	}
	for _, k := range d.PutKeys {
		if g, ok := digests.get(hash(k.ID), k.ID); ok && g != k.Digest {
			keys.remove(g[0], g)
		}
		keys.put(k.Digest[0], k.Digest, k)
		digests.put(hash(k.ID), k.ID, k.Digest)
	}
	x.keys, x.digests = keys.partition, digests.partition
}

func (x *Index) applyTargets(d Delta) {
	if len(d.RemoveTargets)+len(d.PutTargets) == 0 && x.pools != nil {
		return
	}
	e := edit[fleet.TargetName, fleet.Target]{partition: x.targets}
	changed := make(map[string]map[fleet.TargetName]fleet.Target) // by pool; an empty pool name marks removal
	note := func(pool string, name fleet.TargetName, t fleet.Target) {
		if changed[pool] == nil {
			changed[pool] = make(map[fleet.TargetName]fleet.Target)
		}
		changed[pool][name] = t
	}
	for _, name := range d.RemoveTargets {
		if t, ok := e.get(hash(name), name); ok {
			note(t.Pool, name, fleet.Target{})
			e.remove(hash(name), name)
		}
	}
	for _, t := range d.PutTargets {
		if old, ok := e.get(hash(t.Name), t.Name); ok && old.Pool != t.Pool {
			note(old.Pool, t.Name, fleet.Target{})
		}
		note(t.Pool, t.Name, t)
		e.put(hash(t.Name), t.Name, t)
	}
	pools := make(map[string][]fleet.Target, len(x.pools)+1)
	maps.Copy(pools, x.pools)
	for pool, edits := range changed {
		pools[pool] = editPool(pools[pool], edits)
		if len(pools[pool]) == 0 {
			delete(pools, pool)
		}
	}
	x.targets, x.pools = e.partition, pools
}

// editPool returns a sorted copy of a pool; an edit without a name removes.
func editPool(old []fleet.Target, edits map[fleet.TargetName]fleet.Target) []fleet.Target {
	out := make([]fleet.Target, 0, len(old)+len(edits))
	for _, t := range old {
		if _, ok := edits[t.Name]; !ok {
			out = append(out, t)
		}
	}
	for _, t := range edits {
		if t.Name != "" {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// Snapshot lists the whole configuration in a fixed order.
func (x *Index) Snapshot() Snapshot {
	return Snapshot{
		Revision: x.Revision, Cut: x.Cut, Revoked: x.Revoked,
		Document: x.Document(),
		Keys:     x.Keys(),
		Targets:  listed(&x.targets, func(a, b fleet.Target) int { return strings.Compare(string(a.Name), string(b.Name)) }),
	}
}

// Customers lists the customers by name.
func (x *Index) Customers() []Customer {
	return listed(&x.customers, func(a, b Customer) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// Keys lists the keys by ID.
func (x *Index) Keys() []Key {
	return listed(&x.keys, func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
}

// KeyCount returns the number of keys.
func (x *Index) KeyCount() int { return x.keys.size }

// CustomerCount returns the number of customers.
func (x *Index) CustomerCount() int { return x.customers.size }

// HasDigest reports whether a key has the digest.
func (x *Index) HasDigest(d Digest) bool {
	_, ok := x.keys.get(d[0], d)
	return ok
}

// WasCut reports whether a key was withdrawn of late with its requests
// interrupted.
func (x *Index) WasCut(id string) bool {
	return slices.ContainsFunc(x.Cut, func(c CutKey) bool { return c.ID == id })
}

func listed[K comparable, V any](p *partition[K, V], compare func(a, b V) int) []V {
	if p.size == 0 {
		return nil
	}
	out := make([]V, 0, p.size)
	for _, m := range p.part {
		for _, v := range m {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// Key finds a key by its secret text. The lookup hashes the secret first, so
// its time does not depend on how much of the secret matches.
func (x *Index) Key(secret string) (Key, bool) {
	d := Digest(sha256.Sum256([]byte(secret)))
	return x.keys.get(d[0], d)
}

// KeyByID finds a key by its public identifier.
func (x *Index) KeyByID(id string) (Key, bool) {
	d, ok := x.digests.get(hash(id), id)
	if !ok {
		return Key{}, false
	}
	return x.keys.get(d[0], d)
}

// Customer finds a customer by name.
func (x *Index) Customer(name fleet.Customer) (Customer, bool) {
	return x.customers.get(hash(name), name)
}

// Target finds a target by name.
func (x *Index) Target(name fleet.TargetName) (fleet.Target, bool) {
	return x.targets.get(hash(name), name)
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

// Pool returns the targets that serve a pool, sorted by name. The caller must
// not change the slice.
func (x *Index) Pool(name string) []fleet.Target { return x.pools[name] }

func byPrefix(routes []Route) []Route {
	out := slices.Clone(routes)
	slices.SortStableFunc(out, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return out
}

func hash[T ~string](s T) uint8 { return uint8(xxhash.Sum64String(string(s))) }

func matches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Targets lists all targets, by pool and name.
func (x *Index) Targets() []fleet.Target {
	var out []fleet.Target
	for _, pool := range slices.Sorted(maps.Keys(x.pools)) {
		out = append(out, x.pools[pool]...)
	}
	return out
}
