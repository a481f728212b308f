package agent

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// Errors returned for requests that an agent does not start.
var (
	ErrBody        = errors.New("request body is too large, incomplete or malformed")
	ErrStopping    = errors.New("agent is stopping")
	ErrDraining    = errors.New("target accepts no new requests")
	ErrBarred      = errors.New("request is barred or has already run")
	ErrCapacity    = errors.New("agent is at capacity")
	ErrDeadline    = errors.New("deadline has passed or is too far ahead")
	ErrIncarnation = errors.New("request is for another incarnation of the agent")
)

// handleRun receives a request, runs it and sends the response.
func (a *Agent) handleRun(ctx context.Context, s *link.Stream, m *wire.Run) error {
	r, err := wire.DecodeRun(m)
	if err != nil {
		return a.refuse(s, m.GetRequestId(), err)
	}
	body, err := a.receiveRequestBody(s)
	defer a.releaseBody(len(body))
	if err != nil {
		return a.refuse(s, m.GetRequestId(), err)
	}
	j, wake, err := a.startOrAttach(ctx, r, body)
	if err != nil {
		return a.refuse(s, m.GetRequestId(), err)
	}
	return a.sendResponse(ctx, &reader{job: j, stream: s, wake: wake})
}

// refuse tells the entry that the agent does not start a request.
func (a *Agent) refuse(s *link.Stream, id []byte, cause error) error {
	ran := wire.Ran_RAN_NO
	if errors.Is(cause, ErrBarred) {
		ran = wire.Ran_RAN_UNKNOWN // an earlier message with this id may have run it
	}
	a.Log.Info("request refused", "request", formatRequestID(id), "error", cause)
	f := &wire.Failed{RequestId: id, Ran: ran, Reason: cause.Error()}
	return s.Send(&wire.Frame{Frame: &wire.Frame_Failed{Failed: f}})
}

func formatRequestID(b []byte) string {
	id, err := wire.DecodeRequestID(b)
	if err != nil {
		return "invalid"
	}
	return id.String()
}

// receiveRequestBody receives a body and reserves its bytes. The length of the returned
// body must be released, even after an error.
func (a *Agent) receiveRequestBody(s *link.Stream) ([]byte, error) {
	var body []byte
	for {
		var part wire.BodyPart
		if err := s.Receive(&part); err != nil {
			return body, errors.Wrap(ErrBody, err.Error())
		}
		data := part.GetData()
		if len(body)+len(data) > maxBodyBytes {
			return body, errors.Wrapf(ErrBody, "more than %d bytes", maxBodyBytes)
		}
		if !a.reserveBody(len(data)) {
			return body, errors.Wrapf(ErrCapacity, "request bodies would exceed %d bytes", maxTotalBodyBytes)
		}
		if body == nil && part.GetLast() {
			return data, nil
		}
		body = append(body, data...)
		if part.GetLast() {
			return body, nil
		}
	}
}

// reserveBody adds n to the bytes of request bodies in memory. It returns false if
// they would exceed maxTotalBodyBytes.
func (a *Agent) reserveBody(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyBytes+int64(n) > maxTotalBodyBytes {
		return false
	}
	a.bodyBytes += int64(n)
	return true
}

func (a *Agent) releaseBody(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodyBytes -= int64(n)
}

