package truetime

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Usage must be counted in the correct window even if the clock of this host, or
// of one other host, is off by seconds.
func TestNow(t *testing.T) {
	trueTime := time.Unix(1000, 0)
	hosts := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	}
	for name, test := range map[string]struct {
		own     time.Duration   // error of the system clock at the start
		others  []time.Duration // clock errors of the other hosts
		silence time.Duration   // time since the other hosts reported
		want    time.Duration   // error of the result of Now
	}{
		"alone":                {0, nil, 0, 0},
		"alone and off":        {3 * time.Second, nil, 0, 3 * time.Second},
		"own is off":           {3 * time.Second, []time.Duration{0, 0, 0}, 0, 0},
		"one other is off":     {0, []time.Duration{0, -3 * time.Second, 0}, 0, 0},
		"own and other off":    {3 * time.Second, []time.Duration{0, 3 * time.Second, 0}, 0, 0},
		"two others, one off":  {0, []time.Duration{0, 3 * time.Second}, 0, 0},
		"one other is no more": {0, []time.Duration{3 * time.Second}, 0, 0},
		"others fell silent":   {0, []time.Duration{time.Second, time.Second, time.Second}, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			monotonic := 50 * time.Second
			c := newClock(func() time.Time { return trueTime.Add(test.own) }, func() time.Duration { return monotonic })
			for i, e := range test.others {
				c.AddSample(hosts[i], trueTime.Add(e))
			}
			monotonic += test.silence + time.Second
			is.Equal(c.Now(), trueTime.Add(test.want+test.silence+time.Second))
		})
	}
}

// The clock is close to the system clock and does not go backwards.
func TestNew(t *testing.T) {
	is := is.New(t)
	c := New()
	a := c.Now()
	is.True(time.Since(a).Abs() < time.Minute)
	is.True(!c.Now().Before(a))
}
