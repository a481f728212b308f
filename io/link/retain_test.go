package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/emptypb"

	"papayarock/internal/memlink"
	"papayarock/io/link"
)

// writeCounter counts the writes to a connection.
type writeCounter struct {
	net.Conn
	writes *atomic.Int64
}

func (c writeCounter) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Guards against three failures: a session stays open indefinitely after a single
// call to its peer; a call is interrupted because Retain closes its session; idle
// sessions send as many heartbeats as sessions with open streams.
func TestRetain(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l}
		link.Handle(s, double)
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
			_ = st.Receive(&emptypb.Empty{})
			_ = st.Send(&emptypb.Empty{})
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		var dials, writes atomic.Int64
		p := &link.Pool{Dial: func(ctx context.Context, _ link.Address) (net.Conn, error) {
			dials.Add(1)
			c, err := l.Dial(ctx)
			return writeCounter{c, &writes}, err
		}}
		call := func() {
			t.Helper()
			_, err := callDouble(ctx, p, serverAddress, 1)
			is.NoErr(err)
		}
		keepNone := func(link.Address) bool { return false }
		call()
		time.Sleep(time.Minute)
		idleWrites := writes.Load()
		// 20 heartbeats, 20 responses to the server's heartbeats, and the call.
		is.True(idleWrites < 60)
		st, err := p.Open(ctx, serverAddress, &emptypb.Empty{})
		is.NoErr(err)
		time.Sleep(9 * time.Second)
		// One write per second, which may carry both the heartbeat and the response
		// to the server's. An idle session has at most 7 writes in that time.
		is.True(writes.Load()-idleWrites >= 8)
		p.Retain(time.Now().Add(time.Minute), keepNone)
		is.NoErr(st.Send(&emptypb.Empty{}))
		is.NoErr(st.Receive(&emptypb.Empty{})) // the open stream was not interrupted
		_ = st.Close()
		time.Sleep(time.Second)
		p.Retain(time.Now(), keepNone) // the session was used recently
		call()
		is.Equal(dials.Load(), int64(1))
		time.Sleep(time.Minute)
		p.Retain(time.Now(), func(link.Address) bool { return true })
		call()
		is.Equal(dials.Load(), int64(1))
		time.Sleep(time.Minute)
		p.Retain(time.Now(), keepNone)
		call() // the removed session is not closed yet
		is.Equal(dials.Load(), int64(2))
		time.Sleep(10 * time.Second)
		call()
		is.Equal(dials.Load(), int64(2))
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}
