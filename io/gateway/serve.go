package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/core/roster"
)

const (
	// responseGrace is how much longer the gateway waits than the deadline that it
	// gives to a target: the target's own timeout response may still be in transit.
	responseGrace = 100 * time.Millisecond
	// logSampleInterval sets the sampling of the request log: one in this many
	// requests without an anomaly is logged.
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
	reasonNoCatalog  = "no-catalog"
	reasonNoRoute    = "no-route"
	reasonKey        = "key-unknown"
	reasonBody       = "body-too-large"
	reasonAmbiguous  = "length-ambiguous"
	reasonMemory     = "memory"
	reasonTargets    = "targets-refused"
	reasonTimeout    = "timeout"
	reasonNoAnswer   = "no-answer"
	reasonCallerLeft = "caller-left"
	reasonCut        = "answer-cut"
	reasonAnswered   = "answered"
)

// job is the state of one request from a caller.
type job struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	ask      RequestInfo
	index    *catalog.Index
	route    *catalog.Route
	customer fleet.Customer
	rank     int
	pool     string
	body     []byte
	started  time.Time // arrival of the request
	expires  time.Time // deadline of the final response

	retryAfter time.Duration // sent with a 503 response

	attempts         int             // failed attempts
	execution        retry.Execution // combined over all attempts
	tried            []fleet.TargetName
	lastEventID      string           // id of the last event received by the caller
	headSent         bool             // the response header has been written
	target           fleet.TargetName // target of the last attempt
	queueTime        time.Duration    // time spent queued for a slot
	prefillTime      time.Duration    // time taken by the prefill engine
	timeToFirstEvent time.Duration    // from the start of the last attempt that had a first event
	usageCounted     bool             // the request has been counted for usage
}

// ServeHTTP handles one request from a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	j := &job{g: g, w: w, r: r, started: now, ask: g.options.HeaderCodec.DecodeRequest(now, r), index: g.index.Load()}
	j.lastEventID = j.ask.LastEventID
	if c := guardedConnOf(r); c != nil {
		if err := c.takeHeadResult(); err != nil {
			g.log.Info("request framing rejected", "id", j.ask.ID, "error", err)
			w.Header().Set("Connection", "close")
			j.reject(http.StatusBadRequest, reasonAmbiguous, time.Time{})
			return
		}
	}
	if !j.admit() {
		return
	}
	defer func() { g.bodyBytes.Add(-int64(len(j.body))) }()
	ctx, cancel := context.WithDeadline(r.Context(), j.expires.Add(responseGrace))
	defer cancel()
	j.serve(ctx)
}

// admit resolves the route and the customer, reads the body and selects the pool. It
// returns false after it has rejected the request. It panics if the body cannot be
// read, which closes the connection.
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
		return j.reject(http.StatusUnauthorized, reasonKey, time.Time{})
	}
	j.expires = j.started.Add(j.route.Timeout)
	if !j.ask.Expires.IsZero() && j.ask.Expires.Before(j.expires) {
		j.expires = j.ask.Expires
	}
	limit := int64(j.index.Document.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if j.r.ContentLength > limit {
		return j.reject(http.StatusRequestEntityTooLarge, reasonBody, time.Time{})
	}
	if j.r.ContentLength == 0 && j.r.Body == http.NoBody {
		if j.r.Header.Get("Content-Length") != "" {
			j.body = []byte{}
		}
	} else {
		b, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return j.reject(http.StatusRequestEntityTooLarge, reasonBody, time.Time{})
		}
		if err != nil {
			g.log.Debug("reading request body failed", "id", j.ask.ID, "error", err)
			panic(http.ErrAbortHandler)
		}
		j.body = b
	}
	total := g.bodyBytes.Add(int64(len(j.body)))
	if g.options.MemoryBytes > 0 && total > g.options.MemoryBytes/bodyMemoryDivisor {
		g.bodyBytes.Add(-int64(len(j.body)))
		return j.reject(http.StatusServiceUnavailable, reasonMemory, j.started.Add(time.Second))
	}
	key := j.ask.Session()
	if key == "" {
		key = j.ask.ID
	}
	j.pool = j.route.PickPool(key)
	return true
}

