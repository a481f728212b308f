package work

import "time"

// maxDuration is the greatest duration that End adds. It keeps the sum in range for any input.
const maxDuration = 100 * 365 * 24 * time.Hour

// End returns the time at which a response is expected to end that has the given number of
// events. first is the time until its first event, pace the time between two events.
func End(now time.Time, first time.Duration, events float64, pace time.Duration) time.Time {
	d := float64(first) + max(events, 0)*float64(pace)
	if !(d < float64(maxDuration)) { // also if events is not a number
		return now.Add(maxDuration)
	}
	return now.Add(time.Duration(d))
}
