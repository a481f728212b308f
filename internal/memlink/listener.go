package memlink

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Bubble runs f under synctest. yamux keeps timers in a global pool; two
// collections empty it, so that no timer passes from one bubble to the next.
func Bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	empty := func() { runtime.GC(); runtime.GC() }
	empty()
	synctest.Test(t, f)
	empty()
}

// Listener is a listener whose connections are made in memory.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// NewListener returns a Listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *Listener) Close() error { l.once.Do(func() { close(l.done) }); return nil }

// Addr returns a loopback address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial makes a connection and returns its near end.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	return near, l.Give(ctx, far)
}

// Give makes c the next connection that Accept returns.
func (l *Listener) Give(ctx context.Context, c net.Conn) error {
	select {
	case l.conns <- c:
		return nil
	case <-l.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
