// Package truetime provides wall-clock time to a process on a host whose system
// clock can be wrong by seconds, or be stepped. Its clock advances with a monotonic
// clock, so that steps of the system clock do not affect it, and is set to the
// median of the times reported by other hosts.
package truetime

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxSampleAge is how long the time reported by a host is used. Hosts report
// twice a second.
const maxSampleAge = 10 * time.Second

// Clock provides the wall-clock time of one process: the sum of a base and the
// monotonic time. Create it with New.
type Clock struct {
	mu        sync.Mutex
	monotonic func() time.Duration // monotonic time since an arbitrary origin, including suspended time
	base      time.Time            // wall-clock time at the origin, by the system clock when the Clock was created
	samples   map[netip.AddrPort]sample
}

// sample is an estimate from the clock of another host.
type sample struct {
	base       time.Time     // wall-clock time at the origin of this host's monotonic clock
	receivedAt time.Duration // monotonic time of the report
}

// New returns a clock that starts from the system clock of the host.
func New() *Clock {
	processStart := time.Now()
	return newClock(time.Now, func() time.Duration { return boottime(processStart) })
}

func newClock(wall func() time.Time, monotonic func() time.Duration) *Clock {
	return &Clock{monotonic: monotonic, base: wall().Add(-monotonic()).Round(0), samples: make(map[netip.AddrPort]sample)}
}

// boottime returns the time since the host booted, including suspended time. On
// systems without such a clock it returns the time since processStart.
func boottime(processStart time.Time) time.Duration {
	t, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return time.Since(processStart)
	}
	return t
}

// Now returns the wall-clock time. With samples of the last maxSampleAge (10 s) from
// at least two other hosts, it uses the median of their estimates; if their number
// is even, the estimate of this host is included to obtain an odd number. With fewer
// samples, it uses only the estimate of this host, which is that of its system clock
// when the Clock was created.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monotonic()
	bases := make([]time.Time, 0, len(c.samples)+1)
	for _, s := range c.samples {
		if now-s.receivedAt <= maxSampleAge {
			bases = append(bases, s.base)
		}
	}
	if len(bases) < 2 {
		return c.base.Add(now)
	}
	if len(bases)%2 == 0 {
		bases = append(bases, c.base)
	}
	slices.SortFunc(bases, time.Time.Compare)
	return bases[len(bases)/2].Add(now)
}

// AddSample records the wall-clock time t that the process at addr has just
// reported. Network latency is not compensated and adds an error of tens of
// milliseconds.
func (c *Clock) AddSample(addr netip.AddrPort, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monotonic()
	c.samples[addr] = sample{base: t.Add(-now), receivedAt: now}
	for a, s := range c.samples {
		if now-s.receivedAt > maxSampleAge {
			delete(c.samples, a)
		}
	}
}
