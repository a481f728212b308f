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

// withDeadline returns a context that ends at an action's deadline. Connections that
// newDeadlineClient opens under it write nothing after the deadline.
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
func (c deadlineConn) Write(p []byte) (int, error) {
	if !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

// newDeadlineClient returns a client for requests whose context comes from
// withDeadline. Each request opens a connection of its own with that deadline.
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
