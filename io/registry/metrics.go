package registry

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the metrics of the replica with m.
func (r *Registry) RegisterMetrics(m prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		m.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "papayarock_registry_" + name, Help: help}, read))
	}
	gauge("leading", "1 while this replica holds the lease.", func() float64 {
		if _, _, held := r.member.Lease(); held {
			return 1
		}
		return 0
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
}
