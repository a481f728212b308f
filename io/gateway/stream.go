package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/io/upstream"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	eventBuffer   = 4 << 10
)

var (
	errEventTooLarge = errors.New("an event of the stream is too large")
	errPartialEvent  = errors.New("the stream ended within an event")
)

// events splits a stream into events.
type events struct {
	r   *bufio.Reader
	buf bytes.Buffer
	id  string // of the last event that had one
}

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, eventBuffer)} }

// next returns the bytes of the next event with its blank line, valid until the
// next call, and whether it has an id. It returns io.EOF after the last event
// of a complete stream.
func (e *events) next() (event []byte, err error) {
	e.buf.Reset()
	id, found := "", false
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf.Write(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && e.buf.Len() < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && e.buf.Len() > 0:
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		case e.buf.Len() > maxEventBytes:
			return nil, errEventTooLarge
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			break
		}
		if value, ok := strings.CutPrefix(text, "id:"); ok {
			id, found = strings.TrimPrefix(value, " "), true
		}
	}
	if found {
		e.id = id
	}
	return e.buf.Bytes(), nil
}

// stream passes on the events of an answer as they arrive. The head goes with
// the first event, so that an attempt that fails before it can be replaced.
func (a *attempt) stream(ctx context.Context, r *upstream.Response, v Verdict) (retry.Execution, bool) {
	if !v.Genuine {
		a.ended(place.Failed)
		a.g.log.Warn("answer not usable", "id", a.ask.ID, "target", a.to.Target, "status", r.Status, "genuine", false)
		return retry.Executed, false
	}
	e := newEvents(r.Body)
	flush := http.NewResponseController(a.w)
	for {
		event, err := e.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.broken(ctx, err)
		}
		a.started()
		if !a.answered {
			a.head(r)
			a.w.WriteHeader(r.Status)
			a.answered = true
		}
		_, err = a.w.Write(event)
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			a.ended(place.Abandoned)
			a.note(reasonCallerLeft, r.Status)
			panic(http.ErrAbortHandler)
		}
		if e.id != "" {
			a.after = e.id
		}
	}
	if !a.answered {
		a.head(r)
		a.w.WriteHeader(r.Status)
		a.answered = true
	}
	a.ended(place.Served)
	a.done(r.Status)
	return retry.Executed, true
}

// broken ends an attempt whose stream broke off. A stream that may be resumed
// goes on at another target.
func (a *attempt) broken(ctx context.Context, err error) (retry.Execution, bool) {
	outcome := place.Failed
	if ctx.Err() != nil {
		outcome = place.Abandoned
	}
	a.ended(outcome)
	a.g.log.Info("answer broke off", "id", a.ask.ID, "target", a.to.Target, "after", a.after, "answered", a.answered, "error", err)
	return retry.Executed, false
}
