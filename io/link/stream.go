package link

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// The first byte from the serving side tells what became of the call.
const (
	statusAccepted byte = iota
	statusUnknownCall
	statusRole
	statusStreams
)

var statusText = map[byte]string{
	statusUnknownCall: "call is not known",
	statusRole:        "role may not make this call",
	statusStreams:     "too many streams",
}

// Stream is one call. One goroutine may send while another receives.
type Stream struct {
	// Progress is the time within which each Send and Receive must end.
	// DefaultProgress if zero.
	Progress time.Duration
	// Patience replaces Progress for Receive: no deadline if negative. The
	// heartbeats of the session still end a silent stream.
	Patience time.Duration
	Peer     Peer

	conn     net.Conn
	r        *bufio.Reader
	in       []byte
	out      []byte
	serving  bool
	accepted bool // serving side: the status byte is queued
	answered bool // calling side: the status byte has arrived

	mu    sync.Mutex
	ctx   context.Context
	unset func() bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

const readerBytes = 4 << 10

// NewStream frames messages on c. The serving side answers the call with a
// status byte before its first message.
func NewStream(c net.Conn, serving bool) *Stream {
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	return &Stream{conn: c, r: r, serving: serving}
}

// Bind makes Send and Receive fail once ctx ends.
func (s *Stream) Bind(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unset != nil {
		s.unset()
	}
	s.ctx = ctx
	s.unset = context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx == ctx {
			_ = s.conn.SetDeadline(time.Unix(1, 0))
		}
	})
}

// Close ends this side of the call. It must not run beside Receive.
func (s *Stream) Close() error {
	s.mu.Lock()
	if s.unset != nil {
		s.unset()
	}
	s.mu.Unlock()
	if s.r != nil {
		s.r.Reset(nil)
		readers.Put(s.r)
		s.r = nil
	}
	return s.conn.Close()
}

// Send writes the queued messages and m.
func (s *Stream) Send(m proto.Message) error {
	if err := s.Queue(m); err != nil {
		return err
	}
	return s.Flush()
}

// Queue encodes a message that the next Flush or Send writes. It keeps no
// reference to m.
func (s *Stream) Queue(m proto.Message) error {
	size := proto.Size(m)
	if size > maxMessageBytes {
		return errors.Wrapf(ErrMessage, "%d bytes to send, limit is %d", size, maxMessageBytes)
	}
	b := s.out
	if s.serving && !s.accepted {
		b = append(b, statusAccepted)
		s.accepted = true
	}
	b = protowire.AppendVarint(b, uint64(size))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return errors.Wrap(ErrMessage, err.Error())
	}
	s.out = b
	return nil
}

// Flush writes the queued messages.
func (s *Stream) Flush() error {
	if len(s.out) == 0 {
		return nil
	}
	until := time.Now().Add(cmp.Or(s.Progress, DefaultProgress))
	if err := s.deadline(s.conn.SetWriteDeadline, until); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	if err != nil {
		return s.failed("send", err)
	}
	return nil
}

// Receive reads one message. It returns io.EOF when the peer ended its side
// between messages.
func (s *Stream) Receive(m proto.Message) error {
	var until time.Time
	if s.Patience >= 0 {
		until = time.Now().Add(cmp.Or(s.Patience, s.Progress, DefaultProgress))
	}
	if err := s.deadline(s.conn.SetReadDeadline, until); err != nil {
		return err
	}
	if err := s.status(); err != nil {
		return err
	}
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return s.failed("receive", err)
	}
	if size > maxMessageBytes {
		return errors.Wrapf(ErrMessage, "%d bytes received, limit is %d", size, maxMessageBytes)
	}
	if uint64(cap(s.in)) < size {
		s.in = make([]byte, size)
	}
	s.in = s.in[:size]
	if _, err := io.ReadFull(s.r, s.in); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return s.failed("receive", err)
	}
	return errors.Wrap(proto.Unmarshal(s.in, m), "receive")
}

// status reads the first byte from the serving side.
func (s *Stream) status() error {
	if s.serving || s.answered {
		return nil
	}
	b, err := s.r.ReadByte()
	if err != nil {
		return s.failed("receive", err)
	}
	s.answered = true
	if b != statusAccepted {
		return errors.Wrapf(ErrRefused, "%s: %s", s.Peer.Address, statusText[b])
	}
	return nil
}

func (s *Stream) deadline(set func(time.Time) error, until time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx != nil && s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	return set(until)
}

// failed converts an error of yamux. A session that died ends its streams like
// a peer that closed them, so io.EOF counts only while the session lives. A
// reset before any answer comes from a peer that is going away or has no room:
// no handler has seen the call.
func (s *Stream) failed(what string, err error) error {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	if ctx != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	y, ok := s.conn.(*yamux.Stream)
	switch {
	case errors.Is(err, yamux.ErrConnectionReset) && !s.serving && !s.answered:
		return errors.Wrapf(ErrRefused, "%s: peer is going away", s.Peer.Address)
	case errors.Is(err, io.EOF) && (!ok || !y.Session().IsClosed()):
		return io.EOF
	}
	return errors.Wrapf(ErrLink, "%s %s: %v", what, s.Peer.Address, err)
}
