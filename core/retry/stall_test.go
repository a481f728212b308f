package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/retry"
)

// Guards against ending slow streams that their callers still wait for, and against
// leaving no time to continue a stalled one.
func TestStallDeadline(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		stream retry.Stream
		begun  bool
		after  time.Duration
	}{
		"not resumable":                {retry.Stream{Objective: 300 * ms, MaxPause: 200 * ms}, true, 2 * time.Second},
		"not resumable, long pauses":   {retry.Stream{Objective: 300 * ms, MaxPause: 500 * ms}, true, 4 * time.Second},
		"resumable":                    {retry.Stream{Objective: 300 * ms, MaxPause: 200 * ms, Resumable: true}, true, 1500 * ms},
		"resumable, not begun":         {retry.Stream{Objective: 300 * ms, MaxPause: 200 * ms, Resumable: true}, false, 2 * time.Second},
		"long objective":               {retry.Stream{Objective: 800 * ms, MaxPause: 200 * ms, Resumable: true}, true, 2400 * ms},
		"long objective, not begun":    {retry.Stream{Objective: 800 * ms, MaxPause: 200 * ms, Resumable: true}, false, 3200 * ms},
		"no objectives, not resumable": {retry.Stream{}, false, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.stream.StallDeadline(start, test.begun), start.Add(test.after))
		})
	}
}

// Guards against sending a stream without an event again while its caller may be about to leave.
func TestRestartDeadline(t *testing.T) {
	is := is.New(t)
	s := retry.Stream{Objective: 800 * time.Millisecond, Resumable: true}
	start := time.Unix(1000, 0)
	is.Equal(s.RestartDeadline(start), start.Add(3700*time.Millisecond))
	is.True(s.RestartDeadline(start).After(s.StallDeadline(start, false)))
}
