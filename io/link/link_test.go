package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"papayarock/core/fleet"
	"papayarock/internal/memlink"
	"papayarock/io/identity"
	"papayarock/io/link"
)

// memDialer returns a Dial function for a Pool that connects to l in memory.
func memDialer(l *memlink.Listener) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, _ link.Address) (net.Conn, error) { return l.Dial(ctx) }
}

// mutedConn discards all writes while mute is set. The connection stays open.
type mutedConn struct {
	net.Conn
	mute *atomic.Bool
}

func (c mutedConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

var serverAddress = link.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:1")}

func double(_ context.Context, s *link.Stream, v *wrapperspb.Int64Value) {
	_ = s.Send(wrapperspb.Int64(2 * v.GetValue()))
}

func callDouble(ctx context.Context, p *link.Pool, a link.Address, n int64) (int64, error) {
	v, err := link.Call[wrapperspb.Int64Value](ctx, p, a, wrapperspb.Int64(n))
	return v.GetValue(), err
}

// A call must reach the handler registered for its message type, and an unknown
// call must be refused.
func TestDispatchByMessageType(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l, Incarnation: 7}
		link.Handle(s, double)
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *durationpb.Duration) { _ = st.Send(&emptypb.Empty{}) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: memDialer(l)}
		v, err := callDouble(ctx, p, serverAddress, 21)
		is.NoErr(err)
		is.Equal(v, int64(42))
		_, err = link.Call[emptypb.Empty](ctx, p, serverAddress, durationpb.New(time.Second))
		is.NoErr(err)
		_, err = link.Call[emptypb.Empty](ctx, p, serverAddress, wrapperspb.String("x"))
		is.True(errors.Is(err, link.ErrRefused)) // unknown call
		st, err := p.Open(ctx, serverAddress, wrapperspb.Int64(1))
		is.NoErr(err)
		is.Equal(st.Peer.Incarnation, uint64(7))
		is.NoErr(st.Close())
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// A network that drops all data in one direction without closing the TCP
// connection must not leave the session in use: its calls must fail, and the next
// call must dial a new one.
func TestSilentSessionIsReplaced(t *testing.T) {
	for name, fromServer := range map[string]bool{"towards the caller": true, "towards the server": false} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				is := is.New(t)
				l := memlink.NewListener()
				s := &link.Server{Listener: l}
				link.Handle(s, double)
				link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) { _ = st.Receive(&emptypb.Empty{}) })
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- s.Serve(ctx) }()
				var mute atomic.Bool
				var dials atomic.Int32
				p := &link.Pool{Dial: func(_ context.Context, _ link.Address) (net.Conn, error) {
					a, b := net.Pipe()
					if dials.Add(1) == 1 && fromServer {
						b = mutedConn{b, &mute}
					} else if dials.Load() == 1 {
						a = mutedConn{a, &mute}
					}
					return a, l.Deliver(ctx, b)
				}}
				_, err := callDouble(ctx, p, serverAddress, 1)
				is.NoErr(err)
				mute.Store(true)
				st, err := p.Open(ctx, serverAddress, &emptypb.Empty{})
				is.NoErr(err)
				is.True(errors.Is(st.Receive(&emptypb.Empty{}), link.ErrLink)) // the muted session is closed
				_ = st.Close()
				_, err = callDouble(ctx, p, serverAddress, 2)
				is.NoErr(err)
				is.Equal(dials.Load(), int32(2))
				cancel()
				is.NoErr(<-done)
				p.Close()
			})
		})
	}
}

// A slow dial must not delay calls to other peers.
func TestSlowDialBlocksOnlyItsPeer(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l}
		link.Handle(s, double)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		slow := link.Address{Host: "slow"}
		p := &link.Pool{Dial: func(ctx context.Context, a link.Address) (net.Conn, error) {
			if a == slow {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return l.Dial(ctx)
		}}
		var otherDone atomic.Bool
		slowErr := make(chan error)
		go func() {
			_, err := callDouble(ctx, p, slow, 1)
			is.True(otherDone.Load()) // the call to the other peer ended first
			slowErr <- err
		}()
		synctest.Wait()
		_, err := callDouble(ctx, p, serverAddress, 1)
		is.NoErr(err)
		otherDone.Store(true)
		is.True(errors.Is(<-slowErr, link.ErrUnreachable))
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// A graceful stop must not interrupt running calls, and a call made while the
// server shuts down must fail with an error rather than be lost silently.
func TestGracefulStop(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l}
		release := make(chan struct{})
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
			<-release
			for range 100 {
				_ = st.Send(wrapperspb.Bytes(make([]byte, 10_000)))
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: memDialer(l)}
		st, err := p.Open(t.Context(), serverAddress, &emptypb.Empty{})
		is.NoErr(err)
		synctest.Wait()
		cancel()
		time.Sleep(time.Second)
		_, err = p.Open(t.Context(), serverAddress, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrUnreachable)) // the server is shutting down
		close(release)
		for range 100 {
			var v wrapperspb.BytesValue
			is.NoErr(st.Receive(&v))
		}
		is.Equal(st.Receive(&emptypb.Empty{}), io.EOF)
		is.NoErr(st.Close())
		is.NoErr(<-done)
		p.Close()
	})
}

