package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/io/gateway"
)

// Guards against a success that no target has sent: to a caller that has ended its side of
// the connection and still reads, a response that was given up looked like an empty or
// complete one.
func TestCallerEndsItsSide(t *testing.T) {
	const maxBusy = 64 // more requests than the target takes
	for name, test := range map[string]struct {
		route   func(r *catalog.Route)
		callers int                                                               // one if zero; more than the target takes at once if some are to be queued
		target  func(arrived chan<- struct{}, left <-chan struct{}) targetHandler // left is closed when the caller has left
		limit   catalog.Limit                                                     // of the customer, for which the request waits
	}{
		"queued": {callers: maxBusy, target: func(arrived chan<- struct{}, _ <-chan struct{}) targetHandler {
			return func(_ http.ResponseWriter, r *http.Request) { arrived <- struct{}{}; <-r.Context().Done() }
		}},
		"waiting for its limit": {limit: catalog.Limit{Rate: 10, Burst: 10}, target: func(chan<- struct{}, <-chan struct{}) targetHandler {
			return serves("ok")
		}},
		"running": {target: func(arrived chan<- struct{}, _ <-chan struct{}) targetHandler {
			return func(_ http.ResponseWriter, r *http.Request) { arrived <- struct{}{}; <-r.Context().Done() }
		}},
		"half of a response": {target: func(arrived chan<- struct{}, _ <-chan struct{}) targetHandler {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Mark", "m")
				_, _ = w.Write(make([]byte, 300<<10)) // more than is buffered
				_ = http.NewResponseController(w).Flush()
				arrived <- struct{}{}
				<-r.Context().Done()
			}
		}},
		"streaming": {route: resumable, target: func(arrived chan<- struct{}, _ <-chan struct{}) targetHandler {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Mark", "m")
				_, _ = io.WriteString(w, eventText(2))
				_ = http.NewResponseController(w).Flush()
				arrived <- struct{}{}
				<-r.Context().Done()
			}
		}},
		"between two attempts": {route: func(r *catalog.Route) { r.Kind = catalog.Idempotent }, target: func(arrived chan<- struct{}, left <-chan struct{}) targetHandler {
			return func(w http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				<-left
				resetsConnection(w, r)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.limit = test.limit
			x.catalog(1, route(test.route))
			arrived, left := make(chan struct{}, maxBusy), make(chan struct{})
			x.target("t", fleet.Mixed, test.target(arrived, left))
			var callers []*net.TCPConn
			for range max(1, test.callers) {
				c := x.dialRequest()
				defer func() { _ = c.Close() }()
				callers = append(callers, c)
			}
			switch {
			case test.limit.Limited():
				<-x.gateway.QuotaUrgent()
			case test.callers > 1:
				for x.gateway.Dump().(gateway.Dump).Waiting == 0 { // one of them is queued
					time.Sleep(time.Millisecond)
				}
			default:
				<-arrived
			}
			for _, c := range callers {
				is.NoErr(c.CloseWrite())
			}
			close(left)
			for _, c := range callers {
				status, whole := readResponse(c)
				is.True(status >= http.StatusMultipleChoices || !whole) // looks like a success
			}
		})
	}
}

// dialRequest sends a request on a connection of its own.
func (x *fixture) dialRequest() *net.TCPConn {
	x.t.Helper()
	c, err := (&net.Dialer{}).DialContext(x.t.Context(), "tcp", x.front.Listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	if _, err := fmt.Fprint(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\nContent-Length: 5\r\n\r\norder"); err != nil {
		x.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// readResponse returns the status of a response, or 0 if there is none, and whether it has
// reached its end.
func readResponse(c net.Conn) (status int, whole bool) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err == nil
}
