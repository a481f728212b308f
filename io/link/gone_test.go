package link

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/emptypb"

	"papayarock/internal/memlink"
)

// Guards against a pool that keeps an entry for each peer that it was ever connected to.
func TestPeersThatAreGone(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &Server{Listener: l, StopTimeout: time.Millisecond}
		Handle(s, func(_ context.Context, st *Stream, _ *emptypb.Empty) { _ = st.Send(&emptypb.Empty{}) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &Pool{Dial: func(ctx context.Context, _ Address) (net.Conn, error) { return l.Dial(ctx) }}
		for i := range 1000 {
			a := Address{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7660)}
			_, err := Call[emptypb.Empty](ctx, p, a, &emptypb.Empty{})
			is.NoErr(err)
			time.Sleep(time.Second)
			open, _ := p.peers[a].liveSession()
			_ = open.Close() // the host is gone
		}
		is.True(len(p.peers) <= 2*int(unusedTimeout/time.Second))
		p.Close()
		cancel()
		is.NoErr(<-done)
	})
}
