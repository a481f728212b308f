package gateway

import (
	"context"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/quota"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/io/httpconn"
	"papayarock/io/upstream"
)

const (
	// responseGrace is how much longer the gateway waits than the deadline that it
	// gives to a target: the target's own timeout response may still be in transit.
	responseGrace = 100 * time.Millisecond
	// logSampleInterval sets the sampling of the request log: one in this many
	// requests without an anomaly is logged. See recordEnd.
	logSampleInterval = 16
	// minSendTime is the minimum time before the deadline at which a request is still
	// sent to a target.
	minSendTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After value of a 503
	// response.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Reasons for the end of a request, in addition to those of the placer.
const (
	reasonNoCatalog       = "no-catalog"
	reasonNoRoute         = "no-route"
	reasonKeyUnknown      = "key-unknown"
	reasonBodyTooLarge    = "body-too-large"
	reasonLengthAmbiguous = "length-ambiguous"
	reasonBodyLate        = "body-late"
	reasonMemory          = "memory"
	reasonTargetsRefused  = "targets-refused"
	reasonTimeout         = "timeout"
	reasonNoAnswer        = "no-answer"
	reasonCallerLeft      = "caller-left"
	reasonAnswerCut       = "answer-cut"
	reasonAnswered        = "answered"
	reasonQuarantined     = "segment-quarantined"
	reasonStopping        = "stopping"
)

// job is the state of one request from a caller.
type job struct {
	g        *Gateway
	w        *httpconn.Response
	r        *http.Request
	params   RequestInfo
	index    *catalog.Index
	route    *catalog.Route
	customer fleet.Customer
	limited  *catalog.Customer // with the limit that applies to the request; nil if there is none
	rank     int
	pool     string
	segments []quarantine.Segment // of the prompt, without the last one
	body     []byte               // nil if the request has none
	started  time.Time            // arrival of the request
	deadline time.Time            // deadline of the complete response

	bodyBuffer buffer        // holds body
	retryAfter time.Duration // sent with a 503 response

	failedAttempts   int
	standing         place.Standing  // when the request was refused for lack of capacity
	noRetry          string          // why there was no further attempt after the last one; empty if it was answered
	rejections       int             // failed attempts, since the stream has begun, that did not run the request
	execution        retry.Execution // combined over all attempts
	tried            []fleet.TargetName
	lastEventID      string           // id of the last event received by the caller
	lastEventAt      time.Time        // when it was forwarded
	headerSent       bool             // the response header has been written
	target           fleet.TargetName // target of the last attempt
	queueTime        time.Duration    // time spent queued for a target
	prefillTime      time.Duration    // time taken by the prefill engine
	timeToFirstEvent time.Duration    // time to the first event of the last attempt that had one, from the start of that attempt
	events           int              // of the stream, received so far from all targets
	longestGap       time.Duration    // of the target, between two events of the stream
	expectedLength   float64          // number of events; zero if it was not estimated
	prefillTarget    fleet.TargetName // target that processed the prompt
	charged          quota.Charge     // to the limit of the customer
	quotaWait        time.Duration    // time spent waiting for the charge
	usageCounted     bool             // the request has been counted for usage
	sendings         sendings
}

// sendings are the runs of targets to which a request was sent. A continuation is sent while
// another attempt runs.
type sendings struct {
	mu sync.Mutex
	to map[upstream.Endpoint]bool
}

// add records that the request is sent to a run of a target, and reports whether that is not
// the first time.
func (s *sendings) add(to upstream.Endpoint) (repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.to == nil {
		s.to = make(map[upstream.Endpoint]bool)
	}
	repeated = s.to[to]
	s.to[to] = true
	return repeated
}

// ServeHTTP handles one request from a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	httpconn.ServeWhole(g.log, w, r, func(w *httpconn.Response) { g.serve(w, r) })
}

// serve handles one request. If it returns without a complete response, the connection is
// closed, or the request is answered with status 500. A caller that has ended its side of
// the connection counts as gone: only a write could show that it still reads.
func (g *Gateway) serve(w *httpconn.Response, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	j := &job{bodyBuffer: buffer{share: &g.bodies}, g: g, w: w, r: r, started: now, params: g.options.HeaderCodec.DecodeRequest(now, r), index: g.index.Load()}
	j.lastEventID = j.params.LastEventID
	if err := httpconn.CheckHead(r); err != nil {
		g.log.Info("request framing rejected", "id", j.params.ID, "error", err)
		w.Header().Set("Connection", "close")
		j.reject(http.StatusBadRequest, reasonLengthAmbiguous, time.Time{})
		return
	}
	defer j.bodyBuffer.free()
	if !j.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline.Add(responseGrace))
	defer cancel()
	defer g.draining.add(cancel)()
	j.serve(ctx)
}

