package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/state"
	"papayarock/io/httpconn"
	"papayarock/io/wire"
)

// writeTimeout bounds each write to a caller that does not read the response.
const writeTimeout = 30 * time.Second

// errCallerDisconnected reports that a write to the caller failed.
var errCallerDisconnected = errors.New("caller disconnected")

// sink writes a response to the caller. It delays the header until the first byte
// of the body, so that a retry on another target is possible until then.
type sink struct {
	w       *httpconn.Response
	rc      *http.ResponseController
	head    *wire.Head // nil until received; its status is valid
	started bool       // the header has been written
	length  int64      // Content-Length, -1 if absent
	written int64      // bytes of the body written to the caller
	// held are bytes that would make the response look complete to the caller. They
	// are held until the checksum of the response has been verified.
	held        []byte
	firstByte   time.Time
	onFirstByte func() // called once, before the first byte
	// continueAfterDisconnect makes writes succeed after the caller disconnected,
	// for requests whose outcome must be recorded.
	continueAfterDisconnect bool
	disconnected            bool
	// stored is the copy of the response to store with the claim. It is nil if none is
	// to be stored or once the response is too large.
	stored *state.StoredAnswer
}

func newSink(w *httpconn.Response, onFirstByte func()) *sink {
	return &sink{w: w, rc: http.NewResponseController(w), onFirstByte: onFirstByte}
}

// start writes the header of the response if that has not been done.
func (s *sink) start() error {
	if s.started {
		return nil
	}
	if s.head == nil {
		return errors.Wrap(ErrInvalidResponse, "body received before the response header")
	}
	in, err := wire.DecodeHeader(s.head.GetHeaders())
	if err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	status := int(s.head.GetStatus())
	s.started = true
	s.firstByte = time.Now()
	s.onFirstByte()
	stripHeaders(in)
	h := s.w.Header()
	for name, values := range in {
		h[name] = values
	}
	s.length = -1
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil {
		s.length = n
	}
	if s.stored != nil {
		s.stored.Status = status
		for name, values := range in {
			for _, v := range values {
				s.stored.Headers = append(s.stored.Headers, state.Header{Name: name, Value: v})
			}
		}
	}
	s.w.WriteHeader(status)
	return nil
}

func (s *sink) write(data []byte) error {
	if err := s.start(); err != nil {
		return err
	}
	if s.stored != nil {
		if len(s.stored.Body)+len(data) > state.MaxStoredAnswerBytes {
			s.stored = nil
		} else {
			s.stored.Body = append(s.stored.Body, data...)
		}
	}
	if len(s.held) > 0 {
		data = append(s.held, data...)
		s.held = nil
	}
	if s.couldCompleteResponse(data) {
		s.held = append([]byte(nil), data...)
		return nil
	}
	return s.forward(data)
}

// couldCompleteResponse reports whether the caller could take the response for
// complete once it has received data: at Content-Length or, without it, after the
// last event of an event stream of the completion API.
func (s *sink) couldCompleteResponse(data []byte) bool {
	if s.length >= 0 {
		return s.written+int64(len(data)) >= s.length
	}
	return bytes.HasSuffix(bytes.TrimRight(data, "\r\n "), []byte("[DONE]"))
}

// finish writes the held bytes. It is called when the checksum of the response has
// been verified.
func (s *sink) finish() error {
	if err := s.start(); err != nil {
		return err
	}
	if len(s.held) > 0 {
		if err := s.forward(s.held); err != nil {
			return err
		}
	}
	if !s.disconnected {
		s.w.Complete()
	}
	return nil
}

func (s *sink) forward(data []byte) error {
	if s.disconnected {
		return nil
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.written += int64(len(data))
	_, err := s.w.Write(data)
	if err == nil && s.length < 0 { // may be an event stream, which must not be delayed
		err = s.rc.Flush()
	}
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	if s.continueAfterDisconnect {
		s.disconnected = true
		return nil
	}
	return errors.Wrap(errCallerDisconnected, err.Error())
}

// replay writes the stored response of an earlier request.
func (s *sink) replay(stored state.StoredAnswer) {
	h := s.w.Header()
	for _, f := range stored.Headers {
		h.Add(f.Name, f.Value)
	}
	h.Set("Idempotency-Replayed", "true")
	s.w.WriteHeader(stored.Status)
	if _, err := s.w.Write(stored.Body); err == nil {
		s.w.Complete()
	}
}
