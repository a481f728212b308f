package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/state"
	"papayarock/io/wire"
)

// writeTimeout ends a request whose caller takes nothing.
const writeTimeout = 30 * time.Second

// errCaller reports a caller that left.
var errCaller = errors.New("caller left")

// sink writes an answer to the caller. The head is held back until the first
// byte of the body, so that until then another target can take over.
type sink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	head    *wire.Head
	started bool
	length  int64 // of the body, -1 if not announced
	written int64
	// held is the last part of the answer. Bytes that would make the answer
	// look whole to the caller wait until the end has been checked.
	held  []byte
	first time.Time
	began func() // called once, at the first byte
	// stay keeps the answer coming after the caller left, for requests whose
	// end must be recorded.
	stay bool
	left bool
	keep *state.StoredAnswer // nil once the answer is too large to keep
}

func newSink(w http.ResponseWriter, began func()) *sink {
	return &sink{w: w, rc: http.NewResponseController(w), began: began}
}

func (s *sink) start() error {
	if s.started {
		return nil
	}
	if s.head == nil {
		return errors.Wrap(ErrAnswer, "no head before the body")
	}
	in, err := wire.DecodeHeader(s.head.GetHeaders())
	if err != nil {
		return errors.Wrap(ErrAnswer, err.Error())
	}
	status := int(s.head.GetStatus())
	if status < 200 || status > 999 {
		return errors.Wrapf(ErrAnswer, "status %d", status)
	}
	s.started = true
	s.first = time.Now()
	s.began()
	strip(in)
	h := s.w.Header()
	for name, values := range in {
		h[name] = values
	}
	s.length = -1
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil {
		s.length = n
	}
	if s.keep != nil {
		s.keep.Status = status
		for name, values := range in {
			for _, v := range values {
				s.keep.Headers = append(s.keep.Headers, state.Header{Name: name, Value: v})
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
	if s.keep != nil {
		if len(s.keep.Body)+len(data) > state.MaxStoredAnswerBytes {
			s.keep = nil
		} else {
			s.keep.Body = append(s.keep.Body, data...)
		}
	}
	if len(s.held) > 0 {
		data = append(s.held, data...)
		s.held = nil
	}
	if s.completes(data) {
		s.held = append([]byte(nil), data...)
		return nil
	}
	return s.pass(data)
}

// completes reports whether a caller that has data as well could take the
// answer for whole.
func (s *sink) completes(data []byte) bool {
	if s.length >= 0 {
		return s.written+int64(len(data)) >= s.length
	}
	return bytes.HasSuffix(bytes.TrimRight(data, "\r\n "), []byte("[DONE]"))
}

// finish writes what was held back, after the end of the answer was checked.
func (s *sink) finish() error {
	if err := s.start(); err != nil {
		return err
	}
	if len(s.held) == 0 {
		return nil
	}
	return s.pass(s.held)
}

func (s *sink) pass(data []byte) error {
	if s.left {
		return nil
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.written += int64(len(data))
	_, err := s.w.Write(data)
	if err == nil && s.length < 0 {
		err = s.rc.Flush()
	}
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	if s.stay {
		s.left = true
		return nil
	}
	return errors.Wrap(errCaller, err.Error())
}

// replay writes a kept answer.
func (s *sink) replay(k state.StoredAnswer) {
	h := s.w.Header()
	for _, f := range k.Headers {
		h.Add(f.Name, f.Value)
	}
	h.Set("Idempotency-Replayed", "true")
	s.w.WriteHeader(k.Status)
	_, _ = s.w.Write(k.Body)
}
