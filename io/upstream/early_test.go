package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/io/upstream"
)

// Ways in which a target ends a connection.
const (
	endsByReset     = "reset"
	endsByFIN       = "FIN"   // only in its direction
	endsByClose     = "close" // FIN, or reset if data is unread or arrives later
	earlyRounds     = 15      // of each case; the order of events differs between them
	earlySeed       = 7
	maxEarlyPause   = 2 * time.Millisecond
	readsNothing    = 0
	readsPart       = 100 << 10
	readsEverything = 1 << 30
)

// newRawTarget starts a target that serves each connection with f.
func newRawTarget(t *testing.T, f func(c *net.TCPConn)) upstream.Endpoint {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	return upstream.Endpoint{Target: "t", Started: 1, Address: l.Addr().(*net.TCPAddr).AddrPort()}
}

// respondEarly reads the header of a request and at most limit bytes of its body, sends
// text, and ends the connection after a pause.
func respondEarly(c *net.TCPConn, limit int64, text []byte, end string, pause time.Duration) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, limit))
	_, _ = c.Write(text)
	time.Sleep(pause)
	switch end {
	case endsByReset:
		_ = c.SetLinger(0)
	case endsByFIN:
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond) // Close may reset the connection
	}
}

// Guards against a part of a response without a length that is taken for a complete one,
// because the target ended the connection while the request was being written. The error of
// a reset is reported only once, and the writer of the request may be the one that gets it.
// Also guards against a connection that is reused afterwards.
func TestResponseWithoutLengthDuringUpload(t *testing.T) {
	for name, read := range map[string]int64{"reads nothing": readsNothing, "reads a part": readsPart, "reads all": readsEverything} {
		for _, upload := range []int{4, 1_500_000, 4 << 20} {
			for _, part := range []int{270, 300 << 10, 3 << 20} {
				for _, end := range []string{endsByReset, endsByFIN, endsByClose} {
					t.Run(fmt.Sprintf("%s/upload %d/part %d/%s", name, upload, part, end), func(t *testing.T) {
						is := is.New(t)
						random := rand.New(rand.NewPCG(earlySeed, uint64(upload+part)))
						text := []byte("HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + strings.Repeat("x", part))
						pauses := make(chan time.Duration, 1)
						to := newRawTarget(t, func(c *net.TCPConn) { respondEarly(c, read, text, end, <-pauses) })
						var p upstream.Pool
						q := request("a")
						q.Body = bytes.Repeat([]byte("u"), upload)
						unfinished := upload > 4 && read != readsEverything
						complete, looksComplete := 0, 0
						for range earlyRounds {
							pauses <- time.Duration(random.Int64N(int64(maxEarlyPause)))
							body, err := do(&p, to, q)
							is.Equal(p.Idle(), 0)
							switch {
							case err != nil:
							case len(body) == part:
								complete++
							default:
								t.Errorf("%d of %d bytes without an error", len(body), part)
							}
							if err == nil && (end == endsByReset || unfinished) {
								looksComplete++
							}
						}
						is.Equal(looksComplete, 0)
						if !unfinished && (end == endsByFIN || end == endsByClose && read == readsEverything) {
							is.Equal(complete, earlyRounds) // a legal end
						}
					})
				}
			}
		}
	}
}

// Guards against a target that answers before it has read a long request, keeps the
// connection and reads on later, and then finds the request cut off or mixed with another
// one.
func TestUploadAfterEarlyResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nearly",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	} {
		for _, size := range []int{1_500_000, 4 << 20} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				is := is.New(t)
				type upload struct {
					body, rest []byte
					err        error
				}
				uploads := make(chan upload, 1)
				to := newRawTarget(t, func(c *net.TCPConn) {
					defer func() { _ = c.Close() }()
					r := bufio.NewReader(c)
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if q.RequestURI == "/b" {
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(c, ok("b", "second"))
						return
					}
					_, _ = io.WriteString(c, head)
					time.Sleep(100 * time.Millisecond)
					var u upload
					u.body, u.err = io.ReadAll(q.Body)
					_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
					u.rest, _ = io.ReadAll(r)
					uploads <- u
				})
				var p upstream.Pool
				q := request("a")
				q.Body = make([]byte, size)
				for i := range q.Body {
					q.Body[i] = byte(i * 7 >> 3)
				}
				body, err := do(&p, to, q)
				is.NoErr(err)
				is.Equal(body, "early")
				idle := p.Idle()
				body, err = do(&p, to, request("b"))
				is.NoErr(err)
				is.Equal(body, "second")
				u := <-uploads
				is.NoErr(u.err)
				is.True(bytes.Equal(u.body, q.Body))
				is.Equal(len(u.rest), 0)
				is.Equal(idle, 0)
			})
		}
	}
}

// Guards against uploads that are never read and hold memory and connections without an
// end after the response.
func TestUploadNeverRead(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 10)
	to := newRawTarget(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, ok("a", "early"))
		time.Sleep(7 * time.Second)
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
		closed <- struct{}{}
	})
	var p upstream.Pool
	q := request("a")
	q.Body = make([]byte, 4<<20)
	const requests = 6
	for range requests {
		body, err := do(&p, to, q)
		is.NoErr(err)
		is.Equal(body, "early")
		is.Equal(p.Idle(), 0)
	}
	for range requests {
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("a connection is still open")
		}
	}
	is.Equal(p.Idle(), 0)
}
