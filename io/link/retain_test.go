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

// counted counts the writes of a connection.
type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.n.Add(1)
	return c.Conn.Write(b)
}

// Guards against sessions that stay after their peer was chosen once, against a
// call that is cut by the end of a session that is no longer wanted, and against
// idle sessions that cost as many heartbeats as busy ones.
func TestRetain(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
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
			return counted{c, &writes}, err
		}}
		call := func() {
			t.Helper()
			_, err := callDouble(ctx, p, there, 1)
			is.NoErr(err)
		}
		drop := func(link.Address) bool { return false }
		call()
		time.Sleep(time.Minute)
		idle := writes.Load()
		// 20 heartbeats and 20 answers to those of the server, and the call.
		is.True(idle < 60)
		st, err := p.Open(ctx, there, &emptypb.Empty{})
		is.NoErr(err)
		time.Sleep(9 * time.Second)
		// One write each second, which may carry the heartbeat and the answer to
		// the server's; an idle session has 7 at most in that time.
		is.True(writes.Load()-idle >= 8)
		p.Retain(time.Now().Add(time.Minute), drop)
		is.NoErr(st.Send(&emptypb.Empty{}))
		is.NoErr(st.Receive(&emptypb.Empty{})) // the open stream was not cut
		_ = st.Close()
		time.Sleep(time.Second)
		p.Retain(time.Now(), drop) // used a moment ago
		call()
		is.Equal(dials.Load(), int64(1))
		time.Sleep(time.Minute)
		p.Retain(time.Now(), func(link.Address) bool { return true })
		call()
		is.Equal(dials.Load(), int64(1))
		time.Sleep(time.Minute)
		p.Retain(time.Now(), drop)
		call() // the former session has not been closed yet
		is.Equal(dials.Load(), int64(2))
		time.Sleep(10 * time.Second)
		call()
		is.Equal(dials.Load(), int64(2))
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}
