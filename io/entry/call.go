package entry

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/answer"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/httpconn"
	"papayarock/io/link"
	"papayarock/io/upstream"
	"papayarock/io/wire"
)

// errKeyWithdrawn is the cancellation cause of a running request whose API key was
// withdrawn. Operators choose for each withdrawal whether it interrupts running
// requests.
var errKeyWithdrawn = errors.New("API key was withdrawn with interruption of running requests")

// call is the state of one request of a caller.
type call struct {
	e              *Entry
	ctx            context.Context
	w              http.ResponseWriter
	auth           authResult
	request        Request
	agentRequest   wire.Request // sent to the agent, followed by body
	body           []byte
	idempotencyKey string   // empty if absent
	ran            wire.Ran // whether any attempt so far ran the request
	agentRunning   bool     // whether the agent reported the request as running in the last query

	sink     *sink
	assembly *answer.Assembly

	// State of the current attempt.
	target      fleet.Target
	incarnation uint64
	agentLoad   *wire.Load        // load reported by the agent with the response
	usage       state.UsageRecord // tokens to bill for the response
}

func (e *Entry) newCall(ctx context.Context, w *httpconn.Response, r *http.Request, id fleet.RequestID, a authResult, body []byte) *call {
	now := time.Now()
	timeLimit := a.route.Promise
	if timeLimit <= 0 {
		timeLimit = defaultTimeLimit
	}
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	completion := parseCompletionRequest(a.route, body)
	request := Request{
		ID:              id,
		Customer:        a.customer,
		Route:           a.route,
		Idempotent:      a.route.Idempotent || a.route.SafeReads && isRead,
		BodyBytes:       len(body),
		MaxOutputTokens: completion.maxOutputTokens(),
		PrefixHashes:    completion.prefixHashes(),
		Arrived:         now,
		Deadline:        now.Add(timeLimit),
	}
	return &call{
		e: e, ctx: ctx, w: w, auth: a, request: request, body: body,
		agentRequest: wire.Request{
			ID: id, Customer: a.customer, Class: a.route.Class, Deadline: request.Deadline,
			Method: r.Method, Path: targetPath(a.route, r.URL), Header: forwardedHeader(r.Header, a.secret),
			Idempotent: request.Idempotent, Route: a.route.Name, Language: a.route.Protocol == config.Language,
		},
		sink:     newSink(w, e.firstByteFunc(id)),
		assembly: answer.NewAssembly(id),
		ran:      wire.Ran_RAN_NO,
	}
}

// targetPath returns the path and query that are sent to the target. Engines serve
// the completion API at their root, so the prefix of a language route is removed.
func targetPath(route config.Route, u *url.URL) string {
	if route.Protocol == config.Language {
		if path, ok := completionPath(u.Path); ok {
			return path
		}
	}
	return u.RequestURI()
}

func unescape(query string) string {
	s, err := url.QueryUnescape(query)
	if err != nil {
		return query
	}
	return s
}

// admitAndRun waits for admission and runs the request. It returns nil once the
// caller has the complete response.
func (c *call) admitAndRun() *Refusal {
	parent := c.ctx
	ctx, cancel := context.WithDeadline(parent, c.request.Deadline)
	defer cancel()
	c.ctx = ctx
	release, err := c.e.Admitter.Admit(ctx, c.request)
	if err != nil {
		var r *Refusal
		if !errors.As(err, &r) {
			r = refuseDeadline.withNotRun(notRunTrue)
		}
		return c.confirmRefusal(r)
	}
	out := Outcome{Ending: NotRun}
	defer func() { release(out) }()
	if refusal := c.e.recheckKey(c.auth); refusal != nil {
		return c.refuseWithoutKey(refusal)
	}
	if !c.request.Idempotent {
		defer c.detach(parent)()
	}
	if c.idempotencyKey != "" && !c.request.Idempotent {
		return c.runClaimed(&out)
	}
	return c.tryTargets(&out)
}

// detach keeps the request running after the caller disconnects, so that its
// outcome can be recorded. It is still cancelled at its deadline and when
// CancelKey cancels the requests of its API key.
func (c *call) detach(parent context.Context) (release func()) {
	c.sink.continueAfterDisconnect = true
	detached, cancelDetached := context.WithCancelCause(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		if errors.Is(context.Cause(parent), errKeyWithdrawn) {
			cancelDetached(errKeyWithdrawn)
		}
	})
	ctx, cancel := context.WithDeadline(detached, c.request.Deadline)
	c.ctx = ctx
	return func() {
		cancel()
		stop()
		cancelDetached(nil)
	}
}

