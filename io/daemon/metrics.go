package daemon

import (
	"expvar"
	"io"
	"net/http"
	"runtime"
	"time"

	"papayarock/core/fleet"
	"papayarock/io/agent"
	"papayarock/io/controller"
	"papayarock/io/entry"
	"papayarock/io/serving"
	"papayarock/io/subscribe"
)

// metrics are the expvar variables of one process. They are not published
// globally, since several processes may run in one program.
type metrics struct{ vars *expvar.Map }

func newMetrics() metrics {
	m := metrics{new(expvar.Map).Init()}
	m.number("process-goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	m.number("process-heap-bytes", func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	})
	return m
}

// number adds a variable that is read when it is asked for.
func (m metrics) number(name string, read func() float64) {
	m.vars.Set(name, expvar.Func(func() any { return read() }))
}

// ServeHTTP writes all variables as one JSON object.
func (m metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, m.vars.String())
}

// dumped adds variables that are read from a part's dump.
func dumped[D any](m metrics, dump func() any, fields map[string]func(d D) float64) {
	for name, read := range fields {
		m.number(name, func() float64 {
			d, ok := dump().(D)
			if !ok {
				return 0
			}
			return read(d)
		})
	}
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m metrics) entry(e *entry.Entry, p *serving.Policy) {
	dumped(m, e.Dump, map[string]func(d entry.Dump) float64{
		"entry-ready":               func(d entry.Dump) float64 { return flag(d.Ready) },
		"entry-running-requests":    func(d entry.Dump) float64 { return float64(d.Running) },
		"entry-body-bytes":          func(d entry.Dump) float64 { return float64(d.BodyBytes) },
		"entry-served-total":        func(d entry.Dump) float64 { return float64(d.Served) },
		"entry-refused-total":       func(d entry.Dump) float64 { return float64(d.Refused) },
		"entry-aborted-total":       func(d entry.Dump) float64 { return float64(d.Aborted) },
		"entry-resumed-total":       func(d entry.Dump) float64 { return float64(d.Resumed) },
		"entry-retried-total":       func(d entry.Dump) float64 { return float64(d.Retried) },
		"entry-stray-frames-total":  func(d entry.Dump) float64 { return float64(d.StrayFrames) },
		"entry-usage-waiting":       func(d entry.Dump) float64 { return float64(d.UsageWaiting) },
		"entry-usage-dropped-total": func(d entry.Dump) float64 { return float64(d.UsageDropped) },
		"entry-revision":            func(d entry.Dump) float64 { return float64(d.Revision) },
	})
	for _, class := range []fleet.Class{fleet.Urgent, fleet.Patient} {
		m.latency(e, class.String())
	}
	dumped(m, p.Dump, map[string]func(d serving.Dump) float64{
		"serving-first-attempts-total": func(d serving.Dump) float64 { return float64(d.Firsts) },
		"serving-retries-total":        func(d serving.Dump) float64 { return float64(d.Retries) },
		"serving-waiting-requests": func(d serving.Dump) float64 {
			n := 0
			for _, w := range d.Waiting {
				n += w
			}
			return float64(n)
		},
		"serving-kv-moves-total":      func(d serving.Dump) float64 { return float64(d.Moves) },
		"serving-cache-resyncs-total": func(d serving.Dump) float64 { return float64(d.Resyncs) },
		"serving-cross-region-bytes-total": func(d serving.Dump) float64 {
			n := uint64(0)
			for _, b := range d.Crossed {
				n += b
			}
			return float64(n)
		},
	})
}

// latency adds the latencies of one class, in seconds.
func (m metrics) latency(e *entry.Entry, class string) {
	fields := map[string]func(l entry.Latency) time.Duration{
		"first-byte-p50": func(l entry.Latency) time.Duration { return l.FirstP50 },
		"first-byte-p95": func(l entry.Latency) time.Duration { return l.FirstP95 },
		"first-byte-p99": func(l entry.Latency) time.Duration { return l.FirstP99 },
		"answer-p50":     func(l entry.Latency) time.Duration { return l.WholeP50 },
		"answer-p95":     func(l entry.Latency) time.Duration { return l.WholeP95 },
		"answer-p99":     func(l entry.Latency) time.Duration { return l.WholeP99 },
		"answer-max":     func(l entry.Latency) time.Duration { return l.WholeMax },
	}
	all := make(map[string]func(d entry.Dump) float64, len(fields))
	for name, read := range fields {
		all["entry-"+class+"-"+name+"-seconds"] = func(d entry.Dump) float64 { return read(d.Latencies[class]).Seconds() }
	}
	dumped(m, e.Dump, all)
}

func (m metrics) agent(a *agent.Agent) {
	dumped(m, a.Dump, map[string]func(d agent.Dump) float64{
		"agent-running-requests": func(d agent.Dump) float64 { return float64(d.Running) },
		"agent-retained-answers": func(d agent.Dump) float64 { return float64(d.Retained) },
		"agent-retained-bytes":   func(d agent.Dump) float64 { return float64(d.RetainedBytes) },
		"agent-usage-waiting":    func(d agent.Dump) float64 { return float64(d.UsageWaiting) },
		"agent-usage-total":      func(d agent.Dump) float64 { return float64(d.UsageSequence) },
	})
}

func (m metrics) subscription(c *subscribe.Client) {
	dumped(m, c.Dump, map[string]func(d subscribe.Dump) float64{
		"subscription-polls-total":        func(d subscribe.Dump) float64 { return float64(d.Polls) },
		"subscription-polls-failed-total": func(d subscribe.Dump) float64 { return float64(d.Failed) },
		"subscription-revision":           func(d subscribe.Dump) float64 { return float64(d.Revision) },
	})
}

func (m metrics) control(c *controller.Controller) {
	m.number("control-leading", func() float64 { return flag(c.Status().Leading) })
	m.number("control-term", func() float64 { return float64(c.Status().Term) })
	m.number("control-revision", func() float64 { return float64(c.Status().Revision) })
	m.number("control-current", func() float64 { return flag(c.Status().Current) })
	m.number("control-nodes", func() float64 { return float64(c.Status().Nodes) })
}
