package link

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/internal/silent"
	"papayarock/io/identity"
)

// Guards against calls that are delivered after their session was closed because the peer did
// not answer: a partition may hold up what was written, and ends seconds later.
func TestSilentSessionIsReset(t *testing.T) {
	is := is.New(t)
	address, ended, err := silent.Listen(t.Context())
	is.NoErr(err)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	is.NoErr(err)
	s, err := newSession(c, false)
	is.NoErr(err)
	var none *identity.Credentials
	go monitorSession(s, none, Peer{})
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
