package action

import (
	"context"
	"io"
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

// silentServer accepts one connection, reads what arrives, and returns the error with which
// the connection ended.
func silentServer(t *testing.T) (address string, ended <-chan error) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	result := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			result <- err
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.Copy(io.Discard, c)
		result <- err
	}()
	return l.Addr().String(), result
}

// Guards against an action that its caller has given up and whose data is delivered later: a
// partition that ends does not undo an ordinary close, only a reset.
func TestGivenUpActionIsReset(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, address string){
		"the deadline passes": func(t *testing.T, address string) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/usage", strings.NewReader("report"))
			if err != nil {
				t.Fatal(err)
			}
			if r, err := NewClient(nil).Do(q); err == nil {
				_ = r.Body.Close()
				t.Fatal("a response without a server")
			}
		},
		"the caller cancels": func(t *testing.T, address string) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			time.AfterFunc(100*time.Millisecond, cancel)
			q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/usage", strings.NewReader("report"))
			if err != nil {
				t.Fatal(err)
			}
			if r, err := NewClient(nil).Do(q); err == nil {
				_ = r.Body.Close()
				t.Fatal("a response without a server")
			}
		},
		"a connection without a deadline": func(t *testing.T, address string) {
			c, err := Dial(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Write([]byte("order")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, ended := silentServer(t)
			end(t, address)
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
