package config

import "maps"

// shardCount is the number of shards of a map. With 22,000 keys a shard holds about
// 86 entries, so replacing one key copies 86 entries instead of 22,000.
const shardCount = 256

// shardedMap is a copy-on-write map. A modified copy shares the unchanged shards
// and does not affect readers of the original.
type shardedMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
	size   int
}

func (p *shardedMap[K, V]) get(h uint8, k K) (V, bool) {
	v, ok := p.shards[h][k]
	return v, ok
}

// mapBuilder is a copy of a shardedMap that is being modified.
type mapBuilder[K comparable, V any] struct {
	shardedMap[K, V]
	copied [shardCount]bool // shards that are not shared with the original
}

func (e *mapBuilder[K, V]) writable(h uint8) map[K]V {
	if !e.copied[h] {
		e.copied[h] = true
		if e.shards[h] == nil {
			e.shards[h] = make(map[K]V)
		} else {
			e.shards[h] = maps.Clone(e.shards[h])
		}
	}
	return e.shards[h]
}

func (e *mapBuilder[K, V]) put(h uint8, k K, v V) {
	m := e.writable(h)
	before := len(m)
	m[k] = v
	e.size += len(m) - before
}

func (e *mapBuilder[K, V]) remove(h uint8, k K) {
	if _, ok := e.shards[h][k]; ok {
		delete(e.writable(h), k)
		e.size--
	}
}
