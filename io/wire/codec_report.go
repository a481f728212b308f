package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// EncodeReport adds a relay's report on its subscribers to m, its message to the
// leader.
func EncodeReport(m *ControlConfirm, r watch.Report, now time.Time) {
	m.Run, m.Sequence, m.Whole, m.Sum = r.Run, r.Sequence, r.Full, r.Checksum
	m.OldestNanos = int64(now.Sub(r.OldestPoll))
	for _, s := range r.Subscribers {
		m.Subscribers = append(m.Subscribers, EncodeSubscriber(s, now))
	}
	for _, h := range r.Removed {
		m.Gone = append(m.Gone, string(h))
	}
}

// DecodeReport returns the report on subscribers in m. The ages count from now.
func DecodeReport(m *ControlConfirm, now time.Time) watch.Report {
	r := watch.Report{
		Run: m.GetRun(), Sequence: m.GetSequence(), Full: m.GetWhole(), Checksum: m.GetSum(),
		OldestPoll: now.Add(-time.Duration(max(m.GetOldestNanos(), 0))),
	}
	for _, s := range m.GetSubscribers() {
		r.Subscribers = append(r.Subscribers, DecodeSubscriber(s, now))
	}
	for _, h := range m.GetGone() {
		r.Removed = append(r.Removed, fleet.Host(h))
	}
	return r
}
