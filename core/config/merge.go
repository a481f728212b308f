package config

import (
	"cmp"
	"maps"
	"slices"

	"papayarock/core/fleet"
)

// Merge combines consecutive deltas into one. If several of them put the same
// item, the last value is kept.
func Merge(deltas ...Delta) Delta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	var out Delta
	customers := newMerger[fleet.Customer, Customer]()
	keys := newMerger[string, Key]()
	targets := newMerger[fleet.TargetName, fleet.Target]()
	for i, d := range deltas {
		if i == 0 {
			out.From = d.From
		}
		out.To = d.To
		if d.General != nil {
			out.General = d.General
		}
		out.InterruptedKeys = mergeInterruptedKeys(out.InterruptedKeys, d.InterruptedKeys)
		out.Revoked = mergeRevoked(out.Revoked, d.Revoked)
		customers.add(d.RemoveCustomers, d.PutCustomers, func(c Customer) fleet.Customer { return c.Name })
		keys.add(d.RemoveKeys, d.PutKeys, func(k Key) string { return k.ID })
		targets.add(d.RemoveTargets, d.PutTargets, func(t fleet.Target) fleet.TargetName { return t.Name })
	}
	out.RemoveCustomers, out.PutCustomers = customers.sortedLists()
	out.RemoveKeys, out.PutKeys = keys.sortedLists()
	out.RemoveTargets, out.PutTargets = targets.sortedLists()
	return out
}

// ItemCount returns the number of items in all lists of d.
func (d Delta) ItemCount() int {
	return len(d.RemoveCustomers) + len(d.PutCustomers) + len(d.RemoveKeys) + len(d.PutKeys) +
		len(d.RemoveTargets) + len(d.PutTargets) + len(d.InterruptedKeys) + len(d.Revoked)
}

// merger merges the removals and additions of one kind of item.
type merger[K cmp.Ordered, V any] struct {
	removed map[K]bool
	put     map[K]V
}

func newMerger[K cmp.Ordered, V any]() *merger[K, V] {
	return &merger[K, V]{removed: make(map[K]bool), put: make(map[K]V)}
}

// add adds the changes of one delta. A removal is kept when the item is added
// again, so that a key issued again under the same ID replaces the old digest.
func (m *merger[K, V]) add(removed []K, put []V, key func(V) K) {
	for _, k := range removed {
		m.removed[k] = true
		delete(m.put, k)
	}
	for _, v := range put {
		m.put[key(v)] = v
	}
}

func (m *merger[K, V]) sortedLists() (removed []K, put []V) {
	removed = slices.Sorted(maps.Keys(m.removed))
	for _, k := range slices.Sorted(maps.Keys(m.put)) {
		put = append(put, m.put[k])
	}
	return removed, put
}

// mergeInterruptedKeys appends the keys of b to a and keeps the last
// maxInterruptedKeys of them.
func mergeInterruptedKeys(a, b []InterruptedKey) []InterruptedKey {
	if len(b) == 0 {
		return a
	}
	out := slices.Clone(a)
	for _, k := range b {
		if !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	if n := len(out) - maxInterruptedKeys; n > 0 {
		out = slices.Clone(out[n:])
	}
	return out
}
