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
	// answerGrace is added to the time that a target is given: its own answer
	// that the time is up may still be on its way.
	answerGrace = 100 * time.Millisecond
	// ordinarySample is the number of requests without an anomaly of which one is
	// logged.
	ordinarySample = 16
	// shortestSend is the least time for which a request is still sent.
	shortestSend = 20 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound what a refused caller is told.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
)

// Reasons of refusals that are not the placer's.
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

// job is one request of a caller.
type job struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	ask      Ask
	index    *catalog.Index
	route    *catalog.Route
	customer fleet.Customer
	rank     int
	pool     string
	body     []byte
	started  time.Time
	expires  time.Time // when the caller must have a final answer

	retryAfter time.Duration // told to a refused caller

	attempts int
	ran      retry.Execution // of all attempts
	tried    []fleet.TargetName
	after    string // id of the last event that the caller has
	answered bool   // the head has been written
	target   fleet.TargetName
	waited   time.Duration // for places
	read     time.Duration // that a prefill engine took
	first    time.Duration // from the last send to the first event
	counted  bool          // for usage
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	j := &job{g: g, w: w, r: r, started: now, ask: g.o.Dialect.Ask(now, r), index: g.index.Load()}
	j.after = j.ask.After
	if c := guardOf(r); c != nil {
		if err := c.next(); err != nil {
			g.log.Info("request framing refused", "id", j.ask.ID, "error", err)
			w.Header().Set("Connection", "close")
			j.refuse(http.StatusBadRequest, reasonAmbiguous, time.Time{})
			return
		}
	}
	if !j.admit() {
		return
	}
	defer func() { g.bodies.Add(-int64(len(j.body))) }()
	ctx, cancel := context.WithDeadline(r.Context(), j.expires.Add(answerGrace))
	defer cancel()
	j.serve(ctx)
}

// admit looks the request up and reads its body. It answers a request that is
// not to be served.
func (j *job) admit() bool {
	g := j.g
	if j.index == nil {
		return j.refuse(http.StatusServiceUnavailable, reasonNoCatalog, j.started.Add(time.Second))
	}
	var ok bool
	if j.route, ok = j.index.Route(j.r.Host, j.r.URL.EscapedPath()); !ok {
		return j.refuse(http.StatusNotFound, reasonNoRoute, time.Time{})
	}
	if !j.identify() {
		return j.refuse(http.StatusUnauthorized, reasonKey, time.Time{})
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
		return j.refuse(http.StatusRequestEntityTooLarge, reasonBody, time.Time{})
	}
	if j.r.ContentLength == 0 && j.r.Body == http.NoBody {
		if j.r.Header.Get("Content-Length") != "" {
			j.body = []byte{}
		}
	} else {
		b, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return j.refuse(http.StatusRequestEntityTooLarge, reasonBody, time.Time{})
		}
		if err != nil {
			g.log.Debug("body not received", "id", j.ask.ID, "error", err)
			panic(http.ErrAbortHandler)
		}
		j.body = b
	}
	held := g.bodies.Add(int64(len(j.body)))
	if g.o.MemoryBytes > 0 && held > g.o.MemoryBytes/bodyShare {
		g.bodies.Add(-int64(len(j.body)))
		return j.refuse(http.StatusServiceUnavailable, reasonMemory, j.started.Add(time.Second))
	}
	key := j.ask.Session()
	if key == "" {
		key = j.ask.ID
	}
	j.pool = j.route.PickPool(key)
	return true
}

const defaultBodyBytes = 4 << 20 // where the catalog states no limit

// identify finds the customer of the request.
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

// serve places and sends the request until it has an answer.
func (j *job) serve(ctx context.Context) {
	g := j.g
	g.mu.Lock()
	g.budget(j.pool).CountFirstAttempt()
	g.mu.Unlock()
	split := j.splits()
	for {
		ask := j.place(split)
		target, ok := j.take(ctx, ask)
		if !ok {
			return
		}
		var cache Cache
		if split && target.Role == fleet.Prefill {
			split = false // once; then any target reads the prompt itself
			var ran retry.Execution
			if cache, ran = j.prefill(ctx, target); cache.Handle == "" {
				if !j.again(ctx, target, ran) {
					return
				}
				continue
			}
			ask = j.place(false)
			ask.CacheFrom, ask.TransferTime = target.DataCentre, j.transfer()
			if !j.takeCache(ctx, ask, target, cache) {
				return
			}
			continue
		}
		ran, done := j.send(ctx, target, cache)
		if done || !j.again(ctx, target, ran) {
			return
		}
	}
}

// takeCache has decode engines take a KV cache until one has. It returns true if
// none has and the request may be served without.
func (j *job) takeCache(ctx context.Context, ask place.Request, source roster.Record, cache Cache) bool {
	for {
		target, ok := j.take(ctx, ask)
		if !ok {
			j.release(source, cache)
			return false
		}
		ran, done := j.send(ctx, target, cache)
		if done {
			return false
		}
		again := j.again(ctx, target, ran)
		if !again || ran != retry.Barred || j.attempts >= maxTakes {
			j.release(source, cache)
			return again
		}
		ask.Exclude = j.tried
	}
}