// startOrAttach starts a job for r, or attaches to the job with the same id if one is
// running or retained. It returns the job and the channel from its attach method.
func (a *Agent) startOrAttach(ctx context.Context, r wire.Request, body []byte) (*job, chan struct{}, error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Incarnation != 0 && r.Incarnation != a.Announcement.Incarnation {
		return nil, nil, errors.Wrapf(ErrIncarnation, "request has %d, agent has %d", r.Incarnation, a.Announcement.Incarnation)
	}
	if j := a.findJob(now, r.ID); j != nil {
		return j, j.attach(), nil
	}
	if err := a.admit(now, r); err != nil {
		return nil, nil, err
	}
	// A non-idempotent request that has started may overrun its deadline by
	// maxOverrun. Stopping it would leave its effect unknown.
	deadline := r.Deadline
	if !r.Idempotent {
		deadline = deadline.Add(maxOverrun)
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	j := newJob(r, body, cancel)
	a.running[r.ID] = j
	wake := j.attach()
	go a.runJob(runCtx, j)
	return j, wake, nil
}

// findJob returns a running or retained job, or nil. The caller holds the mutex.
func (a *Agent) findJob(now time.Time, id fleet.RequestID) *job {
	if j := a.running[id]; j != nil {
		return j
	}
	j, _ := a.retained.Get(now, id)
	return j
}

// admit records r as started, or returns the reason why it must not start. The
// caller holds the mutex.
func (a *Agent) admit(now time.Time, r wire.Request) error {
	_, recorded := a.outcomes.Get(now, r.ID)
	_, startedBefore := a.startedIdempotent.Get(now, r.ID)
	switch {
	case recorded || startedBefore:
		return errors.Wrapf(ErrBarred, "request %s", r.ID)
	case a.stopping:
		return errors.Wrapf(ErrStopping, "target %q", a.Announcement.Name)
	case a.refusing():
		return errors.Wrapf(ErrDraining, "target %q", a.Announcement.Name)
	case !now.Before(r.Deadline) || r.Deadline.Sub(now) > maxTimeToDeadline:
		return errors.Wrapf(ErrDeadline, "%s from now", r.Deadline.Sub(now))
	case len(a.running) >= maxRunningRequests:
		return errors.Wrapf(ErrCapacity, "%d requests run", len(a.running))
	case a.usage.waiting() >= maxUsageWaiting:
		return errors.Wrapf(ErrCapacity, "%d usage records are waiting to be reported", maxUsageWaiting)
	}
	if r.Idempotent {
		a.startedIdempotent.Put(now, r.ID, struct{}{}, 0, r.Deadline.Add(responseRetention))
	} else if !a.outcomes.Add(now, r.ID, wire.Outcome_RUNNING, 0, r.Deadline.Add(requestIDRetention)) {
		return errors.Wrapf(ErrCapacity, "%d request ids are recorded", maxRecordedIDs)
	}
	return nil
}

// finish records the outcome of j and retains its response for resumption.
func (a *Agent) finish(j *job, ran wire.Ran, err error) {
	now := time.Now()
	var end *wire.End
	var failed *wire.Failed
	if err == nil {
		end = a.newEnd(j, now)
	} else {
		a.Log.Warn("request failed", "request", j.request.ID, "ran", ran, "error", err)
		failed = &wire.Failed{RequestId: j.request.ID[:], Ran: ran, Reason: err.Error()}
	}
	a.mu.Lock()
	delete(a.running, j.request.ID)
	if !j.request.Idempotent {
		a.outcomes.Put(now, j.request.ID, outcomeOf(ran), 0, j.request.Deadline.Add(requestIDRetention))
	}
	if end != nil {
		a.unread.Put(now, j.request.ID, struct{}{}, 0, now.Add(orphanTimeout))
	}
	a.retained.Put(now, j.request.ID, j, int64(j.response.AllocatedBytes()), now.Add(responseRetention))
	a.mu.Unlock()
	j.complete(end, failed)
}

// outcomeOf returns the outcome of a request that has ended. It is unknown if the
// target closed the connection before it sent a response header, or sent an invalid one.
func outcomeOf(ran wire.Ran) wire.Outcome_State {
	switch ran {
	case wire.Ran_RAN_NO:
		return wire.Outcome_NOT_RUN_AND_BARRED
	case wire.Ran_RAN_YES:
		return wire.Outcome_RAN
	}
	return wire.Outcome_UNKNOWN
}

// newEnd returns the last frame of a complete response. Unless the response reports
// an error, it also queues a usage record.
func (a *Agent) newEnd(j *job, now time.Time) *wire.End {
	end := &wire.End{RequestId: j.request.ID[:], Length: j.response.Length, Checksum: j.response.Checksum(), Load: a.load()}
	if j.head.GetStatus() >= 400 { // failed requests are not billed
		return end
	}
	in, out := countTokens(j.eventStream, len(j.body), j.bufferedTail(), j.response.Length)
	end.Usage = wire.EncodeUsage(a.usage.add(state.UsageRecord{
		Customer:     j.request.Customer,
		Route:        j.request.Route,
		PromptTokens: in,
		OutputTokens: out,
		Ended:        now,
	}))
	return end
}

// sendResponse sends the response of a job to an entry. Meanwhile it reads from the
// stream, to notice when the entry cancels the request or closes the stream.
func (a *Agent) sendResponse(ctx context.Context, r *reader) error {
	defer r.job.detach(r.wake)
	ctx, cancel := context.WithCancel(ctx)
	r.stream.SetContext(ctx)
	r.stream.ReceiveTimeout = -1
	streamClosed := make(chan struct{})
	closedByEntry := false // as opposed to a link that broke
	go func() {
		defer close(streamClosed)
		for {
			var m wire.Open
			if err := r.stream.Receive(&m); err != nil {
				closedByEntry = errors.Is(err, io.EOF)
				return
			}
			if c := m.GetCancel(); c != nil {
				a.handleCancel(c)
			}
		}
	}()
	last, err := r.send(ctx, streamClosed)
	if last {
		waitAtMost(streamClosed, link.DefaultTimeout)
	}
	cancel()
	<-streamClosed // the server closes the stream after the return, and must not do so during Receive
	if last && closedByEntry {
		// An entry closes its side once it has received the last frame. Without that
		// the last frames may have been lost with the link, and the entry may resume.
		a.mu.Lock()
		a.unread.Delete(r.job.request.ID)
		a.mu.Unlock()
	}
	return err
}

func waitAtMost(c <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	}
}