// tryTargets sends the request to one target after another until one gives a
// complete response. It tries another target only while no part of a response has
// reached the caller, and only if the request is idempotent or the previous target
// is known not to have run it.
func (c *call) tryTargets(out *Outcome) *Refusal {
	last := refuseNoTarget
	for {
		t, ok := c.pick()
		if !ok {
			return c.adjustForEarlierAttempts(last)
		}
		c.target, c.agentLoad = t, nil
		c.request.TriedTargets = append(c.request.TriedTargets, t.Name)
		refusal := c.attempt(out)
		c.e.Picker.AttemptEnded(c.request, t.Name, *out)
		if refusal == nil {
			return nil
		}
		if !c.mayRetry(*out) {
			return c.adjustForEarlierAttempts(refusal)
		}
		last = refusal
		c.e.counts.retried.Add(1)
		c.sink.head = nil
	}
}

// adjustForEarlierAttempts corrects the not-run value of a refusal if an earlier
// attempt may have run the request.
func (c *call) adjustForEarlierAttempts(r *Refusal) *Refusal {
	if r.notRun() == notRunTrue && c.ran != wire.Ran_RAN_NO {
		return r.withNotRun(notRunOf(c.ran))
	}
	return r
}

func (c *call) mayRetry(o Outcome) bool {
	if c.sink.started || c.ctx.Err() != nil {
		return false
	}
	repeatable := o.Ending == NotRun || c.request.Idempotent && (o.Ending == Failed || o.Ending == Lost)
	return repeatable && c.e.Retrier.Retry(c.request, o)
}

// attempt sends the request to c.target. It returns nil once the caller has the
// complete response. If the caller has received only a part, Entry.serve aborts
// the connection.
func (c *call) attempt(out *Outcome) *Refusal {
	end, ran, err := c.exchange()
	*out = Outcome{Ending: end, Ended: time.Now(), FirstByte: c.sink.firstByte, Bytes: c.assembly.Length, Load: c.agentLoad}
	out.Status = int(c.sink.head.GetStatus())
	out.AgentUnreachable = end == Lost || errors.Is(err, link.ErrUnreachable)
	c.e.counts.strayFrames.Add(c.assembly.Stray)
	c.assembly.Stray = 0
	if end == Completed {
		c.e.counts.served.Add(1)
		c.e.latencies.record(c.request.Route.Class, c.request.Arrived, *out)
		out.PromptTokens, out.OutputTokens = c.usage.PromptTokens, c.usage.OutputTokens
		return nil
	}
	if c.ran == wire.Ran_RAN_NO {
		c.ran = ran
	}
	c.e.Log.Warn("attempt failed", "request", c.request.ID, "target", c.target.Name, "ran", ran, "error", err)
	if c.sink.started || end == Cancelled && errors.Is(err, errCallerDisconnected) {
		return refuseTargetFailed.withNotRun(notRunOf(ran)) // never delivered: the response has started or the caller is gone
	}
	switch {
	case errors.Is(context.Cause(c.ctx), errKeyWithdrawn):
		return refuseAPIKeyWithdrawn.withNotRun(notRunOf(ran))
	case end == Cancelled:
		return refuseDeadline.withNotRun(notRunOf(ran))
	case end == NotRun:
		return refuseTargetUnreachable
	}
	return refuseTargetFailed.withNotRun(notRunOf(ran))
}

// notRunOf returns the value of not-run for an attempt.
func notRunOf(r wire.Ran) string {
	switch r {
	case wire.Ran_RAN_NO:
		return notRunTrue
	case wire.Ran_RAN_YES:
		return notRunFalse
	}
	return notRunUnknown
}

// exchange sends the request to the target and forwards the response to the
// caller. If the stream to the agent is lost, it tries to resume the response.
func (c *call) exchange() (Ending, wire.Ran, error) {
	s, err := c.sendRequest()
	if s == nil {
		return c.resolveCancellation(NotRun, wire.Ran_RAN_NO, err)
	}
	if err == nil {
		var end Ending
		var ran wire.Ran
		end, ran, err = c.receiveResponse(s)
		if end != Lost {
			c.closeStream(s, end)
			return c.resolveCancellation(end, ran, err)
		}
	}
	_ = s.Close()
	return c.resolveCancellation(c.recover(err))
}

// resolveCancellation changes the result of an attempt without a complete response
// to Cancelled if c's context has ended. If the stream of a non-idempotent request
// was lost, it asks the agent whether the request ran.
func (c *call) resolveCancellation(end Ending, ran wire.Ran, err error) (Ending, wire.Ran, error) {
	if end == Completed || c.ctx.Err() == nil {
		return end, ran, err
	}
	if c.request.Idempotent {
		return Cancelled, ran, err
	}
	if end == Lost {
		_, ran = c.queryOutcome(context.WithoutCancel(c.ctx))
	}
	return Cancelled, ran, err
}

func (c *call) address() link.Address { return addressOf(c.target) }