// admit determines the route and the customer, reads the body and selects the pool. It
// returns false if it has rejected the request. It panics if the body cannot be read,
// which closes the connection.
func (j *job) admit() bool {
	g := j.g
	if j.index == nil {
		return j.reject(http.StatusServiceUnavailable, reasonNoCatalog, j.started.Add(time.Second))
	}
	var ok bool
	if j.route, ok = j.index.Route(j.r.Host, j.r.URL.EscapedPath()); !ok {
		return j.reject(http.StatusNotFound, reasonNoRoute, time.Time{})
	}
	if !j.identify() {
		return j.reject(http.StatusUnauthorized, reasonKeyUnknown, time.Time{})
	}
	j.deadline = j.started.Add(j.route.Timeout)
	if !j.params.Deadline.IsZero() && j.params.Deadline.Before(j.deadline) {
		j.deadline = j.params.Deadline
	}
	limit := int64(j.index.Document.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if j.r.ContentLength > limit {
		return j.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, time.Time{})
	}
	if j.r.ContentLength == 0 && j.r.Body == http.NoBody {
		// An empty body that is not nil is forwarded with Content-Length: 0.
		if j.r.Header.Get("Content-Length") != "" {
			j.body = []byte{}
		}
	} else {
		if !j.readBody(limit) {
			return false
		}
	}
	if g.draining.tooLate(j.deadline.Add(responseGrace)) {
		return j.reject(http.StatusServiceUnavailable, reasonStopping, j.started)
	}
	key := j.params.AffinityKey()
	if key == "" {
		key = j.params.ID
	}
	j.pool = j.route.PickPool(key)
	j.segments = j.sharedSegments()
	return true
}

const defaultBodyBytes = 4 << 20 // used if the catalog sets no limit

// readBody reads the body, of at most limit bytes, until the deadline of the request. It
// returns false if it has rejected the request, which it does before it reads if the length
// is known and there is no memory for it. It panics if the body cannot be read, which
// closes the connection.
func (j *job) readBody(limit int64) bool {
	length := j.r.ContentLength
	if length > 0 && j.bodyBuffer.reserve(int(length)) != nil {
		return j.reject(http.StatusServiceUnavailable, reasonMemory, j.started.Add(time.Second))
	}
	j.limitReading(j.deadline)
	err := j.bodyBuffer.readFrom(http.MaxBytesReader(j.w.ResponseWriter, j.r.Body, limit), int(limit)+1)
	j.limitReading(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &large):
		return j.reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, time.Time{})
	case errors.Is(err, errNoMemory):
		return j.reject(http.StatusServiceUnavailable, reasonMemory, j.started.Add(time.Second))
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.w.Header().Set("Connection", "close")
		return j.reject(http.StatusRequestTimeout, reasonBodyLate, time.Time{})
	default:
		j.g.log.Debug("reading request body failed", "id", j.params.ID, "error", err)
		panic(http.ErrAbortHandler)
	}
	j.body = j.bodyBuffer.data
	if j.body == nil {
		j.body = []byte{} // forwarded with Content-Length: 0
	}
	return true
}

// limitReading sets the time until which the caller may send the body; the zero time is no
// limit. The server sets its own limits for the next request.
func (j *job) limitReading(end time.Time) {
	if err := http.NewResponseController(j.w).SetReadDeadline(end); err != nil {
		j.g.log.Debug("setting the time limit for reading the body failed", "id", j.params.ID, "error", err)
	}
}

// identify determines the customer and the rank of the request from its API key. It
// returns false if the catalog and the route require a key, and it is missing or unknown.
func (j *job) identify() bool {
	j.rank = j.route.Rank
	if !j.index.RequiresKey() {
		return true
	}
	c, ok := j.index.CustomerByKey(j.params.Key)
	if !ok {
		return j.route.Open
	}
	j.customer = c.Name
	if c.Limit.Limited() {
		j.limited = c
	}
	if c.HasRank {
		j.rank = c.Rank
	}
	return true
}

