package controller

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against an action that continues after its deadline because the deadline's
// timer has not fired yet, as in a process that was paused.
func TestWriteAfterDeadline(t *testing.T) {
	is := is.New(t)
	x, y := net.Pipe()
	defer func() { _ = x.Close() }()
	defer func() { _ = y.Close() }()
	_, err := deadlineConn{x, time.Now()}.Write([]byte("order"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
