package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// EncodeReport stores r, a relay's report on its subscribers, in m, the relay's message
// to the leader. It sets only the fields of m that belong to the report. Times are
// sent as ages, as in EncodeSubscriber.
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

// DecodeReport returns the relay's report that m contains. Ages are subtracted from now.
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
