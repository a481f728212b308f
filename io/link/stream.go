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

// Status of a call, sent as the first byte by the serving side.
const (
	statusAccepted byte = iota
	statusUnknownCall
	statusRoleNotAllowed
	statusTooManyStreams
)

var statusText = map[byte]string{
	statusUnknownCall:    "unknown call",
	statusRoleNotAllowed: "role is not allowed to make this call",
	statusTooManyStreams: "too many streams",
}

// Stream is a single call. One goroutine may send while another receives.
type Stream struct {
	// Timeout is the timeout of each Send, and of each Receive if ReceiveTimeout is
	// zero. Zero means DefaultTimeout. A message may also take the time of its transfer
	// at minBytesPerSecond.
	Timeout time.Duration
	// ReceiveTimeout is the timeout of each Receive if not zero, up to the start of the
	// message. If it is negative, Receive has no deadline, but the heartbeats of the
	// session still end a stream whose peer is unresponsive.
	ReceiveTimeout time.Duration
	Peer           Peer

	conn           net.Conn
	reader         *bufio.Reader
	readBuffer     []byte
	writeBuffer    []byte
	serving        bool
	statusQueued   bool // serving side: the status byte has been queued
	statusReceived bool // calling side: the status byte has been read

	mu               sync.Mutex
	ctx              context.Context
	stopContextWatch func() bool // stops the context.AfterFunc of ctx
	sessionEnded     bool
	onClose          func() // may be nil
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferBytes) }}

const (
	readerBufferBytes = 4 << 10
	// maxKeptBufferBytes is the size up to which a stream keeps the buffer of a message
	// for the next one. A replica has a stream to each gateway, and the largest messages,
	// with a document, are rare.
	maxKeptBufferBytes = 64 << 10
	// minBytesPerSecond is the rate at which a message must be transferred at least. It is
	// low because after a restart a host sends to hundreds of others, over a link that it
	// shares with the requests.
	minBytesPerSecond = 16 << 10
	// maxFrameBytes limits one yamux frame. A reader gets no byte of a frame before all of it
	// has arrived, and a heartbeat waits behind it.
	maxFrameBytes = 16 << 10
)

// transferTime returns the longest time that the transfer of n bytes may take.
func transferTime(n int) time.Duration {
	return time.Duration(n) * time.Second / minBytesPerSecond
}

// NewStream returns a stream that frames messages on c. The serving side sends a
// status byte before its first message.
func NewStream(c net.Conn, serving bool) *Stream {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(c)
	return &Stream{conn: c, reader: r, serving: serving}
}

// SetContext makes Send and Receive fail once ctx ends.
func (s *Stream) SetContext(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	s.ctx = ctx
	s.stopContextWatch = context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx == ctx {
			_ = s.conn.SetDeadline(time.Unix(1, 0)) // in the past, so that reads and writes fail
		}
	})
}

// Close ends this side of the call: the peer receives io.EOF after the messages
// sent. It must not be called concurrently with Receive, because it returns the
// buffered reader to a pool.
func (s *Stream) Close() error {
	s.mu.Lock()
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	s.mu.Unlock()
	if s.onClose != nil {
		s.onClose()
	}
	if s.reader != nil {
		s.reader.Reset(nil)
		readerPool.Put(s.reader)
		s.reader = nil
	}
	return s.conn.Close()
}

// Send writes all queued messages, followed by m.
func (s *Stream) Send(m proto.Message) error {
	if err := s.Queue(m); err != nil {
		return err
	}
	return s.Flush()
}

// Queue encodes m, to be written by the next Flush or Send. It does not retain
// m.
func (s *Stream) Queue(m proto.Message) error {
	size := proto.Size(m)
	if size > maxMessageBytes {
		return errors.Wrapf(ErrMessage, "message to %s has %d bytes, limit is %d", s.Peer.Address, size, maxMessageBytes)
	}
	b := s.writeBuffer
	if s.serving && !s.statusQueued {
		b = append(b, statusAccepted)
		s.statusQueued = true
	}
	b = protowire.AppendVarint(b, uint64(size))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return errors.Wrapf(ErrMessage, "encode message to %s: %v", s.Peer.Address, err)
	}
	s.writeBuffer = b
	return nil
}