// A peer that opens streams without closing them must be refused beyond its own
// limit, and an oversized message must be rejected before it is sent.
func TestLimits(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l, MaxStreams: 1}
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) { _ = st.Receive(&emptypb.Empty{}) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: memDialer(l)}
		first, err := p.Open(ctx, serverAddress, &emptypb.Empty{})
		is.NoErr(err)
		synctest.Wait()
		_, err = link.Call[emptypb.Empty](ctx, p, serverAddress, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrRefused))                                                 // limit of one stream per peer
		is.True(errors.Is(first.Send(wrapperspb.Bytes(make([]byte, 1<<20+1))), link.ErrMessage)) // too large
		is.NoErr(first.Close())
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// A call must not wait forever for a peer that answers heartbeats but does not
// respond.
func TestProgressDeadline(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l}
		link.Handle(s, func(ctx context.Context, _ *link.Stream, _ *emptypb.Empty) { <-ctx.Done() })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: memDialer(l)}
		_, err := link.Call[emptypb.Empty](ctx, p, serverAddress, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrLink)) // no response in time
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// When a certificate is revoked while a session is open, the other side must close
// the session: neither new calls nor a long-lived stream may continue. Checked for
// a revoked caller and a revoked server.
func TestRevokedPeerLosesItsSession(t *testing.T) {
	now := time.Now()
	a, err := identity.NewAuthority(now, now.Add(time.Hour))
	is.New(t).NoErr(err)
	issue := func(host fleet.Host, r identity.Role, revoked *atomic.Bool) *identity.Credentials {
		c, err := a.Issue(host, []identity.Role{r}, now, now.Add(time.Hour))
		is.New(t).NoErr(err)
		c.Revoked = func(identity.Peer) bool { return revoked.Load() }
		return c
	}
	for name, serverRevokes := range map[string]bool{"revoked caller": true, "revoked server": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var revokedAtServer, revokedAtCaller atomic.Bool
			s := &link.Server{Listener: l, Credentials: issue("a1", identity.Agent, &revokedAtServer), Log: hclog.NewNullLogger()}
			link.Handle(s, double, identity.Entry)
			link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
				_ = st.Send(&emptypb.Empty{})
				_ = st.Receive(&emptypb.Empty{})
			}, identity.Entry)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.Serve(ctx) }()
			address := link.Address{Host: "a1", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
			p := &link.Pool{Credentials: issue("e1", identity.Entry, &revokedAtCaller), Roles: []identity.Role{identity.Agent}}
			st, err := p.Open(ctx, address, &emptypb.Empty{})
			is.NoErr(err)
			is.NoErr(st.Receive(&emptypb.Empty{}))
			revokedAtServer.Store(serverRevokes)
			revokedAtCaller.Store(!serverRevokes)
			is.True(errors.Is(st.Receive(&emptypb.Empty{}), link.ErrLink)) // the long-lived stream ends
			_ = st.Close()
			_, err = callDouble(ctx, p, address, 1)
			is.True(err != nil) // a new session is refused
			p.Close()
			cancel()
			is.NoErr(<-done)
		})
	}
}

// A peer without a certificate, or whose role may not make the call, must not get
// a response. Uses TCP sockets.
func TestRefusesPeers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, err := identity.NewAuthority(now, now.Add(time.Hour))
	is.NoErr(err)
	issue := func(host fleet.Host, r identity.Role) *identity.Credentials {
		c, err := a.Issue(host, []identity.Role{r}, now, now.Add(time.Hour))
		is.NoErr(err)
		return c
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var served atomic.Int32
	s := &link.Server{Listener: l, Credentials: issue("a1", identity.Agent)}
	link.Handle(s, double, identity.Entry)
	link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
		served.Add(1)
		_ = st.Send(&emptypb.Empty{})
	}, identity.Control)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx) }()
	address := link.Address{Host: "a1", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	agents := []identity.Role{identity.Agent}

	entry := &link.Pool{Credentials: issue("e1", identity.Entry), Roles: agents}
	v, err := callDouble(ctx, entry, address, 4)
	is.NoErr(err)
	is.Equal(v, int64(8))
	_, err = link.Call[emptypb.Empty](ctx, entry, address, &emptypb.Empty{})
	is.True(errors.Is(err, link.ErrRefused)) // call not allowed for this role
	entry.Close()
	for name, p := range map[string]*link.Pool{
		"plain TCP":  {},
		"other role": {Credentials: issue("o1", identity.Operator), Roles: agents},
	} {
		_, err = link.Call[emptypb.Empty](ctx, p, address, &emptypb.Empty{})
		is.True(err != nil) // refused
		t.Log(name, err)
		p.Close()
	}
	is.Equal(served.Load(), int32(0))
	cancel()
	is.NoErr(<-done)
}