// serve sends the request to targets until a response has been forwarded or the request
// has failed.
func (j *job) serve(ctx context.Context) {
	g := j.g
	if !j.charge(ctx) {
		return
	}
	g.mu.Lock()
	g.budget(time.Now(), j.pool).CountFirstAttempt()
	g.mu.Unlock()
	split := j.splitsPrefill()
	for {
		request := j.placementRequest(split)
		choice, ok := j.acquireTarget(ctx, request)
		if !ok {
			return
		}
		target := choice.Target
		var cache KVCacheRef
		if split && target.Role == fleet.Prefill {
			split = false // only one attempt; after that, a target computes the prefill itself
			var execution retry.Execution
			if cache, execution = j.prefill(ctx, choice); cache.Handle == "" {
				if !j.prepareRetry(ctx, execution) {
					return
				}
				continue
			}
			request = j.placementRequest(false)
			request.CacheFrom = target.DataCentre
			if !j.sendWithKVCache(ctx, request, target, cache) {
				return
			}
			continue
		}
		execution, done := j.send(ctx, choice, cache)
		if done || !j.prepareRetry(ctx, execution) {
			return
		}
	}
}

// sendWithKVCache sends the request with the KV cache to decode engines, one after the
// other and at most maxKVCacheOffers, until a response has been forwarded. It returns false
// if the request has ended, and true if it may be retried without the cache. It releases
// the cache unless a response was forwarded or aborted.
func (j *job) sendWithKVCache(ctx context.Context, request place.Request, source roster.Record, cache KVCacheRef) bool {
	for {
		choice, ok := j.acquireTarget(ctx, request)
		if !ok {
			j.releaseKVCache(source, cache)
			return false
		}
		execution, done := j.send(ctx, choice, cache)
		if done {
			return false
		}
		mayRetry := j.prepareRetry(ctx, execution)
		if !mayRetry || execution != retry.Barred || j.failedAttempts >= maxKVCacheOffers {
			j.releaseKVCache(source, cache)
			return mayRetry
		}
		request.Exclude = j.tried
	}
}

// maxKVCacheOffers is the number of engines to which a KV cache is offered: the first
// may be full, but a second refusal suggests that the cache no longer exists.
const maxKVCacheOffers = 2

// placementRequest describes the request to the placer.
func (j *job) placementRequest(split bool) place.Request {
	request := place.Request{
		Pool: j.pool, Customer: j.competitor(), Rank: j.targetRank(), Split: split, Exclude: j.tried, Objective: j.objective(), Start: j.started,
		Deadline: j.deadline.Add(-minSendTime), MaxPause: j.route.MaxPause, Prompt: j.prompt(), TransferTime: j.kvCacheTransferTime(),
	}
	request.Batch, request.Events = j.batch(), j.expectedEvents()
	if !j.headerSent {
		request.Affinity = j.affinity()
		// A caller that repeats a request after a refusal states the deadline that the request
		// has had from the start.
		request.FirstSent = j.deadline.Add(-j.route.Timeout)
		return request
	}
	// The objective for the first event does not apply to the rest of a stream. The caller
	// waits for the next event for a while, so any target will do.
	request.Start, request.Objective, request.Resumes = j.lastEventAt, 0, true
	return request
}

// competitor returns the customer by which the placer orders queued requests fairly, or none
// if the deployment does not ask for that.
func (j *job) competitor() fleet.Customer {
	if !j.g.options.ScarceCapacity {
		return ""
	}
	return j.customer
}

// stream describes the pauses that the request may have if its response is a stream.
func (j *job) stream() retry.Stream {
	return retry.Stream{Objective: j.route.Objective, MaxPause: j.route.MaxPause, Resumable: j.route.Resumable}
}

// affinity returns the key of the shared tokens of the prompt, or an empty string if the
// route does not use them.
func (j *job) affinity() string {
	if !j.route.Affinity {
		return ""
	}
	return j.params.AffinityKey()
}

// targetRanks is the number of ranks that targets distinguish for the requests of one
// customer.
const targetRanks = 3

// targetRank returns the rank of the request at its target. That of the customer takes
// precedence over that of the route, so that a target processes the requests of equal
// customers by route: long prompts of a patient route would otherwise delay the short
// ones of an urgent route.
func (j *job) targetRank() int {
	return targetRanks*j.rank + min(max(j.route.Rank, 0), targetRanks-1)
}

