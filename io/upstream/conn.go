package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errUnsolicited reports data from the target that no request asked for.
var errUnsolicited = errors.New("target sent data on an idle connection")

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time // set by putIdle: the pool closes the connection after this time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), writer: bufio.NewWriterSize(c, writeBufferBytes)}
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

// closeOnDone closes the connection when ctx ends. The returned function detaches the
// connection from ctx. It returns false if ctx has already ended, in which case the
// connection is closed or about to be closed.
func (c *conn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}
