package place

import (
	"time"

	"papayarock/core/roster"
	"papayarock/core/work"
)

const (
	// failuresToEject is the number of consecutive failures after which a
	// target is ejected. A single failure may be caused by the request itself.
	failuresToEject = 2
	// minEjection and maxEjection bound the time for which a failing target is
	// ejected.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// errorRateToEject is the moving average of the error rate above which a
	// target is ejected. The rate of requests that fail by themselves is well
	// below it.
	errorRateToEject   = 0.6
	errorRateSmoothing = 0.1
	// latencySmoothing is the weight of a new sample in the moving average of
	// the latency.
	latencySmoothing = 0.2

	// initialLimit is the limit of a target that has not answered yet. The limit
	// of a target is the number of requests of this gateway that may wait for
	// their first event there.
	initialLimit = 2
	// minLimit and maxLimit bound the limit. A limit below one is the fraction
	// of time in which the target has a request of this gateway; it is needed
	// where many gateways share one target.
	minLimit = 1.0 / 32
	maxLimit = 256
	// pacedGrowth is the factor by which a limit below one grows in one step.
	pacedGrowth = 1.15
	// maxQueueingShare is the part of the objective by which the time to first
	// event may exceed the base latency before the limit shrinks. The rest is
	// left for queueing at the gateway and for the network path to the caller.
	maxQueueingShare = 0.15
	// maxBaseShare bounds the base latency, as a part of the objective. It is
	// large because engines put many tokens into one event.
	maxBaseShare = 0.5
	// maxWaitShare is the part of the objective for which a request may be
	// queued.
	maxWaitShare = 0.25
	// shrinkFactor is the factor by which the limit shrinks in one step. Steps
	// are at least one response time apart, since responses until then were
	// subject to the previous limit.
	shrinkFactor = 0.8
	// minFullPause is the shortest time for which a target that rejected a
	// request as full is avoided. Some requests of its batch end in that time.
	minFullPause = 20 * time.Millisecond
	// maxFullPause bounds the pause, which doubles with each consecutive
	// rejection: an engine that changes its role rejects requests for seconds.
	maxFullPause      = 400 * time.Millisecond
	maxPauseDoublings = 5
	// defaultLatency is the assumed time to first event before the first
	// sample.
	defaultLatency = 50 * time.Millisecond
)

// target is this gateway's state for one run of a target.
type target struct {
	record     roster.Record
	inFlight   int           // requests that have not finished
	unanswered int           // requests in flight without a first event
	own        Backlog       // prompts of this gateway that the target has not answered
	others     Backlog       // those of the other gateways, as last reported
	limit      float64       // of unanswered
	lastSent   time.Time     // when the most recent request was sent
	nextShrink time.Time     // earliest time of the next reduction of limit
	latency    time.Duration // moving average of the time to first event
	queueing   time.Duration // moving average of the latency without processing the prompt
	base       baseLatency   // minimum of the time to first event
	rtt        time.Duration // shortest time to connect; zero if unknown

	failures     int           // consecutive
	errorRate    float64       // moving average of the share of error responses
	ejectedUntil time.Time     // end of the last ejection
	ejection     time.Duration // length of the last ejection; zero after a request was served
	fullUntil    time.Time     // the target rejected a request as full; avoided until then
	retryAt      time.Time     // the target has asked for no requests until then
	rejections   int           // consecutive
	namedLimit   namedLimit    // the target takes only so many requests
	// goneAt is when the target reported that it is not the requested one,
	// because it changed its role or because another target now has its
	// address. It is zero if the target has announced itself since.
	goneAt time.Time
	// leaving is set once the target has said in a response that it is leaving. Unlike
	// goneAt, it holds for the rest of the run: the next announcement may be older than the
	// response.
	leaving bool
	change  RoleChange // in progress; zero if there is none

	// The fields below are used where requests are placed by work.
	slowdown float64   // time to first event relative to other engines of the pool; zero if unknown
	pace     work.Pace // of the streams
	pacedAt  time.Time // when a gap between events was last recorded
}

// changingRole reports whether t is changing its role.
func (t *target) changingRole(now time.Time) bool {
	return now.Before(t.change.Expires) && t.record.Role != t.change.Role
}

