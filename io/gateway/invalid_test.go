package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
)

// sendsRaw sends a response in raw bytes, and then closes the connection or waits until the
// gateway does.
func sendsRaw(text string, closes bool) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, text)
		if !closes {
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
	}
}

// invalidResponses are responses to the request id-1 that the gateway can't forward.
var invalidResponses = map[string]struct {
	text   string
	closes bool
	value  string // in the log
}{
	"000":               {"HTTP/1.1 000 X\r\n" + mark + "Content-Length: 5\r\n\r\nid:1\n", false, "status 000"},
	"099":               {"HTTP/1.1 099 X\r\n" + mark + "Content-Length: 5\r\n\r\nid:1\n", false, "status 099"},
	"600":               {"HTTP/1.1 600 X\r\n" + mark + "Content-Length: 5\r\n\r\nid:1\n", false, "status 600"},
	"600 without end":   {"HTTP/1.1 600 X\r\n" + mark + "\r\nid:1\n", false, "status 600"},
	"600 not run":       {"HTTP/1.1 600 X\r\n" + mark + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, "status 600"},
	"999":               {"HTTP/1.1 999 X\r\n" + mark + "Transfer-Encoding: chunked\r\n\r\n5\r\nid:1\n\r\n0\r\n\r\n", false, "status 999"},
	"101":               {"HTTP/1.1 101 X\r\n" + mark + "Upgrade: x\r\nConnection: upgrade\r\n\r\n", false, "status 101"},
	"103 with length":   {"HTTP/1.1 103 X\r\n" + mark + "Content-Length: 5\r\n\r\nid:1\n", false, "status 103"},
	"103 at the end":    {"HTTP/1.1 103 X\r\n" + mark + "\r\n", true, "status 103"},
	"two lengths":       {"HTTP/1.1 200 OK\r\n" + mark + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nid:1\n\n", false, `[\"5\" \"6\"]`},
	"length and chunks": {"HTTP/1.1 200 OK\r\n" + mark + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid:1\n\n\r\n0\r\n\r\n", false, "Content-Length: 6"},
	"negative length":   {"HTTP/1.1 200 OK\r\n" + mark + "Content-Length: -6\r\n\r\nid:1\n\n", true, "-6"},
}

const mark = "Id: id-1\r\nMark: m\r\n"

// invalidTimeout is the time limit of the routes. Invalid responses must be found before it.
const invalidTimeout = 4 * time.Second

var routeKinds = map[string]func(r *catalog.Route){
	"idempotent":     func(r *catalog.Route) { r.Kind = catalog.Idempotent },
	"non-idempotent": nonIdempotent,
	"stream":         stream,
	"resumable":      resumable,
}

// captureStandardLog returns what is written to the standard logger, where the HTTP server
// reports panics.
func captureStandardLog(t *testing.T) *logBuffer {
	l := &logBuffer{}
	log.SetOutput(l)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return l
}

// countLines returns the number of lines that contain all of the texts.
func (l *logBuffer) countLines(texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.buf.String()) {
		found := true
		for _, s := range texts {
			found = found && strings.Contains(line, s)
		}
		if found {
			n++
		}
	}
	return n
}

// Guards against a response with an invalid status or invalid lengths that is forwarded,
// causes a panic, ends the connection of the caller, does not count against the target, or
// is not in the log with its value.
func TestInvalidResponse(t *testing.T) {
	for kind, change := range routeKinds {
		for name, test := range invalidResponses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				is := is.New(t)
				panics := captureStandardLog(t)
				x, l, _ := newFixtureWithLog(t)
				x.catalog(1, route(func(r *catalog.Route) { change(r); r.Timeout = invalidTimeout }))
				x.target("faulty", fleet.Mixed, sendsRaw(test.text, test.closes))
				start := time.Now()
				got := x.send(nil)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.body, "")
				is.Equal(len(x.requests()), 1) // the only target is not asked again
				is.True(time.Since(start) < invalidTimeout/2)
				is.Equal(l.countLines("target=faulty", test.value), 1)
				is.Equal(l.countLines("attempt failed", "target=faulty", "outcome=failed", test.value), 1)
				is.Equal(panics.buf.String(), "")
			})
		}
	}
}

