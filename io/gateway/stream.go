package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/retry"
	"papayarock/io/upstream"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer. Longer lines are read in parts.
	eventBufferBytes = 4 << 10
)

var (
	errEventTooLarge = errors.New("stream event exceeds the size limit")
	errPartialEvent  = errors.New("stream ended in the middle of an event")
	errRepeatedEvent = errors.New("target sent an event that the caller has already received")
)

// eventReader splits a stream of server-sent events into single events.
type eventReader struct {
	r      *bufio.Reader
	buf    buffer
	id     string // of the last event; empty if it has none
	lastID string // id of the last event that has one

	peeked    bool // peek has read the next event
	peekEvent []byte
	peekErr   error
}

// newEventReader returns a reader whose buffer is charged to share. Call free when it is
// not used any more.
func newEventReader(r io.Reader, share *memoryShare) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), buf: buffer{share: share}}
}

func (e *eventReader) free() { e.buf.free() }

// peek reads the event that next returns, and returns its error.
func (e *eventReader) peek() error {
	e.peekEvent, e.peekErr = e.next()
	e.peeked = true
	return e.peekErr
}

// next returns the bytes of the next event including its blank line; they are valid
// until the next call. If the event has an id, next sets lastID. It returns io.EOF if the
// stream ends between events, errPartialEvent if it ends within one, errEventTooLarge, or
// errNoMemory if the memory for all events is used up.
func (e *eventReader) next() (event []byte, err error) {
	if e.peeked {
		e.peeked = false
		return e.peekEvent, e.peekErr
	}
	e.buf.reset()
	id, hasID := "", false
	lineStart := 0 // in buf; a line that exceeds the read buffer arrives in pieces
	for {
		line, err := e.r.ReadSlice('\n')
		if bufferErr := e.buf.write(line, maxEventBytes); bufferErr != nil {
			return nil, bufferErr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.buf.data) > 0:
			return nil, errPartialEvent
		case err != nil:
			return nil, err
		}
		text := bytes.TrimRight(e.buf.data[lineStart:], "\r\n")
		lineStart = len(e.buf.data)
		if len(text) == 0 {
			break
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	e.id = id
	if hasID {
		e.lastID = id
	}
	return e.buf.data, nil
}

// forwardStream forwards the events of a response as they arrive, or rejects a response
// without proof of origin.
func (a *attempt) forwardStream(ctx context.Context, r *upstream.Response, info ResponseInfo) (retry.Execution, bool) {
	if !info.Authentic {
		a.reportOutcome(place.Failed)
		a.g.log.Warn("stream rejected: no proof of origin", "id", a.params.ID, "target", a.record.Target, "status", r.Status, "genuine", false)
		return retry.Executed, false
	}
	e := newEventReader(r.Body, &a.g.responses)
	defer e.free()
	return a.forwardEvents(ctx, r, e)
}

// forwardEvents forwards the events of a response as they arrive. It writes the header
// with the first event, so that an attempt that fails earlier can be retried. If the
// caller has disconnected, it panics, which closes the connection.
func (a *attempt) forwardEvents(ctx context.Context, r *upstream.Response, e *eventReader) (retry.Execution, bool) {
	controller := http.NewResponseController(a.w)
	var pace paceMeter
	var gaps gapMeter
	resumed := a.headerSent
	for {
		event, err := e.next()
		if errors.Is(err, io.EOF) {
			if pace.events > 0 || r.Delimited {
				break
			}
			err = errNoBody
		}
		if err == nil && resumed && repeats(a.lastEventID, e.id) {
			err = errRepeatedEvent
		}
		if err != nil {
			return a.handleTruncatedStream(ctx, err)
		}
		// A caller that reads slowly is not a stall of the target.
		if !a.stall.pause() {
			return a.handleTruncatedStream(ctx, errMoved)
		}
		a.reportFirstEvent()
		pace.add(time.Now())
		a.observeEvent(&gaps, pace.last)
		if pace.last.Sub(pace.first) >= responseStart {
			a.recordSurvival()
		}
		if !a.headerSent {
			a.copyHeaders(r)
			a.w.WriteHeader(r.Status)
			a.headerSent = true
		}
		_, err = a.w.Write(event)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			a.reportOutcome(place.Abandoned)
			a.recordEnd(reasonCallerLeft, r.Status)
			panic(http.ErrAbortHandler)
		}
		if e.lastID != "" {
			a.lastEventID, a.lastEventAt = e.lastID, time.Now()
		}
		gaps.forwarded = time.Now()
		a.stall.progress(a.lastEventID)
	}
	if !a.headerSent {
		a.copyHeaders(r)
		a.w.WriteHeader(r.Status)
		a.headerSent = true
	}
	a.w.Complete()
	a.recordSurvival()
	a.reportPause(pace)
	a.reportGaps(&gaps, !resumed)
	a.reportOutcome(place.Served)
	a.recordResponse(r.Status)
	return retry.Executed, true
}

// repeats reports whether the event with an id is the last one that the caller has received,
// or an earlier one: a target that ignores the id of the last event begins the stream
// again. Ids that are not numbers can't be compared.
func repeats(last, id string) bool {
	m, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n <= m
}

// paceMeter measures the mean pause between the events of a stream.
type paceMeter struct {
	first, last time.Time
	events      int
}

func (m *paceMeter) add(now time.Time) {
	if m.events == 0 {
		m.first = now
	}
	m.last = now
	m.events++
}

// reportPause reports the mean pause of a complete stream to the placer.
func (a *attempt) reportPause(m paceMeter) {
	if m.events < 2 || a.route.MaxPause <= 0 {
		return
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	a.g.placer.RecordPause(a.pool, m.last.Sub(m.first)/time.Duration(m.events-1), a.route.MaxPause)
}

// handleTruncatedStream reports and logs an attempt whose stream was truncated.
// prepareRetry decides whether another target continues the stream.
func (a *attempt) handleTruncatedStream(ctx context.Context, err error) (retry.Execution, bool) {
	outcome := place.Failed
	switch {
	case errors.Is(context.Cause(ctx), errMoved):
		err = errMoved
	case a.stall.silent():
		err = errStalled
	case ctx.Err() != nil, errors.Is(err, errNoMemory): // the memory is used up by other responses
		outcome = place.Abandoned
	}
	a.recordBreak(quarantine.Starting, err)
	a.reportOutcome(outcome)
	a.g.log.Info("answer broke off", "id", a.params.ID, "target", a.record.Target, "after", a.lastEventID, "answered", a.headerSent, "silent", a.stall.silence(), "segments", a.segmentList(), "error", err)
	return retry.Executed, false
}

// abort records a truncated response and panics. This closes the connection, so that the
// caller does not take the response for complete.
func (j *job) abort() {
	j.g.truncated.Add(1)
	j.recordEnd(reasonAnswerCut, http.StatusOK)
	panic(http.ErrAbortHandler)
}
