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
	"papayarock/core/quarantine"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/io/upstream"
)

// maxBufferedResponseBytes is the size up to which a response is buffered
// completely before its header is forwarded, so that the request can be sent again
// if the response is truncated.
const maxBufferedResponseBytes = 256 << 10

// errNoBody ends an attempt whose response ended right after the header, without a length
// of zero. The target has most likely broken off.
var errNoBody = errors.New("response of unknown length ended after its header")

// hopByHopHeaders are the header fields that are not forwarded: those that apply to a
// single connection, and Content-Length and Expect, which the gateway handles itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopByHopHeaders removes hopByHopHeaders and the fields listed in Connection.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// attempt is one attempt to send a request to a target and to forward the response.
type attempt struct {
	*job
	record             roster.Record // of the target
	sent               time.Time     // start of the attempt, before dialling
	dialTime           time.Duration
	survived           bool // the target has survived the beginning of the response
	firstEventReported bool // the first event has been reported to the placer
	stall              *stallWatch
	prefillOnly        bool          // the target only computes the prefill
	cacheImported      bool          // the target imports the KV cache of the prompt
	uncached           int           // prompt tokens that the target is expected to process
	transfer           time.Duration // as in the place.Choice
	expectedFirst      time.Duration // Expected of the place.Choice
}

// send sends the request to a target and forwards the response, or the part of it that a
// continuation at another target delivers. It returns the execution state of the last
// attempt, and whether the response has been forwarded.
func (j *job) send(ctx context.Context, choice place.Choice, cache KVCacheRef) (retry.Execution, bool) {
	a := &attempt{job: j, record: choice.Target, sent: time.Now(), cacheImported: cache.Handle != "", uncached: choice.Uncached, transfer: choice.Transfer, expectedFirst: choice.Expected}
	j.target = a.record.Target
	attemptCtx, stall := a.watchStream(ctx)
	a.stall = stall
	defer func() { a.stall.stop() }()
	execution, done := a.run(attemptCtx, cache)
	for !done {
		c := a.stall.fail()
		a.stall.stop()
		j.recordContinuations(a.stall)
		if c == nil {
			break
		}
		a = j.moveTo(ctx, a, execution, c)
		execution, done = c.forward()
	}
	return execution, done
}

// run sends the request and forwards the response.
func (a *attempt) run(ctx context.Context, cache KVCacheRef) (retry.Execution, bool) {
	r, err := a.exchange(ctx, ForwardInfo{KVCache: cache, LastEventID: a.lastEventID})
	if err != nil {
		return a.handleNoResponse(err), false
	}
	defer func() { _ = r.Body.Close() }()
	info := a.decodeResponse(r)
	switch {
	case info.NotExecuted || info.Misdirected:
		drain(r.Body, a.stall.cancel)
		return a.handleRejection(r, info), false
	case r.Status >= http.StatusInternalServerError && a.retriesServerErrors(),
		r.Status >= http.StatusMultipleChoices && a.headerSent:
		// Part of a stream has been forwarded, so that this status cannot be. To end the
		// response here would make the part look complete.
		drain(r.Body, a.stall.cancel)
		a.reportFirstEvent()
		a.reportOutcome(place.Erred)
		a.countUsage()
		a.g.log.Info("target reported an error", "id", a.params.ID, "target", a.record.Target, "status", r.Status, "after", a.lastEventID)
		return retry.Executed, false
	}
	a.countUsage()
	if a.route.Kind == catalog.Stream && r.Status < http.StatusMultipleChoices {
		return a.forwardStream(ctx, r, info)
	}
	return a.forwardResponse(r, info)
}

// handleRejection reports and logs a response which says that the target has not run the
// request.
func (a *attempt) handleRejection(r *upstream.Response, info ResponseInfo) retry.Execution {
	outcome := place.RejectedFull
	if info.Misdirected {
		outcome = place.Gone
	}
	a.reportOutcome(outcome)
	a.g.log.Info("target refused the request", "id", a.params.ID, "target", a.record.Target, "status", r.Status, "outcome", outcome)
	return retry.Barred
}

