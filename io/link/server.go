package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/anypb"

	"papayarock/io/identity"
)

const (
	// maxHandshakes limits the connections that are not authenticated yet. Further
	// connections are closed when they are accepted.
	maxHandshakes = 256
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
	// goAwayGrace is how long streams are still accepted after a GoAway frame.
	goAwayGrace = 50 * time.Millisecond
	// DefaultStopTimeout is how long a graceful stop waits for open streams by
	// default.
	DefaultStopTimeout = 30 * time.Second
)

// Server serves calls from peers. Handlers must be registered with Handle before
// Serve is called.
type Server struct {
	Listener    net.Listener
	Credentials *identity.Credentials // nil for plain TCP
	Incarnation uint64                // identifies the run of this process; reported to peers as Peer.Incarnation
	MaxStreams  int                   // limit for each peer; DefaultMaxStreams if zero
	// OnStop is called once when a graceful stop begins. New streams are accepted
	// until it returns, so that handlers can reject them with a specific reason.
	OnStop      func()
	StopTimeout time.Duration // DefaultStopTimeout if zero
	Log         hclog.Logger

	handlers map[protoreflect.FullName]handler

	mu      sync.Mutex
	streams map[string]int // number of open streams by peer
}

type handler struct {
	roles  []identity.Role
	handle func(ctx context.Context, s *Stream, first *anypb.Any) error
}

// Handle registers h for calls whose first message is of type Req, from peers
// that hold at least one of the roles. The stream is closed when h returns. Over
// plain TCP, roles are not checked.
func Handle[Req any, P interface {
	*Req
	proto.Message
}](s *Server, h func(ctx context.Context, st *Stream, first *Req), roles ...identity.Role) {
	if s.handlers == nil {
		s.handlers = make(map[protoreflect.FullName]handler)
	}
	s.handlers[P(new(Req)).ProtoReflect().Descriptor().FullName()] = handler{
		roles: roles,
		handle: func(ctx context.Context, st *Stream, first *anypb.Any) error {
			m := new(Req)
			if err := first.UnmarshalTo(P(m)); err != nil {
				return errors.Wrapf(ErrMessage, "decode first message: %v", err)
			}
			h(ctx, st, m)
			return nil
		},
	}
}

// Serve serves calls until ctx ends, and then stops gracefully: it calls OnStop,
// stops accepting streams, waits up to StopTimeout for the open ones, and closes
// all sessions.
func (s *Server) Serve(ctx context.Context) error {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	// Handlers run with handlerCtx, which is cancelled only after StopTimeout.
	handlerCtx, cancelHandlers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelHandlers()
	acceptCtx, cancelAccept := context.WithCancel(handlerCtx)
	defer cancelAccept()
	stop := context.AfterFunc(ctx, func() {
		if s.OnStop != nil {
			s.OnStop()
		}
		_ = s.Listener.Close()
	})
	defer stop()
	var conns sync.WaitGroup
	err := s.acceptConns(handlerCtx, acceptCtx, &conns)
	cancelAccept()
	timeout := s.StopTimeout
	if timeout == 0 {
		timeout = DefaultStopTimeout
	}
	forceStop := time.AfterFunc(timeout, cancelHandlers)
	defer forceStop.Stop()
	conns.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) acceptConns(handlerCtx, acceptCtx context.Context, conns *sync.WaitGroup) error {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept connection")
		}
		if err != nil {
			s.Log.Warn("accepting a connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		conns.Go(func() {
			session, peer, err := s.handshake(handlerCtx, c)
			<-handshakes
			if err != nil {
				s.Log.Warn("connection rejected", "address", c.RemoteAddr(), "error", err)
				_ = c.Close()
				return
			}
			s.serveSession(handlerCtx, acceptCtx, session, peer)
		})
	}
}

