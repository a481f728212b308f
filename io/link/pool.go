package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"papayarock/io/identity"
)

// Pool keeps one session to each peer. The zero value dials plain TCP.
type Pool struct {
	Credentials *identity.Credentials // nil for plain TCP
	Roles       []identity.Role       // a peer must hold at least one of them
	// Dial opens the connection to a peer. If nil, TCP is used.
	Dial func(ctx context.Context, a Address) (net.Conn, error)

	mu     sync.Mutex
	peers  map[Address]*peerSession
	closed bool
}

// peerSession is the session to one peer. dialSem is a semaphore held while
// dialling, so that a slow dial delays only the calls to this peer. mu guards the
// fields after it.
type peerSession struct {
	dialSem  chan struct{}
	mu       sync.Mutex
	session  *session
	peer     Peer
	lastUsed time.Time // time of the last call
}

// liveSession returns the session, or nil if there is none or it is closed. It
// records the time of use.
func (ps *peerSession) liveSession() (*session, Peer) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.lastUsed = time.Now()
	if ps.session == nil || ps.session.IsClosed() {
		return nil, Peer{}
	}
	return ps.session, ps.peer
}

func (ps *peerSession) setSession(s *session, p Peer) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.session, ps.peer = s, p
}

// Open starts a call by sending its first message, whose type selects the
// handler. Send and Receive on the stream fail once ctx ends.
func (p *Pool) Open(ctx context.Context, a Address, first proto.Message) (*Stream, error) {
	s, err := p.OpenQueued(ctx, a, first)
	if err != nil {
		return nil, err
	}
	if err := s.Flush(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// OpenQueued is like Open, but only queues the first message. The next Send or
// Flush writes it.
func (p *Pool) OpenQueued(ctx context.Context, a Address, first proto.Message) (*Stream, error) {
	envelope, err := anypb.New(first)
	if err != nil {
		return nil, errors.Wrapf(ErrMessage, "encode first message to %s: %v", a.AddrPort, err)
	}
	s, err := p.openStream(ctx, a)
	if err != nil {
		return nil, err
	}
	s.SetContext(ctx)
	if err := s.Queue(envelope); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// openStream opens a stream to a peer. If that fails on an existing session, it
// tries once more with a new one.
func (p *Pool) openStream(ctx context.Context, a Address) (*Stream, error) {
	ps, err := p.sessionTo(a)
	if err != nil {
		return nil, err
	}
	session, peer := ps.liveSession()
	for range 2 {
		if session == nil {
			if session, peer, err = p.connect(ctx, ps, a); err != nil {
				return nil, err
			}
		}
		var s *Stream
		if s, err = session.openStream(); err == nil {
			s.Peer = peer
			return s, nil
		}
		// The session has failed, or the peer is shutting down. Streams that are
		// open on it continue, and new ones need a new session.
		ps.clearSession(session)
		session = nil
	}
	return nil, errors.Wrapf(ErrUnreachable, "open stream to %s: %v", a.AddrPort, err)
}

// clearSession removes the session if it is s.
func (ps *peerSession) clearSession(s *session) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.session == s {
		ps.session = nil
	}
}

// sessionTo returns the entry of peers for a, which it creates if there is none.
func (p *Pool) sessionTo(a Address) (*peerSession, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	ps := p.peers[a]
	if ps == nil {
		p.dropClosed(time.Now().Add(-unusedTimeout))
		ps = &peerSession{dialSem: make(chan struct{}, 1), lastUsed: time.Now()}
		if p.peers == nil {
			p.peers = make(map[Address]*peerSession)
		}
		p.peers[a] = ps
	}
	return ps, nil
}

// dropClosed removes the peers without an open session that no call has used since cutoff.
// The caller holds mu.
func (p *Pool) dropClosed(cutoff time.Time) {
	for a, ps := range p.peers {
		if ps.closedSince(cutoff) {
			delete(p.peers, a)
		}
	}
}

// closedSince reports whether there is no open session, and no call has used the last one
// after cutoff.
func (ps *peerSession) closedSince(cutoff time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return (ps.session == nil || ps.session.IsClosed()) && ps.lastUsed.Before(cutoff)
}

// connect returns the session to a peer. It dials unless another call has done so
// in the meantime.
func (p *Pool) connect(ctx context.Context, ps *peerSession, a Address) (*session, Peer, error) {
	select {
	case ps.dialSem <- struct{}{}:
	case <-ctx.Done():
		return nil, Peer{}, errors.Wrapf(ErrUnreachable, "wait for another dial to %s: %v", a.AddrPort, ctx.Err())
	}
	defer func() { <-ps.dialSem }()
	if s, peer := ps.liveSession(); s != nil {
		return s, peer, nil
	}
	s, peer, err := p.dial(ctx, a)
	if err != nil {
		p.removePeer(a, ps)
		return nil, Peer{}, errors.Wrapf(ErrUnreachable, "dial %s: %v", a.AddrPort, err)
	}
	ps.setSession(s, peer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = s.Close()
		return nil, Peer{}, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	p.peers[a] = ps // an earlier failed dial may have removed it
	return s, peer, nil
}

// removePeer removes a peer that has no session, so that the map does not grow
// with peers that no longer exist.
func (p *Pool) removePeer(a Address, ps *peerSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[a] == ps {
		delete(p.peers, a)
	}
}

func (p *Pool) dial(ctx context.Context, a Address) (*session, Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, a)
	if err != nil {
		return nil, Peer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	var config *tls.Config
	if p.Credentials != nil {
		config = identity.ClientConfig(p.Credentials, a.Host, p.Roles...)
	}
	c, peer, err := tlsHandshake(ctx, raw, config, true)
	if err != nil {
		_ = raw.Close()
		return nil, Peer{}, err
	}
	if peer.Incarnation, err = exchangePreface(c, 0); err != nil {
		_ = raw.Close()
		return nil, Peer{}, err
	}
	s, err := newSession(c, false)
	if err == nil {
		go monitorSession(s, p.Credentials, peer)
	}
	return s, peer, err
}

func dialTCP(ctx context.Context, a Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.AddrPort.String())
}

// Close closes all sessions. Later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = nil
	p.mu.Unlock()
	for _, ps := range peers {
		if s, _ := ps.liveSession(); s != nil {
			_ = s.Close()
		}
	}
}

// Call makes a unary call: it sends the request and returns the only response
// message. Resp is the message type of the response.
func Call[Resp any, P interface {
	*Resp
	proto.Message
}](ctx context.Context, p *Pool, a Address, request proto.Message) (*Resp, error) {
	s, err := p.Open(ctx, a, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	resp := new(Resp)
	if err := s.Receive(P(resp)); err != nil {
		return nil, errors.Wrapf(err, "answer to %s", request.ProtoReflect().Descriptor().Name())
	}
	return resp, nil
}
