package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
)

// Guards against requests that arrive late in a shutdown and are sent on although the response
// can't be expected before its end, and against requests that end without a response then.
func TestRequestsAtEndOfShutdown(t *testing.T) {
	for name, test := range map[string]struct {
		sent    time.Duration // after the shutdown began, on a connection that was open before
		timeout time.Duration // of the route
		kind    catalog.Kind
		status  int
		reached bool // the target gets the request
	}{
		"early, no response":       {sent: 0, timeout: 20 * time.Second, status: http.StatusGatewayTimeout, reached: true},
		"early stream, no event":   {sent: 0, timeout: 20 * time.Second, kind: catalog.Stream, status: http.StatusGatewayTimeout, reached: true},
		"late, long timeout":       {sent: 2800 * time.Millisecond, timeout: 20 * time.Second, status: http.StatusServiceUnavailable},
		"late stream":              {sent: 2800 * time.Millisecond, timeout: 20 * time.Second, kind: catalog.Stream, status: http.StatusServiceUnavailable},
		"late, ends in time":       {sent: 2800 * time.Millisecond, timeout: 300 * time.Millisecond, status: http.StatusGatewayTimeout, reached: true},
		"before the load balancer": {sent: 2200 * time.Millisecond, timeout: 300 * time.Millisecond, status: http.StatusGatewayTimeout, reached: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(func(r *catalog.Route) { r.Timeout, r.Kind = test.timeout, test.kind }))
			release := make(chan struct{})
			x.target("silent", fleet.Mixed, func(http.ResponseWriter, *http.Request) { <-release })
			defer close(release)
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()

			const shutdown = 4 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), shutdown)
			defer cancel()
			go x.gateway.Drain(ctx)
			time.Sleep(test.sent)
			_, err = fmt.Fprintf(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\nContent-Length: 5\r\n\r\norder")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(shutdown + 10*time.Second)))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, r.Body)
			is.NoErr(err)
			is.NoErr(ctx.Err()) // before the connections are closed
			is.Equal(r.StatusCode, test.status)
			is.Equal(len(x.requests()) > 0, test.reached)
		})
	}
}
