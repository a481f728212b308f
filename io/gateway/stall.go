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

// stallWatch cancels an attempt when its stream stalls. It does nothing for requests that
// are not streams.
type stallWatch struct {
	stream  retry.Stream
	canMove func() bool // reports whether another target can continue the stream now
	cancel  context.CancelCauseFunc
	timer   *time.Timer // nil if the request is not a stream

	mu     sync.Mutex
	last   time.Time // of the last complete event, or the start of the attempt
	begun  bool      // the stream can be continued after its last event
	paused bool
}

// watchStream returns a context that is cancelled with errStalled when the stream of the
// attempt stalls. The caller must call stop.
func (a *attempt) watchStream(ctx context.Context) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, last: a.sent}
	if a.route.Kind == catalog.Stream {
		w.stream = a.stream()
		w.canMove = a.canMove
		w.mu.Lock() // check, which runs beside this function, uses timer as well
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(time.Until(w.stream.StallDeadline(a.sent, false)), w.check)
	}
	return ctx, w
}

// check cancels the attempt if its stream has stalled and another target can continue it, or
// if the caller must have given up by now. A target that is busy may only have preempted the
// request, and the stream would be cut if no other target took it.
func (w *stallWatch) check() {
	now := time.Now()
	w.mu.Lock()
	paused, begun, last := w.paused, w.begun, w.last
	w.mu.Unlock()
	if paused {
		return
	}
	end := w.stream.EndDeadline(last)
	stalled := w.stream.StallDeadline(last, begun)
	switch {
	case !now.Before(end), !now.Before(stalled) && begun && w.stream.Resumable && w.canMove():
		w.cancel(errStalled)
	case now.Before(stalled):
		w.schedule(stalled)
	default:
		w.schedule(earlier(now.Add(stallRecheck), end))
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
	return a.failedAttempts+1 < max(1, a.route.Attempts) && a.g.budget(now, a.pool).Available() && a.g.placer.HasSpare(now, request)
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
	w.timer.Reset(time.Until(w.stream.StallDeadline(w.last, begun)))
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
