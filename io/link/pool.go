package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"papayarock/io/identity"
)

// Pool keeps one session for each peer. The zero value dials plain TCP.
type Pool struct {
	Identity *identity.Credentials // nil for plain TCP
	Roles    []identity.Role       // of which a peer must hold one
	Dial     func(ctx context.Context, a Address) (net.Conn, error)

	mu     sync.Mutex
	peers  map[Address]*outbound
	closed bool
}

// outbound is the session with one peer. turn is held while dialling, so that
// a slow dial delays the calls to this peer only.
type outbound struct {
	turn    chan struct{}
	mu      sync.Mutex
	session *yamux.Session
	peer    Peer
	used    time.Time // of the last call
}

func (o *outbound) live() (*yamux.Session, Peer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used = time.Now()
	if o.session == nil || o.session.IsClosed() {
		return nil, Peer{}
	}
	return o.session, o.peer
}

func (o *outbound) set(s *yamux.Session, p Peer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.session, o.peer = s, p
}

// Open starts a call with its first message, whose type selects the handler.
// The stream is bound to ctx.
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

// OpenQueued is Open without the write: the first message goes out with the
// next Send or Flush.
func (p *Pool) OpenQueued(ctx context.Context, a Address, first proto.Message) (*Stream, error) {
	envelope, err := anypb.New(first)
	if err != nil {
		return nil, errors.Wrap(ErrMessage, err.Error())
	}
	s, err := p.stream(ctx, a)
	if err != nil {
		return nil, err
	}
	s.Bind(ctx)
	if err := s.Queue(envelope); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (p *Pool) stream(ctx context.Context, a Address) (*Stream, error) {
	o, err := p.outbound(a)
	if err != nil {
		return nil, err
	}
	session, peer := o.live()
	for range 2 {
		if session == nil {
			if session, peer, err = p.connect(ctx, o, a); err != nil {
				return nil, err
			}
		}
		var y *yamux.Stream
		if y, err = session.OpenStream(); err == nil {
			s := NewStream(y, false)
			s.Peer = peer
			return s, nil
		}
		// The session died, or its peer is going away: its running streams
		// go on, new ones need a new session.
		o.forget(session)
		session = nil
	}
	return nil, errors.Wrapf(ErrUnreachable, "open stream to %s: %v", a.AddrPort, err)
}

func (o *outbound) forget(s *yamux.Session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session == s {
		o.session = nil
	}
}

func (p *Pool) outbound(a Address) (*outbound, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	o := p.peers[a]
	if o == nil {
		o = &outbound{turn: make(chan struct{}, 1)}
		if p.peers == nil {
			p.peers = make(map[Address]*outbound)
		}
		p.peers[a] = o
	}
	return o, nil
}

func (p *Pool) connect(ctx context.Context, o *outbound, a Address) (*yamux.Session, Peer, error) {
	select {
	case o.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, Peer{}, errors.Wrapf(ErrUnreachable, "wait for dial of %s: %v", a.AddrPort, ctx.Err())
	}
	defer func() { <-o.turn }()
	if s, peer := o.live(); s != nil {
		return s, peer, nil
	}
	s, peer, err := p.dial(ctx, a)
	if err != nil {
		p.drop(a, o)
		return nil, Peer{}, errors.Wrapf(ErrUnreachable, "dial %s: %v", a.AddrPort, err)
	}
	o.set(s, peer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = s.Close()
		return nil, Peer{}, errors.Wrap(ErrUnreachable, "pool is closed")
	}
	p.peers[a] = o // a failed dial that ran before may have dropped it
	return s, peer, nil
}

// drop forgets a peer without a session, so that targets that left do not
// fill the map.
func (p *Pool) drop(a Address, o *outbound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[a] == o {
		delete(p.peers, a)
	}
}

func (p *Pool) dial(ctx context.Context, a Address) (*yamux.Session, Peer, error) {
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
	if p.Identity != nil {
		config = identity.ClientConfig(p.Identity, a.Host, p.Roles...)
	}
	c, peer, err := secure(ctx, raw, config, true)
	if err != nil {
		_ = raw.Close()
		return nil, Peer{}, err
	}
	if peer.Incarnation, err = exchangePreface(c, 0); err != nil {
		_ = raw.Close()
		return nil, Peer{}, err
	}
	s, err := yamux.Client(newBatch(c), sessionConfig())
	if err == nil {
		go watch(s, p.Identity, peer)
	}
	return s, peer, err
}

func dialTCP(ctx context.Context, a Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.AddrPort.String())
}

// Close ends all sessions and refuses further calls.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = nil
	p.mu.Unlock()
	for _, o := range peers {
		if s, _ := o.live(); s != nil {
			_ = s.Close()
		}
	}
}

// Call makes a call with one request and one answer message. Resp is a message
// type; the result is a pointer to it.
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
