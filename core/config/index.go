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

// ErrGap is returned by Apply for a delta whose From is after the revision of the
// Index.
var ErrGap = errors.New("delta starts after the held revision")

// Index provides lookups in one revision of the configuration. It is immutable.
// Apply returns a new Index that shares the unchanged parts.
type Index struct {
	Revision        uint64
	General         General
	InterruptedKeys []InterruptedKey // recently withdrawn keys whose running requests are interrupted
	Revoked         []Revocation     // sorted by host

	keys      shardedMap[Digest, Key]
	digests   shardedMap[string, Digest] // by key ID
	customers shardedMap[fleet.Customer, Customer]
	targets   shardedMap[fleet.TargetName, fleet.Target]
	pools     map[string][]fleet.Target // sorted by name
	routes    []Route                   // longest prefix first
}

// maxInterruptedKeys is the maximum length of Index.InterruptedKeys.
const maxInterruptedKeys = 1024

// NewIndex returns an Index of s.
func NewIndex(s Snapshot) *Index {
	d := s.Document
	// Apply cannot fail, since the delta starts at revision 0.
	x, _ := (&Index{}).Apply(Delta{
		To: s.Revision, PutCustomers: d.Customers, PutKeys: s.Keys, PutTargets: s.Targets, InterruptedKeys: s.InterruptedKeys, Revoked: s.Revoked,
		General: &General{Team: d.Team, Routes: d.Routes, Models: d.Models, PoolModel: d.PoolModel, Windows: d.Windows, Budget: d.Budget},
	})
	x.Revision = s.Revision
	return x
}

