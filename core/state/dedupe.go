package state

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

const (
	// supersededFor is how long the dedupe memory of an incarnation is kept
	// once a later one of the same node has reported.
	supersededFor = 7 * 24 * time.Hour
	// idleFor is how long the memory of a node's latest incarnation is kept
	// without a report; an idle agent must not lose its memory sooner.
	idleFor = 90 * 24 * time.Hour
	// touchEvery spaces out the renewals of a memory's deadline.
	touchEvery = time.Hour
)

// dedupe remembers which usage records are counted.
type dedupe struct {
	sources map[sourceKey]*UsageSource
	latest  map[fleet.Host]fleet.Incarnation // highest incarnation with a source
	floors  map[fleet.Host]fleet.Incarnation
}

type sourceKey struct {
	node        fleet.Host
	incarnation fleet.Incarnation
}

// verdict is what is to become of a record.
type verdict uint8

const (
	fresh   verdict = iota // not counted yet
	counted                // counted before
	full                   // no room to remember it
	tooLate                // never to be counted
)

// check says whether a record is to be counted, without noting it.
func (d *dedupe) check(id UsageID, l limits) verdict {
	if id.Node == "" || id.Sequence == 0 {
		return tooLate
	}
	s := d.sources[sourceKey{id.Node, id.Incarnation}]
	if s == nil {
		if f, ok := d.floors[id.Node]; ok && id.Incarnation <= f {
			return tooLate
		}
		if len(d.sources) >= l.sources {
			return full
		}
		return fresh
	}
	if id.Sequence <= s.Watermark {
		return counted
	}
	if _, ok := slices.BinarySearch(s.Above, id.Sequence); ok {
		return counted
	}
	if id.Sequence != s.Watermark+1 && len(s.Above) >= l.above {
		return full
	}
	return fresh
}

// note remembers a fresh record as counted.
func (d *dedupe) note(id UsageID, now time.Time) {
	key := sourceKey{id.Node, id.Incarnation}
	s := d.sources[key]
	if s == nil {
		s = &UsageSource{Node: id.Node, Incarnation: id.Incarnation}
		d.sources[key] = s
		d.supersede(key, now)
	}
	d.renew(s, now)
	if id.Sequence != s.Watermark+1 {
		i, _ := slices.BinarySearch(s.Above, id.Sequence)
		s.Above = slices.Insert(s.Above, i, id.Sequence)
		return
	}
	s.Watermark++
	n := 0
	for n < len(s.Above) && s.Above[n] == s.Watermark+1 {
		s.Watermark++
		n++
	}
	s.Above = slices.Delete(s.Above, 0, n)
}

// supersede shortens the memory of the incarnation that a new one follows.
func (d *dedupe) supersede(key sourceKey, now time.Time) {
	last, ok := d.latest[key.node]
	if ok && last >= key.incarnation {
		return
	}
	d.latest[key.node] = key.incarnation
	if s := d.sources[sourceKey{key.node, last}]; s != nil && !now.IsZero() {
		s.Expires = now.Add(supersededFor)
	}
}

// renew moves the deadline of a memory. Before the first tick the time is not
// known, and the deadline stays zero until that tick.
func (d *dedupe) renew(s *UsageSource, now time.Time) {
	if now.IsZero() {
		return
	}
	keep := supersededFor
	if d.latest[s.Node] == s.Incarnation {
		keep = idleFor
	}
	if end := now.Add(keep); end.Sub(s.Expires) >= touchEvery {
		s.Expires = end
	}
}

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

// findLatest derives latest from the sources, as a restore does.
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
		c.Above = slices.Clone(s.Above)
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
		s.Above = slices.Clone(s.Above)
		d.sources[sourceKey{s.Node, s.Incarnation}] = &s
	}
	d.findLatest()
	for _, f := range floors {
		d.floors[f.Node] = f.Incarnation
	}
	return d
}
