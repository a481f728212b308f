package controller

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"
)

// deadlineKey is the context key of an action's deadline. http.Transport dials
// with a context that has the values of the request's context but not its
// deadline.
type deadlineKey struct{}

// withDeadline sets the deadline of an action. Its connections write nothing
// after it.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithValue(ctx, deadlineKey{}, deadline), deadline)
}

// deadlineConn is a connection that writes nothing after its deadline. It reads
// the clock before each write: when a paused process resumes, the timers of a
// context or a write deadline may fire only after a write.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// Write fails with os.ErrDeadlineExceeded after the deadline.
func (b deadlineConn) Write(p []byte) (int, error) {
	if !time.Now().Before(b.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return b.Conn.Write(p)
}

// newDeadlineClient returns a client for requests with a context of
// withDeadline. Each request opens its own connection, which has the deadline.
func newDeadlineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, DialContext: dialWithDeadline,
	}}
}

func dialWithDeadline(ctx context.Context, network, addr string) (net.Conn, error) {
	deadline, ok := ctx.Value(deadlineKey{}).(time.Time)
	if !ok {
		return nil, os.ErrNoDeadline
	}
	c, err := (&net.Dialer{Deadline: deadline}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := c.SetWriteDeadline(deadline); err != nil {
		_ = c.Close()
		return nil, err
	}
	return deadlineConn{c, deadline}, nil
}