// Flush writes all queued messages.
func (s *Stream) Flush() error {
	if len(s.writeBuffer) == 0 {
		return nil
	}
	deadline := time.Now().Add(cmp.Or(s.Timeout, DefaultTimeout) + transferTime(len(s.writeBuffer)))
	if err := s.setDeadline(s.conn.SetWriteDeadline, deadline); err != nil {
		return err
	}
	var err error
	for rest := s.writeBuffer; len(rest) > 0 && err == nil; {
		var n int
		n, err = s.conn.Write(rest[:min(len(rest), maxFrameBytes)])
		rest = rest[n:]
	}
	s.writeBuffer = s.writeBuffer[:0]
	if cap(s.writeBuffer) > maxKeptBufferBytes {
		s.writeBuffer = nil
	}
	if err != nil {
		return s.streamError("send", err)
	}
	return nil
}

// Receive reads one message. It returns io.EOF if the peer closed its side
// between messages.
func (s *Stream) Receive(m proto.Message) error {
	var deadline time.Time
	if s.ReceiveTimeout >= 0 {
		deadline = time.Now().Add(cmp.Or(s.ReceiveTimeout, s.Timeout, DefaultTimeout))
	}
	if err := s.setDeadline(s.conn.SetReadDeadline, deadline); err != nil {
		return err
	}
	if err := s.receiveStatus(); err != nil {
		return err
	}
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return s.streamError("receive", err)
	}
	if size > maxMessageBytes {
		return errors.Wrapf(ErrMessage, "message from %s has %d bytes, limit is %d", s.Peer.Address, size, maxMessageBytes)
	}
	if uint64(cap(s.readBuffer)) < size {
		s.readBuffer = make([]byte, size)
	}
	s.readBuffer = s.readBuffer[:size]
	if !deadline.IsZero() && s.reader.Buffered() < int(size) {
		if err := s.setDeadline(s.conn.SetReadDeadline, deadline.Add(transferTime(int(size)))); err != nil {
			return err
		}
	}
	if _, err := io.ReadFull(s.reader, s.readBuffer); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return s.streamError("receive", err)
	}
	err = proto.Unmarshal(s.readBuffer, m)
	if cap(s.readBuffer) > maxKeptBufferBytes {
		s.readBuffer = nil
	}
	return errors.Wrap(err, "receive")
}

// receiveStatus reads the status byte on the calling side, once.
func (s *Stream) receiveStatus() error {
	if s.serving || s.statusReceived {
		return nil
	}
	b, err := s.reader.ReadByte()
	if err != nil {
		return s.streamError("receive", err)
	}
	s.statusReceived = true
	if b != statusAccepted {
		return errors.Wrapf(ErrRefused, "%s: %s", s.Peer.Address, statusText[b])
	}
	return nil
}

func (s *Stream) setDeadline(set func(time.Time) error, t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx != nil && s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if s.sessionEnded {
		return errors.Wrapf(ErrLink, "%s: the session has ended", s.Peer.Address)
	}
	return set(t)
}

// streamError converts an error of the connection. When a session fails, yamux
// returns io.EOF from its streams as if the peer had closed them, so io.EOF is
// passed on only while the session is open. A reset before the status byte comes
// from a peer that is shutting down or whose accept backlog is full, so no handler
// has run.
func (s *Stream) streamError(op string, err error) error {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	if ctx != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	y, ok := s.conn.(*yamux.Stream)
	switch {
	case errors.Is(err, yamux.ErrConnectionReset) && !s.serving && !s.statusReceived:
		return errors.Wrapf(ErrRefused, "%s: peer is shutting down or its accept backlog is full", s.Peer.Address)
	case errors.Is(err, io.EOF) && (!ok || !y.Session().IsClosed()):
		return io.EOF
	}
	return errors.Wrapf(ErrLink, "%s %s: %v", op, s.Peer.Address, err)
}