const defaultBodyBytes = 4 << 20 // used if the catalog sets no limit

// identify determines the customer and the rank of the request by its API key. It
// returns false if a required key is missing or unknown.
func (j *job) identify() bool {
	j.rank = j.route.Rank
	if !j.index.RequiresKey() {
		return true
	}
	c, ok := j.index.Customer(j.ask.Key)
	if !ok {
		return j.route.Open
	}
	j.customer = c.Name
	if c.HasRank {
		j.rank = c.Rank
	}
	return true
}

// serve sends the request to targets until one has responded or no further attempt is
// made.
func (j *job) serve(ctx context.Context) {
	g := j.g
	g.mu.Lock()
	g.budget(j.pool).CountFirstAttempt()
	g.mu.Unlock()
	split := j.splitsPrefill()
	for {
		request := j.placementRequest(split)
		target, ok := j.acquireTarget(ctx, request)
		if !ok {
			return
		}
		var cache Cache
		if split && target.Role == fleet.Prefill {
			split = false // only one attempt; after that, a target computes the prefill itself
			var ran retry.Execution
			if cache, ran = j.prefill(ctx, target); cache.Handle == "" {
				if !j.prepareRetry(ctx, target, ran) {
					return
				}
				continue
			}
			request = j.placementRequest(false)
			request.CacheFrom, request.TransferTime = target.DataCentre, j.cacheTransferTime()
			if !j.sendWithCache(ctx, request, target, cache) {
				return
			}
			continue
		}
		ran, done := j.send(ctx, target, cache)
		if done || !j.prepareRetry(ctx, target, ran) {
			return
		}
	}
}

// sendWithCache sends the request with the KV cache to decode engines until one
// accepts it. It returns true if none has and the request may be served without the
// cache. Unless a response was forwarded or aborted, it releases the cache.
func (j *job) sendWithCache(ctx context.Context, request place.Request, source roster.Record, cache Cache) bool {
	for {
		target, ok := j.acquireTarget(ctx, request)
		if !ok {
			j.release(source, cache)
			return false
		}
		ran, done := j.send(ctx, target, cache)
		if done {
			return false
		}
		again := j.prepareRetry(ctx, target, ran)
		if !again || ran != retry.Barred || j.attempts >= maxCacheOffers {
			j.release(source, cache)
			return again
		}
		request.Exclude = j.tried
	}
}

// maxCacheOffers is the number of engines to which a KV cache is offered: the first
// may be full, but a second refusal suggests that the cache no longer exists.
const maxCacheOffers = 2

// placementRequest returns the request to the placer.
func (j *job) placementRequest(split bool) place.Request {
	a := place.Request{
		Pool: j.pool, Rank: j.rank, Split: split, Exclude: j.tried, Objective: j.objective(), Start: j.started,
		Deadline: j.expires.Add(-minSendTime),
	}
	if j.route.Affinity {
		a.Affinity = j.ask.Session()
	}
	return a
}

