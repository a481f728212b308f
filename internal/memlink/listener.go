package memlink

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	"papayarock/internal/bubble"
)

// RunInBubble runs f in a synctest bubble. yamux keeps timers in a global
// sync.Pool, and a timer must not be used in a bubble other than its own.
// RunInBubble therefore empties the pool before and after f by garbage
// collections; a pool keeps its items through the first one.
func RunInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	clearPools := func() { runtime.GC(); runtime.GC() }
	clearPools()
	bubble.Run(t, f)
	clearPools()
}

// Listener is a net.Listener for in-memory connections.
type Listener struct {
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept, Dial and Deliver fail. Established connections stay open.
func (l *Listener) Close() error { l.closeOnce.Do(func() { close(l.closed) }); return nil }

// Addr returns a loopback address without a port.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial creates a connection, passes one end to Accept and returns the other. If
// it returns an error, the connection is not usable.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	local, remote := net.Pipe()
	return local, l.Deliver(ctx, remote)
}

// Deliver passes c to Accept. It blocks until a call of Accept returns c.
func (l *Listener) Deliver(ctx context.Context, c net.Conn) error {
	select {
	case l.conns <- c:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
