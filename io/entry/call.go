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
	"papayarock/io/link"
	"papayarock/io/wire"
)

// errCutKey is the cause of a request that ends because its key was withdrawn
// with interruption.
var errCutKey = errors.New("key was withdrawn with interruption")

// call is one request on its way to targets.
type call struct {
	e              *Entry
	ctx            context.Context
	w              http.ResponseWriter
	admitted       admitted
	request        Request
	run            wire.Request
	body           []byte
	idempotencyKey string
	ran            wire.Ran // by all attempts so far
	running        bool     // at the agent, when it was asked last

	sink     *sink
	assembly *answer.Assembly

	// of the present attempt
	target      fleet.Target
	incarnation uint64
	load        *wire.Load
	usage       state.UsageRecord
}

func (e *Entry) newCall(ctx context.Context, w http.ResponseWriter, r *http.Request, id fleet.RequestID, a admitted, body []byte) *call {
	now := time.Now()
	promise := a.route.Promise
	if promise <= 0 {
		promise = defaultPromise
	}
	read := r.Method == http.MethodGet || r.Method == http.MethodHead
	language := readLanguage(a.route, body)
	request := Request{
		ID:         id,
		Customer:   a.customer,
		Route:      a.route,
		Idempotent: a.route.Idempotent || a.route.SafeReads && read,
		BodyBytes:  len(body),
		MaxOutput:  language.maxOutput(),
		Prefix:     language.prefix(),
		Arrived:    now,
		Deadline:   now.Add(promise),
	}
	return &call{
		e: e, ctx: ctx, w: w, admitted: a, request: request, body: body,
		run: wire.Request{
			ID: id, Customer: a.customer, Class: a.route.Class, Deadline: request.Deadline,
			Method: r.Method, Path: targetPath(a.route, r.URL), Header: forwarded(r.Header, a.key),
			Idempotent: request.Idempotent, Route: a.route.Name, Language: a.route.Protocol == config.Language,
		},
		sink:     newSink(w, e.began(id)),
		assembly: answer.NewAssembly(id),
		ran:      wire.Ran_RAN_NO,
	}
}

