package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// MaxHeaderBytes bounds the head of a request. The catalog may state a lower one.
const MaxHeaderBytes = 64 << 10

// Guard returns a listener whose connections check the framing of requests, which
// the HTTP server does not show its handler.
func Guard(l net.Listener) net.Listener { return guarded{l} }

type guarded struct{ net.Listener }

// Accept returns the next connection.
func (g guarded) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c}, nil
}

// guardedConn checks the requests that are read from a connection.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	framing framing
	heads   []error // of requests whose handler has not begun
}

// Read reads from the connection.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.heads = append(c.heads, c.framing.feed(p[:n])...)
		c.mu.Unlock()
	}
	return n, err
}

// next returns why the request whose handler begins must be refused; nil if it
// is sound.
func (c *guardedConn) next() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.heads) == 0 {
		return errFraming
	}
	err := c.heads[0]
	c.heads = c.heads[1:]
	return err
}

type connKey struct{}

// ConnContext lets the handler find the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*guardedConn); ok {
		return context.WithValue(ctx, connKey{}, g)
	}
	return ctx
}

// guardOf returns the connection of a request; nil if it is not guarded.
func guardOf(r *http.Request) *guardedConn {
	g, _ := r.Context().Value(connKey{}).(*guardedConn)
	return g
}
