package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/retry"
	"papayarock/io/upstream"
)

// maxOverlap is how long a continuation without an event runs beside the attempt that it is to
// replace. Two runs of a stream may overlap by at most 400 ms; the rest is for a busy gateway
// and for the end of the dropped run to reach its target.
const maxOverlap = 250 * time.Millisecond

// Reasons for which a continuation is dropped.
var (
	errWentOn  = errors.New("the target of the stream has gone on")
	errOverlap = errors.New("no event in the time for which two runs may overlap")
)

// continuation is an attempt to continue a stalled stream at another target, beside the
// attempt that has stalled. Its goroutine uses only fields of the job that do not change
// during an attempt.
type continuation struct {
	attempt *attempt
	after   string // id of the last event that the caller has received
	ctx     context.Context
	cancel  context.CancelCauseFunc
	done    chan struct{} // closed when the continuation has failed, was dropped or has taken over

	// The fields below are set before done is closed.
	execution retry.Execution // if it has failed or was dropped
	response  *upstream.Response
	events    *eventReader // with the first event in it
}

// startContinuation sends the rest of the stream to a target that has room, within the
// limits on attempts and repeats. It returns nil if that is not possible now. The caller
// holds mu.
func (w *stallWatch) startContinuation(now time.Time) *continuation {
	a := w.attempt
	if w.ctx.Err() != nil || w.sent >= max(a.route.Attempts, retry.MaxAttempts) {
		return nil
	}
	request := place.Request{Pool: a.pool, Customer: a.competitor(), Rank: a.targetRank(), Exclude: w.excluded, MaxPause: a.route.MaxPause, Prompt: a.prompt(), Start: now, Deadline: a.deadline}
	failure := retry.Failure{
		Idempotent: true, Last: retry.Executed, Deadline: a.deadline, MinRemaining: minSendTime,
		Attempts: w.attempts, MaxAttempts: max(1, a.route.Attempts),
	}
	choice, ok := a.g.takeSpare(now, request, failure, a.segments)
	if !ok {
		return nil
	}
	w.attempts++
	w.sent++
	w.excluded = append(w.excluded, choice.Target.Target)
	ctx, cancel := context.WithCancelCause(w.ctx)
	c := &continuation{
		attempt: &attempt{job: a.job, record: choice.Target, sent: now, uncached: choice.Uncached, transfer: choice.Transfer, stall: &stallWatch{}},
		after:   w.after, ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	a.g.log.Info("stream stalled, continuing at another target", "id", a.params.ID, "target", a.record.Target, "silent", now.Sub(w.last),
		"next", choice.Target.Target, "after", w.after, "attempt", w.attempts)
	time.AfterFunc(maxOverlap, func() { w.endOverlap(c) })
	go func() {
		defer close(c.done)
		c.run(w)
		w.release(c)
	}()
	return c
}

// takeSpare takes a target that can run a repeated request at once, and charges the repeat to
// the budget. It takes none if a segment of the prompt crashes targets.
func (g *Gateway) takeSpare(now time.Time, request place.Request, f retry.Failure, segments []quarantine.Segment) (place.Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, rejected := g.observer.Rejects(now, segments); rejected {
		return place.Choice{}, false
	}
	if !g.placer.HasSpare(now, request) || g.budget(now, request.Pool).Decide(now, f).Action != retry.Retry {
		return place.Choice{}, false
	}
	g.retried.Add(1)
	g.metrics.retries.Inc()
	return g.placer.TakeSpare(now, request)
}

// endOverlap drops a continuation that has no event yet, unless it is all that is left of the
// stream.
func (w *stallWatch) endOverlap(c *continuation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standby == c && !w.moved && !w.failed {
		w.drop(errOverlap)
		w.timer.Reset(stallRecheck)
	}
}

// release makes room for another continuation if c has failed.
func (w *stallWatch) release(c *continuation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.execution <= retry.Barred && !w.moved {
		w.attempts--
	}
	if w.standby != c || w.moved {
		return
	}
	w.standby = nil
	w.dropped = append(w.dropped, c)
	if !w.paused {
		w.timer.Reset(stallRecheck)
	}
}

// takeOver ends the stalled attempt in favour of c, which has its first event. It returns
// false if the target of the attempt has gone on meanwhile.
func (w *stallWatch) takeOver(c *continuation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standby != c {
		return false
	}
	w.moved, w.paused = true, true
	w.timer.Stop()
	w.cancel(errMoved)
	return true
}

// run sends the request, reads the first event and takes the stream over.
func (c *continuation) run(w *stallWatch) {
	a := c.attempt
	r, err := a.exchange(c.ctx, ForwardInfo{LastEventID: c.after})
	if err != nil {
		c.execution = a.handleNoResponse(err)
		return
	}
	c.response = r
	info := a.decodeResponse(r)
	c.execution = retry.Executed
	outcome := place.Failed
	switch {
	case info.NotExecuted || info.Misdirected:
		drain(r.Body, c.cancel)
		c.execution = a.handleRejection(r, info)
		return
	case r.Status >= http.StatusMultipleChoices:
		drain(r.Body, c.cancel)
		outcome, err = place.Erred, errors.Errorf("status %d", r.Status)
	case !info.Authentic:
		err = errors.New("no proof of origin")
	default:
		c.events = newEventReader(r.Body, &a.g.responses)
		err = c.readFirstEvent()
	}
	if err == nil && w.takeOver(c) {
		return
	}
	if err == nil || c.ctx.Err() != nil {
		outcome, err = place.Abandoned, context.Cause(c.ctx)
	}
	a.reportOutcome(outcome)
	a.g.log.Info("continuation ended", "id", a.params.ID, "target", a.record.Target, "after", c.after, "outcome", outcome, "took", time.Since(a.sent), "error", err)
}

// readFirstEvent returns nil if the response goes on with the next event, or is complete and
// has none.
func (c *continuation) readFirstEvent() error {
	switch err := c.events.peek(); {
	case err == nil && repeats(c.after, c.events.id):
		return errRepeatedEvent
	case errors.Is(err, io.EOF) && c.response.Delimited:
		return nil
	case errors.Is(err, io.EOF):
		return errNoBody
	default:
		return err
	}
}

// close releases what the continuation holds.
func (c *continuation) close() {
	c.cancel(nil)
	if c.events != nil {
		c.events.free()
	}
	if c.response != nil {
		_ = c.response.Body.Close()
	}
}

// forward forwards the rest of the stream after the continuation has taken it over.
func (c *continuation) forward() (retry.Execution, bool) {
	defer c.close()
	return c.attempt.forwardEvents(c.ctx, c.response, c.events)
}

// recordContinuations accounts for the continuations of an attempt that have not taken over.
func (j *job) recordContinuations(w *stallWatch) {
	for _, c := range w.dropped {
		j.recordFailure(c.attempt.record.Target, c.execution)
	}
}

// moveTo records that a continuation replaces the last attempt, and returns the new one.
func (j *job) moveTo(ctx context.Context, last *attempt, execution retry.Execution, c *continuation) *attempt {
	j.recordFailure(last.record.Target, execution)
	a := c.attempt
	j.target = a.record.Target
	a.stall = a.newStallWatch(ctx, c.cancel)
	a.stall.paused = true // until the first event has been forwarded
	a.stall.start()
	j.g.log.Info("stream continued at another target", "id", j.params.ID, "target", a.record.Target, "last", last.record.Target, "after", c.after, "took", time.Since(a.sent))
	return a
}