// prompt returns the size of the prompt. The last segment belongs to this request alone.
// The size that the caller states is limited to what an engine can hold: a larger one
// would count as a backlog at the engine that all gateways avoid.
func (j *job) prompt() place.Prompt {
	tokens := j.params.PromptTokens
	if pool, ok := j.index.Pool(j.pool); ok && pool.Engine != nil && pool.Engine.CacheTokens > 0 {
		tokens = min(tokens, pool.Engine.CacheTokens)
	}
	p := place.Prompt{Tokens: tokens, Unique: tokens}
	if n := len(j.params.Segments); n > 0 {
		p.Unique = min(p.Tokens, j.params.Segments[n-1].Tokens)
	}
	return p
}

// acquireTarget gets a target from the placer. If there is none, it responds to the
// caller and returns false.
func (j *job) acquireTarget(ctx context.Context, request place.Request) (place.Choice, bool) {
	if j.rejectQuarantined() {
		return place.Choice{}, false
	}
	start := time.Now()
	acquire := j.g.acquireTarget
	if j.rejections > 0 {
		acquire = j.waitForRoom
	}
	choice, reason, retryAt := acquire(ctx, request)
	j.queueTime += time.Since(start)
	if reason != "" {
		j.noteStanding(reason, request)
		j.fail(string(reason), retryAt)
		return choice, false
	}
	if j.rejectQuarantined() { // in the time that the request was queued
		j.g.reportOutcome(choice.Target, place.End{Outcome: place.Abandoned, Uncached: choice.Uncached})
		return choice, false
	}
	if ctx.Err() != nil {
		j.g.reportOutcome(choice.Target, place.End{Outcome: place.Abandoned, Uncached: choice.Uncached})
		j.fail(reasonTimeout, time.Time{})
		return choice, false
	}
	return choice, true
}

const (
	// minRejectionPause is how long the rest of a stream waits after its first rejection. The
	// pause doubles with each further one, since each is a repeated request.
	minRejectionPause = 50 * time.Millisecond
	maxPauseDoublings = 5
)

// waitForRoom returns a target for the rest of a stream that targets have rejected, once one of
// them can be expected to take it. It waits for as long as the caller does.
func (j *job) waitForRoom(ctx context.Context, request place.Request) (c place.Choice, reason place.Reason, retryAt time.Time) {
	next := time.Now().Add(minRejectionPause << min(j.rejections-1, maxPauseDoublings))
	for {
		select {
		case <-ctx.Done():
			return c, place.Full, time.Time{}
		case <-time.After(time.Until(next)):
		}
		now := time.Now()
		if now.After(request.Deadline) {
			return c, place.Full, time.Time{}
		}
		j.g.mu.Lock()
		c, ok := j.g.placer.TakeSpare(now, request)
		j.g.mu.Unlock()
		if ok {
			return c, "", time.Time{}
		}
		next = now.Add(stallRecheck)
	}
}

// objective returns the route's latency objective for the first event, or its timeout
// if it has no objective.
func (j *job) objective() time.Duration {
	if j.route.Objective > 0 {
		return j.route.Objective
	}
	return j.route.Timeout
}

// prepareRetry decides whether to make another attempt after a failed one. If not,
// it responds to the caller and returns false.
func (j *job) prepareRetry(ctx context.Context, execution retry.Execution) bool {
	if j.r.Context().Err() != nil {
		j.recordEnd(reasonCallerLeft, 0)
		return false
	}
	previous := j.execution
	j.recordFailure(j.target, execution)
	f := retry.Failure{
		Idempotent: j.route.Repeatable(), Previous: previous, Last: execution, Deadline: j.deadline, MinRemaining: minSendTime,
		Attempts: j.failedAttempts - j.rejections, MaxAttempts: max(1, j.route.Attempts),
	}
	if execution <= retry.Barred && !j.headerSent {
		f.MaxAttempts = max(f.MaxAttempts, retry.MaxAttempts) // the route's limit covers only attempts that may have executed the request
	}
	j.g.mu.Lock()
	now := time.Now()
	d := j.g.budget(now, j.pool).Decide(now, f)
	j.g.mu.Unlock()
	// A stream that has begun can be resumed only after an event with an id.
	if ctx.Err() != nil || d.Action != retry.Retry || j.headerSent && j.lastEventID == "" {
		j.noRetry = noRetryReason(d, f)
		reason := reasonNoAnswer
		if ctx.Err() != nil {
			reason = reasonTimeout
		} else if j.execution <= retry.Barred {
			reason = reasonTargetsRefused
		}
		j.fail(reason, time.Now().Add(minRetryAfter))
		return false
	}
	j.g.retried.Add(1)
	j.g.metrics.retries.Inc()
	j.g.log.Info("retrying request", "id", j.params.ID, "target", j.target, "attempt", j.failedAttempts, "after", j.lastEventID)
	return true
}

