package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/entry"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// sendRaw sends text on a new connection and returns what it receives until the
// entry closes the connection or limit has passed.
func (r *rig) sendRaw(text string, limit time.Duration) string {
	c, err := r.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
	r.is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	go func() { _, _ = io.WriteString(c, text) }()
	b, _ := io.ReadAll(c)
	return string(b)
}

// Malformed, oversized, slow or endless requests must not run, occupy the entry
// indefinitely or affect other callers.
func TestHostileCaller(t *testing.T) {
	auth := "Host: entry\r\nAuthorization: Bearer " + secret + "\r\n"
	tests := map[string]struct {
		text string
		want string // substring of the response; empty if none is required
	}{
		"slow header":          {"POST /reads HTTP/1.1\r\n" + auth, ""},
		"slow body":            {"POST /reads HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nabc", `"type":"body-timeout"`},
		"two lengths":          {"POST /reads HTTP/1.1\r\n" + auth + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400 Bad Request"},
		"negative length":      {"POST /reads HTTP/1.0\r\n" + auth + "Content-Length: -1\r\n\r\nabc", "400 Bad Request"},
		"announced too large":  {"POST /reads HTTP/1.1\r\n" + auth + "Content-Length: 9000000000\r\n\r\n", `"type":"body-too-large"`},
		"endless body":         {"POST /reads HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 150), `"type":"body-too-large"`},
		"giant header":         {"GET /reads HTTP/1.1\r\n" + auth + "X-A: " + strings.Repeat("a", 20_000) + "\r\n\r\n", `"type":"header-too-large"`},
		"many headers":         {"GET /reads HTTP/1.1\r\n" + auth + strings.Repeat("A: b\r\n", 200) + "\r\n", `"type":"header-too-large"`},
		"endless header":       {"GET /reads HTTP/1.1\r\n" + auth + "X-A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n", "431 "},
		"giant key":            {"GET /reads HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + strings.Repeat("a", 10_000) + "\r\n\r\n", `"type":"key"`},
		"two keys":             {"GET /reads HTTP/1.1\r\n" + auth + "Authorization: Bearer x\r\n\r\n", `"type":"key"`},
		"long Idempotency-Key": {"POST /orders HTTP/1.1\r\n" + auth + "Content-Length: 0\r\nIdempotency-Key: " + strings.Repeat("k", 300) + "\r\n\r\n", `"type":"idempotency-key"`},
		"giant URL":            {"GET /reads?" + strings.Repeat("a", 9000) + " HTTP/1.1\r\n" + auth + "\r\n", `"type":"url-too-long"`},
		"upgrade":              {"GET /reads HTTP/1.1\r\n" + auth + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", `"type":"upgrade"`},
		"no route":             {"GET /nowhere HTTP/1.1\r\n" + auth + "\r\n", `"type":"no-route"`},
		"dot segments":         {"POST /reads/../order HTTP/1.1\r\n" + auth + "Content-Length: 0\r\n\r\n", `"type":"path"`},
		"encoded dot segment":  {"GET /reads/%2e%2e/order HTTP/1.1\r\n" + auth + "\r\n", `"type":"path"`},
		"encoded slash":        {"GET /reads/..%2forder HTTP/1.1\r\n" + auth + "\r\n", `"type":"path"`},
		"backslash":            {"GET /reads/..%5corder HTTP/1.1\r\n" + auth + "\r\n", `"type":"path"`},
		"not HTTP":             {"\x16\x03\x01\x02\x00\x01\x00", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				service := &countingTarget{}
				r := newRig(t, service, 1)
				defer r.stop()
				responses := make(chan string, 20)
				for range cap(responses) {
					go func() { responses <- r.sendRaw(tt.text, 5*time.Minute) }()
				}
				r.is.Equal(r.do(http.MethodPost, "/reads", "good").status, http.StatusOK) // another caller
				for range cap(responses) {
					got := <-responses
					r.is.True(strings.Contains(got, tt.want))
					if strings.Contains(got, "problem+json") {
						r.is.True(strings.Contains(got, `"not-run":"true"`))
					}
				}
				d := r.entry.Dump().(entry.Dump)
				r.is.Equal(d.Running, 0)
				r.is.Equal(d.BodyBytes, int64(0))
				service.mu.Lock()
				r.is.Equal(len(service.runs), 1) // a hostile request ran
				service.mu.Unlock()
			})
		})
	}
}

// A request header must not make the entry panic, run a request without a valid API
// key or send the API key to the target.
func FuzzRequestHeaders(f *testing.F) {
	recorder := &recordingAgent{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s := &link.Server{Listener: l}
	link.Handle(s, recorder.serve)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	links := &link.Pool{}
	f.Cleanup(func() { // yamux timers must not be shared with a synctest bubble
		links.Close()
		cancel()
		if err := <-done; err != nil {
			f.Error(err)
		}
	})
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(config.Snapshot{
		Revision: 1, Document: config.Document{Routes: routes()}, Keys: []config.Key{key()},
		Targets: []fleet.Target{{Name: "t1", Pool: "app", Phase: fleet.Ready, Agent: netip.MustParseAddrPort(l.Addr().String())}},
	}))
	e := &entry.Entry{Config: &index, Links: links}
	f.Add("GET /reads HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + secret + "\r\n\r\n")
	f.Add("GET /reads?a=" + secret + " HTTP/1.1\r\nHost: a\r\nAuthorization: bearer " + secret + "\r\nConnection: X-A, close\r\nX-A: " + secret + "\r\n\r\n")
	f.Add("POST /open/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nIdempotency-Key: a\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		before := recorder.authenticated.Load()
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if recorder.keySeen.Load() {
			t.Fatalf("API key reached the target: %q", text)
		}
		if recorder.authenticated.Load() > before && !strings.Contains(text, secret) {
			t.Fatalf("request ran without a valid API key: %q", text)
		}
	})
}

// An Idempotency-Key must not make the entry panic or be claimed under a different
// value than the caller sent. A key that the control plane cannot store must be
// refused and not claimed.
func FuzzIdempotencyKey(f *testing.F) {
	for _, key := range []string{"a", "", " a", "caf\xc3\xa9", "caf\xe9", strings.Repeat("k", 257), "a\x00b"} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, idempotencyKey string) {
		control := &claimRecorder{}
		var index atomic.Pointer[config.Index]
		index.Store(config.NewIndex(config.Snapshot{
			Revision: 1, Document: config.Document{Routes: routes()}, Keys: []config.Key{key()},
			Targets: []fleet.Target{{Name: "t1", Pool: "app", Phase: fleet.Ready}},
		}))
		links := &link.Pool{Dial: func(context.Context, link.Address) (net.Conn, error) { return nil, net.ErrClosed }}
		e := &entry.Entry{Config: &index, Links: links, Control: control, Log: hclog.NewNullLogger()}
		r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("stone"))
		r.Header["Authorization"] = []string{"Bearer " + secret}
		r.Header["Idempotency-Key"] = []string{idempotencyKey}
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		control.mu.Lock()
		defer control.mu.Unlock()
		for _, k := range control.keys {
			if k.IdempotencyKey != idempotencyKey {
				t.Fatalf("key %q is claimed as %q", idempotencyKey, k.IdempotencyKey)
			}
			c := state.Claim{Key: k, Expires: time.Unix(1, 0)}
			b, err := wire.EncodeCommand(c)
			if err != nil {
				t.Fatalf("claim of %q: %v", idempotencyKey, err)
			}
			if d, err := wire.DecodeCommand(b); err != nil || d.(state.Claim).Key != k {
				t.Fatalf("claim of %q is stored as %v: %v", idempotencyKey, d, err)
			}
		}
		if len(control.keys) == 0 && w.Code != http.StatusBadRequest {
			t.Fatalf("key %q: no claim and status %d", idempotencyKey, w.Code)
		}
	})
}