// adaptLimit adjusts the limit to a sample of the time to first event. The time for
// processing the prompt does not count as queueing, since prompts differ in length by
// a factor of a hundred. It is an upper bound: all tokens count as uncached. adaptLimit
// reports whether the request was queued for longer than maxQueueingShare allows.
func (t *target) adaptLimit(now time.Time, e FirstEvent, speed *prefillSpeed) (queued bool) {
	took := max(0, e.Took-speed.timeAt(t, e.Prompt.Unique))
	excess := e.Took - speed.timeAt(t, e.Prompt.Tokens)
	if t.latency == 0 {
		t.latency, t.queueing = e.Took, took
	}
	// Queueing that predates this gateway must not count as base latency.
	base := min(t.base.add(now, took), t.rtt+time.Duration(maxBaseShare*float64(e.Objective)))
	t.latency += time.Duration(latencySmoothing * float64(e.Took-t.latency))
	t.queueing += time.Duration(latencySmoothing * float64(took-t.queueing))
	queued = excess-base > time.Duration(maxQueueingShare*float64(e.Objective))
	switch {
	case queued:
		t.shrinkLimit(now, e.Took)
	case t.limit < 1:
		t.limit = min(t.limit*pacedGrowth, 1)
	case float64(t.unanswered+1) >= t.limit-1:
		t.limit = min(t.limit+1/t.limit, maxLimit)
	}
	return queued
}

// nextAdmission returns when the limit admits the next request of this gateway.
// It returns false if the target must answer a request before that.
func (t *target) nextAdmission() (time.Time, bool) {
	if t.limit >= 1 {
		return time.Time{}, float64(t.unanswered) < t.limit
	}
	return t.lastSent.Add(time.Duration(float64(t.expectedLatency()) / t.limit)), t.unanswered == 0
}

// shrinkLimit reduces the limit by one step, unless the pause after the last step
// is not over. The next step comes at least pause later.
func (t *target) shrinkLimit(now time.Time, pause time.Duration) {
	if now.Before(t.nextShrink) {
		return
	}
	t.limit = max(t.limit*shrinkFactor, minLimit)
	t.nextShrink = now.Add(pause)
}

// recordOutcome updates the health of t from the outcome of a request.
func (t *target) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Served:
		t.failures, t.ejection, t.rejections = 0, 0, 0
		t.ejectedUntil = time.Time{}
		t.errorRate -= errorRateSmoothing * t.errorRate
	case Erred:
		t.failures = 0
		if t.errorRate += errorRateSmoothing * (1 - t.errorRate); t.errorRate > errorRateToEject {
			t.errorRate /= 2
			t.eject(now)
		}
	case RejectedFull:
		t.shrinkLimit(now, t.expectedLatency())
		t.rejections++
		pause := max(t.expectedLatency(), minFullPause)
		for range min(t.rejections-1, maxPauseDoublings) {
			pause *= 2
		}
		t.fullUntil = now.Add(min(pause, maxFullPause))
	case Abandoned:
	case Gone:
		t.goneAt = now
	case Failed, Unreachable:
		t.failures++
		if o == Unreachable {
			t.failures = max(t.failures, failuresToEject)
		}
		if t.failures >= failuresToEject {
			t.eject(now)
		}
	}
}

// eject ejects t for twice as long as the last time, within the bounds.
func (t *target) eject(now time.Time) {
	t.ejection = min(max(2*t.ejection, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.ejection)
}

// probing reports whether t is being probed by a single request after an
// ejection.
func (t *target) probing() bool { return t.ejection > 0 && t.inFlight > 0 }

// expectedLatency returns the expected time to first event of an average request.
func (t *target) expectedLatency() time.Duration {
	if t.latency == 0 {
		return defaultLatency
	}
	return t.latency
}

// expectedFirstEvent returns the expected time to first event of a request with the
// given number of uncached prompt tokens.
func (t *target) expectedFirstEvent(speed *prefillSpeed, tokens int) time.Duration {
	if t.latency == 0 {
		return defaultLatency + speed.timeAt(t, tokens)
	}
	return t.queueing + speed.timeAt(t, tokens)
}