// noRetryReason says, for the log, why there is no attempt after a failed one.
func noRetryReason(d retry.Decision, f retry.Failure) string {
	switch {
	case d.Action == retry.Retry:
		return "no-event-id"
	case d.BudgetExhausted:
		return "retry-budget"
	case f.Attempts >= f.MaxAttempts:
		return "attempts"
	case !time.Now().Add(f.MinRemaining).Before(f.Deadline):
		return "deadline"
	}
	return "may-have-run"
}

// recordFailure records the end of an attempt that has failed.
func (j *job) recordFailure(target fleet.TargetName, execution retry.Execution) {
	j.execution = retry.Combine(j.execution, execution)
	j.failedAttempts++
	if j.headerSent && execution <= retry.Barred {
		j.rejections++ // the target may take the rest of the stream later
	} else {
		j.tried = append(j.tried, target)
	}
}

// fail ends a request for which no attempt has succeeded. It responds with a status, or
// aborts the response if its header has been sent.
func (j *job) fail(reason string, retryAt time.Time) {
	switch {
	case j.r.Context().Err() != nil:
		if j.execution <= retry.Barred && !j.headerSent {
			j.credit()
		}
		j.recordEnd(reasonCallerLeft, 0)
	case j.headerSent:
		j.abort()
	case j.execution <= retry.Barred:
		j.reject(http.StatusServiceUnavailable, reason, retryAt)
	case reason == reasonTimeout:
		j.reject(http.StatusGatewayTimeout, reason, time.Time{})
	default:
		j.reject(http.StatusBadGateway, reason, time.Time{})
	}
}

// reject responds with a status of the gateway itself. It always returns false, which
// admit returns in turn.
func (j *job) reject(status int, reason string, retryAt time.Time) bool {
	h := j.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		limit := maxRetryAfter
		if reason == reasonQuarantined {
			limit = time.Until(retryAt) // earlier retries are rejected, too
		}
		wait := min(max(time.Until(retryAt), minRetryAfter), limit)
		j.retryAfter = wait
		// Seconds, rounded up to 10 ms.
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(wait.Seconds()*100)/100, 'f', -1, 64))
		j.g.refused.Add(1)
		j.credit()
	} else if status >= http.StatusInternalServerError {
		j.g.failed.Add(1)
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.recordEnd(reason, status)
	return false
}

// recordEnd updates metrics and writes the log line of a finished request. It logs every
// request that ended without a response below status 400, exceeded its objective or had
// a failed attempt. Of the others it logs a sample, selected by a hash of the id, so that
// all processes log the same ids.
func (j *job) recordEnd(reason string, status int) {
	took := time.Since(j.started)
	j.g.metrics.observeRequest(reason, status, j.rank, took, j.queueTime, j.prefillTime)
	late := j.route != nil && took > j.objective()
	if reason == reasonAnswered && status < http.StatusBadRequest && !late && j.failedAttempts == 0 &&
		xxhash.Sum64String(j.params.ID)%logSampleInterval != 0 {
		return
	}
	route := ""
	var left time.Duration // until the deadline of the request
	if j.route != nil {
		route = j.route.Name
	}
	if !j.deadline.IsZero() {
		left = time.Until(j.deadline)
	}
	fields := []any{"id", j.params.ID, "reason", reason, "status", status, "route", route, "customer", j.customer,
		"rank", j.rank, "target", j.target, "attempts", j.failedAttempts, "waited", j.queueTime, "read", j.prefillTime, "read-at", j.prefillTarget, "first", j.timeToFirstEvent, "events", j.events, "expected-events", j.expectedLength, "longest-gap", j.longestGap, "took", took, "left", left, "no-retry", j.noRetry,
		"retry-after", j.retryAfter, "charged", j.charged.Amount, "catalog", j.version(), "replicas", j.g.replicas()}
	j.g.log.Info("request ended", append(fields, j.standingFields()...)...)
}

func (j *job) version() uint64 {
	if j.index == nil {
		return 0
	}
	return j.index.Document.Version
}
