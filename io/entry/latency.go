package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
)

const (
	// minLatency and maxLatency bound what is told apart, in microseconds;
	// latencyDigits is the precision in decimal digits. One histogram takes
	// about 30 KB.
	minLatency    = 1
	maxLatency    = int64(time.Hour / time.Microsecond)
	latencyDigits = 2
)

// latencies are the times of answered requests by class.
type latencies struct {
	mu    sync.Mutex
	first map[fleet.Class]*hdrhistogram.Histogram // to the first byte
	whole map[fleet.Class]*hdrhistogram.Histogram // to the end
}

// record notes an answered request.
func (l *latencies) record(c fleet.Class, arrived time.Time, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == nil {
		l.first = make(map[fleet.Class]*hdrhistogram.Histogram)
		l.whole = make(map[fleet.Class]*hdrhistogram.Histogram)
	}
	put(l.first, c, o.FirstByte.Sub(arrived))
	put(l.whole, c, o.Ended.Sub(arrived))
}

func put(m map[fleet.Class]*hdrhistogram.Histogram, c fleet.Class, d time.Duration) {
	h := m[c]
	if h == nil {
		h = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		m[c] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency)) // always in range
}

// Latency describes the times of the answered requests of a class.
type Latency struct {
	Answered int64
	FirstP50 time.Duration
	FirstP95 time.Duration
	FirstP99 time.Duration
	WholeP50 time.Duration
	WholeP95 time.Duration
	WholeP99 time.Duration
	WholeMax time.Duration
}

func (l *latencies) describe() map[string]Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Latency, len(l.whole))
	for c, w := range l.whole {
		f := l.first[c]
		out[c.String()] = Latency{
			Answered: w.TotalCount(),
			FirstP50: quantile(f, 50), FirstP95: quantile(f, 95), FirstP99: quantile(f, 99),
			WholeP50: quantile(w, 50), WholeP95: quantile(w, 95), WholeP99: quantile(w, 99),
			WholeMax: time.Duration(w.Max()) * time.Microsecond,
		}
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
