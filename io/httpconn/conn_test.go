package httpconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"papayarock/core/connlimit"
	"papayarock/io/httpconn"
)

var calm = connlimit.Limits{Connections: 100, HeadBytes: 1 << 20, IdleTime: time.Minute, SilentTime: time.Minute}

// serve starts an HTTP server behind a Listener. It responds with the number of body bytes.
func serve(t *testing.T, limits connlimit.Limits, headBytes int) *httptest.Server {
	return serveBy(t, limits, headBytes, func(w http.ResponseWriter, r *http.Request) {
		if err := httpconn.CheckHead(r); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		if d, err := time.ParseDuration(r.Header.Get("Wait")); err == nil {
			time.Sleep(d)
		}
		_, _ = fmt.Fprint(w, n)
	})
}

// serveBy starts an HTTP server behind a Listener.
func serveBy(t *testing.T, limits connlimit.Limits, headBytes int, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Listener = httpconn.NewListener(s.Listener, httpconn.Options{
		Port: "test", Limits: limits, HeaderTimeout: 10 * time.Second, HeadBytes: func() int { return headBytes },
		Log: hclog.NewNullLogger(), Metrics: httpconn.NewMetrics(prometheus.NewRegistry()),
	})
	httpconn.Configure(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// dial connects to the server. All reads and writes have a deadline.
func dial(t *testing.T, s *httptest.Server) net.Conn {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// status reads one response and returns its status and body.
func status(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against bytes that are lost, repeated or held back between a client and the server
// for any split of the input, and against requests inside the limits that are rejected.
func TestRequests(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	long := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\nLong: " + strings.Repeat("x", 30<<10) + "\r\n\r\n" + strings.Repeat("b", 9000)
	chunked := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n"
	empty := "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n" + get
	for name, test := range map[string]struct {
		text      string
		responses []string // bodies
	}{
		"one":                         {get, []string{"0"}},
		"pipelined":                   {get + long + get + chunked + get, []string{"0", "9000", "0", "5", "0"}},
		"empty line after a body":     {empty, []string{"1", "0"}},
		"heads of 20 KB in the limit": {strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("y", 20<<10)+"\r\n\r\n", 3), []string{"0", "0", "0"}},
	} {
		for _, piece := range []int{1000, 4096, 5000, len(test.text)} {
			t.Run(fmt.Sprint(name, "/", piece), func(t *testing.T) {
				is := is.New(t)
				c := dial(t, serve(t, calm, 16<<10))
				go func() {
					for text := test.text; len(text) > 0; {
						n := min(piece, len(text))
						if _, err := io.WriteString(c, text[:n]); err != nil {
							return
						}
						text = text[n:]
						time.Sleep(time.Millisecond) // so that pieces arrive separately
					}
				}()
				r := bufio.NewReader(c)
				for _, want := range test.responses {
					code, body := status(t, r)
					is.Equal(code, http.StatusOK)
					is.Equal(body, want)
				}
			})
		}
	}
}

// Guards against a client that does not learn why its connection is closed, and against a
// limit of heads below that of the document.
func TestRejections(t *testing.T) {
	head := func(n int) string { return "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", n) }
	for name, test := range map[string]struct {
		headBytes int // limit in the document
		text      string
		status    int
	}{
		"head above 32 KiB":                     {16 << 10, head(37 << 10), 431},
		"head above 32 KiB in a document's":     {48 << 10, head(47<<10) + "\r\n\r\n", 200},
		"head above that of a document":         {48 << 10, head(53 << 10), 431},
		"empty lines":                           {16 << 10, strings.Repeat("\r\n", 64), 400},
		"two lengths":                           {16 << 10, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"head above the limit, after a request": {16 << 10, "", 431},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, serve(t, calm, test.headBytes))
			r := bufio.NewReader(c)
			if test.text == "" {
				_, err := io.WriteString(c, head(1)+"\r\n\r\n")
				is.NoErr(err)
				code, _ := status(t, r)
				is.Equal(code, 200)
				test.text = head(37 << 10)
			}
			go func() { _, _ = io.WriteString(c, test.text) }()
			code, _ := status(t, r)
			is.Equal(code, test.status)
		})
	}
}

// Guards against a victim whose request runs, and against victims that get no response: with
// room for two chunks, the older of two incomplete heads is closed with status 408.
func TestEviction(t *testing.T) {
	is := is.New(t)
	limits := calm
	limits.HeadBytes = 9 << 10
	s := serve(t, limits, 16<<10)
	running := dial(t, s)
	_, err := io.WriteString(running, "GET / HTTP/1.1\r\nHost: h\r\nWait: 2s\r\n\r\n")
	is.NoErr(err)
	var held []net.Conn
	for range 3 {
		c := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond) // so that the heads have an order
		held = append(held, c)
	}
	code, _ := status(t, bufio.NewReader(held[0]))
	is.Equal(code, http.StatusRequestTimeout)
	for _, c := range append(held[1:], running) {
		if c != running {
			_, err := io.WriteString(c, "\r\n")
			is.NoErr(err)
		}
		code, _ := status(t, bufio.NewReader(c))
		is.Equal(code, http.StatusOK)
	}
}

// Guards against more connections than the limit, and against a client that is refused
// without a response while all others run a request.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	limits := calm
	limits.Connections = 2
	s := serve(t, limits, 16<<10)
	var running []net.Conn
	for range 2 {
		c := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nWait: 2s\r\n\r\n")
		is.NoErr(err)
		running = append(running, c)
	}
	time.Sleep(200 * time.Millisecond) // until both requests run
	code, _ := status(t, bufio.NewReader(dial(t, s)))
	is.Equal(code, http.StatusServiceUnavailable)
	for _, c := range running {
		code, _ := status(t, bufio.NewReader(c))
		is.Equal(code, http.StatusOK)
	}
}
