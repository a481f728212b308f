package entry_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/identity"
	"papayarock/io/link"
)

// benchSetup is an entry, agent and stub target in one process, on loopback sockets,
// with mutual TLS between entry and agent.
type benchSetup struct {
	direct  string // URL of the stub target
	through string // URL of the entry
	client  *http.Client
}

// serveStub responds with a short completion or with a stream of 50 tokens.
func serveStub(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path != "/v1/chat/completions" {
		_, _ = io.WriteString(w, `{"choices":[{"text":"stone"}],"usage":{"prompt_tokens":9,"completion_tokens":1}}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := range 50 {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"token %d\"}]}\n\n", i)
		_ = rc.Flush()
	}
	_, _ = io.WriteString(w, "data: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":50}}\n\ndata: [DONE]\n\n")
}

func newBench(b *testing.B) *benchSetup {
	b.Helper()
	must := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	backend := httptest.NewServer(http.HandlerFunc(serveStub))
	target, err := url.Parse(backend.URL)
	must(err)
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(time.Hour))
	must(err)
	agentID, err := authority.Issue("a1", []identity.Role{identity.Agent}, now, now.Add(time.Hour))
	must(err)
	entryID, err := authority.Issue("e1", []identity.Role{identity.Entry}, now, now.Add(time.Hour))
	must(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent.Agent{Listener: l, Identity: agentID, TargetURL: target}
	done := make(chan error, 1)
	go func() { done <- a.Serve(ctx) }()
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(config.Snapshot{
		Revision: 1,
		Document: config.Document{Routes: routes()},
		Keys:     []config.Key{{ID: "k1", Digest: sha256.Sum256([]byte(secret)), Customer: "klang"}},
		Targets:  []fleet.Target{{Name: "t1", Host: "a1", Agent: netip.MustParseAddrPort(l.Addr().String()), Pool: "app", Phase: fleet.Ready}},
	}))
	links := &link.Pool{Credentials: entryID, Roles: []identity.Role{identity.Agent}}
	front := httptest.NewUnstartedServer(&entry.Entry{Config: &index, Links: links})
	entry.Limits{}.Apply(front.Config)
	front.Start()
	tr := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	b.Cleanup(func() {
		tr.CloseIdleConnections()
		front.Close()
		links.Close()
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
		backend.Close()
	})
	return &benchSetup{direct: backend.URL, through: front.URL, client: &http.Client{Transport: tr}}
}

const prompt = `{"model":"grade","prompt":"stone 7 is loose at the waterline","max_tokens":50}`

// call sends one request and reads the response.
func (setup *benchSetup) call(base, path string) error {
	req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(prompt))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := setup.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// benchPaths maps kinds of response to the paths that request them.
var benchPaths = map[string]string{"short": "/v1/completions", "streamed": "/v1/chat/completions"}

// resourceUsage is the cumulative resource usage of the process.
type resourceUsage struct {
	wall   time.Time
	cpu    time.Duration
	bytes  uint64
	allocs uint64
}

func measureUsage() resourceUsage {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{time.Now(), time.Duration(r.Utime.Nano() + r.Stime.Nano()), m.TotalAlloc, m.Mallocs}
}

// BenchmarkLatency compares single requests through entry and agent with single
// requests sent directly to the stub target, alternately.
func BenchmarkLatency(b *testing.B) {
	for name, path := range benchPaths {
		b.Run(name, func(b *testing.B) {
			setup := newBench(b)
			bases := []string{setup.direct, setup.through}
			histograms := []*hdrhistogram.Histogram{}
			for range bases {
				histograms = append(histograms, hdrhistogram.New(1, int64(time.Minute), 3))
			}
			for b.Loop() {
				for i, base := range bases {
					start := time.Now()
					if err := setup.call(base, path); err != nil {
						b.Fatal(err)
					}
					_ = histograms[i].RecordValue(int64(time.Since(start)))
				}
			}
			for name, q := range map[string]float64{"p50": 50, "p99": 99} {
				direct, through := histograms[0].ValueAtQuantile(q), histograms[1].ValueAtQuantile(q)
				b.ReportMetric(float64(through-direct)/1e3, "added-"+name+"-µs")
				b.ReportMetric(float64(through)/float64(direct), "ratio-"+name)
			}
		})
	}
}

// BenchmarkThroughput compares concurrent requests through entry and agent with
// concurrent requests sent directly to the stub target. HTTP client, entry, agent and
// stub target share the machine. The "added" metrics are differences between the two
// and thus exclude HTTP client and stub target.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	for name, path := range benchPaths {
		b.Run(name, func(b *testing.B) {
			setup := newBench(b)
			var spent [2]resourceUsage
			for i, base := range []string{setup.direct, setup.through} {
				b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
				before := measureUsage()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := setup.call(base, path); err != nil {
							b.Error(err)
							return
						}
					}
				})
				after := measureUsage()
				spent[i] = resourceUsage{cpu: after.cpu - before.cpu, bytes: after.bytes - before.bytes, allocs: after.allocs - before.allocs}
				if i == 1 {
					b.ReportMetric(float64(b.N)/after.wall.Sub(before.wall).Seconds(), "req/s")
				}
			}
			n := float64(b.N)
			added := (spent[1].cpu - spent[0].cpu).Seconds() / n
			b.ReportMetric(1/added, "req/s/added-core")
			b.ReportMetric(float64(spent[1].cpu)/float64(spent[0].cpu), "ratio-cpu")
			b.ReportMetric(float64(spent[1].bytes-spent[0].bytes)/n, "added-B/req")
			b.ReportMetric(float64(spent[1].allocs-spent[0].allocs)/n, "added-allocs/req")
		})
	}
}
