package place

import "time"

// baseWindow is the length of a measurement window: long enough to contain a
// moment without queueing, short enough to follow a target that has changed.
const baseWindow = 10 * time.Second

// baseLatency tracks the recent minimum of the time to first event, that is,
// the latency without queueing: the network round trip and the engine steps up
// to the event. It covers one to two windows. The zero value is ready to use.
type baseLatency struct {
	current, previous time.Duration // minimum of the current and the previous window
	rotateAt          time.Time     // end of the current window
}

// add records a sample and returns the current minimum.
func (b *baseLatency) add(now time.Time, took time.Duration) time.Duration {
	if now.After(b.rotateAt) {
		b.previous = b.current
		if now.After(b.rotateAt.Add(baseWindow)) {
			b.previous = 0
		}
		b.current, b.rotateAt = took, now.Add(baseWindow)
	}
	b.current = min(b.current, took)
	if b.previous > 0 && b.previous < b.current {
		return b.previous
	}
	return b.current
}

// minimum returns the current minimum, or zero without samples.
func (b *baseLatency) minimum() time.Duration {
	if b.previous > 0 {
		return min(b.current, b.previous)
	}
	return b.current
}
