package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/io/upstream"
)

// fakeTarget accepts connections and sends the response that the script returns for
// the given connection and request, both counted from zero.
type fakeTarget struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	paths    []string // of all requests, in order of arrival
	accepted int      // number of accepted connections
}

// response is a response in raw bytes. The connection can be closed or reset
// afterwards.
type response struct {
	text                   string
	closeAfter, resetAfter bool
	beforeBody             bool // send the response before reading the request body
}

func newFakeTarget(t *testing.T, script func(conn, request int) response) *fakeTarget {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &fakeTarget{t: t, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			n := x.accepted
			x.accepted++
			x.mu.Unlock()
			go x.serve(c, n, script)
		}
	}()
	return x
}

func (x *fakeTarget) serve(c net.Conn, n int, script func(conn, request int) response) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x.mu.Lock()
		x.paths = append(x.paths, q.RequestURI)
		x.mu.Unlock()
		a := script(n, i)
		if a.beforeBody {
			_, _ = io.WriteString(c, a.text)
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if !a.beforeBody {
			_, _ = io.WriteString(c, a.text)
		}
		if a.resetAfter {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if a.closeAfter || a.resetAfter {
			return
		}
	}
}

func (x *fakeTarget) endpoint() upstream.Endpoint {
	return upstream.Endpoint{Target: "t", Started: 1, Address: x.listener.Addr().(*net.TCPAddr).AddrPort()}
}

func (x *fakeTarget) requests() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]string(nil), x.paths...)
}

func request(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, URI: "/" + id, Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(_ bool, _ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends a request. It returns the response body, and the error of Do or of reading
// the body.
func do(p *upstream.Pool, to upstream.Endpoint, q *upstream.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := p.Do(ctx, to, q)
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// A response must not be delivered to another request, a truncated response must
// not look complete, and the connection must not be reused after either.
func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		first response
		body  string // of the first response; empty if it must fail
		conns int    // number of connections after a second request
	}{
		"complete body":                     {response{text: ok("a", "one")}, "one", 1},
		"chunked":                           {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"}, "one", 1},
		"response to another request first": {response{text: ok("x", "other") + ok("a", "one")}, "one", 1},
		"interim response":                  {response{text: "HTTP/1.1 100 Continue\r\n\r\n" + ok("a", "one")}, "one", 1},
		"extra response":                    {response{text: ok("a", "one") + ok("a", "two")}, "one", 2},
		"extra bytes":                       {response{text: ok("a", "one") + "garbage"}, "one", 2},
		"connection closes":                 {response{text: ok("a", "one"), closeAfter: true}, "one", 2},
		"Connection: close header":          {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\none", closeAfter: true}, "one", 2},
		"no length":                         {response{text: "HTTP/1.1 200 OK\r\nId: a\r\n\r\none", closeAfter: true}, "one", 2},
		"Keep-Alive: timeout=0 header":      {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\nContent-Length: 3\r\n\r\none"}, "one", 2},
		"truncated body":                    {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\none", closeAfter: true}, "", 2},
		"truncated chunk":                   {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none", closeAfter: true}, "", 2},
		"missing last chunk":                {response{text: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", closeAfter: true}, "", 2},
		"no length, reset":                  {response{text: "HTTP/1.1 200 OK\r\nId: a\r\n\r\none", resetAfter: true}, "", 2},
		"no response":                       {response{closeAfter: true}, "", 2},
		"invalid status line":               {response{text: "what is this\r\n\r\n", closeAfter: true}, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFakeTarget(t, func(conn, request int) response {
				if conn == 0 && request == 0 {
					return test.first
				}
				return response{text: ok("b", "second")}
			})
			var p upstream.Pool
			body, err := do(&p, x.endpoint(), request("a"))
			is.Equal(err == nil, test.body != "")
			is.True(err != nil || body == test.body)
			var failure *upstream.Error
			is.True(!errors.As(err, &failure) || failure.MaybeSent)
			// Bytes after the first response arrive with it or shortly after it.
			time.Sleep(20 * time.Millisecond)
			body, err = do(&p, x.endpoint(), request("b"))
			is.NoErr(err)
			is.Equal(body, "second")
			is.Equal(x.accepted, test.conns)
			is.Equal(x.requests(), []string{"/a", "/b"}) // nothing is sent twice
		})
	}
}

// If the target responds before it has read the whole request, the connection must
// not be reused.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	x := newFakeTarget(t, func(conn, request int) response {
		if conn == 0 && request == 0 {
			return response{text: ok("a", "early"), beforeBody: true}
		}
		return response{text: ok("b", "second")}
	})
	var p upstream.Pool
	q := request("a")
	q.Body = []byte(strings.Repeat("x", 16<<20)) // larger than the socket buffers
	body, err := do(&p, x.endpoint(), q)
	is.NoErr(err)
	is.Equal(body, "early")
	body, err = do(&p, x.endpoint(), request("b"))
	is.NoErr(err)
	is.Equal(body, "second")
}

// A request that was never sent must not be reported as one that the target may
// have executed. TestResponses checks that a request that was sent is not reported as
// not sent.
func TestErrorReportsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := upstream.Endpoint{Target: "t", Address: l.Addr().(*net.TCPAddr).AddrPort()}
	is.NoErr(l.Close())
	var p upstream.Pool
	_, err = do(&p, to, request("a"))
	var failure *upstream.Error
	is.True(errors.As(err, &failure))
	is.True(!failure.MaybeSent)
}

// When the caller cancels a request, its connection must be closed, so that the
// target can stop working on it.
func TestCancel(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
		close(closed)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	var p upstream.Pool
	_, err = p.Do(ctx, upstream.Endpoint{Target: "t", Address: l.Addr().(*net.TCPAddr).AddrPort()}, request("a"))
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// A connection to an earlier run of a target must not be used for a later run, and
// Retain must close it.
func TestRetain(t *testing.T) {
	is := is.New(t)
	x := newFakeTarget(t, func(_, i int) response { return response{text: ok([]string{"a", "b"}[i%2], "one")} })
	var p upstream.Pool
	_, err := do(&p, x.endpoint(), request("a"))
	is.NoErr(err)
	is.Equal(p.Idle(), 1)
	next := x.endpoint()
	next.Started++
	_, err = do(&p, next, request("a"))
	is.NoErr(err)
	is.Equal(x.accepted, 2)
	p.Retain(func(e upstream.Endpoint) bool { return e == next })
	is.Equal(p.Idle(), 1)
}

func ExamplePool() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "hello "+r.URL.Path)
		}))
	}()
	var p upstream.Pool
	r, err := p.Do(context.Background(), upstream.Endpoint{Target: "t", Address: netip.MustParseAddrPort(l.Addr().String())},
		&upstream.Request{Method: http.MethodGet, URI: "/log", Host: "h.example"})
	if err != nil {
		panic(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	fmt.Println(r.Status, string(b))
	// Output: 200 hello /log
}
