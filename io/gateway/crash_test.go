package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/io/feed"
	"papayarock/io/gateway"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/upstream"
)

// crashingTarget is a target that crashes when it begins to respond to a prompt with the
// segment "deadly". It comes back after a moment, as a new run at the same address.
type crashingTarget struct {
	name     string
	announce func(roster.Announcement)
	server   *httptest.Server
	header   bool // the response header is sent before the crash

	mu      sync.Mutex
	started time.Time
	crashes int
}

const crashPause = 100 * time.Millisecond

func newCrashingTarget(t *testing.T, name string, header bool, announce func(roster.Announcement)) *crashingTarget {
	c := &crashingTarget{name: name, announce: announce, header: header, started: time.UnixMilli(1000)}
	c.server = httptest.NewServer(c)
	t.Cleanup(c.server.Close)
	c.announceRun()
	return c
}

func (c *crashingTarget) announceRun() {
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	c.announce(roster.Announcement{
		Target: fleet.TargetName(c.name), Started: started, Sequence: 1, Pool: "pool",
		Address: c.server.Listener.Addr().(*net.TCPAddr).AddrPort(), DataCentre: "kt", Slots: 8,
	})
}

func (c *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	down := time.Since(c.started) < crashPause
	c.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Mark", "m")
	deadly := strings.Contains(r.Header.Get("Segments"), "deadly")
	if deadly && c.header {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if deadly {
		c.mu.Lock()
		c.started = time.Now().Truncate(time.Millisecond)
		c.crashes++
		c.mu.Unlock()
		time.AfterFunc(crashPause, c.announceRun)
		go c.server.CloseClientConnections()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(10 * time.Millisecond) // so that a crash affects other requests
	_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
}

// gatewayGroup is a set of gateways that are connected by a registry replica.
type gatewayGroup struct {
	t        *testing.T
	registry *registry.Registry
	fronts   []*httptest.Server
	sent     int
}

func newGatewayGroup(t *testing.T, n int) *gatewayGroup {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := l.Addr().(*net.TCPAddr).AddrPort()
	links := &link.Pool{}
	r, err := registry.New(registry.Options{
		Self: self, HostName: "registry", Seeds: []netip.AddrPort{self}, CreateLog: true, Voters: 1, DataDir: t.TempDir(),
		Links: links, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &link.Server{Listener: l, StopTimeout: 10 * time.Millisecond}
	r.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = r.Serve(ctx) })
	serving.Go(func() { _ = s.Serve(ctx) })
	t.Cleanup(func() { cancel(); links.Close(); serving.Wait() })
	g := &gatewayGroup{t: t, registry: r}
	for i := range n {
		x := gateway.New(gateway.Options{
			DataCentre: "kt", Regions: map[fleet.DataCentre]fleet.Region{"kt": "east"}, HeaderCodec: testCodec{}, DecodeCatalog: decode,
			Upstream: &upstream.Pool{}, Log: hclog.NewNullLogger(), Now: time.Now, RetryRatio: 0.2, RetryBurst: 50,
		})
		f := feed.New(feed.Options{
			Host: fmt.Sprintf("gateway-%d", i), DataCentre: "kt", Run: uint64(i), Seeds: []netip.AddrPort{self}, Log: hclog.NewNullLogger(),
			NewLinkPool: func() *link.Pool { return &link.Pool{} }, CatalogVersion: x.CatalogVersion, OnCatalog: x.UpdateCatalog,
			OnTargets: x.UpdateTargets, UsageCounts: x.UsageCounts, Loads: x.Loads, Engines: x,
		})
		serving.Go(func() { _ = f.Serve(ctx) })
		front := httptest.NewServer(x)
		t.Cleanup(front.Close)
		g.fronts = append(g.fronts, front)
		fixture := &fixture{t: t, gateway: x}
		fixture.catalog(1, route(func(r *catalog.Route) { r.Kind, r.Resumable, r.Affinity = catalog.Stream, true, true }))
	}
	return g
}

// send sends a request with the given prompt segments to one of the gateways in turn. It
// returns the status, or 0 if there was no complete response.
func (g *gatewayGroup) send(segments string) int {
	g.t.Helper()
	g.sent++
	q, err := http.NewRequestWithContext(g.t.Context(), http.MethodPost, g.fronts[g.sent%len(g.fronts)].URL+"/r/1", nil)
	if err != nil {
		g.t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set("Key", "secret")
	q.Header.Set("Id", fmt.Sprintf("id-%d", g.sent))
	q.Header.Set("Segments", fmt.Sprintf("%s own-%d", segments, g.sent))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// Guards against prompts with one segment that crash target after target, since each
// gateway takes every crash for a fault of the target, and against rejecting the sound
// prompts that share the other segments or were at the targets that crashed.
func TestSegmentThatCrashesTargets(t *testing.T) {
	const (
		// maxCrashes is the limit of the platform: three after the fifth. While the gateways
		// learn of these, which takes seconds, prompts arrive at a rate of about four a second.
		maxCrashes   = 5 + 3 + 16
		promptPeriod = 250 * time.Millisecond
	)
	for name, header := range map[string]bool{"header sent before the crash": true, "no header sent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newGatewayGroup(t, 3)
			var targets []*crashingTarget
			for i := range 4 {
				targets = append(targets, newCrashingTarget(t, fmt.Sprintf("target-%d", i), header, func(a roster.Announcement) { g.registry.Announce(a) }))
			}
			crashes := func() (n int) {
				for _, c := range targets {
					c.mu.Lock()
					n += c.crashes
					c.mu.Unlock()
				}
				return n
			}
			for g.send("shared common") != http.StatusOK {
				time.Sleep(10 * time.Millisecond) // until the gateways know the targets
			}
			status := 0
			for crashes() <= maxCrashes && status != http.StatusServiceUnavailable {
				for i := range 20 {
					g.send(fmt.Sprintf("shared subject-%d", i%5))
				}
				before := crashes()
				if status = g.send("shared deadly"); crashes() > before {
					status = 0 // a 503 of a gateway that found no target does not count
				}
				time.Sleep(promptPeriod)
			}
			is.True(crashes() <= maxCrashes) // targets crashed by the segment
			time.Sleep(2 * promptPeriod)     // the other gateways learn of the quarantine
			before, served := crashes(), 0
			for i := range 20 {
				is.Equal(g.send("shared deadly"), http.StatusServiceUnavailable)
				if g.send(fmt.Sprintf("shared subject-%d", i%5)) == http.StatusOK {
					served++
				}
			}
			is.Equal(crashes(), before) // requests with the segment reached targets
			is.Equal(served, 20)        // sound requests were rejected
		})
	}
}
