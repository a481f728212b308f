package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
)

const (
	// minLatency and maxLatency are the range of the histograms in microseconds;
	// latencyDigits is the number of significant decimal digits. One histogram
	// takes about 30 KB.
	minLatency    = 1
	maxLatency    = int64(time.Hour / time.Microsecond)
	latencyDigits = 2
)

// latencies holds latency histograms of answered requests by class.
type latencies struct {
	mu        sync.Mutex
	firstByte map[fleet.Class]*hdrhistogram.Histogram // time to the first byte
	total     map[fleet.Class]*hdrhistogram.Histogram // time to the end of the response
}

// record adds the latencies of an answered request.
func (l *latencies) record(c fleet.Class, arrived time.Time, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstByte == nil {
		l.firstByte = make(map[fleet.Class]*hdrhistogram.Histogram)
		l.total = make(map[fleet.Class]*hdrhistogram.Histogram)
	}
	recordLatency(l.firstByte, c, o.FirstByte.Sub(arrived))
	recordLatency(l.total, c, o.Ended.Sub(arrived))
}

func recordLatency(m map[fleet.Class]*hdrhistogram.Histogram, c fleet.Class, d time.Duration) {
	h := m[c]
	if h == nil {
		h = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		m[c] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency)) // the value is clamped to the range
}

// Latency summarises the latencies of the answered requests of a class. First is
// the time to the first byte, Whole the time to the end of the response.
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

func (l *latencies) summaries() map[string]Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Latency, len(l.total))
	for c, w := range l.total {
		f := l.firstByte[c]
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
