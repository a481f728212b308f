package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/place"
	"papayarock/core/retry"
)

// errStalled ends an attempt whose target has sent no complete event for too long. The
// target may be gone without a reset of its connections.
var errStalled = errors.New("no complete event from the target in time")

// stallRecheck is the interval at which a stalled stream is checked for a target that can
// continue it.
const stallRecheck = 50 * time.Millisecond

// stallWatch cancels an attempt when its stream stalls and another target can take it over.
// It does nothing for requests that are not streams.
type stallWatch struct {
	stream retry.Stream
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if the request is not a stream

	mu      sync.Mutex
	canMove func() bool // reports whether another target can continue the stream now; nil if none may
	last    time.Time   // of the last complete event, or the start of the attempt
	begun   bool        // the stream can be continued after its last event
	paused  bool
}

// watchStream returns a context that is cancelled with errStalled when the stream of the
// attempt stalls. The caller must call stop.
func (a *attempt) watchStream(ctx context.Context) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, last: a.sent}
	if a.route.Kind == catalog.Stream {
		w.stream = a.stream()
		if a.prefillOnly || w.stream.Resumable {
			w.canMove = a.canMove
		}
		w.mu.Lock() // check, which runs beside this function, uses timer as well
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(time.Until(w.deadline()), w.check)
	}
	return ctx, w
}

// deadline returns when the stream counts as stalled. The caller holds mu.
func (w *stallWatch) deadline() time.Time {
	if w.begun {
		return w.stream.StallDeadline(w.last, true)
	}
	return w.stream.RestartDeadline(w.last)
}

// check cancels the attempt if its stream has stalled and another target can continue it. A
// target that is silent may go on at any time, so the stream is left to its caller and its
// deadline otherwise.
func (w *stallWatch) check() {
	now := time.Now()
	w.mu.Lock()
	paused, canMove, stalled := w.paused, w.canMove, w.deadline()
	w.mu.Unlock()
	switch {
	case paused || canMove == nil:
	case now.Before(stalled):
		w.schedule(stalled)
	case canMove():
		w.cancel(errStalled)
	default:
		w.schedule(now.Add(stallRecheck))
	}
}

// silent reports whether the target has sent no complete event for as long as callers wait
// for one. A caller that leaves then does so because of the target.
func (w *stallWatch) silent() bool {
	if w.timer == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.paused && !time.Now().Before(w.stream.StallDeadline(w.last, false))
}

// silence returns the time since the last complete event of the target, or since the start
// of the attempt.
func (w *stallWatch) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// schedule sets the time of the next check, unless the watch is paused.
func (w *stallWatch) schedule(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused {
		w.timer.Reset(time.Until(at))
	}
}

// canMove reports whether another target can continue the stream of the attempt now. It uses
// only fields that do not change during the attempt, since it runs beside it.
func (a *attempt) canMove() bool {
	request := place.Request{Pool: a.pool, Rank: a.targetRank(), Exclude: append(slices.Clone(a.tried), a.record.Target)}
	now := time.Now()
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	attempts := max(1, a.route.Attempts)
	if a.prefillOnly {
		attempts = max(attempts, retry.MaxAttempts) // as in prepareRetry, since a prefill does not execute the request
	}
	return a.failedAttempts+1 < attempts && a.g.budget(now, a.pool).Available() && a.g.placer.HasSpare(now, request)
}

// pause stops the watch while the gateway does not read from the target.
func (w *stallWatch) pause() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	w.timer.Stop()
}

// progress records that a complete event has been forwarded, and resumes the watch. begun
// says whether the stream can be continued after that event.
func (w *stallWatch) progress(begun bool) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.begun, w.paused = time.Now(), begun, false
	if !begun {
		w.canMove = nil // no other target knows where to go on
	}
	w.timer.Reset(time.Until(w.deadline()))
}

// drainTimeout limits the time for reading a body that is not forwarded.
const drainTimeout = 50 * time.Millisecond

// drain reads the rest of a body that is not forwarded, so that the connection can be used
// again. A body that is large or does not end in time costs the connection; the attempt is
// cancelled then.
func (w *stallWatch) drain(body io.Reader) {
	timer := time.AfterFunc(drainTimeout, func() { w.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxBufferedResponseBytes))
}

func (w *stallWatch) stop() {
	w.pause()
	w.cancel(nil)
}
