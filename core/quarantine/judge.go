package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// runsToSuspect and runsToConvict are the numbers of runs that ended under a segment
	// before it is suspected and before it is quarantined. A fault may end several targets at
	// once.
	runsToSuspect = 2
	runsToConvict = 3
	// maxChanceNew and maxChance are the probabilities, for a sound segment, that none of the
	// requests served meanwhile had it, up to which it is quarantined. The first one is for
	// segments that no gateway remembers to have served. The other one is low since a segment
	// that has been served before is probably sound, and may be a large part of the load.
	maxChanceNew = 0.01
	maxChance    = 1e-6
	// While targets crash as soon as they are back, hardly any requests are served. A segment
	// that was never served is then quarantined after runsWithoutService runs if it is in
	// minNewShare of the requests, although most requests served before were without it.
	runsWithoutService = 5
	minNewShare        = 0.1
)

// Judge combines the reports of gateways, which are identified by a G. The zero value is
// ready to use. It is not safe for concurrent use.
type Judge[G comparable] struct {
	reports     map[G]receivedReport
	suspects    map[Segment]*suspect[G]
	cleared     map[Segment]time.Time // when suspects were last served
	quarantined map[Segment]time.Time // until when
	sequence    uint64
}

type receivedReport struct {
	Report
	received time.Time
	sequence uint64 // of the verdict that the gateway had applied
}

// suspect is the state of a suspected segment.
type suspect[G comparable] struct {
	evidence
	sequence uint64       // of the first verdict that named it
	base     map[G]uint64 // requests that each gateway had served when it learned of the suspicion
}

// evidence is what the crashes say of a segment.
type evidence struct {
	pool  string
	runs  int     // that ended under the segment since it was last served
	share float64 // estimated share of the requests in the pool that have the segment
}

// Add adds the report of one of the gateways, which has applied the verdict with the given
// sequence. It returns the segments that are new in quarantine.
func (j *Judge[G]) Add(now time.Time, from G, gateways int, sequence uint64, r Report) []Segment {
	if j.reports == nil {
		j.reports, j.suspects = make(map[G]receivedReport), make(map[Segment]*suspect[G])
		j.cleared, j.quarantined = make(map[Segment]time.Time), make(map[Segment]time.Time)
	}
	j.reports[from] = receivedReport{r, now, sequence}
	maps.DeleteFunc(j.reports, func(_ G, r receivedReport) bool { return now.Sub(r.received) > evidenceTTL })
	maps.DeleteFunc(j.quarantined, func(_ Segment, until time.Time) bool { return !until.After(now) })
	maps.DeleteFunc(j.cleared, func(_ Segment, at time.Time) bool { return now.Sub(at) > evidenceTTL })
	for s, at := range r.Cleared {
		if at.After(j.cleared[s]) {
			j.cleared[s] = at
		}
	}
	changed := j.updateSuspects(now)
	var added []Segment
	for s, until := range r.Quarantined {
		if j.quarantined[s].IsZero() && until.After(now) {
			j.quarantined[s] = until // by an earlier leader
			changed = true
		}
	}
	for _, s := range j.convict(gateways) {
		j.quarantined[s] = now.Add(quarantineTTL)
		delete(j.suspects, s)
		added = append(added, s)
		changed = true
	}
	if changed {
		j.sequence++
	}
	return added
}

// convict returns the suspects to be quarantined. If some of them have never been served,
// these are the only ones: a segment of the same prompts that has been served before is
// probably sound. Segments that have never been served and come with each other can't be
// told apart, and are quarantined together.
func (j *Judge[G]) convict(gateways int) []Segment {
	var servedBefore, neverServed []Segment
	runs := 0
	for s, x := range j.suspects {
		switch {
		case !j.convicts(s, x, gateways):
		case j.cleared[s].IsZero():
			neverServed = append(neverServed, s)
			runs = max(runs, x.runs)
		default:
			servedBefore = append(servedBefore, s)
		}
	}
	if len(neverServed) == 0 {
		return servedBefore
	}
	for s, x := range j.suspects {
		if x.runs >= runs && j.cleared[s].IsZero() && !slices.Contains(neverServed, s) {
			neverServed = append(neverServed, s)
		}
	}
	return neverServed
}

// VerdictSince returns the current verdict, and false if it has the given sequence.
func (j *Judge[G]) VerdictSince(sequence uint64) (Verdict, bool) {
	if sequence == j.sequence {
		return Verdict{}, false
	}
	return Verdict{Sequence: j.sequence, Suspects: slices.Sorted(maps.Keys(j.suspects)), Quarantined: maps.Clone(j.quarantined)}, true
}