// decodeResponse decodes a response header, and records what it says of the target.
func (a *attempt) decodeResponse(r *upstream.Response) ResponseInfo {
	now := time.Now()
	info := a.g.options.HeaderCodec.DecodeResponse(now, r.Status, r.Header)
	if info.Misdirected {
		return info // it comes from another target
	}
	a.g.mu.Lock()
	leaves := info.Leaving && a.g.placer.RecordLeaving(a.record)
	if !info.RetryAt.IsZero() {
		a.g.placer.RecordRetryAt(a.record, info.RetryAt)
	}
	limitChanged := a.g.placer.RecordLimit(now, a.sent, a.record, info.Limit, info.Limited)
	gateways := a.g.gateways
	a.g.mu.Unlock()
	if limitChanged {
		a.g.log.Info("target limit changed", "target", a.record.Target, "id", a.params.ID, "limited", info.Limited, "per-second", info.Limit, "gateways", gateways)
	}
	if leaves {
		a.g.log.Info("target is leaving", "target", a.record.Target, "id", a.params.ID, "announced", now.Sub(a.record.Heard))
	}
	if !info.RetryAt.IsZero() {
		a.g.log.Info("target wants no requests for a time", "target", a.record.Target, "id", a.params.ID, "status", r.Status, "for", info.RetryAt.Sub(now))
	}
	return info
}

// retriesServerErrors reports whether a 5xx response of a target leads to a retry at
// another target instead of being forwarded.
func (j *job) retriesServerErrors() bool {
	return j.route.Repeatable() && j.failedAttempts+1 < j.route.Attempts && time.Until(j.deadline) > minSendTime
}

// exchange sends the request and returns the response with its body unread.
func (a *attempt) exchange(ctx context.Context, f ForwardInfo) (*upstream.Response, error) {
	h := a.r.Header.Clone()
	removeHopByHopHeaders(h)
	f.Target, f.Deadline, f.Customer, f.Rank = a.record.Target, a.deadline, a.customer, a.targetRank()
	a.g.options.HeaderCodec.EncodeForward(a.sent, h, f)
	id, to := a.params.ID, endpoint(a.record)
	q := &upstream.Request{
		Method: a.r.Method, URI: a.r.RequestURI, Host: a.r.Host, Header: h, Body: a.body, NewConn: a.sendings.add(to),
		Matches: func(kept bool, status int, h http.Header) bool {
			return a.g.options.HeaderCodec.MatchesRequest(id, kept, status, h)
		},
	}
	r, err := a.g.options.Upstream.Do(ctx, to, q)
	if err == nil {
		a.dialTime = r.DialTime
	}
	return r, err
}

func endpoint(r roster.Record) upstream.Endpoint {
	return upstream.Endpoint{Target: r.Target, Started: r.Started.UnixMilli(), Address: r.Address}
}

// handleNoResponse reports and logs an attempt that failed without a response. It
// returns the execution state.
func (a *attempt) handleNoResponse(err error) retry.Execution {
	var failure *upstream.Error
	execution := retry.Lost
	outcome := place.Failed
	if errors.As(err, &failure) && !failure.MaybeSent {
		execution, outcome = retry.NotSent, place.Unreachable
	}
	if a.r.Context().Err() != nil && !a.stall.silent() || errors.Is(err, errWentOn) || errors.Is(err, errOverlap) {
		outcome = place.Abandoned
	}
	if execution == retry.Lost && !a.prefillOnly && a.route.Kind != catalog.Stream {
		// A plain request starts to execute on arrival, so it is counted even if the
		// response is lost. A stream starts to execute with its first event, so it is
		// not counted without a response.
		a.countUsage()
	}
	if failure == nil || failure.MaybeSent {
		a.recordBreak(quarantine.Queued, err)
	}
	a.reportOutcome(outcome)
	a.g.log.Info("attempt failed", "id", a.params.ID, "target", a.record.Target, "outcome", outcome, "took", time.Since(a.sent),
		"announced", time.Since(a.record.Heard), "replicas", a.g.replicas(), "segments", a.segmentList(), "error", err)
	return execution
}

// segmentList returns the ids of the first maxSharedSegments shared prompt segments, separated
// by commas, for the log. Requests that end the same way can be related by them.
func (a *attempt) segmentList() string {
	shared := a.params.SharedSegments()
	var ids []string
	for _, s := range shared[:min(len(shared), maxSharedSegments)] {
		ids = append(ids, s.ID)
	}
	return strings.Join(ids, ",")
}

// reportFirstEvent reports the first event of a stream, or else the response, to the
// placer. Only the first call has an effect.
func (a *attempt) reportFirstEvent() {
	if !a.firstEventReported {
		a.firstEventReported = true
		took := time.Since(a.sent)
		if a.prefillOnly {
			a.prefillTime = took
		} else {
			a.timeToFirstEvent = took
		}
		e := place.FirstEvent{Took: took, Connect: a.dialTime, Objective: a.objective(), Uncached: a.uncached, MaxPause: a.route.MaxPause, Expected: a.expectedFirst}
		if !a.cacheImported {
			e.Prompt, e.Affinity = a.prompt(), a.affinity()
		}
		a.g.reportFirstEvent(a.record, e)
	}
}

