package slopes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples is a histogram of durations. The zero value is empty.
type samples struct{ h *hdrhistogram.Histogram }

func (s *samples) add(d time.Duration) {
	if s.h == nil {
		s.h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = s.h.RecordValue(max(d.Microseconds(), 1)) // fails above 1 min, after which the measurement has timed out anyway
}

func (s *samples) merge(o samples) {
	if o.h == nil {
		return
	}
	if s.h == nil {
		s.h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	s.h.Merge(o.h)
}

// millis returns a quantile, given in percent, in ms; 0 if there are no samples.
func (s *samples) millis(quantile float64) float64 {
	if s.h == nil {
		return 0
	}
	return float64(s.h.ValueAtQuantile(quantile)) / 1000
}
