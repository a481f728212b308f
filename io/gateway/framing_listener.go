package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// MaxHeaderBytes is the value for http.Server.MaxHeaderBytes of the server for callers.
// framingParser relies on it.
const MaxHeaderBytes = 64 << 10

// NewFramingListener wraps the listener of an HTTP server to protect it against request
// smuggling. Its connections validate the framing fields of requests, which the server
// does not pass to its handler. The server must use ConnContext, so that ServeHTTP can
// reject invalid requests.
func NewFramingListener(l net.Listener) net.Listener { return framingListener{l} }

type framingListener struct{ net.Listener }

// Accept waits for the next connection and wraps it.
func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: c}, nil
}

// framingConn validates the framing of the requests read from a connection.
type framingConn struct {
	net.Conn

	mu          sync.Mutex
	parser      framingParser
	headResults []error // results of the heads parsed ahead of their handlers, in order of arrival; nil for a valid head
}

// Read reads from the connection. It also passes the bytes to the parser.
func (c *framingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.headResults = append(c.headResults, c.parser.feed(p[:n])...)
		c.mu.Unlock()
	}
	return n, err
}

// takeHeadResult removes and returns the validation result for the request whose
// handler is starting: nil, or the reason to reject it. If the parser has found no
// head for the request, that is errDesynced.
func (c *framingConn) takeHeadResult() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.headResults) == 0 {
		return errDesynced
	}
	err := c.headResults[0]
	c.headResults = c.headResults[1:]
	return err
}

// resetOnClose makes Close reset the connection, so that the caller gets an error.
func (c *framingConn) resetOnClose() error {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Errorf("connection of type %T can't be reset", c.Conn)
	}
	return errors.Wrap(socket.SetLinger(0), "set connection to be reset")
}

type connKey struct{}

// ConnContext stores a connection of a framing listener in the context, for use by
// ServeHTTP. Set it as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if fc, ok := c.(*framingConn); ok {
		return context.WithValue(ctx, connKey{}, fc)
	}
	return ctx
}

// framingConnOf returns the connection of a request, or nil if a framing listener did not
// accept it.
func framingConnOf(r *http.Request) *framingConn {
	fc, _ := r.Context().Value(connKey{}).(*framingConn)
	return fc
}
