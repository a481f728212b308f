package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// maxRankLabel is the highest value of the rank label; higher ranks are counted
// under it.
const maxRankLabel = 9

// metrics holds the Prometheus counters and histograms of a gateway. Label values
// come from fixed sets, which bounds cardinality.
type metrics struct {
	requests    *prometheus.CounterVec   // finished requests, by reason and status
	retries     prometheus.Counter       // attempts after the first of each request
	duration    *prometheus.HistogramVec // seconds from arrival to the end of the request, by rank
	queueTime   *prometheus.HistogramVec // seconds spent queued, by rank
	prefillTime prometheus.Histogram     // seconds taken by prefill engines
	quotaWait   prometheus.Histogram     // seconds spent waiting for the charge to a customer's limit
	// quotaCredits counts requests that ended without having run after their charge, by
	// whether it was credited.
	quotaCredits *prometheus.CounterVec
}

func newMetrics() *metrics {
	seconds := prometheus.ExponentialBuckets(0.002, 2, 14) // 2 ms to 16 s
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayarock_gateway_requests_total", Help: "Requests of callers that have ended, by reason and status.",
		}, []string{"reason", "status"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "papayarock_gateway_retries_total", Help: "Requests that were sent again.",
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayarock_gateway_answer_seconds", Help: "Time from the arrival of a request to its end, by rank.", Buckets: seconds,
		}, []string{"rank"}),
		queueTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "papayarock_gateway_wait_seconds", Help: "Time for which a request waited for a place, by rank.", Buckets: seconds,
		}, []string{"rank"}),
		prefillTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayarock_gateway_prefill_seconds", Help: "Time that a prefill engine took to read a prompt.", Buckets: seconds,
		}),
		quotaWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "papayarock_gateway_quota_wait_seconds", Help: "Time for which a request waited for its charge to the limit of the customer.", Buckets: seconds,
		}),
		quotaCredits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "papayarock_gateway_quota_credits_total", Help: "Charged requests that ended without having run, by whether the charge was credited or too old.",
		}, []string{"outcome"}),
	}
}

// observeRequest records a finished request. prefillTime is zero if no prefill engine
// processed the prompt.
func (m *metrics) observeRequest(reason string, status int, rank int, took, queueTime, prefillTime time.Duration) {
	m.requests.WithLabelValues(reason, strconv.Itoa(status)).Inc()
	label := strconv.Itoa(min(max(rank, 0), maxRankLabel))
	m.duration.WithLabelValues(label).Observe(took.Seconds())
	m.queueTime.WithLabelValues(label).Observe(queueTime.Seconds())
	if prefillTime > 0 {
		m.prefillTime.Observe(prefillTime.Seconds())
	}
}

// RegisterMetrics registers the metrics of the gateway with r.
func (g *Gateway) RegisterMetrics(r prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "papayarock_gateway_" + name, Help: help}, read))
	}
	r.MustRegister(g.metrics.requests, g.metrics.retries, g.metrics.duration, g.metrics.queueTime, g.metrics.prefillTime, g.metrics.quotaWait, g.metrics.quotaCredits, newQuotaCollector(g.quotas))
	gauge("running_requests", "Requests of callers that run now.", func() float64 { return float64(g.running.Load()) })
	gauge("response_bytes", "Bytes of responses that are held.", func() float64 { return float64(g.responses.held.Load()) })
	gauge("body_bytes", "Bytes of request bodies that are held.", func() float64 { return float64(g.bodies.held.Load()) })
	gauge("catalog_version", "Version of the catalog in force.", func() float64 { return float64(g.CatalogVersion()) })
	gauge("idle_connections", "Idle connections to targets.", func() float64 { return float64(g.options.Upstream.Idle()) })
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "papayarock_gateway_connections_total", Help: "Connections opened to targets.",
	}, func() float64 { return float64(g.options.Upstream.Dials.Load()) }))
	gauge("quarantined_segments", "Prompt segments that crash targets and are rejected.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.observer.Quarantined())
	})
	gauge("competing_customers", "Customers that have had requests of the same pool and rank lately, at most.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.Competing())
	})
	gauge("pools_by_work", "Pools whose requests are placed by pace and expected length.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.PoolsByWork())
	})
	gauge("waiting_requests", "Requests that wait for a place.", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.placer.Waiting())
	})
}
