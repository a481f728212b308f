package gateway

import (
	"time"

	"papayarock/core/catalog"
	"papayarock/core/place"
	"papayarock/core/work"
)

// engine returns the engines of the pool, or nil if it has none.
func (j *job) engine() *catalog.Engine {
	if pool, ok := j.index.Pool(j.pool); ok {
		return pool.Engine
	}
	return nil
}

// batch describes the engines of the pool to the placer.
func (j *job) batch() place.Batch {
	e := j.engine()
	if e == nil || j.route.Kind != catalog.Stream {
		return place.Batch{}
	}
	return place.Batch{Slots: e.Slots, CacheTokens: e.CacheTokens, ByWork: j.g.options.ScarceCapacity}
}

// lengthKey selects the responses that are like the one of this request.
func (j *job) lengthKey() work.Key {
	return work.Key{Route: j.route.Name, Customer: j.customer, Prompt: j.params.PromptTokens}
}

// expectedEvents returns the number of events that the response is expected to have, or
// zero if that is unknown or the pool does not place requests by work.
func (j *job) expectedEvents() float64 {
	e := j.engine()
	if e == nil || e.EventTokens == 0 || j.route.Kind != catalog.Stream {
		return 0
	}
	j.g.mu.Lock()
	defer j.g.mu.Unlock()
	if !j.g.placer.PlacesByWork(j.pool) {
		return 0
	}
	j.expectedLength = j.g.lengths.Estimate(j.lengthKey(), j.params.LengthHint, j.params.MaxOutputTokens, e.EventTokens).High
	return j.expectedLength
}

// gapMeter collects the time between the events of a stream. The placer is told of several
// at once, to keep the lock of the gateway free.
type gapMeter struct {
	last      time.Time // arrival of the last event
	forwarded time.Time // when the caller had been sent it
	gaps      []time.Duration
	events    int
}

// gap returns the time since the last event, or zero if a good part of it was spent on
// sending that event to a caller that reads slowly: the gap then says nothing about the
// target.
func (m *gapMeter) gap(now time.Time) time.Duration {
	gap := now.Sub(m.last)
	if m.last.IsZero() || m.forwarded.Sub(m.last) > time.Duration(maxForwardShare*float64(gap)) {
		return 0
	}
	return gap
}

// maxForwardShare is the part of the time between two events that forwarding the first one
// may take for the gap to be one of the target.
const maxForwardShare = 0.25

// maxGaps is the number of gaps that are reported at once.
const maxGaps = 4

// observeEvent records the time of an event of a stream.
func (a *attempt) observeEvent(m *gapMeter, now time.Time) {
	m.events++
	a.events++
	if gap := m.gap(now); gap > 0 {
		m.gaps = append(m.gaps, gap)
		a.longestGap = max(a.longestGap, gap)
	}
	m.last = now
	if len(m.gaps) >= maxGaps {
		a.reportGaps(m, false)
	}
}

// reportGaps tells the placer of the gaps that have been collected, and at the end of a
// complete response the estimator of its length. The rest of a stream that the caller
// resumes says nothing about the length.
func (a *attempt) reportGaps(m *gapMeter, complete bool) {
	e := a.engine()
	if e == nil || e.EventTokens == 0 {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.placer.RecordGaps(m.last, a.record, m.gaps)
	m.gaps = m.gaps[:0]
	if complete && a.params.LastEventID == "" && a.g.placer.PlacesByWork(a.pool) {
		a.g.lengths.Observe(a.lengthKey(), a.params.LengthHint, m.events, e.EventTokens)
	}
}
