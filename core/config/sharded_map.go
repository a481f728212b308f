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

func (m *shardedMap[K, V]) get(shard uint8, k K) (V, bool) {
	v, ok := m.shards[shard][k]
	return v, ok
}

// mapBuilder is a copy of a shardedMap that is being modified.
type mapBuilder[K comparable, V any] struct {
	shardedMap[K, V]
	copied [shardCount]bool // shards that are not shared with the original
}

func (b *mapBuilder[K, V]) writable(shard uint8) map[K]V {
	if !b.copied[shard] {
		b.copied[shard] = true
		if b.shards[shard] == nil {
			b.shards[shard] = make(map[K]V)
		} else {
			b.shards[shard] = maps.Clone(b.shards[shard])
		}
	}
	return b.shards[shard]
}

func (b *mapBuilder[K, V]) put(shard uint8, k K, v V) {
	entries := b.writable(shard)
	before := len(entries)
	entries[k] = v
	b.size += len(entries) - before
}

func (b *mapBuilder[K, V]) remove(shard uint8, k K) {
	if _, ok := b.shards[shard][k]; ok {
		delete(b.writable(shard), k)
		b.size--
	}
}
