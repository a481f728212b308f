package memlink

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// RunInBubble runs f in a synctest bubble. Since yamux keeps timers in a global
// sync.Pool, RunInBubble empties it before and after by two garbage collections, so
// that no timer passes from one bubble to another.
func RunInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	clearPools := func() { runtime.GC(); runtime.GC() }
	clearPools()
	synctest.Test(t, f)
	clearPools()
}

// Listener is a net.Listener for in-memory connections.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// NewListener returns an open Listener.
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

// Close makes Accept, Dial and Deliver fail. Established connections stay open.
func (l *Listener) Close() error { l.once.Do(func() { close(l.done) }); return nil }

// Addr returns a loopback address without a port.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial creates a connection, passes one end to Accept and returns the other.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	local, remote := net.Pipe()
	return local, l.Deliver(ctx, remote)
}

// Deliver passes c to Accept. It blocks until Accept takes it.
func (l *Listener) Deliver(ctx context.Context, c net.Conn) error {
	select {
	case l.conns <- c:
		return nil
	case <-l.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
