package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	maxMessageBytes   = 1 << 20
	heartbeatInterval = time.Second
	writeTimeout      = 3 * time.Second
	streamOpenTimeout = 3 * time.Second
)

// ErrLink reports a peer that could not be reached or stopped answering.
var ErrLink = errors.New("link failed")

// Stream is one call to a peer.
type Stream struct {
	net.Conn
	r *bufio.Reader
}

// NewStream frames messages on c.
func NewStream(c net.Conn) *Stream { return &Stream{Conn: c, r: bufio.NewReader(c)} }

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	_, err := protodelim.MarshalTo(s.Conn, m)
	return errors.Wrap(err, "send message")
}

// Receive reads one message. It returns io.EOF when the peer ended the stream
// between messages.
func (s *Stream) Receive(m proto.Message) error {
	o := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	err := o.UnmarshalFrom(s.r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return errors.Wrap(err, "receive message")
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = heartbeatInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.LogOutput = io.Discard
	return c
}

// Handler serves one stream. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Serve accepts sessions on l until ctx ends, and hands each stream to h. It
// returns once all handlers have returned.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept link")
		}
		wg.Go(func() { serveSession(ctx, c, h) })
	}
}

func serveSession(ctx context.Context, c net.Conn, h Handler) {
	session, err := yamux.Server(c, sessionConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	defer func() { _ = session.Close() }()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		s, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			defer func() { _ = s.Close() }()
			h(ctx, NewStream(s))
		})
	}
}

// Pool keeps one session for each peer. The zero value is ready to use.
type Pool struct {
	mu       sync.Mutex
	sessions map[netip.AddrPort]*yamux.Session
}

// Open starts a call to the peer at addr.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort) (*Stream, error) {
	session, err := p.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := session.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(ErrLink, "open stream to %s: %v", addr, err)
	}
	return NewStream(s), nil
}

func (p *Pool) session(ctx context.Context, addr netip.AddrPort) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[addr]; s != nil && !s.IsClosed() {
		return s, nil
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(ErrLink, "dial %s: %v", addr, err)
	}
	s, err := yamux.Client(c, sessionConfig())
	if err != nil {
		return nil, errors.Wrapf(ErrLink, "start session with %s: %v", addr, err)
	}
	if p.sessions == nil {
		p.sessions = make(map[netip.AddrPort]*yamux.Session)
	}
	p.sessions[addr] = s
	return s, nil
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		_ = s.Close()
	}
}
