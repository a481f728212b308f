package state

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// supersededRetention is how long the deduplication state of an incarnation
	// is kept after a later incarnation of the same node has reported.
	supersededRetention = 7 * 24 * time.Hour
	// idleRetention is how long the deduplication state of a node's latest
	// incarnation is kept without a report. It is long, because an idle agent
	// still depends on it.
	idleRetention = 90 * 24 * time.Hour
	// renewalInterval is the minimum time between two extensions of a source's
	// deadline.
	renewalInterval = time.Hour
)

// dedupe records which usage records have been counted.
type dedupe struct {
	sources map[sourceKey]*UsageSource
	latest  map[fleet.Host]fleet.Incarnation // highest incarnation that has a source
	floors  map[fleet.Host]fleet.Incarnation // highest incarnation whose source has expired
}

type sourceKey struct {
	node        fleet.Host
	incarnation fleet.Incarnation
}

// recordStatus tells whether a usage record can be counted and, if not, why.
type recordStatus uint8

const (
	recordNew        recordStatus = iota // not counted yet
	recordCounted                        // already counted
	recordNoCapacity                     // no capacity to record it
	recordRejected                       // invalid, or its deduplication state has expired
)

// check returns the status of a record without changing any state.
func (d *dedupe) check(id UsageID, l limits) recordStatus {
	if id.Node == "" || id.Sequence == 0 {
		return recordRejected
	}
	s := d.sources[sourceKey{id.Node, id.Incarnation}]
	if s == nil {
		if f, ok := d.floors[id.Node]; ok && id.Incarnation <= f {
			return recordRejected
		}
		if len(d.sources) >= l.usageSources {
			return recordNoCapacity
		}
		return recordNew
	}
	if id.Sequence <= s.Watermark {
		return recordCounted
	}
	if _, ok := slices.BinarySearch(s.OutOfOrder, id.Sequence); ok {
		return recordCounted
	}
	if id.Sequence != s.Watermark+1 && len(s.OutOfOrder) >= l.outOfOrder {
		return recordNoCapacity
	}
	return recordNew
}

// markCounted records that a new record has been counted.
func (d *dedupe) markCounted(id UsageID, now time.Time) {
	key := sourceKey{id.Node, id.Incarnation}
	s := d.sources[key]
	if s == nil {
		s = &UsageSource{Node: id.Node, Incarnation: id.Incarnation}
		d.sources[key] = s
		d.supersede(key, now)
	}
	d.renew(s, now)
	if id.Sequence != s.Watermark+1 {
		i, _ := slices.BinarySearch(s.OutOfOrder, id.Sequence)
		s.OutOfOrder = slices.Insert(s.OutOfOrder, i, id.Sequence)
		return
	}
	s.Watermark++
	n := 0
	for n < len(s.OutOfOrder) && s.OutOfOrder[n] == s.Watermark+1 {
		s.Watermark++
		n++
	}
	s.OutOfOrder = slices.Delete(s.OutOfOrder, 0, n)
}

// supersede shortens the retention of the incarnation that precedes a new one.
func (d *dedupe) supersede(key sourceKey, now time.Time) {
	last, ok := d.latest[key.node]
	if ok && last >= key.incarnation {
		return
	}
	d.latest[key.node] = key.incarnation
	if s := d.sources[sourceKey{key.node, last}]; s != nil && !now.IsZero() {
		s.Expires = now.Add(supersededRetention)
	}
}

// renew extends the deadline of a source. The time is unknown before the first
// tick; until then the deadline stays zero.
func (d *dedupe) renew(s *UsageSource, now time.Time) {
	if now.IsZero() {
		return
	}
	retention := supersededRetention
	if d.latest[s.Node] == s.Incarnation {
		retention = idleRetention
	}
	if end := now.Add(retention); end.Sub(s.Expires) >= renewalInterval {
		s.Expires = end
	}
}

// expire deletes the sources whose deadline has passed and returns their number.
// A source that was added before the first tick gets its deadline here.
func (d *dedupe) expire(now time.Time) int {
	n := 0
	for key, s := range d.sources {
		if s.Expires.IsZero() {
			d.renew(s, now)
		}
		if s.Expires.IsZero() || s.Expires.After(now) {
			continue
		}
		n++
		delete(d.sources, key)
		d.floors[key.node] = max(d.floors[key.node], key.incarnation)
	}
	if n > 0 {
		d.findLatest()
	}
	return n
}

// findLatest recomputes latest from the sources. A restore does the same, so
// the result does not depend on state missing from a snapshot.
func (d *dedupe) findLatest() {
	d.latest = make(map[fleet.Host]fleet.Incarnation)
	for key := range d.sources {
		d.latest[key.node] = max(d.latest[key.node], key.incarnation)
	}
}

func (d *dedupe) list() ([]UsageSource, []UsageFloor) {
	sources := make([]UsageSource, 0, len(d.sources))
	for _, s := range d.sources {
		c := *s
		c.OutOfOrder = slices.Clone(s.OutOfOrder)
		sources = append(sources, c)
	}
	slices.SortFunc(sources, func(a, b UsageSource) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	floors := make([]UsageFloor, 0, len(d.floors))
	for node, i := range d.floors {
		floors = append(floors, UsageFloor{Node: node, Incarnation: i})
	}
	slices.SortFunc(floors, func(a, b UsageFloor) int { return cmp.Compare(a.Node, b.Node) })
	return sources, floors
}

func newDedupe(sources []UsageSource, floors []UsageFloor) dedupe {
	d := dedupe{sources: make(map[sourceKey]*UsageSource), floors: make(map[fleet.Host]fleet.Incarnation)}
	for _, s := range sources {
		s.OutOfOrder = slices.Clone(s.OutOfOrder)
		d.sources[sourceKey{s.Node, s.Incarnation}] = &s
	}
	d.findLatest()
	for _, f := range floors {
		d.floors[f.Node] = f.Incarnation
	}
	return d
}
