package slopes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples collects durations. The zero value is empty.
type samples struct{ h *hdrhistogram.Histogram }

func (s *samples) add(d time.Duration) {
	if s.h == nil {
		s.h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = s.h.RecordValue(max(d.Microseconds(), 1)) // above a minute the measurement has failed before
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

func (s *samples) millis(quantile float64) float64 {
	if s.h == nil {
		return 0
	}
	return float64(s.h.ValueAtQuantile(quantile)) / 1000
}
