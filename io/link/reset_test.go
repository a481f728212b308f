package link

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/io/identity"
)

// Guards against calls that are delivered after their session was closed because the peer did
// not answer: a partition may hold up what was written, and ends seconds later.
func TestSilentSessionIsReset(t *testing.T) {
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_, err = io.Copy(io.Discard, c) // answers no heartbeat
		}
		ended <- err
	}()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	s, err := newSession(c, false)
	is.NoErr(err)
	var none *identity.Credentials
	go monitorSession(s, none, Peer{})
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