// sendRequest sends the request header and body. If it returns no stream, the
// agent has not run the request, because it starts a request only after receiving
// the complete body.
func (c *call) sendRequest() (*link.Stream, error) {
	open := &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(c.agentRequest)}}
	s, err := c.e.Links.OpenQueued(c.ctx, c.address(), open)
	if err != nil {
		return nil, err
	}
	c.incarnation = s.Peer.Incarnation
	last, err := c.sendBody(s)
	if err != nil && !last || errors.Is(err, link.ErrRefused) {
		_ = s.Close()
		return nil, err
	}
	return s, err
}

// sendBody sends the request body in parts. It reports whether it attempted the
// last part, which may have arrived even if sending returned an error.
func (c *call) sendBody(s *link.Stream) (last bool, err error) {
	body := c.body
	for len(body) > bodyPartBytes {
		if err := s.Send(&wire.BodyPart{Data: body[:bodyPartBytes]}); err != nil {
			return false, err
		}
		body = body[bodyPartBytes:]
	}
	return true, s.Send(&wire.BodyPart{Data: body, Last: true})
}

// closeStream closes the stream. If the call was cancelled, it first cancels an
// idempotent request at the agent, since nobody needs the response.
func (c *call) closeStream(s *link.Stream, end Ending) {
	if end == Cancelled && c.request.Idempotent {
		s.SetContext(context.WithoutCancel(c.ctx))
		_ = s.Send(&wire.Open{Call: &wire.Open_Cancel{Cancel: &wire.Cancel{RequestId: c.request.ID[:]}}})
	}
	_ = s.Close()
}

// receiveResponse forwards response frames to the caller until the response ends or
// the stream is lost.
func (c *call) receiveResponse(s *link.Stream) (Ending, wire.Ran, error) {
	for {
		var f wire.Frame
		if err := s.Receive(&f); err != nil {
			switch {
			case errors.Is(err, link.ErrRefused):
				return NotRun, wire.Ran_RAN_NO, err
			case c.ctx.Err() != nil && c.request.Idempotent:
				return Cancelled, wire.Ran_RAN_UNKNOWN, err
			}
			return Lost, wire.Ran_RAN_UNKNOWN, err
		}
		done, end, ran, err := c.handleFrame(&f)
		if done {
			return end, ran, err
		}
	}
}

// handleFrame processes one frame of the stream. done is true if the frame ends the
// attempt; the other results are then those of the attempt.
func (c *call) handleFrame(f *wire.Frame) (done bool, end Ending, ran wire.Ran, err error) {
	switch f := f.GetFrame().(type) {
	case *wire.Frame_Head:
		if c.assembly.Matches(f.Head.GetRequestId()) && c.sink.head == nil {
			// Checked before any part of the body, so that another target may be tried.
			if err := upstream.CheckStatus(int(f.Head.GetStatus())); err != nil {
				return true, Failed, wire.Ran_RAN_UNKNOWN, errors.Wrap(ErrInvalidResponse, err.Error())
			}
			c.sink.head = f.Head
		}
	case *wire.Frame_Part:
		if !c.assembly.Matches(f.Part.GetRequestId()) {
			return false, 0, 0, nil
		}
		fresh, err := c.assembly.Accept(f.Part.GetOffset(), f.Part.GetData())
		if err != nil {
			return true, Lost, wire.Ran_RAN_YES, err
		}
		if len(fresh) == 0 {
			return false, 0, 0, nil
		}
		if err := c.sink.write(fresh); err != nil {
			return true, Cancelled, wire.Ran_RAN_YES, err
		}
	case *wire.Frame_End:
		if c.assembly.Matches(f.End.GetRequestId()) {
			return c.handleEnd(f.End)
		}
	case *wire.Frame_Failed:
		if c.assembly.Matches(f.Failed.GetRequestId()) {
			err := errors.Wrap(ErrInvalidResponse, f.Failed.GetReason())
			if f.Failed.GetRan() == wire.Ran_RAN_NO {
				return true, NotRun, wire.Ran_RAN_NO, err
			}
			return true, Failed, f.Failed.GetRan(), err
		}
	}
	return false, 0, 0, nil
}

func (c *call) handleEnd(m *wire.End) (bool, Ending, wire.Ran, error) {
	if err := c.assembly.End(m.GetLength(), m.GetChecksum()); err != nil {
		return true, Failed, wire.Ran_RAN_YES, errors.Wrap(ErrInvalidResponse, err.Error())
	}
	if err := c.sink.finish(); errors.Is(err, errCallerDisconnected) {
		return true, Cancelled, wire.Ran_RAN_YES, err
	} else if err != nil {
		return true, Failed, wire.Ran_RAN_YES, err
	}
	c.agentLoad = m.GetLoad()
	if u, ok := wire.DecodeUsage(m.GetUsage(), c.agentRequest.Customer, c.agentRequest.Route); ok {
		c.usage = u
		if c.e.Control != nil {
			c.e.usage.add([]state.UsageRecord{u})
		}
	}
	return true, Completed, wire.Ran_RAN_YES, nil
}