// handleResume sends the rest of a response. It finds no job if the entry means another
// incarnation of the agent.
func (a *Agent) handleResume(ctx context.Context, s *link.Stream, m *wire.Resume) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return a.refuse(s, m.GetRequestId(), err)
	}
	a.mu.Lock()
	j := a.findJob(time.Now(), id)
	if m.GetIncarnation() != 0 && fleet.Incarnation(m.GetIncarnation()) != a.Announcement.Incarnation {
		j = nil
	}
	var wake chan struct{}
	if j != nil {
		wake = j.attach()
	}
	a.mu.Unlock()
	if j == nil {
		f := &wire.Failed{RequestId: id[:], Ran: wire.Ran_RAN_UNKNOWN, Reason: "answer is not retained"}
		return s.Send(&wire.Frame{Frame: &wire.Frame_Failed{Failed: f}})
	}
	return a.sendResponse(ctx, &reader{job: j, stream: s, wake: wake, offset: m.GetOffset(), headSent: m.GetOffset() > 0})
}

// handleCancel stops an idempotent request. A non-idempotent request continues, since
// stopping it would leave its effect unknown.
func (a *Agent) handleCancel(m *wire.Cancel) {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return
	}
	a.mu.Lock()
	j := a.running[id]
	a.mu.Unlock()
	if j != nil && j.request.Idempotent {
		j.cancel()
	}
}

func (a *Agent) handleQuery(s *link.Stream, m *wire.Query) error {
	id, err := wire.DecodeRequestID(m.GetRequestId())
	if err != nil {
		return a.refuse(s, m.GetRequestId(), err)
	}
	o := &wire.Outcome{RequestId: id[:], State: a.outcome(id, m)}
	return s.Send(&wire.Frame{Frame: &wire.Frame_Outcome{Outcome: o}})
}

// outcome returns the outcome of a request. If there is no record of the request and
// the query asks to bar it, outcome bars it and reports it as not run. It does so only
// up to a minute before the record of a request that did run would expire.
func (a *Agent) outcome(id fleet.RequestID, m *wire.Query) wire.Outcome_State {
	now := time.Now()
	deadline := time.Unix(0, m.GetDeadlineUnixNanos())
	a.mu.Lock()
	defer a.mu.Unlock()
	if fleet.Incarnation(m.GetIncarnation()) != a.Announcement.Incarnation {
		return wire.Outcome_UNKNOWN
	}
	if a.running[id] != nil {
		return wire.Outcome_RUNNING
	}
	if o, ok := a.outcomes.Get(now, id); ok {
		return o
	}
	if _, ok := a.startedIdempotent.Get(now, id); ok {
		return wire.Outcome_RAN
	}
	if !m.GetBar() || now.After(deadline.Add(requestIDRetention-time.Minute)) {
		return wire.Outcome_UNKNOWN
	}
	if !a.outcomes.Add(now, id, wire.Outcome_NOT_RUN_AND_BARRED, 0, deadline.Add(requestIDRetention)) {
		return wire.Outcome_UNKNOWN
	}
	return wire.Outcome_NOT_RUN_AND_BARRED
}
