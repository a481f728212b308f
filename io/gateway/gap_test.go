package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a caller that reads slowly for a slow target.
func TestGapsOfSlowCaller(t *testing.T) {
	const ms = time.Millisecond
	last := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		meter gapMeter
		after time.Duration // since the last event
		want  time.Duration
	}{
		"first event":                {gapMeter{}, 80 * ms, 0},
		"forwarded at once":          {gapMeter{last: last, forwarded: last.Add(ms)}, 80 * ms, 80 * ms},
		"caller is slow":             {gapMeter{last: last, forwarded: last.Add(500 * ms)}, 502 * ms, 0},
		"caller and target are slow": {gapMeter{last: last, forwarded: last.Add(50 * ms)}, 80 * ms, 0},
		"a quarter of the gap":       {gapMeter{last: last, forwarded: last.Add(20 * ms)}, 80 * ms, 80 * ms},
		"at the same time":           {gapMeter{last: last, forwarded: last}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.meter.gap(last.Add(test.after)), test.want)
		})
	}
}
