package gateway

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/io/upstream"
)

// heldAnswerBytes is the longest answer that is read whole before its head is
// passed on, so that a broken one can be replaced.
const heldAnswerBytes = 256 << 10

// hopFields concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// dropHopFields removes what concerns one connection only.
func dropHopFields(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopFields {
		delete(h, name)
	}
}

// attempt is one send of a job to a target.
type attempt struct {
	*job
	to      roster.Record
	sent    time.Time
	connect time.Duration
	begun   bool // the first event has been reported
	prefill bool // only the prompt is read
}

// send sends the request to a target and passes the answer on. It returns what
// is known of the attempt, and whether the caller has its answer.
func (j *job) send(ctx context.Context, to roster.Record, cache Cache) (retry.Execution, bool) {
	a := &attempt{job: j, to: to, sent: time.Now()}
	j.target = to.Target
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := a.exchange(ctx, Forward{Cache: cache, After: j.after})
	if err != nil {
		return a.unanswered(err), false
	}
	defer func() { _ = r.Body.Close() }()
	v := j.g.o.Dialect.Verdict(r.Status, r.Header)
	switch {
	case v.NotRun || v.Misdirected:
		outcome := place.NotRun
		if v.Misdirected {
			outcome = place.Gone
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, heldAnswerBytes))
		a.ended(outcome)
		j.g.log.Info("target refused", "id", j.ask.ID, "target", to.Target, "status", r.Status, "outcome", outcome)
		return retry.Barred, false
	case r.Status >= http.StatusInternalServerError && j.repeats():
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, heldAnswerBytes))
		a.started()
		a.ended(place.Erred)
		a.count()
		return retry.Executed, false
	}
	a.count()
	if j.route.Kind == catalog.Stream && r.Status < http.StatusMultipleChoices {
		return a.stream(ctx, r, v)
	}
	return a.whole(r, v)
}

// repeats reports whether an error of a target is not passed on, as another
// target may do better.
func (j *job) repeats() bool {
	return j.route.Repeatable() && j.attempts+1 < j.route.Attempts && time.Until(j.expires) > shortestSend
}

// exchange sends the request and returns the head of the answer.
func (a *attempt) exchange(ctx context.Context, f Forward) (*upstream.Response, error) {
	h := a.r.Header.Clone()
	dropHopFields(h)
	f.Target, f.Expires, f.Customer, f.Rank = a.to.Target, a.expires, a.customer, a.rank
	a.g.o.Dialect.Forward(a.sent, h, f)
	id := a.ask.ID
	q := &upstream.Request{
		Method: a.r.Method, URI: a.r.RequestURI, Host: a.r.Host, Header: h, Body: a.body,
		Matches: func(status int, h http.Header) bool { return a.g.o.Dialect.Mine(id, status, h) },
	}
	r, err := a.g.o.Conns.Do(ctx, endpoint(a.to), q)
	if err == nil {
		a.connect = r.DialTime
	}
	return r, err
}

func endpoint(r roster.Record) upstream.Endpoint {
	return upstream.Endpoint{Target: r.Target, Started: r.Started.UnixMilli(), Address: r.Address}
}

// unanswered reports an attempt without an answer.
func (a *attempt) unanswered(err error) retry.Execution {
	var failure *upstream.Error
	ran := retry.Lost
	outcome := place.Failed
	if errors.As(err, &failure) && !failure.MaybeSent {
		ran, outcome = retry.NotSent, place.Unreachable
	}
	if a.r.Context().Err() != nil {
		outcome = place.Abandoned
	}
	if ran == retry.Lost && !a.prefill && a.route.Kind != catalog.Stream {
		// A plain request begins to run as it arrives, also if its answer is lost. A
		// stream begins with its first event.
		a.count()
	}
	a.g.finish(a.to, outcome, a.begun)
	a.g.log.Info("attempt failed", "id", a.ask.ID, "target", a.to.Target, "outcome", outcome, "took", time.Since(a.sent),
		"announced", time.Since(a.to.Heard), "replicas", a.g.replicas(), "error", err)
	return ran
}

// started reports the first event of the answer, once.
func (a *attempt) started() {
	if !a.begun {
		a.begun = true
		took := time.Since(a.sent)
		if a.prefill {
			a.read = took
		} else {
			a.first = took
		}
		a.g.begun(a.to, took, a.connect, a.objective())
	}
}

func (a *attempt) ended(o place.Outcome) { a.g.finish(a.to, o, a.begun) }

// count counts the request for usage, once.
func (a *attempt) count() {
	if !a.counted {
		a.counted = true
		a.g.usage.add(a.g.o.Now(), a.customer)
	}
}

// whole passes on an answer that is not a stream.
func (a *attempt) whole(r *upstream.Response, v Verdict) (retry.Execution, bool) {
	held, err := io.ReadAll(io.LimitReader(r.Body, heldAnswerBytes+1))
	if err != nil {
		a.ended(place.Failed)
		a.g.log.Info("answer broke off", "id", a.ask.ID, "target", a.to.Target, "status", r.Status, "bytes", len(held), "error", err)
		return retry.Executed, false
	}
	if r.Status < http.StatusMultipleChoices && !v.Genuine || isRefusal(r.Status) {
		// A success without the target's mark is not its answer, and a status
		// that says that the request has not run must be true.
		a.ended(place.Failed)
		a.g.log.Warn("answer not usable", "id", a.ask.ID, "target", a.to.Target, "status", r.Status, "genuine", v.Genuine)
		return retry.Executed, false
	}
	a.started()
	outcome := place.Served
	if r.Status >= http.StatusInternalServerError {
		outcome = place.Erred
	}
	a.head(r)
	if len(held) <= heldAnswerBytes {
		a.ended(outcome)
		a.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
		a.w.WriteHeader(r.Status)
		_, err = a.w.Write(held)
	} else {
		if r.Length >= 0 {
			a.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
		}
		a.w.WriteHeader(r.Status)
		if _, err = a.w.Write(held); err == nil {
			_, err = io.Copy(a.w, r.Body)
		}
		a.ended(outcome)
	}
	a.answered = true
	if err != nil {
		a.g.log.Info("answer not delivered", "id", a.ask.ID, "target", a.to.Target, "error", err)
		a.abort()
	}
	a.done(r.Status)
	return retry.Executed, true
}

// isRefusal reports whether a status says that the request has not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// head copies the fields of an answer.
func (a *attempt) head(r *upstream.Response) {
	h := a.w.Header()
	closing := h.Get("Connection")
	for name, values := range r.Header {
		h[name] = values
	}
	dropHopFields(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// done counts an answered request.
func (a *attempt) done(status int) {
	a.g.served.Add(1)
	a.note(reasonAnswered, status)
}
