package action

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
)

// maxHeaderBytes limits the header of a response. The default of net/http is 10 MiB.
const maxHeaderBytes = 64 << 10

// NewClient returns a client whose requests must have a context with a deadline. Each request
// has a connection of its own, to which nothing is written after the deadline, and from which
// nothing is delivered any more once the request has ended. Redirects are not followed, since
// an action is meant for one address only. proxy is that of http.Transport; nil means none.
func NewClient(proxy func(*http.Request) (*url.URL, error)) *http.Client {
	return &http.Client{
		Transport: transport{&http.Transport{
			Proxy: proxy, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes, DialContext: dialWithDeadline,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport passes the deadline of a request on to the connection that it opens.
// http.Transport dials with a context that has the values of the request's context but not
// its deadline.
type transport struct{ base *http.Transport }

// deadlineKey is the context key of an action's deadline.
type deadlineKey struct{}

// RoundTrip fails with os.ErrNoDeadline if the context of the request has no deadline.
func (t transport) RoundTrip(q *http.Request) (*http.Response, error) {
	deadline, ok := q.Context().Deadline()
	if !ok {
		if q.Body != nil {
			_ = q.Body.Close()
		}
		return nil, errors.Wrapf(os.ErrNoDeadline, "%s %s", q.Method, q.URL)
	}
	return t.base.RoundTrip(q.WithContext(context.WithValue(q.Context(), deadlineKey{}, deadline)))
}

// deadlineConn is a connection that writes nothing after its deadline. It reads
// the clock before each write: when a paused process resumes, the timers of a
// context or a write deadline may fire only after a write.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// Write fails with os.ErrDeadlineExceeded after the deadline.
func (c deadlineConn) Write(p []byte) (int, error) {
	if !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

func dialWithDeadline(ctx context.Context, network, addr string) (net.Conn, error) {
	deadline, ok := ctx.Value(deadlineKey{}).(time.Time)
	if !ok {
		return nil, os.ErrNoDeadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := c.SetWriteDeadline(deadline); err != nil {
		_ = c.Close()
		return nil, err
	}
	return deadlineConn{c, deadline}, nil
}

// Dial opens a connection that is reset when it is closed or when the process ends.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := ResetOnClose(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// ResetOnClose makes a TCP connection, or one that wraps it and has the method NetConn, end
// with a reset: data that the peer has not received is discarded. It does nothing for other
// connections, such as those of tests in memory.
func ResetOnClose(c net.Conn) error {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	socket, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	return errors.Wrap(socket.SetLinger(0), "set connection to be reset")
}