func (a *attempt) reportOutcome(o place.Outcome) {
	a.g.reportOutcome(a.record, place.End{Outcome: o, Answered: a.firstEventReported, Uncached: a.uncached, Transfer: a.transfer})
}

// countUsage counts the request towards the customer's usage, once for all attempts.
func (a *attempt) countUsage() {
	if !a.usageCounted {
		a.usageCounted = true
		a.g.usage.add(a.g.options.Now(), a.customer)
	}
}

// forwardResponse forwards a response that is not a stream. If the response is truncated
// within the first maxBufferedResponseBytes, nothing has been sent to the caller and the
// request can be retried. Less is buffered if the memory for responses is used up.
func (a *attempt) forwardResponse(r *upstream.Response, info ResponseInfo) (retry.Execution, bool) {
	buf := buffer{share: &a.g.responses}
	defer buf.free()
	err := buf.readFrom(r.Body, maxBufferedResponseBytes+1)
	complete := err == nil && len(buf.data) <= maxBufferedResponseBytes
	if errors.Is(err, errNoMemory) {
		a.g.log.Warn("response is not buffered, the memory for responses is used up", "id", a.params.ID, "target", a.record.Target, "bytes", len(buf.data))
		err = nil
	}
	buffered := buf.data
	if err == nil && len(buffered) == 0 && !r.Delimited {
		err = errNoBody
	}
	if err != nil {
		a.recordBreak(quarantine.Starting, err)
		a.reportOutcome(place.Failed)
		a.g.log.Info("answer broke off", "id", a.params.ID, "target", a.record.Target, "status", r.Status, "bytes", len(buffered), "error", err)
		return retry.Executed, false
	}
	if r.Status < http.StatusMultipleChoices && !info.Authentic || isNotExecutedStatus(r.Status) {
		// A success response without proof of origin may come from another server.
		// A status that tells the caller that the request was not executed may be
		// wrong, because DecodeResponse did not report it as NotExecuted.
		a.reportOutcome(place.Failed)
		a.g.log.Warn("response rejected: no proof of origin, or unconfirmed non-execution status", "id", a.params.ID, "target", a.record.Target, "status", r.Status, "genuine", info.Authentic)
		return retry.Executed, false
	}
	a.reportFirstEvent()
	a.recordSurvival()
	outcome := place.Served
	if r.Status >= http.StatusInternalServerError {
		outcome = place.Erred
	}
	a.copyHeaders(r)
	if complete {
		a.reportOutcome(outcome)
		a.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
		a.w.WriteHeader(r.Status)
		_, err = a.w.Write(buffered)
	} else {
		if r.Length >= 0 {
			a.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
		}
		a.w.WriteHeader(r.Status)
		rest := &errorReader{source: r.Body}
		if _, err = a.w.Write(buffered); err == nil {
			_, err = io.Copy(a.w, rest)
		}
		switch {
		case rest.err != nil && a.r.Context().Err() == nil:
			outcome = place.Failed // the target broke off
		case err != nil:
			outcome = place.Abandoned
		}
		a.reportOutcome(outcome)
	}
	a.headerSent = true
	if err != nil {
		a.g.log.Info("forwarding response failed", "id", a.params.ID, "target", a.record.Target, "outcome", outcome, "error", err)
		a.abort() // panics
	}
	a.w.Complete()
	a.recordResponse(r.Status)
	return retry.Executed, true
}

// errorReader keeps the error of its source, so that it can be told from an error of the
// writer to which the source is copied.
type errorReader struct {
	source io.Reader
	err    error // other than io.EOF
}

// Read reads from the source.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// isNotExecutedStatus reports whether a status tells the caller that the request was not
// executed.
func isNotExecutedStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeaders copies the end-to-end header fields from the response of the target to the
// response to the caller. A Connection field set by the gateway is kept.
func (a *attempt) copyHeaders(r *upstream.Response) {
	h := a.w.Header()
	connection := h.Get("Connection")
	for name, values := range r.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
}

// recordResponse records the end of a request whose response has been forwarded.
func (a *attempt) recordResponse(status int) {
	a.g.served.Add(1)
	a.recordEnd(reasonAnswered, status)
}
