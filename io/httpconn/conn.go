package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"papayarock/core/connlimit"
)

const (
	// chunkBytes is the size of the buffers for incomplete heads.
	chunkBytes = 4 << 10
	// maxEmptyBytes limits the empty lines before a head. The HTTP server skips one, of
	// two bytes.
	maxEmptyBytes = 64
	// lingerTime is how long a connection stays open for reading by the client after the
	// response to a head that is too large. If it was closed at once, unread bytes would
	// cause a reset, and the client may miss the response.
	lingerTime = 500 * time.Millisecond
)

// errClosed reports a connection that the process has closed. The HTTP server doesn't
// respond to this error.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("closed by the limits for clients")}

type chunk [chunkBytes]byte

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// Conn is a connection of a Listener. It passes bytes to the HTTP server when the head to
// which they belong is complete, and validates the framing of the requests.
type Conn struct {
	net.Conn
	listener *Listener
	entry    *connlimit.Conn

	// Used by Read only:
	held     []*chunk // bytes that have not been passed on
	heldLen  int      // number of these bytes
	passed   int      // number of them that have been passed on
	complete bool     // they may be passed on

	mu          sync.Mutex
	parser      framingParser
	headResults []error   // results of the heads parsed ahead of their handlers, in order of arrival; nil for a valid head
	busy        bool      // a complete head has not been answered
	deadline    time.Time // for reading, as set by the HTTP server
	rejected    bool      // a response has been sent that ends the connection
	lingering   bool
}

// Read reads from the connection. While no request runs, it returns only when a head is
// complete; the bytes of an incomplete head are charged before they are read.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.complete {
			return c.passOn(p), nil
		}
		if c.isRejected() {
			return 0, errClosed
		}
		into := p
		if len(c.held) > 0 || c.inHead() {
			if c.heldLen == len(c.held)*chunkBytes {
				if !c.addChunk() {
					return 0, errClosed
				}
			}
			into = c.held[len(c.held)-1][c.heldLen%chunkBytes:]
		}
		n, err := c.Conn.Read(into)
		if n == 0 {
			if err != nil {
				c.freeHeld()
			}
			return 0, err
		}
		pass := c.parse(into[:n])
		switch {
		case c.isRejected():
			c.freeHeld()
			return 0, errClosed
		case len(c.held) > 0:
			c.heldLen += n
			c.complete = pass
		case pass:
			return n, nil
		case !c.hold(p[:n]):
			return 0, errClosed
		}
	}
}

// inHead reports whether a part of an incomplete head has been passed on, which can happen
// while the request before it runs, and this request has ended.
func (c *Conn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && c.parser.state == stateHead && c.parser.headLen > 0
}

func (c *Conn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// parse passes bytes to the parser. It reports whether they can be passed on: they belong
// to a complete head or to a request that runs.
func (c *Conn) parse(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := c.parser.headLen > 0
	results := c.parser.feed(p)
	c.headResults = append(c.headResults, results...)
	switch {
	case c.busy:
		return true
	case len(results) > 0 || c.parser.state != stateHead:
		if !c.listener.endHead(c.entry) {
			c.reject(http.StatusRequestTimeout, reasonHeadMemory, false)
			return false
		}
		c.busy = true
		if began {
			c.setHeadDeadline(c.deadline)
		}
		return true
	case c.parser.headLen > c.listener.maxHeadBytes():
		c.reject(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge, true)
	case c.parser.emptyLen > maxEmptyBytes:
		c.reject(http.StatusBadRequest, reasonEmptyLines, true)
	case c.parser.headLen > 0 && !began:
		c.listener.beginHead(c.entry)
		c.setHeadDeadline(time.Now().Add(c.listener.options.HeaderTimeout))
	}
	return false
}

// setHeadDeadline sets the deadline of the connection while a head is incomplete, in place of
// that of an idle connection.
func (c *Conn) setHeadDeadline(t time.Time) {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		c.listener.options.Log.Debug("setting a deadline failed", "peer", c.RemoteAddr(), "error", err)
	}
}

