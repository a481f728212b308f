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

// dial returns the Dial of a Pool whose connections are made in memory.
func dial(l *memlink.Listener) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, _ link.Address) (net.Conn, error) { return l.Dial(ctx) }
}

// silent swallows what is written once mute is set; the connection stays open.
type silent struct {
	net.Conn
	mute *atomic.Bool
}

func (s silent) Write(b []byte) (int, error) {
	if s.mute.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

var there = link.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:1")}

func double(_ context.Context, s *link.Stream, v *wrapperspb.Int64Value) {
	_ = s.Send(wrapperspb.Int64(2 * v.GetValue()))
}

func callDouble(ctx context.Context, p *link.Pool, a link.Address, n int64) (int64, error) {
	v, err := link.Call[wrapperspb.Int64Value](ctx, p, a, wrapperspb.Int64(n))
	return v.GetValue(), err
}

// Guards against calls that reach the handler of another type, and against
// unknown calls that are answered.
func TestDispatch(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l, Incarnation: 7}
		link.Handle(s, double)
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *durationpb.Duration) { _ = st.Send(&emptypb.Empty{}) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: dial(l)}
		v, err := callDouble(ctx, p, there, 21)
		is.NoErr(err)
		is.Equal(v, int64(42))
		_, err = link.Call[emptypb.Empty](ctx, p, there, durationpb.New(time.Second))
		is.NoErr(err)
		_, err = link.Call[emptypb.Empty](ctx, p, there, wrapperspb.String("x"))
		is.True(errors.Is(err, link.ErrRefused)) // unknown call
		st, err := p.Open(ctx, there, wrapperspb.Int64(1))
		is.NoErr(err)
		is.Equal(st.Peer.Incarnation, uint64(7))
		is.NoErr(st.Close())
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// Guards against a session that stays in use although nothing arrives on it
// while its TCP connection is open.
func TestSilentSessionIsReplaced(t *testing.T) {
	for name, fromServer := range map[string]bool{"towards the caller": true, "towards the server": false} {
		t.Run(name, func(t *testing.T) {
			memlink.Bubble(t, func(t *testing.T) {
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
						b = silent{b, &mute}
					} else if dials.Load() == 1 {
						a = silent{a, &mute}
					}
					return a, l.Give(ctx, b)
				}}
				_, err := callDouble(ctx, p, there, 1)
				is.NoErr(err)
				mute.Store(true)
				st, err := p.Open(ctx, there, &emptypb.Empty{})
				is.NoErr(err)
				is.True(errors.Is(st.Receive(&emptypb.Empty{}), link.ErrLink)) // stream of the silent session
				_ = st.Close()
				_, err = callDouble(ctx, p, there, 2)
				is.NoErr(err)
				is.Equal(dials.Load(), int32(2))
				cancel()
				is.NoErr(<-done)
				p.Close()
			})
		})
	}
}

// Guards against a slow dial that holds up calls to other peers.
func TestSlowDialBlocksOnlyItsPeer(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
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
		var fast atomic.Bool
		stuck := make(chan error)
		go func() {
			_, err := callDouble(ctx, p, slow, 1)
			is.True(fast.Load()) // the other call ended first
			stuck <- err
		}()
		synctest.Wait()
		_, err := callDouble(ctx, p, there, 1)
		is.NoErr(err)
		fast.Store(true)
		is.True(errors.Is(<-stuck, link.ErrUnreachable))
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// Guards against a stop that cuts running calls, and against calls that are
// lost without notice while the server goes away.
func TestGracefulStop(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
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
		p := &link.Pool{Dial: dial(l)}
		st, err := p.Open(t.Context(), there, &emptypb.Empty{})
		is.NoErr(err)
		synctest.Wait()
		cancel()
		time.Sleep(time.Second)
		_, err = p.Open(t.Context(), there, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrUnreachable)) // going away
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

// Guards against one peer that takes all streams, and against messages without
// bound.
func TestLimits(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l, MaxStreams: 1}
		link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) { _ = st.Receive(&emptypb.Empty{}) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: dial(l)}
		first, err := p.Open(ctx, there, &emptypb.Empty{})
		is.NoErr(err)
		synctest.Wait()
		_, err = link.Call[emptypb.Empty](ctx, p, there, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrRefused))                                                 // second stream
		is.True(errors.Is(first.Send(wrapperspb.Bytes(make([]byte, 1<<20+1))), link.ErrMessage)) // too large
		is.NoErr(first.Close())
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// Guards against a stream that waits without end for a peer that is alive but
// does not move.
func TestProgressDeadline(t *testing.T) {
	memlink.Bubble(t, func(t *testing.T) {
		is := is.New(t)
		l := memlink.NewListener()
		s := &link.Server{Listener: l}
		link.Handle(s, func(ctx context.Context, _ *link.Stream, _ *emptypb.Empty) { <-ctx.Done() })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.Serve(ctx) }()
		p := &link.Pool{Dial: dial(l)}
		_, err := link.Call[emptypb.Empty](ctx, p, there, &emptypb.Empty{})
		is.True(errors.Is(err, link.ErrLink)) // no answer in time
		cancel()
		is.NoErr(<-done)
		p.Close()
	})
}

// Guards against a peer whose certificate is revoked while its session is open
// and goes on with calls or with a stream that never ends, on either side.
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
	for name, byServer := range map[string]bool{"revoked caller": true, "revoked server": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var atServer, atCaller atomic.Bool
			s := &link.Server{Listener: l, Identity: issue("a1", identity.Agent, &atServer), Log: hclog.NewNullLogger()}
			link.Handle(s, double, identity.Entry)
			link.Handle(s, func(_ context.Context, st *link.Stream, _ *emptypb.Empty) {
				_ = st.Send(&emptypb.Empty{})
				_ = st.Receive(&emptypb.Empty{})
			}, identity.Entry)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.Serve(ctx) }()
			address := link.Address{Host: "a1", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
			p := &link.Pool{Identity: issue("e1", identity.Entry, &atCaller), Roles: []identity.Role{identity.Agent}}
			st, err := p.Open(ctx, address, &emptypb.Empty{})
			is.NoErr(err)
			is.NoErr(st.Receive(&emptypb.Empty{}))
			atServer.Store(byServer)
			atCaller.Store(!byServer)
			is.True(errors.Is(st.Receive(&emptypb.Empty{}), link.ErrLink)) // the endless stream ends
			_ = st.Close()
			_, err = callDouble(ctx, p, address, 1)
			is.True(err != nil) // a new session is refused
			p.Close()
			cancel()
			is.NoErr(<-done)
		})
	}
}

// Guards against a peer without certificate or with another role that gets an
// answer, on real sockets.
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
	s := &link.Server{Listener: l, Identity: issue("a1", identity.Agent)}
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

	entry := &link.Pool{Identity: issue("e1", identity.Entry), Roles: agents}
	v, err := callDouble(ctx, entry, address, 4)
	is.NoErr(err)
	is.Equal(v, int64(8))
	_, err = link.Call[emptypb.Empty](ctx, entry, address, &emptypb.Empty{})
	is.True(errors.Is(err, link.ErrRefused)) // call of another role
	entry.Close()
	for name, p := range map[string]*link.Pool{
		"plain TCP":  {},
		"other role": {Identity: issue("o1", identity.Operator), Roles: agents},
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
