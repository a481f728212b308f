package entry_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/link"
)

// A request must reach the target through entry, link and agent over TCP, run once
// and name the customer. The API key must not reach the target.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	service := &fake.Service{}
	backend := httptest.NewServer(service)
	defer backend.Close()
	target, err := url.Parse(backend.URL)
	is.NoErr(err)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	defer func() {
		cancel()
		is.NoErr(<-done)
	}()
	a := &agent.Agent{Listener: l, TargetURL: target, Log: hclog.NewNullLogger()}
	go func() { done <- a.Serve(ctx) }()

	const secret = "secret-of-inspector"
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(config.Snapshot{
		Revision: 1,
		Document: config.Document{Routes: []config.Route{{Name: "orders", Prefix: "/orders", Pool: "repair-log", Promise: time.Minute}}},
		Keys:     []config.Key{{ID: "k1", Digest: sha256.Sum256([]byte(secret)), Customer: "klang-north"}},
		Targets:  []fleet.Target{{Name: "t1", Agent: netip.MustParseAddrPort(l.Addr().String()), Pool: "repair-log", Phase: fleet.Ready}},
	}))
	links := &link.Pool{}
	defer links.Close()
	front := httptest.NewServer(&entry.Entry{Config: &index, Links: links, Log: hclog.NewNullLogger()})
	defer front.Close()

	req, err := http.NewRequest(http.MethodPost, front.URL+"/orders", strings.NewReader("stone 7"))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := front.Client().Do(req)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), "stone 7 ran 1\n")
	is.Equal(service.Runs("stone 7"), 1)
	for _, h := range service.Headers() {
		is.Equal(h.Get("Authorization"), "")
		is.Equal(h.Get("Papayarock-Customer"), "klang-north")
	}
}

// Dump, CancelKey and Serve must not access an Entry that another of them is still
// initialising. The race detector finds such an access.
func TestDumpWhileStarting(_ *testing.T) {
	e := &entry.Entry{Config: &atomic.Pointer[config.Index]{}}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { _ = e.Serve(ctx) })
	wg.Go(func() { _ = e.Dump() })
	wg.Go(func() { e.CancelKey("k1") })
	cancel()
	wg.Wait()
}
