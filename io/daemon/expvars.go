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

// expvars holds the expvar variables of one process, which the status address serves.
// They are not published globally, since one program may run several processes.
type expvars struct{ vars *expvar.Map }

func newExpvars() expvars {
	v := expvars{new(expvar.Map).Init()}
	v.addVar("process-goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	v.addVar("process-heap-bytes", func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	})
	return v
}

// addVar adds a variable whose value is read on each request.
func (v expvars) addVar(name string, read func() float64) {
	v.vars.Set(name, expvar.Func(func() any { return read() }))
}

// ServeHTTP writes all variables as a JSON object.
func (v expvars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, v.vars.String())
}

// addDumpVars adds variables whose values are read from the state that dump returns.
// They are 0 if that state is not of type D.
func addDumpVars[D any](v expvars, dump func() any, fields map[string]func(d D) float64) {
	for name, read := range fields {
		v.addVar(name, func() float64 {
			d, ok := dump().(D)
			if !ok {
				return 0
			}
			return read(d)
		})
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (v expvars) addEntry(e *entry.Entry, p *serving.Policy) {
	addDumpVars(v, e.Dump, map[string]func(d entry.Dump) float64{
		"entry-ready":               func(d entry.Dump) float64 { return boolToFloat(d.Ready) },
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
		v.addLatency(e, class.String())
	}
	addDumpVars(v, p.Dump, map[string]func(d serving.Dump) float64{
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

// addLatency adds the latency quantiles, in seconds, of requests of one priority class.
func (v expvars) addLatency(e *entry.Entry, class string) {
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
	addDumpVars(v, e.Dump, all)
}

func (v expvars) addAgent(a *agent.Agent) {
	addDumpVars(v, a.Dump, map[string]func(d agent.Dump) float64{
		"agent-running-requests": func(d agent.Dump) float64 { return float64(d.Running) },
		"agent-retained-answers": func(d agent.Dump) float64 { return float64(d.Retained) },
		"agent-retained-bytes":   func(d agent.Dump) float64 { return float64(d.RetainedBytes) },
		"agent-usage-waiting":    func(d agent.Dump) float64 { return float64(d.UsageWaiting) },
		"agent-usage-total":      func(d agent.Dump) float64 { return float64(d.UsageSequence) },
	})
}

func (v expvars) addSubscription(c *subscribe.Client) {
	addDumpVars(v, c.Dump, map[string]func(d subscribe.Dump) float64{
		"subscription-polls-total":        func(d subscribe.Dump) float64 { return float64(d.Polls) },
		"subscription-polls-failed-total": func(d subscribe.Dump) float64 { return float64(d.Failed) },
		"subscription-revision":           func(d subscribe.Dump) float64 { return float64(d.Revision) },
	})
}

func (v expvars) addControl(c *controller.Controller) {
	v.addVar("control-leading", func() float64 { return boolToFloat(c.Status().Leading) })
	v.addVar("control-term", func() float64 { return float64(c.Status().Term) })
	v.addVar("control-revision", func() float64 { return float64(c.Status().Revision) })
	v.addVar("control-current", func() float64 { return boolToFloat(c.Status().Current) })
	v.addVar("control-nodes", func() float64 { return float64(c.Status().Nodes) })
}
