// Package expiry provides a map whose entries end at a stored deadline and
// which is bounded in entries and bytes.
package expiry

import (
	"container/heap"
	"time"
)

// Map holds values until their deadline. Bounds of zero mean no bound. The
// zero value is ready to use; it is not safe for concurrent use.
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
	index   int
}

// Add stores a new entry. It returns false, and stores nothing, if key is
// present or a bound would be exceeded by entries that have not expired.
func (m *Map[K, V]) Add(now time.Time, key K, value V, bytes int64, expires time.Time) bool {
	m.Expire(now)
	if _, ok := m.entries[key]; ok || !m.fits(bytes) {
		return false
	}
	m.insert(key, value, bytes, expires)
	return true
}

// Put stores or replaces an entry. Where a bound would be exceeded it removes
// the entries that expire first. It returns false, and leaves the key absent,
// if the entry alone exceeds a bound.
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
		var none V
		return none, false
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

// Expire removes the entries whose deadline is not after now.
func (m *Map[K, V]) Expire(now time.Time) {
	for len(m.order) > 0 && !now.Before(m.order[0].expires) {
		m.Delete(m.order[0].key)
	}
}

// Len returns the number of entries, expired ones included.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Bytes returns the sum of the bytes of all entries.
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

// queue orders entries by deadline.
type queue[K comparable, V any] []*entry[K, V]

func (q queue[K, V]) Len() int           { return len(q) }
func (q queue[K, V]) Less(i, j int) bool { return q[i].expires.Before(q[j].expires) }
func (q queue[K, V]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends x, which is an entry.
func (q *queue[K, V]) Push(x any) {
	e := x.(*entry[K, V])
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry.
func (q *queue[K, V]) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
