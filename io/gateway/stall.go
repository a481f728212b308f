package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/retry"
)

var (
	// errStalled ends an attempt whose target has sent no complete event for too long. The
	// target may be gone without a reset of its connections.
	errStalled = errors.New("no complete event from the target in time")
	// errMoved ends a stalled attempt whose stream another target has continued.
	errMoved = errors.New("another target has continued the stream")
)

// stallRecheck is the interval at which a stalled stream is checked for a target that can
// continue it.
const stallRecheck = 50 * time.Millisecond

// stallWatch has another target continue the stream of an attempt that stalls. The attempt
// goes on until the continuation has its first event, since its target may only be silent
// for a time and the other one may refuse or fail. Whichever has an event first is kept.
// The watch does nothing for requests that are not streams.
type stallWatch struct {
	attempt *attempt
	stream  retry.Stream
	ctx     context.Context // of the request
	cancel  context.CancelCauseFunc
	timer   *time.Timer // nil if the request is not a stream

	mu       sync.Mutex
	last     time.Time // of the last complete event, or the start of the attempt
	after    string    // id of the last event that has been forwarded
	begun    bool      // the target has sent an event
	noID     bool      // the last event had no id, so that no other target knows where to go on
	paused   bool
	failed   bool               // the attempt has failed
	moved    bool               // standby has taken the stream over
	standby  *continuation      // in progress; nil if none
	dropped  []*continuation    // those that have not taken over
	excluded []fleet.TargetName // targets that have been asked for the stream
	attempts int                // of the request that may have run
	sent     int                // attempts of the request, also those that were rejected
}

// watchStream returns a context for the attempt and the watch of its stream. The caller must
// call stop.
func (a *attempt) watchStream(ctx context.Context) (context.Context, *stallWatch) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	w := a.newStallWatch(ctx, cancel)
	if a.route.Kind == catalog.Stream {
		w.start()
	}
	return attemptCtx, w
}

// newStallWatch returns a watch that has not started. cancel ends the attempt.
func (a *attempt) newStallWatch(ctx context.Context, cancel context.CancelCauseFunc) *stallWatch {
	return &stallWatch{
		attempt: a, stream: a.stream(), ctx: ctx, cancel: cancel, last: a.sent, after: a.lastEventID,
		excluded: append(slices.Clone(a.tried), a.record.Target), attempts: a.failedAttempts - a.rejections + 1, sent: a.failedAttempts + 1,
	}
}

func (w *stallWatch) start() {
	w.mu.Lock() // check, which runs beside this function, uses timer as well
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Until(w.deadline()), w.check)
}

// deadline returns when the stream counts as stalled. The caller holds mu.
func (w *stallWatch) deadline() time.Time {
	if w.begun {
		return w.stream.StallDeadline(w.last, true)
	}
	return w.stream.RestartDeadline(w.last)
}

// check starts a continuation if the stream has stalled and another target can take it. A
// prefill, which does not run the request, is cancelled instead. Other streams are left to
// their callers and their deadlines.
func (w *stallWatch) check() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused || w.standby != nil || w.noID {
		return
	}
	stalled := w.deadline()
	switch {
	case now.Before(stalled):
		w.timer.Reset(stalled.Sub(now))
		return
	case w.attempt.prefillOnly:
		if w.canRetryPrefill(now) {
			w.cancel(errStalled)
			return
		}
	case !w.stream.Resumable:
		return
	default:
		w.standby = w.startContinuation(now)
	}
	if w.standby == nil {
		w.timer.Reset(stallRecheck)
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

// canRetryPrefill reports whether another target can process the prompt now. The caller holds
// mu.
func (w *stallWatch) canRetryPrefill(now time.Time) bool {
	a := w.attempt
	request := place.Request{Pool: a.pool, Customer: a.competitor(), Rank: a.targetRank(), Exclude: w.excluded}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return w.sent < max(a.route.Attempts, retry.MaxAttempts) && a.g.budget(now, a.pool).Available() && a.g.placer.HasSpare(now, request)
}

// pause stops the watch while the gateway does not read from the target, which has sent an
// event. It returns false if a continuation has taken the stream over; the event must not
// be forwarded then.
func (w *stallWatch) pause() bool {
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		return false
	}
	w.paused = true
	w.timer.Stop()
	w.drop(errWentOn)
	return true
}

// drop cancels the continuation in progress, if there is one. The caller holds mu.
func (w *stallWatch) drop(cause error) {
	if c := w.standby; c != nil {
		w.standby = nil
		w.dropped = append(w.dropped, c)
		c.cancel(cause)
	}
}

// progress records that a complete event has been forwarded, and resumes the watch. after is
// the id of the last event that has one.
func (w *stallWatch) progress(after string) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.after, w.begun, w.noID, w.paused = time.Now(), after, true, after == "", false
	w.timer.Reset(time.Until(w.deadline()))
}

// fail ends the watch of an attempt that has failed. It returns the continuation that has
// taken the stream over, or nil. It waits for a continuation in progress.
func (w *stallWatch) fail() *continuation {
	if w.timer == nil {
		return nil
	}
	w.mu.Lock()
	w.paused, w.failed = true, true
	w.timer.Stop()
	c := w.standby
	w.mu.Unlock()
	if c == nil {
		return nil
	}
	<-c.done
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		return nil
	}
	w.standby = nil // stop leaves it alone
	return c
}

// drainTimeout limits the time for reading a body that is not forwarded.
const drainTimeout = 50 * time.Millisecond

// drain reads the rest of a body that is not forwarded, so that the connection can be used
// again. A body that is large or does not end in time costs the connection; cancel ends the
// attempt then.
func drain(body io.Reader, cancel context.CancelCauseFunc) {
	timer := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxBufferedResponseBytes))
}

// stop ends the watch and the attempt. It waits until the continuations do not use the
// request any more.
func (w *stallWatch) stop() {
	if w.timer != nil {
		w.mu.Lock()
		w.paused = true
		w.timer.Stop()
		if w.moved && w.standby != nil {
			// The attempt has ended in the moment in which it was replaced.
			w.standby.attempt.reportOutcome(place.Abandoned)
		}
		w.drop(errWentOn)
		dropped := w.dropped
		w.mu.Unlock()
		for _, c := range dropped {
			<-c.done
			c.close()
		}
	}
	w.cancel(nil)
}
