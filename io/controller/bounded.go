package controller

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"
)

// deadlineKey is the context key of an action's deadline. The transport dials
// under a context that keeps the values of the request's and not its deadline.
type deadlineKey struct{}

// withDeadline bounds an action: nothing of it is written after the deadline.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithValue(ctx, deadlineKey{}, deadline), deadline)
}

// bounded is a connection that writes nothing after its deadline. It reads the
// clock before each write: when a paused process goes on, the timers behind a
// context or a write deadline may fire only after a write.
type bounded struct {
	net.Conn
	deadline time.Time
}

// Write fails with os.ErrDeadlineExceeded after the deadline.
func (b bounded) Write(p []byte) (int, error) {
	if !time.Now().Before(b.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return b.Conn.Write(p)
}

// boundedClient returns a client for actions under withDeadline. Each request
// has a connection of its own, which carries the deadline.
func boundedClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, DialContext: dialBounded,
	}}
}

func dialBounded(ctx context.Context, network, addr string) (net.Conn, error) {
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
	return bounded{c, deadline}, nil
}
