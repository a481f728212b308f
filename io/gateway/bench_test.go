package gateway_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/io/logsink"
)

// BenchmarkLogging compares the CPU time of a request with and without logging, for
// served requests, which are sampled, and for requests without a route, all of which
// are logged. The figure includes the CPU time of the caller and the target.
//
//	go test -run xxx -bench Logging ./io/gateway
func BenchmarkLogging(b *testing.B) {
	for name, test := range map[string]struct {
		path string
		log  bool
	}{
		"served/off":   {"/r/1", false},
		"served/on":    {"/r/1", true},
		"no-route/off": {"/none/1", false},
		"no-route/on":  {"/none/1", true},
	} {
		b.Run(name, func(b *testing.B) {
			log := hclog.NewNullLogger()
			if test.log {
				sink := logsink.New(io.Discard)
				defer sink.Close(time.Second)
				log = hclog.New(&hclog.LoggerOptions{Name: "papayarock", Output: sink})
			}
			x := newFixtureWithLogger(b, log)
			x.catalog(1, route(nil))
			x.target("first", fleet.Mixed, serves("one"))
			before := cpuTime(b)
			for b.Loop() {
				x.send(func(q *http.Request) { q.URL.Path = test.path })
			}
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
