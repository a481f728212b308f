package registry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers the metrics of the replica with m.
func (r *Registry) RegisterMetrics(m prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		m.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "papayarock_registry_" + name, Help: help}, read))
	}
	gauge("leading", "1 while this replica holds the lease.", func() float64 {
		if r.Leads() {
			return 1
		}
		return 0
	})
	gauge("voters", "Voters of the replicated log, as known to this replica.", func() float64 {
		voters, _ := countMembers(r.Members())
		return float64(voters)
	})
	gauge("learners", "Learners of the replicated log, as known to this replica.", func() float64 {
		_, learners := countMembers(r.Members())
		return float64(learners)
	})
	gauge("term", "Term of the replicated log.", func() float64 {
		term, _, _ := r.member.Lease()
		return float64(term)
	})
	gauge("catalog_version", "Version of the newest catalog that was applied.", func() float64 {
		version, _, _ := r.machine.catalog()
		return float64(version)
	})
	gauge("gateways", "Gateways that follow this replica.", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.openFeeds))
	})
	gauge("unsent_usage_windows", "Fixed usage windows that are not known to have arrived.", func() float64 {
		list, _ := r.machine.unsent()
		return float64(len(list))
	})
	m.MustRegister(&quotaCollector{&r.quota})
}

// quotaCollector collects the assignment of the limits of customers. The number of label
// values is that of the customers with a limit in the catalog.
type quotaCollector struct{ quota *quotaLeader }

var (
	quotaInUse   = describeQuota("in_use", "Part of the customer's limit that gateways may use by leases.")
	quotaDemand  = describeQuota("demand", "Tokens or requests per second that callers ask for at all gateways.")
	quotaLevel   = describeQuota("level", "Tokens or requests that can be granted to gateways.")
	quotaHolders = describeQuota("holders", "Gateways with a share of the customer's limit.")
)

func describeQuota(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("papayarock_registry_quota_"+name, help, []string{"customer"}, nil)
}

// Describe sends the descriptions of the metrics.
func (c *quotaCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{quotaInUse, quotaDemand, quotaLevel, quotaHolders} {
		out <- d
	}
}

// Collect sends the metrics of all customers with a limit. They are those of the time when
// this replica last led.
func (c *quotaCollector) Collect(out chan<- prometheus.Metric) {
	for _, a := range c.quota.assignments(time.Now()) {
		send := func(d *prometheus.Desc, v float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, string(a.Customer))
		}
		send(quotaInUse, a.InUse)
		send(quotaDemand, a.Demand)
		send(quotaLevel, a.Level)
		send(quotaHolders, float64(a.Holders))
	}
}