// Apply returns the configuration at d.To. It returns x if d.To is not newer, since
// a node never returns to an older revision; an Index at revision 0 accepts any
// d.To. If d.From is newer than x, it returns x and ErrGap. The cost is proportional
// to the size of the delta and of the pools it changes.
func (x *Index) Apply(d Delta) (*Index, error) {
	if d.From > x.Revision {
		return x, errors.Wrapf(ErrGap, "delta from %d to %d does not apply to revision %d", d.From, d.To, x.Revision)
	}
	if d.To <= x.Revision && x.Revision > 0 {
		return x, nil
	}
	n := &Index{
		Revision: d.To, General: x.General, InterruptedKeys: x.InterruptedKeys, Revoked: mergeRevoked(x.Revoked, d.Revoked), keys: x.keys, digests: x.digests,
		customers: x.customers, targets: x.targets, pools: x.pools, routes: x.routes,
	}
	if d.General != nil {
		n.General = *d.General
		n.routes = sortByPrefix(d.General.Routes)
	}
	if len(d.InterruptedKeys) > 0 {
		n.InterruptedKeys = mergeInterruptedKeys(x.InterruptedKeys, d.InterruptedKeys)
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
	b := mapBuilder[fleet.Customer, Customer]{shardedMap: x.customers}
	for _, c := range d.RemoveCustomers {
		b.remove(shardOf(c), c)
	}
	for _, c := range d.PutCustomers {
		b.put(shardOf(c.Name), c.Name, c)
	}
	x.customers = b.shardedMap
}

func (x *Index) applyKeys(d Delta) {
	if len(d.RemoveKeys)+len(d.PutKeys) == 0 {
		return
	}
	keys := mapBuilder[Digest, Key]{shardedMap: x.keys}
	digests := mapBuilder[string, Digest]{shardedMap: x.digests}
	for _, id := range d.RemoveKeys {
		if digest, ok := digests.get(shardOf(id), id); ok {
			keys.remove(digest[0], digest)
			digests.remove(shardOf(id), id)
		}
	}
	for _, k := range d.PutKeys {
		if digest, ok := digests.get(shardOf(k.ID), k.ID); ok && digest != k.Digest {
			keys.remove(digest[0], digest)
		}
		keys.put(k.Digest[0], k.Digest, k)
		digests.put(shardOf(k.ID), k.ID, k.Digest)
	}
	x.keys, x.digests = keys.shardedMap, digests.shardedMap
}

func (x *Index) applyTargets(d Delta) {
	if len(d.RemoveTargets)+len(d.PutTargets) == 0 && x.pools != nil {
		return
	}
	b := mapBuilder[fleet.TargetName, fleet.Target]{shardedMap: x.targets}
	changed := make(map[string]map[fleet.TargetName]fleet.Target) // by pool; the zero Target marks a removal
	addChange := func(pool string, name fleet.TargetName, t fleet.Target) {
		if changed[pool] == nil {
			changed[pool] = make(map[fleet.TargetName]fleet.Target)
		}
		changed[pool][name] = t
	}
	for _, name := range d.RemoveTargets {
		if t, ok := b.get(shardOf(name), name); ok {
			addChange(t.Pool, name, fleet.Target{})
			b.remove(shardOf(name), name)
		}
	}
	for _, t := range d.PutTargets {
		if old, ok := b.get(shardOf(t.Name), t.Name); ok && old.Pool != t.Pool {
			addChange(old.Pool, t.Name, fleet.Target{})
		}
		addChange(t.Pool, t.Name, t)
		b.put(shardOf(t.Name), t.Name, t)
	}
	pools := make(map[string][]fleet.Target, len(x.pools)+1)
	maps.Copy(pools, x.pools)
	for pool, changes := range changed {
		pools[pool] = updatePool(pools[pool], changes)
		if len(pools[pool]) == 0 {
			delete(pools, pool)
		}
	}
	x.targets, x.pools = b.shardedMap, pools
}

// updatePool returns a sorted copy of a pool with the changes applied. A target
// without a name marks a removal.
func updatePool(old []fleet.Target, changes map[fleet.TargetName]fleet.Target) []fleet.Target {
	out := make([]fleet.Target, 0, len(old)+len(changes))
	for _, t := range old {
		if _, ok := changes[t.Name]; !ok {
			out = append(out, t)
		}
	}
	for _, t := range changes {
		if t.Name != "" {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// Snapshot returns the complete configuration with all lists in a fixed order.
func (x *Index) Snapshot() Snapshot {
	return Snapshot{
		Revision: x.Revision, InterruptedKeys: x.InterruptedKeys, Revoked: x.Revoked,
		Document: x.Document(),
		Keys:     x.Keys(),
		Targets:  sortedValues(&x.targets, func(a, b fleet.Target) int { return strings.Compare(string(a.Name), string(b.Name)) }),
	}
}

// Customers returns all customers, sorted by name.
func (x *Index) Customers() []Customer {
	return sortedValues(&x.customers, func(a, b Customer) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// Keys returns all keys, sorted by ID.
func (x *Index) Keys() []Key {
	return sortedValues(&x.keys, func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
}

// KeyCount returns the number of keys.
func (x *Index) KeyCount() int { return x.keys.size }

// CustomerCount returns the number of customers.
func (x *Index) CustomerCount() int { return x.customers.size }

// HasDigest reports whether there is a key with the digest.
func (x *Index) HasDigest(d Digest) bool {
	_, ok := x.keys.get(d[0], d)
	return ok
}

// IsInterrupted reports whether a key was recently withdrawn, so that its running
// requests must be interrupted.
func (x *Index) IsInterrupted(id string) bool {
	return slices.ContainsFunc(x.InterruptedKeys, func(k InterruptedKey) bool { return k.ID == id })
}

func sortedValues[K comparable, V any](m *shardedMap[K, V], compare func(a, b V) int) []V {
	if m.size == 0 {
		return nil
	}
	out := make([]V, 0, m.size)
	for _, shard := range m.shards {
		for _, v := range shard {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// KeyBySecret returns the key with the given secret. The lookup hashes the secret first, so
// its duration does not depend on how much of the secret matches.
func (x *Index) KeyBySecret(secret string) (Key, bool) {
	d := Digest(sha256.Sum256([]byte(secret)))
	return x.keys.get(d[0], d)
}

// KeyByID returns the key with the given public identifier.
func (x *Index) KeyByID(id string) (Key, bool) {
	d, ok := x.digests.get(shardOf(id), id)
	if !ok {
		return Key{}, false
	}
	return x.keys.get(d[0], d)
}

// Customer returns the customer with the given name.
func (x *Index) Customer(name fleet.Customer) (Customer, bool) {
	return x.customers.get(shardOf(name), name)
}

// Target returns the target with the given name.
func (x *Index) Target(name fleet.TargetName) (fleet.Target, bool) {
	return x.targets.get(shardOf(name), name)
}

// Route returns the route whose prefix is the longest match for path. A prefix
// matches whole path segments only.
func (x *Index) Route(path string) (Route, bool) {
	for _, r := range x.routes {
		if matchesPrefix(r.Prefix, path) {
			return r, true
		}
	}
	return Route{}, false
}

// PoolTargets returns the targets of a pool, sorted by name. The caller must not modify
// the slice.
func (x *Index) PoolTargets(name string) []fleet.Target { return x.pools[name] }

func sortByPrefix(routes []Route) []Route {
	out := slices.Clone(routes)
	slices.SortStableFunc(out, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return out
}

// shardOf returns the shard of a shardedMap for keys of type string. Maps with Digest
// keys use the first byte of the digest.
func shardOf[T ~string](s T) uint8 { return uint8(xxhash.Sum64String(string(s))) }

func matchesPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Targets returns all targets, sorted by pool and name.
func (x *Index) Targets() []fleet.Target {
	var out []fleet.Target
	for _, pool := range slices.Sorted(maps.Keys(x.pools)) {
		out = append(out, x.pools[pool]...)
	}
	return out
}