// updateSuspects updates the suspects from all reports, and reports whether their set has
// changed.
func (j *Judge[G]) updateSuspects(now time.Time) (changed bool) {
	found := j.collectEvidence(now)
	for s := range j.suspects {
		if _, ok := found[s]; !ok {
			delete(j.suspects, s)
			changed = true
		}
	}
	for s, e := range found {
		if j.suspects[s] == nil {
			j.suspects[s] = &suspect[G]{sequence: j.sequence + 1, base: make(map[G]uint64)}
			changed = true
		}
		j.suspects[s].evidence = e
	}
	for from, r := range j.reports {
		for _, x := range j.suspects {
			if _, known := x.base[from]; !known && r.sequence >= x.sequence {
				x.base[from] = r.Served[x.pool]
			}
		}
	}
	return changed
}

// ending is the end of a run as seen by all gateways.
type ending struct {
	pool     string
	at       time.Time
	breaks   Breaks
	segments map[Segment]Breaks
}

// fraction returns the part of the requests that had a segment. A run ends under a request
// whose response has just begun, so the others count only if there is no such request.
func (e *ending) fraction(s Segment) float64 {
	phase := Queued
	if e.breaks[Starting] > 0 {
		phase = Starting
	}
	if e.breaks[phase] == 0 {
		return 0
	}
	return min(1, float64(e.segments[s][phase])/float64(e.breaks[phase]))
}

// collectEvidence returns the evidence against the segments that are to be suspected.
func (j *Judge[G]) collectEvidence(now time.Time) map[Segment]evidence {
	endings := j.mergeCrashes(now)
	// The endings of each segment, in order of time.
	bySegment := make(map[Segment][]*ending)
	for _, e := range endings {
		if j.explained(e) {
			continue
		}
		for s := range e.segments {
			if e.fraction(s) > 0 && e.at.After(j.cleared[s]) {
				bySegment[s] = append(bySegment[s], e)
			}
		}
	}
	out := make(map[Segment]evidence)
	for s, list := range bySegment {
		if len(list) < runsToSuspect {
			continue
		}
		found := evidence{pool: list[0].pool, runs: len(list)}
		total, sum := 1, 0.0 // one more than the endings, since a few endings overstate the share
		for _, e := range endings {
			if e.pool == found.pool && !e.at.Before(list[0].at) && !j.explained(e) {
				total++
				sum += e.fraction(s)
			}
		}
		found.share = sum / float64(total)
		out[s] = found
	}
	return out
}

// explained reports whether a run ended under a segment that is in quarantine. Its other
// segments are not suspected for that.
func (j *Judge[G]) explained(e *ending) bool {
	for s := range j.quarantined {
		if e.fraction(s) > 0 {
			return true
		}
	}
	return false
}

// mergeCrashes returns the ends of runs as seen by all gateways, in order of time.
func (j *Judge[G]) mergeCrashes(now time.Time) []*ending {
	latest := make(map[Run]time.Time)
	for _, r := range j.reports {
		for _, c := range r.Crashes {
			if c.At.After(latest[c.Run]) {
				latest[c.Run] = c.At
			}
		}
	}
	byRun := make(map[Run]*ending)
	for _, r := range j.reports {
		for _, c := range r.Crashes {
			// A run ends only once, so breaks well before the last ones had another cause.
			if latest[c.Run].Sub(c.At) > crashSpan || now.Sub(c.At) > evidenceTTL {
				continue
			}
			e := byRun[c.Run]
			if e == nil {
				e = &ending{pool: c.Pool, at: c.At, segments: make(map[Segment]Breaks)}
				byRun[c.Run] = e
			}
			if c.At.Before(e.at) {
				e.at = c.At
			}
			e.breaks = e.breaks.add(c.Breaks)
			for s, b := range c.Segments {
				e.segments[s] = e.segments[s].add(b)
			}
		}
	}
	return slices.SortedFunc(maps.Values(byRun), func(a, b *ending) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.pool, b.pool)) })
}

// convicts reports whether a suspect is to be quarantined. Its segment has not been served
// since the first of the crashes, which is unlikely for a sound one after many other
// requests have been served. Only gateways that know of the suspicion count, since the
// others do not report yet that they have served the segment.
func (j *Judge[G]) convicts(s Segment, x *suspect[G], gateways int) bool {
	if x.runs < runsToConvict || 2*len(x.base) < gateways {
		return false
	}
	var since, total uint64 // requests served since the suspicion, and in all
	for from, base := range x.base {
		n := j.reports[from].Served[x.pool]
		total += n
		if n > base {
			since += n - base
		}
	}
	chance := func(served uint64) float64 { return math.Pow(1-x.share, float64(served)) }
	if !j.cleared[s].IsZero() {
		return chance(since) <= maxChance
	}
	return chance(since) <= maxChanceNew ||
		x.runs >= runsWithoutService && x.share >= minNewShare && chance(total) <= maxChance
}
