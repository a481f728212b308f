package config

import "maps"

// parts is the number of maps in a partition. With 22,000 keys a part holds
// about 86 entries, so replacing one key copies 86 entries rather than 22,000.
const parts = 256

// partition is a map in parts. An edited copy shares the untouched parts, so
// readers of the original see no change.
type partition[K comparable, V any] struct {
	part [parts]map[K]V
	size int
}

func (p *partition[K, V]) get(h uint8, k K) (V, bool) {
	v, ok := p.part[h][k]
	return v, ok
}

// edit is an unfinished copy of a partition.
type edit[K comparable, V any] struct {
	partition[K, V]
	own [parts]bool // parts that the copy does not share
}

func (e *edit[K, V]) writable(h uint8) map[K]V {
	if !e.own[h] {
		e.own[h] = true
		if e.part[h] == nil {
			e.part[h] = make(map[K]V)
		} else {
			e.part[h] = maps.Clone(e.part[h])
		}
	}
	return e.part[h]
}

func (e *edit[K, V]) put(h uint8, k K, v V) {
	m := e.writable(h)
	before := len(m)
	m[k] = v
	e.size += len(m) - before
}

func (e *edit[K, V]) remove(h uint8, k K) {
	if _, ok := e.part[h][k]; ok {
		delete(e.writable(h), k)
		e.size--
	}
}
