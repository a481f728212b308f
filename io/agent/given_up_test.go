package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/silent"
)

// Guards against an order that the agent has given up and that reaches an engine that does not
// check its number after a newer one.
func TestGivenUpOrderIsReset(t *testing.T) {
	is := is.New(t)
	address, ended, err := silent.Listen(t.Context())
	is.NoErr(err)
	_, _, orders := transports()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/order", strings.NewReader("{}"))
	is.NoErr(err)
	_, err = orders.RoundTrip(q) //nolint:bodyclose // there is no response
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