// acquireTarget gets a target from the placer. If there is none, it responds to the
// caller and returns false.
func (j *job) acquireTarget(ctx context.Context, request place.Request) (roster.Record, bool) {
	start := time.Now()
	target, reason, retryAt := j.g.acquireTarget(ctx, request)
	j.queueTime += time.Since(start)
	if reason != "" {
		j.fail(string(reason), retryAt)
		return target, false
	}
	if ctx.Err() != nil {
		j.g.reportOutcome(target, place.Abandoned, false)
		j.fail(reasonTimeout, time.Time{})
		return target, false
	}
	return target, true
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
func (j *job) prepareRetry(ctx context.Context, last roster.Record, ran retry.Execution) bool {
	if j.r.Context().Err() != nil {
		j.recordEnd(reasonCallerLeft, 0)
		return false
	}
	j.attempts++
	j.tried = append(j.tried, last.Target)
	f := retry.Failure{
		Idempotent: j.route.Repeatable(), Previous: j.execution, Last: ran, Deadline: j.expires, MinRemaining: minSendTime,
		Attempts: j.attempts, MaxAttempts: max(1, j.route.Attempts),
	}
	if ran <= retry.Barred {
		f.MaxAttempts = max(f.MaxAttempts, retry.MaxAttempts) // the route's limit covers only attempts that may have executed the request
	}
	j.g.mu.Lock()
	d := j.g.budget(j.pool).Decide(time.Now(), f)
	j.g.mu.Unlock()
	j.execution = retry.Combine(j.execution, ran)
	// A stream that has begun can be resumed only after an event with an id.
	if ctx.Err() != nil || d.Action != retry.Retry || j.headSent && j.lastEventID == "" {
		reason := reasonNoAnswer
		if ctx.Err() != nil {
			reason = reasonTimeout
		} else if j.execution <= retry.Barred {
			reason = reasonTargets
		}
		j.fail(reason, time.Now().Add(minRetryAfter))
		return false
	}
	j.g.retried.Add(1)
	j.g.metrics.retries.Inc()
	j.g.log.Info("retrying request", "id", j.ask.ID, "target", last.Target, "attempt", j.attempts, "after", j.lastEventID)
	return true
}

// fail ends a request for which no attempt has succeeded: with a status, or by abort if
// the response has begun.
func (j *job) fail(reason string, retryAt time.Time) {
	switch {
	case j.r.Context().Err() != nil:
		j.recordEnd(reasonCallerLeft, 0)
	case j.headSent:
		j.abort()
	case j.execution <= retry.Barred:
		j.reject(http.StatusServiceUnavailable, reason, retryAt)
	case reason == reasonTimeout:
		j.reject(http.StatusGatewayTimeout, reason, time.Time{})
	default:
		j.reject(http.StatusBadGateway, reason, time.Time{})
	}
}

// abort records a truncated response and panics, which closes the connection, so that
// the response does not look complete.
func (j *job) abort() {
	j.g.truncated.Add(1)
	j.recordEnd(reasonCut, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// reject responds with a status of the gateway itself. It always returns false, which
// admit returns in turn.
func (j *job) reject(status int, reason string, retryAt time.Time) bool {
	h := j.w.Header()
	if status == http.StatusServiceUnavailable {
		wait := min(max(time.Until(retryAt), minRetryAfter), maxRetryAfter)
		j.retryAfter = wait
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(wait.Seconds()*100)/100, 'f', -1, 64))
		j.g.refused.Add(1)
	} else if status >= http.StatusInternalServerError {
		j.g.failed.Add(1)
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.recordEnd(reason, status)
	return false
}

// recordEnd updates metrics and writes the log line of a finished request. Of the
// requests without an anomaly it logs a sample, selected by a hash of the id, so that
// every process logs the same ids.
func (j *job) recordEnd(reason string, status int) {
	took := time.Since(j.started)
	j.g.metrics.observeRequest(reason, status, j.rank, took, j.queueTime, j.prefillTime)
	late := j.route != nil && took > j.objective()
	if reason == reasonAnswered && status < http.StatusBadRequest && !late && j.attempts == 0 &&
		xxhash.Sum64String(j.ask.ID)%logSampleInterval != 0 {
		return
	}
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	j.g.log.Info("request ended", "id", j.ask.ID, "reason", reason, "status", status, "route", route, "customer", j.customer,
		"rank", j.rank, "target", j.target, "attempts", j.attempts, "waited", j.queueTime, "read", j.prefillTime, "first", j.timeToFirstEvent, "took", took,
		"retry-after", j.retryAfter, "catalog", j.version(), "replicas", j.g.replicas())
}

func (j *job) version() uint64 {
	if j.index == nil {
		return 0
	}
	return j.index.Document.Version
}
