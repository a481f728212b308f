package place

import "time"

// floorPeriod is the time over which a floor is taken: long enough to hold a
// moment without a queue, short enough to follow a target that has changed.
const floorPeriod = 10 * time.Second

// floor is the least time to a first event of late: the way to the target, its
// steps up to the event, and no queue. It spans one to two periods. The zero
// value is ready to use.
type floor struct {
	now, before time.Duration // least of this period and of the one before
	ends        time.Time     // of this period
}

// add takes an observation into the floor and returns the floor.
func (f *floor) add(now time.Time, took time.Duration) time.Duration {
	if now.After(f.ends) {
		f.before = f.now
		if now.After(f.ends.Add(floorPeriod)) {
			f.before = 0
		}
		f.now, f.ends = took, now.Add(floorPeriod)
	}
	f.now = min(f.now, took)
	if f.before > 0 && f.before < f.now {
		return f.before
	}
	return f.now
}
