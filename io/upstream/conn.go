package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errUnsolicited reports data from the target that no request asked for.
var errUnsolicited = errors.New("target sent data on an idle connection")

// maxHeadBytes limits the header of a response and the data that is read ahead with it.
// Without a limit, a target that sends a header without end uses up the memory of the
// process.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.Errorf("response header exceeds %d bytes", maxHeadBytes)

// limitedReader reads from a connection. While it reads the header of a response, it keeps
// the bytes and fails after a number of them.
type limitedReader struct {
	source io.Reader
	left   int    // unlimited if negative
	head   []byte // read since startHead
}

// Read reads at most the remaining number of bytes.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.head = append(l.head, p[:n]...)
	return n, err
}

// startHead limits what is read until endHead, and keeps it.
func (c *conn) startHead() {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	c.limit.left, c.limit.head = maxHeadBytes, append([]byte(nil), buffered...)
}

// endHead ends the limit, and returns the bytes consumed since startHead. net/http does not
// pass on the fields that state the length of the body.
func (c *conn) endHead() []byte {
	head := c.limit.head
	c.limit.left, c.limit.head = -1, nil
	return head[:len(head)-c.reader.Buffered()]
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	limit   *limitedReader // below reader
	reader  *bufio.Reader
	writer  *bufio.Writer
	kept    bool      // the connection has been in the pool
	expires time.Time // set by putIdle: the pool closes the connection after this time
}

func newConn(c net.Conn) *conn {
	limit := &limitedReader{source: c, left: -1}
	return &conn{Conn: c, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), writer: bufio.NewWriterSize(c, writeBufferBytes)}
}

// checkIdle returns an error unless the connection is open and has no data to
// read. It does not block.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errUnsolicited
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil // not a socket, as in tests
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket of idle connection")
	}
	var buf [1]byte
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), buf[:])
		return true
	})
	switch {
	case err != nil:
		return errors.Wrap(err, "access socket of idle connection")
	case n > 0:
		return errUnsolicited
	case errors.Is(readErr, syscall.EAGAIN):
		return nil
	case readErr != nil:
		return errors.Wrap(readErr, "read idle connection")
	}
	return errors.New("target closed an idle connection")
}

// unsent returns the number of bytes that have been written to the connection and that the
// kernel of the target has not confirmed. The end of a connection from a target that has read
// the whole request confirms all of it.
func (c *conn) unsent() (int, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil // not a socket, as in tests
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	var n int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err == nil {
		err = ioctlErr
	}
	return n, errors.Wrap(err, "read size of send queue")
}

// closeOnDone closes the connection when ctx ends. The returned function detaches the
// connection from ctx. It returns false if ctx has already ended, in which case the
// connection is closed or about to be closed.
func (c *conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}
