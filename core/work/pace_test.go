package work_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/work"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// A slow engine that was taken for a fast one would get long responses and cut them.
func TestPaceTellsSpeeds(t *testing.T) {
	const engines = 500
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	mean := func(speed float64) time.Duration {
		var p work.Pace
		e := newEngine(rng, speed)
		at := time.Duration(rng.IntN(60_000)) * ms
		end := at + 3*time.Second
		for ; at < end; at += e.gapAt(at) {
			p.Observe(start.Add(at), e.gapAt(at))
		}
		return p.Mean(start.Add(at))
	}
	var slowestFast time.Duration
	fastestSlow := time.Hour
	for range engines {
		slowestFast = max(slowestFast, mean(fastSpeed))
		fastestSlow = min(fastestSlow, mean(slowSpeed))
	}
	t.Logf("slowest of the fast engines %v, fastest of the slow ones %v", slowestFast, fastestSlow)
	is.True(slowestFast < fastestSlow)
}

// observe records gaps of the given length from each of several streams, and returns the
// time of the last one.
func observe(p *work.Pace, from time.Time, lasting, gap time.Duration, streams int) time.Time {
	now := from
	for now.Add(gap).Sub(from) <= lasting {
		now = now.Add(gap)
		for range streams {
			p.Observe(now, gap)
		}
	}
	return now
}

// Streams would be placed at a target that has become slow, or a target that has recovered
// would be left without work.
func TestPaceHighFollows(t *testing.T) {
	const usual = 37 * ms
	for name, test := range map[string]struct {
		streams int
		slow    time.Duration // time between events while the target is slow
		lasting time.Duration // time for which it is slow
		idle    bool          // it gets no streams afterwards
		within  time.Duration // time in which it must be forgiven
	}{
		"noise, one stream":        {1, 92 * ms, time.Second, false, 5 * time.Second},
		"noise, eight streams":     {8, 92 * ms, time.Second, false, 5 * time.Second},
		"noise, then idle":         {1, 92 * ms, time.Second, true, 8 * time.Second},
		"noise, many, then idle":   {8, 92 * ms, time.Second, true, 8 * time.Second},
		"slow for long":            {1, 92 * ms, 6 * time.Second, false, 8 * time.Second},
		"slow for long, many":      {8, 92 * ms, 6 * time.Second, false, 8 * time.Second},
		"much slower":              {4, 200 * ms, time.Second, false, 5 * time.Second},
		"much slower, then idle":   {4, 200 * ms, time.Second, true, 8 * time.Second},
		"slightly slower, streams": {4, 60 * ms, time.Second, false, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p work.Pace
			now := observe(&p, start, 20*time.Second, usual, test.streams)
			before := p.High(now)
			is.True(before >= usual*9/10 && before <= usual*12/10)

			slow := now
			now = observe(&p, slow, time.Second, test.slow, test.streams)
			is.True(p.High(now) >= test.slow*9/10) // noticed within a second
			now = observe(&p, now, test.lasting-time.Second, test.slow, test.streams)

			if test.idle {
				now = now.Add(test.within)
			} else {
				now = observe(&p, now, test.within, usual, test.streams)
			}
			is.True(p.High(now) <= usual*12/10) // forgiven
		})
	}
}

// A target that has read one long prompt would look slow.
func TestPaceLongGap(t *testing.T) {
	const usual = 37 * ms
	for name, test := range map[string]struct {
		before, after time.Duration // time of usual gaps before and after the long one
		gap           time.Duration
	}{
		"in between":        {10 * time.Second, 500 * ms, 2 * time.Second},
		"in between, long":  {10 * time.Second, 500 * ms, time.Minute},
		"soon":              {time.Second, 500 * ms, 2 * time.Second},
		"the first one":     {0, time.Second, 2 * time.Second},
		"the first, long":   {0, time.Second, time.Minute},
		"every second only": {10 * time.Second, time.Second, 400 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p work.Pace
			now := observe(&p, start, test.before, usual, 1)
			for range 3 {
				now = now.Add(test.gap)
				p.Observe(now, test.gap)
				now = observe(&p, now, test.after, usual, 1)
			}
			is.True(p.Mean(now) <= usual*13/10)
			is.True(p.High(now) <= usual*12/10)
		})
	}
}

// Placement asks for the pace of targets that are new, idle, or seen by a clock that was set
// back.
func TestPaceLimits(t *testing.T) {
	is := is.New(t)
	var p work.Pace
	is.Equal(p.Mean(start), time.Duration(0))
	is.Equal(p.High(start), time.Duration(0))
	p.Observe(start, 0)
	p.Observe(start, -time.Second)
	is.Equal(p.High(start), time.Duration(0)) // gaps that are not positive are ignored

	now := observe(&p, start, 5*time.Second, 40*ms, 2)
	for _, later := range []time.Duration{-time.Hour, 0, time.Hour, 1000 * time.Hour} {
		for name, got := range map[string]time.Duration{"mean": p.Mean(now.Add(later)), "high": p.High(now.Add(later))} {
			t.Log(name, later, got)
			is.True(got >= 39*ms && got <= 44*ms)
		}
	}
	now = now.Add(1000 * time.Hour)
	for range 10 {
		now = now.Add(80 * ms)
		p.Observe(now, 80*ms)
	}
	is.True(p.Mean(now) >= 78*ms) // gaps before a long pause have no weight
}

// Durations that overflow would make the end of a long response lie in the past.
func TestEnd(t *testing.T) {
	for name, test := range map[string]struct {
		first  time.Duration
		events float64
		pace   time.Duration
		want   time.Duration
	}{
		"usual":           {200 * ms, 100, 40 * ms, 4200 * ms},
		"unknown pace":    {200 * ms, 100, 0, 200 * ms},
		"negative events": {200 * ms, -5, 40 * ms, 200 * ms},
		"fraction":        {0, 1.5, 40 * ms, 60 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(work.End(start, test.first, test.events, test.pace), start.Add(test.want))
		})
	}
	t.Run("overflow", func(t *testing.T) {
		is := is.New(t)
		is.True(work.End(start, time.Hour, 1e30, time.Hour).After(start.Add(1000 * time.Hour)))
	})
}
