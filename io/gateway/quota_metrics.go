package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// quotaCollector collects the use of the limits of customers. The number of label values is
// that of the customers with a limit in the catalog.
type quotaCollector struct {
	quotas  *quotas
	asked   *prometheus.Desc
	charged *prometheus.Desc
	share   *prometheus.Desc
	level   *prometheus.Desc
	waiting *prometheus.Desc
}

func newQuotaCollector(q *quotas) *quotaCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("papayarock_gateway_quota_"+name, help, []string{"customer"}, nil)
	}
	return &quotaCollector{
		quotas:  q,
		asked:   describe("asked_total", "Tokens or requests for which callers have asked, admitted or not."),
		charged: describe("charged", "Tokens or requests charged to the limit of the customer, without credits."),
		share:   describe("share", "Share of the customer's limit that is leased to this gateway."),
		level:   describe("level", "Tokens or requests that can be charged now."),
		waiting: describe("waiting_requests", "Requests that wait for their charge."),
	}
}

// Describe sends the descriptions of the metrics.
func (c *quotaCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.asked, c.charged, c.share, c.level, c.waiting} {
		out <- d
	}
}

// Collect sends the metrics of all customers with a limit.
func (c *quotaCollector) Collect(out chan<- prometheus.Metric) {
	c.quotas.mu.Lock()
	list := c.quotas.limiter.Usage(time.Now())
	c.quotas.mu.Unlock()
	for _, u := range list {
		send := func(d *prometheus.Desc, kind prometheus.ValueType, v float64) {
			out <- prometheus.MustNewConstMetric(d, kind, v, string(u.Customer))
		}
		send(c.asked, prometheus.CounterValue, u.Asked)
		send(c.charged, prometheus.GaugeValue, u.Charged) // credits lower it
		send(c.share, prometheus.GaugeValue, u.Share)
		send(c.level, prometheus.GaugeValue, u.Level)
		send(c.waiting, prometheus.GaugeValue, float64(u.Waiting))
	}
}
