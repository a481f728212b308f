package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashSpan is the time within which the requests at a run break off when the run ends.
	crashSpan = time.Second
	// evidenceTTL is how long a crash counts. It is shorter than quarantineTTL, so that a
	// segment is not quarantined again without new crashes.
	evidenceTTL = 5 * time.Minute
	// quarantineTTL is how long requests with a segment are rejected. The targets may have
	// been replaced by then.
	quarantineTTL = 10 * time.Minute
	// maxCrashes and maxServed bound the crashes and the served segments that a gateway
	// remembers.
	maxCrashes = 64
	maxServed  = 8192
	// servedTTL is how long a served segment is remembered if there are too many.
	servedTTL = time.Minute
)

// Observer records the evidence of one gateway. The zero value is ready to use. It is not
// safe for concurrent use.
type Observer struct {
	crashes     []Crash // oldest first
	served      map[string]uint64
	lastServed  map[Segment]time.Time
	suspects    map[Segment]bool
	quarantined map[Segment]time.Time // until when
	version     uint64
}

// RecordBreak records that a request broke off at a run of a target, before the target had
// survived the beginning of the response.
func (o *Observer) RecordBreak(now time.Time, pool string, run Run, phase Phase, segments []Segment) {
	if len(segments) == 0 {
		return
	}
	o.version++
	i := slices.IndexFunc(o.crashes, func(c Crash) bool { return c.Run == run })
	if i >= 0 && now.Sub(o.crashes[i].At) > crashSpan {
		// A run ends only once, so the earlier break had another cause.
		o.crashes = slices.Delete(o.crashes, i, i+1)
		i = -1
	}
	if i < 0 {
		if len(o.crashes) >= maxCrashes {
			o.crashes = slices.Delete(o.crashes, 0, 1)
		}
		o.crashes = append(o.crashes, Crash{Pool: pool, Run: run, At: now, Segments: make(map[Segment]Breaks)})
		i = len(o.crashes) - 1
	}
	c := &o.crashes[i]
	c.Breaks[phase]++
	for _, s := range segments {
		b := c.Segments[s]
		b[phase]++
		c.Segments[s] = b
	}
}

// RecordServed records that a target has survived the beginning of its response to a
// request.
func (o *Observer) RecordServed(now time.Time, pool string, segments []Segment) {
	if len(segments) == 0 {
		return
	}
	if o.served == nil {
		o.served, o.lastServed = make(map[string]uint64), make(map[Segment]time.Time)
	}
	o.served[pool]++
	if len(o.suspects) > 0 {
		o.version++ // the count is part of the evidence against the suspects
	}
	for _, s := range segments {
		if _, known := o.lastServed[s]; !known {
			o.makeRoom(now)
		}
		o.lastServed[s] = now
	}
}

// makeRoom ensures that another segment fits into lastServed.
func (o *Observer) makeRoom(now time.Time) {
	if len(o.lastServed) < maxServed {
		return
	}
	maps.DeleteFunc(o.lastServed, func(_ Segment, at time.Time) bool { return now.Sub(at) > servedTTL })
	for s := range o.lastServed {
		if len(o.lastServed) < maxServed {
			return
		}
		delete(o.lastServed, s)
	}
}

// Rejects reports whether requests with these segments must be rejected, and until when.
func (o *Observer) Rejects(now time.Time, segments []Segment) (until time.Time, rejected bool) {
	if len(o.quarantined) == 0 {
		return time.Time{}, false
	}
	for _, s := range segments {
		if at := o.quarantined[s]; at.After(now) {
			return at, true
		}
	}
	return time.Time{}, false
}

// Quarantined returns the number of segments in quarantine.
func (o *Observer) Quarantined() int { return len(o.quarantined) }

// Apply applies a verdict and returns the segments that are new in quarantine. A segment
// stays in quarantine if a later verdict does not mention it, since a new leader may not
// have all reports yet.
func (o *Observer) Apply(now time.Time, v Verdict) []Segment {
	o.version++
	o.suspects = make(map[Segment]bool, len(v.Suspects))
	for _, s := range v.Suspects {
		o.suspects[s] = true
	}
	maps.DeleteFunc(o.quarantined, func(_ Segment, until time.Time) bool { return !until.After(now) })
	var added []Segment
	for s, until := range v.Quarantined {
		if o.quarantined == nil {
			o.quarantined = make(map[Segment]time.Time)
		}
		if o.quarantined[s].IsZero() && until.After(now) {
			added = append(added, s)
			o.quarantined[s] = until
		}
	}
	return added
}

// Report returns the evidence, and its version, which increases with each change.
func (o *Observer) Report(now time.Time) (r Report, version uint64) {
	o.crashes = slices.DeleteFunc(o.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceTTL })
	for _, c := range o.crashes {
		maps.DeleteFunc(c.Segments, func(s Segment, _ Breaks) bool { return o.lastServed[s].After(c.At) })
		c.Segments = maps.Clone(c.Segments)
		r.Crashes = append(r.Crashes, c)
	}
	r.Served, r.Quarantined = maps.Clone(o.served), maps.Clone(o.quarantined)
	r.Cleared = make(map[Segment]time.Time)
	for s := range o.suspects {
		if at, ok := o.lastServed[s]; ok {
			r.Cleared[s] = at
		}
	}
	return r, o.version
}
