package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/io/daemon"
	"papayarock/io/entry"
)

// Guards against a shutdown that interrupts a running request. The target responds
// only after the shutdown has begun. Both kinds of request are tested, since an
// entry detaches only non-idempotent requests from the caller's connection.
func TestShutdownCompletesRequests(t *testing.T) {
	cases := map[string]struct{ path string }{
		"non-idempotent": {"/orders"},
		"idempotent":     {"/log"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { testShutdownCompletesRequest(t, c.path) })
	}
}

func testShutdownCompletesRequest(t *testing.T, path string) {
	t.Helper()
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		_, _ = io.WriteString(w, "complete response")
	}))
	defer backend.Close()
	target, err := url.Parse(backend.URL)
	is.NoErr(err)
	s := testSettings(t, target)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx, s, hclog.NewNullLogger()) }()
	base := "http://" + s.Entry.Listen.String()
	status, _ := request(t, http.MethodGet, base+entry.ReadyPath, "")
	is.Equal(status, http.StatusOK)

	responses := make(chan string, 1)
	go func() {
		req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader("stone"))
		if err != nil {
			responses <- err.Error()
			return
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			responses <- err.Error()
			return
		}
		responses <- string(body)
	}()
	<-received
	cancel()
	for { // until the shutdown has begun: the process is not ready or refuses connections
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(base + entry.ReadyPath)
		if err != nil {
			break
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(release)
	is.Equal(<-responses, "complete response")
	is.NoErr(<-done)
}

// Guards against a process that keeps running although another process uses its
// listen address.
func TestRunFailsIfAddressInUse(t *testing.T) {
	is := is.New(t)
	s := testSettings(t, &url.URL{Scheme: "http", Host: "127.0.0.1:1"})
	l, err := net.Listen("tcp", s.Entry.Listen.String())
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	err = daemon.Run(context.Background(), s, hclog.NewNullLogger())
	is.True(err != nil && strings.Contains(err.Error(), "address already in use"))
}
