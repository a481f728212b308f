package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/anypb"

	"papayarock/io/identity"
)

const (
	// maxHandshakes bounds the connections that have not proved who they are.
	maxHandshakes = 256
	acceptRetry   = 10 * time.Millisecond
	acceptRest    = 50 * time.Millisecond
	// DefaultStopTimeout bounds how long a stop waits for open streams.
	DefaultStopTimeout = 30 * time.Second
)

// Server serves the calls of peers. Register calls with Handle before Serve.
type Server struct {
	Listener    net.Listener
	Identity    *identity.Credentials // nil for plain TCP
	Incarnation uint64
	MaxStreams  int // of one peer; DefaultMaxStreams if zero
	// Linger runs once when a stop begins. New streams are accepted until it
	// returns, so a handler can refuse them with a reason of its own.
	Linger      func()
	StopTimeout time.Duration // DefaultStopTimeout if zero
	Log         hclog.Logger

	kinds map[protoreflect.FullName]kind

	mu      sync.Mutex
	streams map[string]int // by peer
}

type kind struct {
	roles  []identity.Role
	handle func(ctx context.Context, s *Stream, first *anypb.Any) error
}

// Handle serves calls whose first message is of type Req for peers that hold
// one of the roles. The stream is closed when h returns. Over plain TCP, roles
// are not checked.
func Handle[Req any, P interface {
	*Req
	proto.Message
}](s *Server, h func(ctx context.Context, st *Stream, first *Req), roles ...identity.Role) {
	if s.kinds == nil {
		s.kinds = make(map[protoreflect.FullName]kind)
	}
	s.kinds[P(new(Req)).ProtoReflect().Descriptor().FullName()] = kind{
		roles: roles,
		handle: func(ctx context.Context, st *Stream, first *anypb.Any) error {
			m := new(Req)
			if err := first.UnmarshalTo(P(m)); err != nil {
				return errors.Wrap(ErrMessage, err.Error())
			}
			h(ctx, st, m)
			return nil
		},
	}
}

// Serve runs until ctx ends. It then stops in order: Linger, no new streams, a
// wait for the running ones up to StopTimeout, then the end of all sessions.
func (s *Server) Serve(ctx context.Context) error {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	accept, cancelAccept := context.WithCancel(work)
	defer cancelAccept()
	stop := context.AfterFunc(ctx, func() {
		if s.Linger != nil {
			s.Linger()
		}
		_ = s.Listener.Close()
	})
	defer stop()
	var conns sync.WaitGroup
	err := s.accept(work, accept, &conns)
	cancelAccept()
	timeout := s.StopTimeout
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	hard := time.AfterFunc(timeout, cancelWork)
	defer hard.Stop()
	conns.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(work, accept context.Context, conns *sync.WaitGroup) error {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept link")
		}
		if err != nil {
			s.Log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetry)
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		conns.Go(func() {
			session, peer, err := s.open(work, c)
			<-handshakes
			if err != nil {
				s.Log.Warn("peer refused", "address", c.RemoteAddr(), "error", err)
				_ = c.Close()
				return
			}
			s.serveSession(work, accept, session, peer)
		})
	}
}

func (s *Server) open(ctx context.Context, raw net.Conn) (*yamux.Session, Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	var config *tls.Config
	if s.Identity != nil {
		config = identity.ServerConfig(s.Identity, s.roles()...)
	}
	c, peer, err := secure(ctx, raw, config, false)
	if err != nil {
		return nil, peer, err
	}
	if _, err := exchangePreface(c, s.Incarnation); err != nil {
		return nil, peer, err
	}
	session, err := yamux.Server(newBatch(c), sessionConfig())
	if err == nil {
		go watch(session, s.Identity, peer)
	}
	return session, peer, err
}

func (s *Server) roles() []identity.Role {
	var roles []identity.Role
	for _, k := range s.kinds {
		roles = append(roles, k.roles...)
	}
	return roles
}

func (s *Server) serveSession(work, accept context.Context, session *yamux.Session, peer Peer) {
	defer func() { _ = session.Close() }()
	name := string(peer.Host)
	if peer.Plain {
		name = peer.Address
	}
	var streams sync.WaitGroup
	serve := func(y *yamux.Stream) {
		st := NewStream(y, true)
		st.Peer = peer
		streams.Go(func() { s.serveStream(work, st, name) })
	}
	acceptAll(accept, session, serve)
	if !session.IsClosed() {
		_ = session.GoAway()
		// Streams that came in before the peer learned of it are served.
		rest, cancel := context.WithTimeout(work, acceptRest)
		acceptAll(rest, session, serve)
		cancel()
	}
	streams.Wait()
	settle(session)
}

func acceptAll(ctx context.Context, session *yamux.Session, serve func(*yamux.Stream)) {
	for {
		y, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		serve(y)
	}
}

func (s *Server) serveStream(ctx context.Context, st *Stream, name string) {
	defer func() { _ = st.Close() }()
	st.Bind(ctx)
	if !s.take(name) {
		st.refuse(statusStreams)
		return
	}
	defer s.give(name)
	var first anypb.Any
	if err := st.Receive(&first); err != nil {
		return
	}
	k, ok := s.kinds[first.MessageName()]
	if !ok {
		s.Log.Warn("call refused", "peer", name, "call", first.MessageName(), "error", "unknown call")
		st.refuse(statusUnknownCall)
		return
	}
	if !st.Peer.Plain && !st.Peer.Is(k.roles...) {
		s.Log.Warn("call refused", "peer", name, "call", first.MessageName(), "error", "role not allowed")
		st.refuse(statusRole)
		return
	}
	if s.Identity.IsRevoked(st.Peer.Peer) {
		s.Log.Warn("call refused", "peer", name, "call", first.MessageName(), "error", "certificate is revoked")
		st.refuse(statusRole)
		return
	}
	if err := k.handle(ctx, st, &first); err != nil {
		s.Log.Warn("call refused", "peer", name, "call", first.MessageName(), "error", err)
	}
}

// refuse answers the call with a status other than accepted.
func (s *Stream) refuse(status byte) {
	s.out, s.accepted = append(s.out, status), true
	_ = s.Flush()
}

func (s *Server) take(name string) bool {
	limit := s.MaxStreams
	if limit == 0 {
		limit = DefaultMaxStreams
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[name] >= limit {
		return false
	}
	if s.streams == nil {
		s.streams = make(map[string]int)
	}
	s.streams[name]++
	return true
}

func (s *Server) give(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[name]--; s.streams[name] == 0 {
		delete(s.streams, name)
	}
}

// settle lets the peer read what was sent last: a stream leaves the session
// once both sides have closed it.
func settle(session *yamux.Session) {
	const tries, pause = 100, 10 * time.Millisecond
	for range tries {
		if session.IsClosed() || session.NumStreams() == 0 {
			return
		}
		time.Sleep(pause)
	}
}