// targetPath is the path that the target sees. Engines serve the completion
// interface at their root, so the prefix of a language route ends at the entry.
func targetPath(route config.Route, u *url.URL) string {
	if route.Protocol == config.Language {
		if path, ok := languagePath(u.Path); ok {
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

func (c *call) admitAndRun() *Refusal {
	parent := c.ctx
	ctx, cancel := context.WithDeadline(parent, c.request.Deadline)
	defer cancel()
	c.ctx = ctx
	release, err := c.e.Admitter.Admit(ctx, c.request)
	if err != nil {
		var r *Refusal
		if !errors.As(err, &r) {
			r = refuseDeadline.known(notRunTrue)
		}
		return c.sure(r)
	}
	out := Outcome{Ending: NotRun}
	defer func() { release(out) }()
	if refusal := c.e.recheck(c.admitted); refusal != nil {
		return c.sure(refusal)
	}
	if !c.request.Idempotent {
		defer c.detach(parent)()
	}
	if c.idempotencyKey != "" && !c.request.Idempotent {
		return c.runClaimed(&out)
	}
	return c.attempts(&out)
}

// detach lets the request go on when the caller leaves, so that its end can be
// recorded. Its deadline and a cut of the key still end it.
func (c *call) detach(parent context.Context) (release func()) {
	c.sink.stay = true
	detached, cut := context.WithCancelCause(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		if errors.Is(context.Cause(parent), errCutKey) {
			cut(errCutKey)
		}
	})
	ctx, cancel := context.WithDeadline(detached, c.request.Deadline)
	c.ctx = ctx
	return func() {
		cancel()
		stop()
		cut(nil)
	}
}

// attempts hands the request to targets until one answers. A second target is
// asked only if the first has certainly not run the request, or if it may run
// twice and the caller has seen nothing of the first answer.
func (c *call) attempts(out *Outcome) *Refusal {
	last := refuseNoTarget
	for {
		t, ok := c.pick()
		if !ok {
			return c.truthful(last)
		}
		c.target, c.load = t, nil
		c.request.Tried = append(c.request.Tried, t.Name)
		refusal := c.attempt(out)
		c.e.Picker.Ended(c.request, t.Name, *out)
		if refusal == nil {
			return nil
		}
		if !c.mayRetry(*out) {
			return c.truthful(refusal)
		}
		last = refusal
		c.e.counts.retried.Add(1)
		c.sink.head = nil
	}
}

// truthful corrects a refusal for earlier attempts that may have run.
func (c *call) truthful(r *Refusal) *Refusal {
	if r.notRun() == notRunTrue && c.ran != wire.Ran_RAN_NO {
		return r.known(notRunOf(c.ran))
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

// attempt hands the request to c.target. It returns nil once the caller has
// the whole answer. A caller that has a part of it sees its stream aborted.
func (c *call) attempt(out *Outcome) *Refusal {
	end, ran, err := c.exchange()
	*out = Outcome{Ending: end, Ended: time.Now(), FirstByte: c.sink.first, Bytes: c.assembly.Length, Load: c.load}
	out.Status = int(c.sink.head.GetStatus())
	out.Unreached = end == Lost || errors.Is(err, link.ErrUnreachable)
	c.e.counts.stray.Add(c.assembly.Stray)
	c.assembly.Stray = 0
	if end == Answered {
		c.e.counts.served.Add(1)
		c.e.latencies.record(c.request.Route.Class, c.request.Arrived, *out)
		out.PromptTokens, out.OutputTokens = c.usage.PromptTokens, c.usage.OutputTokens
		return nil
	}
	if c.ran == wire.Ran_RAN_NO {
		c.ran = ran
	}
	c.e.Log.Warn("attempt failed", "request", c.request.ID, "target", c.target.Name, "ran", ran, "error", err)
	if c.sink.started || end == Cancelled && errors.Is(err, errCaller) {
		return refuseTarget.known(notRunOf(ran)) // aborted by the caller of attempts
	}
	switch {
	case errors.Is(context.Cause(c.ctx), errCutKey):
		return refuseCut.known(notRunOf(ran))
	case end == Cancelled:
		return refuseDeadline.known(notRunOf(ran))
	case end == NotRun:
		return refuseTargetNot
	}
	return refuseTarget.known(notRunOf(ran))
}

func notRunOf(r wire.Ran) string {
	switch r {
	case wire.Ran_RAN_NO:
		return notRunTrue
	case wire.Ran_RAN_YES:
		return notRunFalse
	}
	return notRunUnknown
}

// exchange sends the request to the target and its answer to the caller.
func (c *call) exchange() (Ending, wire.Ran, error) {
	s, err := c.handOver()
	if s == nil {
		return c.ended(NotRun, wire.Ran_RAN_NO, err)
	}
	if err == nil {
		var end Ending
		var ran wire.Ran
		end, ran, err = c.follow(s)
		if end != Lost {
			c.part(s, end)
			return c.ended(end, ran, err)
		}
	}
	_ = s.Close()
	return c.ended(c.recover(err))
}

// ended turns the end of c's context into a cancellation.
func (c *call) ended(end Ending, ran wire.Ran, err error) (Ending, wire.Ran, error) {
	if end == Answered || c.ctx.Err() == nil {
		return end, ran, err
	}
	if c.request.Idempotent {
		return Cancelled, ran, err
	}
	if end == Lost {
		_, ran = c.ask(context.WithoutCancel(c.ctx))
	}
	return Cancelled, ran, err
}

func (c *call) address() link.Address { return addressOf(c.target) }

// handOver sends request and body. Without a stream the agent has certainly
// not run the request, since it starts only when it has all of the body.
func (c *call) handOver() (*link.Stream, error) {
	open := &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(c.run)}}
	s, err := c.e.Links.OpenQueued(c.ctx, c.address(), open)
	if err != nil {
		return nil, err
	}
	c.incarnation = s.Peer.Incarnation
	last, err := c.sendParts(s)
	if err != nil && !last || errors.Is(err, link.ErrRefused) {
		_ = s.Close()
		return nil, err
	}
	return s, err
}

// sendParts sends the body. It returns whether it came to the last part, which
// may have arrived also after an error.
func (c *call) sendParts(s *link.Stream) (last bool, err error) {
	body := c.body
	for len(body) > bodyPartBytes {
		if err := s.Send(&wire.BodyPart{Data: body[:bodyPartBytes]}); err != nil {
			return false, err
		}
		body = body[bodyPartBytes:]
	}
	return true, s.Send(&wire.BodyPart{Data: body, Last: true})
}

// part ends the stream, and the work at the agent if nobody wants it.
func (c *call) part(s *link.Stream, end Ending) {
	if end == Cancelled && c.request.Idempotent {
		s.SetContext(context.WithoutCancel(c.ctx))
		_ = s.Send(&wire.Open{Call: &wire.Open_Cancel{Cancel: &wire.Cancel{RequestId: c.request.ID[:]}}})
	}
	_ = s.Close()
}

// follow passes the answer on until it ends or the stream is lost.
func (c *call) follow(s *link.Stream) (Ending, wire.Ran, error) {
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
		done, end, ran, err := c.frame(&f)
		if done {
			return end, ran, err
		}
	}
}

func (c *call) frame(f *wire.Frame) (done bool, end Ending, ran wire.Ran, err error) {
	switch f := f.GetFrame().(type) {
	case *wire.Frame_Head:
		if c.assembly.Matches(f.Head.GetRequestId()) && c.sink.head == nil {
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
			return c.end(f.End)
		}
	case *wire.Frame_Failed:
		if c.assembly.Matches(f.Failed.GetRequestId()) {
			err := errors.Wrap(ErrAnswer, f.Failed.GetReason())
			if f.Failed.GetRan() == wire.Ran_RAN_NO {
				return true, NotRun, wire.Ran_RAN_NO, err
			}
			return true, Failed, f.Failed.GetRan(), err
		}
	}
	return false, 0, 0, nil
}

func (c *call) end(m *wire.End) (bool, Ending, wire.Ran, error) {
	if err := c.assembly.End(m.GetLength(), m.GetChecksum()); err != nil {
		return true, Failed, wire.Ran_RAN_YES, errors.Wrap(ErrAnswer, err.Error())
	}
	if err := c.sink.finish(); errors.Is(err, errCaller) {
		return true, Cancelled, wire.Ran_RAN_YES, err
	} else if err != nil {
		return true, Failed, wire.Ran_RAN_YES, err
	}
	c.load = m.GetLoad()
	if u, ok := wire.DecodeUsage(m.GetUsage(), c.run.Customer, c.run.Route); ok {
		c.usage = u
		if c.e.Control != nil {
			c.e.usage.add([]state.UsageRecord{u})
		}
	}
	return true, Answered, wire.Ran_RAN_YES, nil
}