// maxTakes is how many engines are asked to take a KV cache: the first may be
// full, but a second refusal suggests that the cache is gone.
const maxTakes = 2

// place returns what the placer is asked.
func (j *job) place(split bool) place.Request {
	a := place.Request{
		Pool: j.pool, Rank: j.rank, Split: split, Exclude: j.tried, Objective: j.objective(), Start: j.started,
		Deadline: j.expires.Add(-shortestSend),
	}
	if j.route.Affinity {
		a.Affinity = j.ask.Session()
	}
	return a
}

// take gets a place. It answers the caller if there is none.
func (j *job) take(ctx context.Context, ask place.Request) (roster.Record, bool) {
	offered := time.Now()
	target, reason, retryAt := j.g.place(ctx, ask)
	j.waited += time.Since(offered)
	if reason != "" {
		j.fail(string(reason), retryAt)
		return target, false
	}
	if ctx.Err() != nil {
		j.g.finish(target, place.Abandoned, false)
		j.fail(reasonTimeout, time.Time{})
		return target, false
	}
	return target, true
}

// objective is the time to the first event that counts as on time.
func (j *job) objective() time.Duration {
	if j.route.Objective > 0 {
		return j.route.Objective
	}
	return j.route.Timeout
}

// again decides on another attempt after one that has not answered. It answers
// the caller if there is none.
func (j *job) again(ctx context.Context, last roster.Record, ran retry.Execution) bool {
	if j.r.Context().Err() != nil {
		j.note(reasonCallerLeft, 0)
		return false
	}
	j.attempts++
	j.tried = append(j.tried, last.Target)
	f := retry.Failure{
		Idempotent: j.route.Repeatable(), Previous: j.ran, Last: ran, Deadline: j.expires, MinRemaining: shortestSend,
		Attempts: j.attempts, MaxAttempts: max(1, j.route.Attempts),
	}
	if ran <= retry.Barred {
		f.MaxAttempts = max(f.MaxAttempts, retry.MaxAttempts) // a target that has not run the request does not count
	}
	j.g.mu.Lock()
	d := j.g.budget(j.pool).Decide(time.Now(), f)
	j.g.mu.Unlock()
	j.ran = retry.Combine(j.ran, ran)
	if ctx.Err() != nil || d.Action != retry.Retry || j.answered && j.after == "" {
		reason := reasonNoAnswer
		if ctx.Err() != nil {
			reason = reasonTimeout
		} else if j.ran <= retry.Barred {
			reason = reasonTargets
		}
		j.fail(reason, time.Now().Add(leastRetryAfter))
		return false
	}
	j.g.retried.Add(1)
	j.g.metrics.retried.Inc()
	j.g.log.Info("request sent again", "id", j.ask.ID, "target", last.Target, "attempt", j.attempts, "after", j.after)
	return true
}

// fail gives the caller the final answer for a request that no target answered.
func (j *job) fail(reason string, retryAt time.Time) {
	switch {
	case j.r.Context().Err() != nil:
		j.note(reasonCallerLeft, 0)
	case j.answered:
		j.abort()
	case j.ran <= retry.Barred:
		j.refuse(http.StatusServiceUnavailable, reason, retryAt)
	case reason == reasonTimeout:
		j.refuse(http.StatusGatewayTimeout, reason, time.Time{})
	default:
		j.refuse(http.StatusBadGateway, reason, time.Time{})
	}
}

// abort breaks an answer off, so that it does not look complete.
func (j *job) abort() {
	j.g.cut.Add(1)
	j.note(reasonCut, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// refuse answers with a status of the gateway's own. It returns false.
func (j *job) refuse(status int, reason string, retryAt time.Time) bool {
	h := j.w.Header()
	if status == http.StatusServiceUnavailable {
		wait := min(max(time.Until(retryAt), leastRetryAfter), mostRetryAfter)
		j.retryAfter = wait
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(wait.Seconds()*100)/100, 'f', -1, 64))
		j.g.refused.Add(1)
	} else if status >= http.StatusInternalServerError {
		j.g.failed.Add(1)
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.note(reason, status)
	return false
}

// note counts a request that has ended and writes its line. Of those that went
// well, a sample is logged: the same ids in each process.
func (j *job) note(reason string, status int) {
	took := time.Since(j.started)
	j.g.metrics.request(reason, status, j.rank, took, j.waited, j.read)
	late := j.route != nil && took > j.objective()
	if reason == reasonAnswered && status < http.StatusBadRequest && !late && j.attempts == 0 &&
		xxhash.Sum64String(j.ask.ID)%ordinarySample != 0 {
		return
	}
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	j.g.log.Info("request ended", "id", j.ask.ID, "reason", reason, "status", status, "route", route, "customer", j.customer,
		"rank", j.rank, "target", j.target, "attempts", j.attempts, "waited", j.waited, "read", j.read, "first", j.first, "took", took,
		"retry-after", j.retryAfter, "catalog", j.version(), "replicas", j.g.replicas())
}

func (j *job) version() uint64 {
	if j.index == nil {
		return 0
	}
	return j.index.Document.Version
}
