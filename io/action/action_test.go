package action

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/internal/silent"
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

// Guards against an action that its caller has given up and whose data is delivered later: a
// partition that ends does not undo an ordinary close, only a reset.
func TestGivenUpActionIsReset(t *testing.T) {
	post := func(ctx context.Context, address string) error {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/usage", strings.NewReader("report"))
		if err != nil {
			return err
		}
		_, err = NewClient(nil).Do(q) //nolint:bodyclose // there is no response
		return err
	}
	for name, giveUp := range map[string]func(ctx context.Context, address string) error{
		"the deadline passes": func(ctx context.Context, address string) error {
			ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			return post(ctx, address)
		},
		"the caller cancels": func(ctx context.Context, address string) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			time.AfterFunc(100*time.Millisecond, cancel)
			return post(ctx, address)
		},
		"a connection without a deadline": func(ctx context.Context, address string) error {
			c, err := Dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			if _, err := c.Write([]byte("order")); err != nil {
				return err
			}
			_ = c.Close()
			return context.Canceled
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, ended, err := silent.Listen(t.Context())
			is.NoErr(err)
			err = giveUp(t.Context(), address.String())
			is.True(errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled))
			is.True(errors.Is(<-ended, syscall.ECONNRESET))
		})
	}
}

// Guards against an action without a deadline, and against one that a redirect repeats at
// another address.
func TestClient(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("report"))
	is.NoErr(err)
	_, err = NewClient(nil).Do(q) //nolint:bodyclose // there is no response
	is.True(errors.Is(err, os.ErrNoDeadline))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := NewClient(nil).Do(q.Clone(ctx))
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusTemporaryRedirect)
	is.Equal(calls.Load(), int64(1))
}
