package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/quarantine"
)

// EncodeFeedVerdict converts a verdict to its message. Times are sent relative to now.
func EncodeFeedVerdict(now time.Time, v quarantine.Verdict) *FeedVerdict {
	m := &FeedVerdict{Sequence: v.Sequence, Quarantined: encodeRemaining(now, v.Quarantined)}
	for _, s := range v.Suspects {
		m.Suspects = append(m.Suspects, uint64(s))
	}
	return m
}

// DecodeFeedVerdict converts a message that was received at now.
func DecodeFeedVerdict(now time.Time, m *FeedVerdict) quarantine.Verdict {
	v := quarantine.Verdict{Sequence: m.GetSequence(), Quarantined: decodeRemaining(now, m.GetQuarantined())}
	for _, s := range m.GetSuspects() {
		v.Suspects = append(v.Suspects, quarantine.Segment(s))
	}
	return v
}

// EncodeFeedEvidence converts the report of a gateway that has applied the verdict with the
// given sequence. Times are sent relative to now.
func EncodeFeedEvidence(now time.Time, sequence uint64, r quarantine.Report) *FeedEvidence {
	m := &FeedEvidence{Verdict: sequence, Quarantined: encodeRemaining(now, r.Quarantined)}
	for _, c := range r.Crashes {
		crash := &FeedCrash{
			Pool: c.Pool, Target: string(c.Run.Target), StartedMs: c.Run.Started.UnixMilli(), AgeMs: now.Sub(c.At).Milliseconds(),
			Queued: uint32(c.Breaks[quarantine.Queued]), Starting: uint32(c.Breaks[quarantine.Starting]),
		}
		for s, b := range c.Segments {
			crash.Segments = append(crash.Segments, &FeedBreaks{
				Segment: uint64(s), Queued: uint32(b[quarantine.Queued]), Starting: uint32(b[quarantine.Starting]),
			})
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for pool, n := range r.Served {
		m.Served = append(m.Served, &FeedServed{Pool: pool, Count: n})
	}
	for s, at := range r.Cleared {
		m.Cleared = append(m.Cleared, &FeedSegment{Segment: uint64(s), SpanMs: now.Sub(at).Milliseconds()})
	}
	return m
}

// DecodeFeedEvidence converts a message that was received at now.
func DecodeFeedEvidence(now time.Time, m *FeedEvidence) (sequence uint64, r quarantine.Report) {
	r = quarantine.Report{
		Served: make(map[string]uint64, len(m.GetServed())), Cleared: make(map[quarantine.Segment]time.Time, len(m.GetCleared())),
		Quarantined: decodeRemaining(now, m.GetQuarantined()),
	}
	for _, c := range m.GetCrashes() {
		crash := quarantine.Crash{
			Pool: c.GetPool(), Run: quarantine.Run{Target: fleet.TargetName(c.GetTarget()), Started: time.UnixMilli(c.GetStartedMs())},
			At: now.Add(-decodeSpan(c.GetAgeMs())), Breaks: quarantine.Breaks{int(c.GetQueued()), int(c.GetStarting())},
			Segments: make(map[quarantine.Segment]quarantine.Breaks, len(c.GetSegments())),
		}
		for _, b := range c.GetSegments() {
			crash.Segments[quarantine.Segment(b.GetSegment())] = quarantine.Breaks{int(b.GetQueued()), int(b.GetStarting())}
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, served := range m.GetServed() {
		r.Served[served.GetPool()] = served.GetCount()
	}
	for _, s := range m.GetCleared() {
		r.Cleared[quarantine.Segment(s.GetSegment())] = now.Add(-decodeSpan(s.GetSpanMs()))
	}
	return m.GetVerdict(), r
}

func encodeRemaining(now time.Time, until map[quarantine.Segment]time.Time) []*FeedSegment {
	var out []*FeedSegment
	for s, at := range until {
		out = append(out, &FeedSegment{Segment: uint64(s), SpanMs: at.Sub(now).Milliseconds()})
	}
	return out
}

func decodeRemaining(now time.Time, list []*FeedSegment) map[quarantine.Segment]time.Time {
	out := make(map[quarantine.Segment]time.Time, len(list))
	for _, m := range list {
		out[quarantine.Segment(m.GetSegment())] = now.Add(decodeSpan(m.GetSpanMs()))
	}
	return out
}
