package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
)

const (
	// minLatency and maxLatency are the range of the histograms in microseconds;
	// latencyDigits is the number of significant decimal digits. With these values,
	// one histogram takes about 30 KB.
	minLatency    = 1
	maxLatency    = int64(time.Hour / time.Microsecond)
	latencyDigits = 2
)

// latencies holds latency histograms of completed requests by class.
type latencies struct {
	mu        sync.Mutex
	firstByte map[fleet.Class]*hdrhistogram.Histogram // time to the first byte
	total     map[fleet.Class]*hdrhistogram.Histogram // time to the end of the response
}

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
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency)) // cannot fail, since the value is clamped to the range
}

// Latency summarises the latencies of the completed requests of one class since the
// start of the entry. First is the time to the first byte of the response, Whole the
// time to its end.
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
	summaries := make(map[string]Latency, len(l.total))
	for c, total := range l.total {
		firstByte := l.firstByte[c]
		summaries[c.String()] = Latency{
			Answered: total.TotalCount(),
			FirstP50: quantile(firstByte, 50), FirstP95: quantile(firstByte, 95), FirstP99: quantile(firstByte, 99),
			WholeP50: quantile(total, 50), WholeP95: quantile(total, 95), WholeP99: quantile(total, 99),
			WholeMax: time.Duration(total.Max()) * time.Microsecond,
		}
	}
	return summaries
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
