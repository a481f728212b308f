package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// resumeTimeout bounds the attempts to resume the response after each loss of the
	// stream. The deadline of the request bounds the total.
	resumeTimeout    = 15 * time.Second
	resumeRetryPause = 100 * time.Millisecond
	queryTimeout     = 2 * time.Second // bounds the wait for the agent or control plane to report an outcome
)

// recover handles the loss of the stream to the agent. If a non-idempotent request
// has no response header yet, recover first asks the agent whether the request ran.
// Unless it did not run, recover resumes the response at the current offset.
func (c *call) recover(cause error) (Ending, wire.Ran, error) {
	timeout := resumeTimeout
	if c.request.Idempotent && !c.sink.started {
		timeout = queryTimeout // a retry on another target is possible
	}
	ran := wire.Ran_RAN_UNKNOWN
	if c.sink.head != nil {
		ran = wire.Ran_RAN_YES
	}
	for until := time.Now().Add(timeout); time.Now().Before(until) && c.ctx.Err() == nil; c.pauseBeforeResume() {
		if ran == wire.Ran_RAN_UNKNOWN && !c.request.Idempotent {
			reached, queried := c.queryOutcome(c.ctx)
			switch {
			case !reached:
				continue
			case queried == wire.Ran_RAN_NO:
				return NotRun, queried, cause
			case queried == wire.Ran_RAN_UNKNOWN && !c.agentRunning:
				return Lost, queried, cause
			}
			ran = queried
		}
		end, found, err := c.resume()
		if end != Lost {
			return end, found, err
		}
		if !errors.Is(err, link.ErrUnreachable) && !errors.Is(err, link.ErrRefused) {
			// The stream was resumed before it was lost again, so the timeout starts anew.
			until = time.Now().Add(timeout)
		}
		cause = err
	}
	return Lost, ran, cause
}

// pauseBeforeResume waits for resumeRetryPause or until c's context ends.
func (c *call) pauseBeforeResume() {
	t := time.NewTimer(resumeRetryPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// resume requests the rest of the response from the agent on a new stream.
func (c *call) resume() (Ending, wire.Ran, error) {
	m := &wire.Resume{RequestId: c.assembly.ID[:], Offset: c.assembly.Length, Incarnation: c.incarnation}
	s, err := c.e.Links.Open(c.ctx, c.address(), &wire.Open{Call: &wire.Open_Resume{Resume: m}})
	if err != nil {
		return Lost, wire.Ran_RAN_UNKNOWN, err
	}
	c.e.counts.resumed.Add(1)
	end, ran, err := c.receiveResponse(s)
	c.closeStream(s, end)
	if end == NotRun && errors.Is(err, link.ErrRefused) {
		end, ran = Lost, wire.Ran_RAN_UNKNOWN // the agent refused the new stream; the request may have run
	}
	return end, ran, err
}

// queryOutcome asks the agent whether the request ran. An agent that has not started
// the request bars it, that is, does not start it if it arrives later. reached is
// false if the agent did not respond. queryOutcome sets c.agentRunning to whether
// the agent is processing the request; whether the target runs it is then not known
// yet.
func (c *call) queryOutcome(ctx context.Context) (reached bool, ran wire.Ran) {
	c.agentRunning = false
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m := &wire.Query{
		RequestId:         c.request.ID[:],
		Bar:               true,
		Incarnation:       c.incarnation,
		DeadlineUnixNanos: c.agentRequest.Deadline.UnixNano(),
	}
	f, err := link.Call[wire.Frame](ctx, c.e.Links, c.address(), &wire.Open{Call: &wire.Open_Query{Query: m}})
	if err != nil {
		return false, wire.Ran_RAN_UNKNOWN
	}
	o := f.GetOutcome()
	if o == nil || string(o.GetRequestId()) != string(c.request.ID[:]) {
		return false, wire.Ran_RAN_UNKNOWN
	}
	c.agentRunning = o.GetState() == wire.Outcome_RUNNING
	switch o.GetState() {
	case wire.Outcome_NOT_RUN_AND_BARRED:
		return true, wire.Ran_RAN_NO
	case wire.Outcome_RAN:
		return true, wire.Ran_RAN_YES
	}
	return true, wire.Ran_RAN_UNKNOWN
}
