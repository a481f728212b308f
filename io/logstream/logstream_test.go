package logstream_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/internal/memlink"
	"papayarock/io/link"
	"papayarock/io/logstream"
	"papayarock/io/wire"
)

// Guards against the loss of the first message after the peer has restarted, which is the
// first one of an election between two followers: each lost one delays the election by an
// election timeout.
func TestMessageAfterRestartOfPeer(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		received := make(chan uint64, 8)
		var mu sync.Mutex
		var listener *memlink.Listener
		start := func() (stop func()) {
			mu.Lock()
			defer mu.Unlock()
			listener = memlink.NewListener()
			s := &link.Server{Listener: listener, StopTimeout: time.Millisecond}
			link.Handle(s, func(_ context.Context, st *link.Stream, m *wire.ControlLogStream) {
				_ = logstream.Receive(st, fleet.Host(m.GetFrom()), func(_ fleet.Host, m *wire.LogMessage) { received <- m.GetSequence() })
			})
			ctx, cancel := context.WithCancel(context.Background())
			var served sync.WaitGroup
			served.Go(func() { _ = s.Serve(ctx) })
			return func() { cancel(); served.Wait() }
		}
		pool := &link.Pool{Dial: func(ctx context.Context, _ link.Address) (net.Conn, error) {
			mu.Lock()
			l := listener
			mu.Unlock()
			return l.Dial(ctx)
		}}
		defer pool.Close()
		ctx, cancel := context.WithCancel(context.Background())
		transport := &logstream.Transport{
			Self: "a", Pool: pool, Log: hclog.NewNullLogger(),
			Address: func(fleet.Host) (link.Address, bool) {
				return link.Address{AddrPort: netip.MustParseAddrPort("10.0.0.2:7660")}, true
			},
		}
		transport.Start(ctx)
		defer transport.Stop()
		defer cancel()

		stop := start()
		transport.Send("b", &wire.LogMessage{Sequence: 1})
		is.Equal(<-received, uint64(1))
		stop()
		time.Sleep(time.Second)
		defer start()()
		transport.Send("b", &wire.LogMessage{Sequence: 2})
		time.Sleep(time.Second)
		is.Equal(len(received), 1) // the message after the restart
	})
}

// Guards against hosts that were removed from the log for good and that the transport goes on
// to dial.
func TestRemovedPeersAreNotDialled(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		var dials atomic.Int64
		pool := &link.Pool{Dial: func(context.Context, link.Address) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("host is down")
		}}
		defer pool.Close()
		ctx, cancel := context.WithCancel(context.Background())
		transport := &logstream.Transport{
			Self: "a", Pool: pool, Log: hclog.NewNullLogger(),
			Address: func(h fleet.Host) (link.Address, bool) {
				a, err := netip.ParseAddrPort(string(h))
				return link.Address{AddrPort: a}, err == nil
			},
		}
		transport.Start(ctx)
		defer transport.Stop()
		defer cancel()
		for i := range 100 {
			h := fleet.Host(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7660).String())
			for range 20 { // a member for a while
				transport.Send(h, &wire.LogMessage{Sequence: 1})
				time.Sleep(100 * time.Millisecond)
			}
		}
		is.True(dials.Load() > 100)
		time.Sleep(2 * time.Minute)
		before := dials.Load()
		time.Sleep(time.Minute)
		is.Equal(dials.Load(), before)
	})
}
