// Package expiry provides a map with a deadline for each entry and bounds on
// the number and the total size of entries.
package expiry

import (
	"container/heap"
	"time"
)

// Map holds values until their deadline. MaxEntries and MaxBytes are its bounds; zero
// means no bound. The caller states the size of each entry in bytes. The zero value is
// ready to use. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	MaxEntries int
	MaxBytes   int64

	entries map[K]*entry[K, V]
	order   queue[K, V]
	bytes   int64
}

type entry[K comparable, V any] struct {
	key     K
	value   V
	bytes   int64
	expires time.Time
	index   int // in the heap
}

// Add inserts an entry. It returns false, and inserts nothing, if key is
// present or if unexpired entries leave no room within the bounds.
func (m *Map[K, V]) Add(now time.Time, key K, value V, bytes int64, expires time.Time) bool {
	m.Expire(now)
	if _, ok := m.entries[key]; ok || !m.fits(bytes) {
		return false
	}
	m.insert(key, value, bytes, expires)
	return true
}

// Put inserts or replaces an entry. To stay within the bounds it evicts the
// entries that expire first. It returns false, with key removed, if the entry
// alone exceeds MaxBytes.
func (m *Map[K, V]) Put(now time.Time, key K, value V, bytes int64, expires time.Time) bool {
	m.Expire(now)
	m.Delete(key)
	if m.MaxBytes > 0 && bytes > m.MaxBytes {
		return false
	}
	for !m.fits(bytes) {
		m.Delete(m.order[0].key)
	}
	m.insert(key, value, bytes, expires)
	return true
}

// Get returns the value of key unless it has expired.
func (m *Map[K, V]) Get(now time.Time, key K) (V, bool) {
	e, ok := m.entries[key]
	if !ok || !now.Before(e.expires) {
		var zero V
		return zero, false
	}
	return e.value, true
}

// Delete removes key if it is present.
func (m *Map[K, V]) Delete(key K) {
	e, ok := m.entries[key]
	if !ok {
		return
	}
	heap.Remove(&m.order, e.index)
	delete(m.entries, key)
	m.bytes -= e.bytes
}

// Expire removes the entries with a deadline at or before now.
func (m *Map[K, V]) Expire(now time.Time) {
	for len(m.order) > 0 && !now.Before(m.order[0].expires) {
		m.Delete(m.order[0].key)
	}
}

// Len returns the number of entries, including expired ones that have not been
// removed yet.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Bytes returns the total size of all entries.
func (m *Map[K, V]) Bytes() int64 { return m.bytes }

func (m *Map[K, V]) fits(bytes int64) bool {
	if m.MaxEntries > 0 && len(m.entries) >= m.MaxEntries {
		return false
	}
	return m.MaxBytes <= 0 || m.bytes+bytes <= m.MaxBytes
}

func (m *Map[K, V]) insert(key K, value V, bytes int64, expires time.Time) {
	if m.entries == nil {
		m.entries = make(map[K]*entry[K, V])
	}
	e := &entry[K, V]{key: key, value: value, bytes: bytes, expires: expires}
	m.entries[key] = e
	heap.Push(&m.order, e)
	m.bytes += bytes
}

// queue is a heap of entries ordered by deadline.
type queue[K comparable, V any] []*entry[K, V]

func (q queue[K, V]) Len() int           { return len(q) }
func (q queue[K, V]) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }
func (q queue[K, V]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue[K, V]) Push(x any) {
	e := x.(*entry[K, V])
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue[K, V]) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
