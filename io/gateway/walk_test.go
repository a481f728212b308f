package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
)

// logBuffer collects log output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// linesFor returns the log lines with the given request id.
func (l *logBuffer) linesFor(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		if strings.Contains(line, "id="+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "")
}

func newFixtureWithLog(t *testing.T) (*fixture, *logBuffer, func() string) {
	l := &logBuffer{}
	x := newFixtureWithLogger(t, hclog.New(&hclog.LoggerOptions{Output: l}))
	r := prometheus.NewRegistry()
	x.gateway.RegisterMetrics(r)
	scrape := func() string {
		w := httptest.NewRecorder()
		promhttp.HandlerFor(r, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	return x, l, scrape
}

// Guards against a log that does not show why a request was rejected under overload.
func TestLogShowsOverloadRejection(t *testing.T) {
	is := is.New(t)
	x, l, scrape := newFixtureWithLog(t)
	x.catalog(1, route(func(r *catalog.Route) { r.Objective = 50 * time.Millisecond }))
	hold := make(chan struct{})
	x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		serves("one")(w, r)
	})
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { x.send(func(q *http.Request) { q.Header.Set("Id", "busy") }) })
	}
	for len(x.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	a := x.send(func(q *http.Request) { q.Header.Set("Id", "id-overload") })
	close(hold)
	wg.Wait()
	is.Equal(a.status, 503)
	got := l.linesFor("id-overload")
	for _, want := range []string{"request ended", "reason=queue-full", "status=503", "waited=", "retry-after=", "attempts=0", "ahead=", "customers=1 ", "share=1"} {
		is.True(strings.Contains(got, want)) // want
	}
	is.True(strings.Contains(scrape(), `papayarock_gateway_requests_total{reason="queue-full",status="503"}`))
}

// Guards against a log that does not show the target and the cause of a truncated
// response.
func TestLogShowsTruncatedResponse(t *testing.T) {
	is := is.New(t)
	x, l, scrape := newFixtureWithLog(t)
	x.catalog(1, route(stream))
	x.target("dies", fleet.Mixed, streams(5, 2))
	a := x.send(func(q *http.Request) { q.Header.Set("Id", "id-truncated") })
	is.True(a.err != nil)
	got := l.linesFor("id-truncated")
	for _, want := range []string{"answer broke off", "target=dies", "after=2", "error=", "request ended", "reason=answer-cut", "no-retry=may-have-run"} {
		is.True(strings.Contains(got, want)) // want
	}
	is.True(strings.Contains(scrape(), `papayarock_gateway_requests_total{reason="answer-cut",status="200"} 1`))
}

// Guards against a log that does not show that a request failed because of a stale
// target record, while the gateway was disconnected from the registry.
func TestLogShowsStaleTarget(t *testing.T) {
	is := is.New(t)
	x, l, scrape := newFixtureWithLog(t)
	x.catalog(7, route(nil))
	gone := httptest.NewServer(nil)
	at := netip.MustParseAddrPort(gone.Listener.Addr().String())
	gone.Close()
	x.gateway.UpdateTargets([]roster.Record{{Heard: time.Now().Add(-9 * time.Second), Announcement: roster.Announcement{
		Target: "gone", Started: time.UnixMilli(1), Pool: "pool", Address: at, DataCentre: "kt", Slots: 8,
	}}}, 1)
	a := x.send(func(q *http.Request) { q.Header.Set("Id", "id-stale") })
	is.Equal(a.status, 503)
	got := l.linesFor("id-stale")
	for _, want := range []string{"attempt failed", "target=gone", "outcome=unreachable", "announced=9", "replicas=0", "catalog=7"} {
		is.True(strings.Contains(got, want)) // want
	}
	is.True(strings.Contains(scrape(), "papayarock_gateway_catalog_version 7"))
}

// Guards against a reason for the end of a request, in this package or core/place, that
// docs/OPERATIONS.md does not explain.
func TestReasonsAreExplained(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	constant := regexp.MustCompile(`(?m)^\s+(?:reason\w+|NoTarget|Full)\s+(?:Reason )?= "([a-z-]+)"`)
	n := 0
	for _, file := range []string{"serve.go", "../../core/place/place.go"} {
		f, err := os.Open(file)
		is.NoErr(err)
		text, err := io.ReadAll(f)
		is.NoErr(err)
		is.NoErr(f.Close())
		for _, m := range constant.FindAllStringSubmatch(string(text), -1) {
			n++
			if !strings.Contains(string(page), "| `"+m[1]+"` |") {
				t.Errorf("docs/OPERATIONS.md does not explain the reason %q", m[1])
			}
		}
	}
	is.True(n >= 13)
}
