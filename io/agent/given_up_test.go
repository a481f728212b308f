package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an order that the agent has given up and that reaches an engine that does not
// check its number after a newer one.
func TestGivenUpOrderIsReset(t *testing.T) {
	is := is.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_, err = io.Copy(io.Discard, c) // no answer
		}
		ended <- err
	}()
	_, _, orders := transports()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/order", strings.NewReader("{}"))
	is.NoErr(err)
	_, err = orders.RoundTrip(q) //nolint:bodyclose // there is no response
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
