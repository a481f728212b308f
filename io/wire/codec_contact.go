package wire

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// EncodeContact converts a contact to its message. Times are sent as ages, since the
// clocks of different hosts do not agree.
func EncodeContact(c watch.Contact, now time.Time) *ControlContact {
	return &ControlContact{
		Entry: string(c.Entry), Target: string(c.Target),
		ReachedAgeNanos: ageNanos(c.Reached, now), FailedAgeNanos: ageNanos(c.Failed, now),
	}
}

// DecodeContact converts a message to a contact. Ages are subtracted from now.
func DecodeContact(m *ControlContact, now time.Time) watch.Contact {
	return watch.Contact{
		Entry: fleet.Host(m.GetEntry()), Target: fleet.TargetName(m.GetTarget()),
		Reached: timeFromAge(m.GetReachedAgeNanos(), now), Failed: timeFromAge(m.GetFailedAgeNanos(), now),
	}
}

// ageNanos returns the age of t, and 0 for the zero time. Any other age is at least
// 1 ns, to be distinct from the zero time.
func ageNanos(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(int64(now.Sub(t)), 1)
}

// timeFromAge is the inverse of ageNanos. It returns the zero time if age is not
// positive.
func timeFromAge(age int64, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age))
}
