package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"papayarock/io/action"
)

// session is a yamux session that wakes the readers and writers of its streams before it
// closes. While yamux.Session.Close waits for the connection, a blocked Read or Write
// finds the session shut down but its stream still open, and tries again without a
// pause. That uses a whole processor until Close has marked the streams closed, which
// itself needs that processor where there is only one.
type session struct {
	*yamux.Session
	streams streamSet
	conn    *batchConn
}

// newSession starts a session on c.
func newSession(c net.Conn, serving bool) (*session, error) {
	s := &session{conn: newBatchConn(c)}
	s.conn.onClose = s.streams.end
	var err error
	if serving {
		s.Session, err = yamux.Server(s.conn, sessionConfig())
	} else {
		s.Session, err = yamux.Client(s.conn, sessionConfig())
	}
	return s, err
}

// reset closes a session to a peer that does not answer. What it has written is not delivered
// any more: after a network partition, a call would otherwise be carried out seconds after its
// caller has given it up.
func (s *session) reset() error {
	err := action.ResetOnClose(s.conn.Conn)
	if closeErr := s.Close(); closeErr != nil {
		return closeErr
	}
	return errors.Wrap(err, "close session")
}

// openStream opens a stream to the peer.
func (s *session) openStream() (*Stream, error) {
	c, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	return s.newStream(c, false), nil
}

// acceptStream waits for a stream that the peer opens.
func (s *session) acceptStream(ctx context.Context) (*Stream, error) {
	c, err := s.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	return s.newStream(c, true), nil
}

func (s *session) newStream(c *yamux.Stream, serving bool) *Stream {
	st := NewStream(c, serving)
	st.onClose = func() { s.streams.remove(st) }
	s.streams.add(st)
	return st
}

// streamSet is the set of open streams of a session.
type streamSet struct {
	mu      sync.Mutex
	ended   bool
	streams map[*Stream]struct{}
}

func (s *streamSet) add(st *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		st.end()
		return
	}
	if s.streams == nil {
		s.streams = make(map[*Stream]struct{})
	}
	s.streams[st] = struct{}{}
}

func (s *streamSet) remove(st *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// end ends all streams of the set, and those that are added later.
func (s *streamSet) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for st := range s.streams {
		st.end()
	}
	s.streams = nil
}

// end makes Send and Receive fail because the session has ended.
func (s *Stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionEnded = true
	_ = s.conn.SetDeadline(time.Unix(1, 0)) // in the past, so that reads and writes fail
}
