package truetime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Suspension measures for how long the host has been suspended. The monotonic clock that
// time.Now reads stands still in that time. The zero value measures from the first call of
// Total.
type Suspension struct {
	// Read returns the reading of a clock by its Linux number; nil means the clocks of the
	// host.
	Read func(clock int32) (time.Duration, error)

	mu       sync.Mutex
	measured bool
	origin   time.Duration // by which CLOCK_BOOTTIME was ahead of CLOCK_MONOTONIC at the first call
	total    time.Duration
}

// Total returns the time for which the host has been suspended since the first call. It
// never decreases, and is zero on systems without CLOCK_BOOTTIME.
func (s *Suspension) Total() time.Duration {
	read := s.Read
	if read == nil {
		read = readClock
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// CLOCK_BOOTTIME is read first. A pause between the two readings then makes the result
	// too small until the next call, and never too large.
	boot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return s.total // the system has no such clock
	}
	monotonic, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return s.total // as above
	}
	ahead := boot - monotonic
	if !s.measured {
		s.origin, s.measured = ahead, true
	}
	s.total = max(s.total, ahead-s.origin)
	return s.total
}

// readClock returns the reading of a clock of the host.
func readClock(clock int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err
}