// claimRecorder is a memoryControl that records the key of each claim.
type claimRecorder struct {
	memoryControl
	keys []state.ClaimKey
}

func (c *claimRecorder) Claim(ctx context.Context, m state.Claim) (state.ClaimResult, error) {
	c.mu.Lock()
	c.keys = append(c.keys, m.Key)
	c.mu.Unlock()
	return c.memoryControl.Claim(ctx, m)
}

// recordingAgent is an agent without a target. It records whether the API key
// appeared in a request, and the number of requests that name a customer.
type recordingAgent struct {
	keySeen       atomic.Bool
	authenticated atomic.Int64
}

func (a *recordingAgent) serve(_ context.Context, s *link.Stream, open *wire.Open) {
	run := open.GetRun()
	if strings.Contains(run.String(), secret) {
		a.keySeen.Store(true)
	}
	if run.GetCustomer() != "" {
		a.authenticated.Add(1)
	}
	for {
		var b wire.BodyPart
		if s.Receive(&b) != nil || b.GetLast() {
			break
		}
	}
	_ = s.Queue(&wire.Frame{Frame: &wire.Frame_Head{Head: &wire.Head{RequestId: run.GetRequestId(), Status: 200}}})
	_ = s.Send(&wire.Frame{Frame: &wire.Frame_End{End: &wire.End{RequestId: run.GetRequestId(), Checksum: xxhash.Sum64(nil)}}})
}