func (s *Server) handshake(ctx context.Context, raw net.Conn) (*session, Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	var config *tls.Config
	if s.Credentials != nil {
		config = identity.ServerConfig(s.Credentials, s.allowedRoles()...)
	}
	c, peer, err := tlsHandshake(ctx, raw, config, false)
	if err != nil {
		return nil, peer, err
	}
	if _, err := exchangePreface(c, s.Incarnation); err != nil {
		return nil, peer, err
	}
	session, err := newSession(c, true)
	if err == nil {
		go monitorSession(session, s.Credentials, peer)
	}
	return session, peer, err
}

func (s *Server) allowedRoles() []identity.Role {
	var roles []identity.Role
	for _, h := range s.handlers {
		roles = append(roles, h.roles...)
	}
	return roles
}

func (s *Server) serveSession(handlerCtx, acceptCtx context.Context, session *session, peer Peer) {
	defer func() { _ = session.Close() }()
	peerName := string(peer.Host)
	if peer.Plain {
		peerName = peer.Address // without a certificate the host is unknown
	}
	var streams sync.WaitGroup
	serve := func(st *Stream) {
		st.Peer = peer
		streams.Go(func() { s.serveStream(handlerCtx, st, peerName) })
	}
	acceptAll(acceptCtx, session, serve)
	if !session.IsClosed() {
		_ = session.GoAway()
		// Serve the streams that the peer opened before it received the GoAway
		// frame.
		graceCtx, cancel := context.WithTimeout(handlerCtx, goAwayGrace)
		acceptAll(graceCtx, session, serve)
		cancel()
	}
	streams.Wait()
	awaitStreamClose(session)
}

// acceptAll calls serve for each incoming stream until ctx or the session ends.
func acceptAll(ctx context.Context, session *session, serve func(*Stream)) {
	for {
		st, err := session.acceptStream(ctx)
		if err != nil {
			return
		}
		serve(st)
	}
}

func (s *Server) serveStream(ctx context.Context, st *Stream, peerName string) {
	defer func() { _ = st.Close() }()
	st.SetContext(ctx)
	if !s.acquireStream(peerName) {
		st.refuse(statusTooManyStreams)
		return
	}
	defer s.releaseStream(peerName)
	var first anypb.Any
	if err := st.Receive(&first); err != nil {
		return
	}
	h, ok := s.handlers[first.MessageName()]
	if !ok {
		s.Log.Warn("call refused", "peer", peerName, "call", first.MessageName(), "error", "unknown call")
		st.refuse(statusUnknownCall)
		return
	}
	if !st.Peer.Plain && !st.Peer.HasAnyRole(h.roles...) {
		s.Log.Warn("call refused", "peer", peerName, "call", first.MessageName(), "error", "role not allowed")
		st.refuse(statusRoleNotAllowed)
		return
	}
	if s.Credentials.IsRevoked(st.Peer.Peer) {
		s.Log.Warn("call refused", "peer", peerName, "call", first.MessageName(), "error", "certificate is revoked")
		st.refuse(statusRoleNotAllowed) // there is no status of its own for revocation
		return
	}
	if err := h.handle(ctx, st, &first); err != nil {
		s.Log.Warn("call refused", "peer", peerName, "call", first.MessageName(), "error", err)
	}
}

// refuse sends a status other than statusAccepted to the caller.
func (s *Stream) refuse(status byte) {
	s.writeBuffer, s.statusQueued = append(s.writeBuffer, status), true
	_ = s.Flush()
}

// acquireStream counts a new stream of a peer. It reports false if the peer has
// reached its limit.
func (s *Server) acquireStream(peerName string) bool {
	limit := s.MaxStreams
	if limit == 0 {
		limit = DefaultMaxStreams
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[peerName] >= limit {
		return false
	}
	if s.streams == nil {
		s.streams = make(map[string]int)
	}
	s.streams[peerName]++
	return true
}

func (s *Server) releaseStream(peerName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[peerName]--; s.streams[peerName] == 0 {
		delete(s.streams, peerName)
	}
}

// awaitStreamClose waits up to one second until the peer has closed its side of
// all streams, so that it can read the last messages before the session ends.
func awaitStreamClose(session *session) {
	const maxPolls, pollInterval = 100, 10 * time.Millisecond
	for range maxPolls {
		if session.IsClosed() || session.NumStreams() == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}
