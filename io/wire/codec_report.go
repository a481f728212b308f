package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// EncodeReport maps the subscribers of a relay into its message to the leader.
func EncodeReport(m *ControlConfirm, r watch.Report, now time.Time) {
	m.Run, m.Sequence, m.Whole, m.Sum = r.Run, r.Sequence, r.Whole, r.Sum
	m.OldestNanos = int64(now.Sub(r.Oldest))
	for _, s := range r.Listed {
		m.Subscribers = append(m.Subscribers, EncodeSubscriber(s, now))
	}
	for _, h := range r.Gone {
		m.Gone = append(m.Gone, string(h))
	}
}

// DecodeReport reads what EncodeReport wrote.
func DecodeReport(m *ControlConfirm, now time.Time) watch.Report {
	r := watch.Report{
		Run: m.GetRun(), Sequence: m.GetSequence(), Whole: m.GetWhole(), Sum: m.GetSum(),
		Oldest: now.Add(-time.Duration(max(m.GetOldestNanos(), 0))),
	}
	for _, s := range m.GetSubscribers() {
		r.Listed = append(r.Listed, DecodeSubscriber(s, now))
	}
	for _, h := range m.GetGone() {
		r.Gone = append(r.Gone, fleet.Host(h))
	}
	return r
}
