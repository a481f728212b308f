package truetime

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A system clock that is wrong by seconds, on this host or on one other host, must
// not put usage into the wrong reporting window.
func TestNow(t *testing.T) {
	trueTime := time.Unix(1000, 0)
	hosts := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	}
	for name, test := range map[string]struct {
		own       time.Duration   // error of the system clock when the Clock is created
		others    []time.Duration // clock errors of the other hosts
		sampleAge time.Duration   // time since the other hosts reported
		want      time.Duration   // error of the result of Now
	}{
		"no samples":                {0, nil, 0, 0},
		"no samples, own wrong":     {3 * time.Second, nil, 0, 3 * time.Second},
		"own wrong":                 {3 * time.Second, []time.Duration{0, 0, 0}, 0, 0},
		"one other wrong":           {0, []time.Duration{0, -3 * time.Second, 0}, 0, 0},
		"own and one other wrong":   {3 * time.Second, []time.Duration{0, 3 * time.Second, 0}, 0, 0},
		"two samples, one wrong":    {0, []time.Duration{0, 3 * time.Second}, 0, 0},
		"single sample not used":    {0, []time.Duration{3 * time.Second}, 0, 0},
		"outdated samples not used": {0, []time.Duration{time.Second, time.Second, time.Second}, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			monotonic := 50 * time.Second
			c := newClock(func() time.Time { return trueTime.Add(test.own) }, func() time.Duration { return monotonic })
			for i, e := range test.others {
				c.AddSample(hosts[i], trueTime.Add(e))
			}
			monotonic += test.sampleAge + time.Second
			is.Equal(c.Now(), trueTime.Add(test.want+test.sampleAge+time.Second))
		})
	}
}

// A clock without samples must be close to the system clock, and the combination
// of base and monotonic time must not make it go backwards.
func TestNew(t *testing.T) {
	is := is.New(t)
	c := New()
	a := c.Now()
	is.True(time.Since(a).Abs() < time.Minute)
	is.True(!c.Now().Before(a))
}