// hold keeps bytes that can't be passed on yet.
func (c *Conn) hold(p []byte) bool {
	for len(p) > 0 {
		if c.heldLen == len(c.held)*chunkBytes && !c.addChunk() {
			return false
		}
		n := copy(c.held[len(c.held)-1][c.heldLen%chunkBytes:], p)
		c.heldLen += n
		p = p[n:]
	}
	return true
}

// addChunk charges and adds a buffer. It returns false if the connection has been closed
// instead.
func (c *Conn) addChunk() bool {
	if !c.listener.charge(c) {
		c.freeHeld()
		return false
	}
	c.held = append(c.held, chunks.Get().(*chunk))
	return true
}

// passOn copies held bytes to p.
func (c *Conn) passOn(p []byte) int {
	total := 0
	for len(p) > 0 && c.passed < c.heldLen {
		end := min(c.heldLen, (c.passed/chunkBytes+1)*chunkBytes)
		n := copy(p, c.held[c.passed/chunkBytes][c.passed%chunkBytes:(end-1)%chunkBytes+1])
		c.passed += n
		total += n
		p = p[n:]
	}
	if c.passed == c.heldLen {
		c.freeHeld()
	}
	return total
}

func (c *Conn) freeHeld() {
	for _, x := range c.held {
		chunks.Put(x)
	}
	c.held, c.heldLen, c.passed, c.complete = nil, 0, 0, false
}

// Write writes a response. It fails if a response has been sent that ends the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isRejected() {
		return 0, errClosed
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline for reading.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines for reading and writing.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Close closes the connection. After a response to a head that is too large, it does so
// later.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.lingering
	c.lingering = false
	c.mu.Unlock()
	if linger {
		time.AfterFunc(lingerTime, func() { _ = c.Close() }) // nothing is left to do if it fails
		return nil
	}
	c.listener.closed(c.entry)
	return c.Conn.Close()
}

// CloseWrite ends the sending side, so that the client can read a last response.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "close connection for writing")
	}
	return nil
}

// reject sends a response without waiting for room in the send buffer, unless the
// connection has been rejected before. The caller holds mu and closes the connection.
func (c *Conn) reject(status int, reason string, linger bool) {
	if c.rejected {
		return
	}
	c.rejected, c.lingering = true, linger
	if linger {
		c.listener.abandon(c.entry)
	}
	c.listener.rejected(c.RemoteAddr(), reason)
	tcp, ok := c.Conn.(interface {
		syscall.Conn
		CloseWrite() error
	})
	if !ok {
		return
	}
	sendNow(tcp, status)
	if linger {
		_ = tcp.CloseWrite() // fails if the client has reset the connection
	}
}

// sendNow sends a response without a body if the send buffer has room for it. The client may
// have closed the connection, so that errors are expected.
func sendNow(c syscall.Conn, status int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = unix.Write(int(fd), rejections[status])
		return true
	})
}

// idle records that the response to a request has been sent.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.headResults) > 0 {
		return // a pipelined request follows
	}
	c.busy = false
	c.listener.idle(c.entry)
	if c.parser.state == stateHead && c.parser.headLen > 0 {
		c.listener.beginHead(c.entry)
	}
}

// takeHeadResult removes and returns the validation result for the request whose
// handler is starting: nil, or the reason to reject it. If the parser has found no
// head for the request, that is errDesynced.
func (c *Conn) takeHeadResult() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.headResults) == 0 {
		return errDesynced
	}
	err := c.headResults[0]
	c.headResults = c.headResults[1:]
	return err
}

type connKey struct{}

// Context stores a connection of a Listener in the context, for use by CheckHead. Configure
// sets it as http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	if hc, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, hc)
	}
	return ctx
}

// CheckHead returns the reason to reject a request because of the framing fields of its
// head, or nil. It must be called once for each request. It returns nil for a request on a
// connection that no Listener has accepted.
func CheckHead(r *http.Request) error {
	if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
		return c.takeHeadResult()
	}
	return nil
}

// ResetOnClose makes the connection of r end with a reset, so that its client gets an error. It
// does nothing if the connection does not come from a Listener.
func ResetOnClose(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Errorf("connection of type %T can't be reset", c.Conn)
	}
	return errors.Wrap(socket.SetLinger(0), "set connection to be reset")
}
