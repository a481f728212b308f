package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// EncodeContact maps what an entry met at a target. Times are sent as ages.
func EncodeContact(c watch.Contact, now time.Time) *ControlContact {
	return &ControlContact{
		Entry: string(c.Entry), Target: string(c.Target),
		ReachedAgeNanos: ageOf(c.Reached, now), FailedAgeNanos: ageOf(c.Failed, now),
	}
}

// DecodeContact reads what EncodeContact wrote.
func DecodeContact(m *ControlContact, now time.Time) watch.Contact {
	return watch.Contact{
		Entry: fleet.Host(m.GetEntry()), Target: fleet.TargetName(m.GetTarget()),
		Reached: timeOf(m.GetReachedAgeNanos(), now), Failed: timeOf(m.GetFailedAgeNanos(), now),
	}
}

func ageOf(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(int64(now.Sub(t)), 1)
}

func timeOf(age int64, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age))
}