// Guards against a repeated non-idempotent request after an invalid response, and against a
// repeatable one that is not sent to another target.
func TestInvalidResponseThenOtherTarget(t *testing.T) {
	for kind, change := range routeKinds {
		for name, test := range invalidResponses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				is := is.New(t)
				x, l, _ := newFixtureWithLog(t)
				x.catalog(1, route(func(r *catalog.Route) { change(r); r.Timeout = invalidTimeout }))
				first := true
				for _, target := range []string{"one", "two"} {
					x.target(target, fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
						x.mu.Lock()
						faulty := first
						first = false
						x.mu.Unlock()
						if faulty {
							sendsRaw(test.text, test.closes)(w, r)
							return
						}
						streams(2, 0)(w, r)
					})
				}
				got := x.send(nil)
				is.NoErr(got.err)
				repeats := kind == "idempotent" || kind == "resumable"
				if !repeats {
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(len(x.requests()), 1)
					return
				}
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, eventText(2))
				is.Equal(len(x.requests()), 2)
				is.Equal(l.countLines("outcome=failed", test.value), 1)
			})
		}
	}
}

// Guards against an invalid response to a prefill, to the release of a KV cache or to the
// continuation of a stream that is taken for a response, or is not in the log with its
// value.
func TestInvalidResponseToOtherRequests(t *testing.T) {
	longPrompt := func(q *http.Request) { q.Header.Set("Prompt", "2000") }
	for name, test := range invalidResponses {
		t.Run("prefill/"+name, func(t *testing.T) {
			is := is.New(t)
			x, l, _ := newFixtureWithLog(t)
			x.catalog(1, route(func(r *catalog.Route) { stream(r); r.Timeout = invalidTimeout }))
			x.target("faulty", fleet.Prefill, sendsRaw(test.text, test.closes))
			x.target("decode", fleet.Decode, streams(2, 0))
			got := x.send(longPrompt)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK) // the decode engine computes the prefill
			is.Equal(got.body, eventText(2))
			is.Equal(l.countLines("attempt failed", "target=faulty", "outcome=failed", test.value), 1)
		})
		t.Run("release/"+name, func(t *testing.T) {
			is := is.New(t)
			x, l, _ := newFixtureWithLog(t)
			x.catalog(1, route(func(r *catalog.Route) { stream(r); r.Timeout = invalidTimeout }))
			x.target("faulty", fleet.Prefill, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					sendsRaw(strings.ReplaceAll(test.text, mark, ""), test.closes)(w, r)
					return
				}
				w.Header().Set("Mark", "m")
				_, _ = io.WriteString(w, "handle")
			})
			x.target("decode", fleet.Decode, respondsWith(http.StatusServiceUnavailable, "Not-Run"))
			is.NoErr(x.send(longPrompt).err)
			for end := time.Now().Add(5 * time.Second); l.countLines("target=faulty", test.value) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(l.countLines("releasing KV cache failed", "target=faulty", test.value), 1)
		})
		t.Run("rest of a stream/"+name, func(t *testing.T) {
			is := is.New(t)
			x, l, _ := newFixtureWithLog(t)
			x.catalog(1, route(func(r *catalog.Route) { resumable(r); r.Attempts, r.Timeout = 3, invalidTimeout }))
			first := true
			for _, target := range []string{"one", "two", "three"} {
				x.target(target, fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
					x.mu.Lock()
					begins := first
					first = false
					n := len(x.received)
					x.mu.Unlock()
					switch {
					case begins:
						streams(4, 2)(w, r)
					case n == 2:
						sendsRaw(test.text, test.closes)(w, r)
					default:
						streams(4, 0)(w, r)
					}
				})
			}
			got := x.send(nil)
			is.NoErr(got.err)
			is.Equal(got.body, eventText(4))
			is.Equal(l.countLines("outcome=failed", test.value), 1)
		})
	}
}

// Guards against an invalid response that ends a connection on which the caller has further
// requests.
func TestInvalidResponseToPipelinedRequest(t *testing.T) {
	for name, test := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(func(r *catalog.Route) { nonIdempotent(r); r.Timeout = invalidTimeout }))
			x.target("faulty", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") == "id-1" {
					sendsRaw(test.text, test.closes)(w, r)
					return
				}
				serves("two")(w, r)
			})
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			for _, id := range []string{"id-1", "id-2"} {
				_, err = fmt.Fprintf(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: %s\r\nContent-Length: 5\r\n\r\norder", id)
				is.NoErr(err)
			}
			in := bufio.NewReader(c)
			for _, want := range []struct {
				status int
				body   string
			}{{http.StatusBadGateway, ""}, {http.StatusOK, "two"}} {
				r, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				body, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(r.StatusCode, want.status)
				is.Equal(string(body), want.body)
			}
		})
	}
}
