package route

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	ejectFailures   = 3   // consecutive failures that eject a target
	ejectRate       = 0.5 // failure rate, as a moving average, above which a target is ejected
	averageWeight   = 0.1 // weight of the newest sample in moving averages
	minBackoff      = time.Second
	maxBackoff      = 30 * time.Second
	slowStartPeriod = 10 * time.Second
	minTrafficShare = 0.1
	maxSlowness     = 20.0
	failurePenalty  = 1.0 // seconds added to the score for a failure rate of 1
)

// health tracks the outcomes of attempts at a target for outlier ejection and
// slow start.
type health struct {
	failures      int     // consecutive
	failureRate   float64 // moving average of failures per attempt
	slowness      float64 // moving average of observed over expected time to the first token
	ejected       bool
	probeInFlight bool
	probeAt       time.Time
	backoff       time.Duration
	recoveredAt   time.Time // start of the slow start; zero means none
}

func newHealth() health { return health{slowness: 1} }

// recordFailure ejects the target after consecutive failures, a high failure rate
// or a failed probe. Failures of attempts that were in flight at the ejection do
// not postpone the probe.
func (h *health) recordFailure(now time.Time, probe bool) {
	h.failures++
	h.failureRate += averageWeight * (1 - h.failureRate)
	if probe {
		h.probeInFlight = false
	}
	if h.ejected && !probe {
		return
	}
	if probe || h.failures >= ejectFailures || h.failureRate > ejectRate {
		h.ejected = true
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
		h.probeAt = now.Add(h.backoff)
	}
}

// recordSuccess records a served attempt. Only a probe ends the ejection and starts
// the slow start.
func (h *health) recordSuccess(now time.Time, probe bool) {
	h.failures = 0
	h.failureRate -= averageWeight * h.failureRate
	if !probe {
		return
	}
	h.probeInFlight, h.ejected = false, false
	h.failureRate = 0
	h.recoveredAt = now
}

// trafficShare returns the fraction of its usual traffic that a target receives.
// It rises from minTrafficShare to 1 during slow start.
func (h *health) trafficShare(now time.Time) float64 {
	if h.recoveredAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(h.recoveredAt)
	if elapsed >= slowStartPeriod {
		return 1
	}
	return math.Max(minTrafficShare, float64(elapsed)/float64(slowStartPeriod))
}

// recordLatency updates slowness with the time to the first token of an attempt.
// The expected time already includes slowness, so the sample is multiplied by it.
func (h *health) recordLatency(expected, observed time.Duration) {
	if expected <= 0 || observed <= 0 {
		return
	}
	sample := math.Min(maxSlowness, float64(observed)/float64(expected)*h.slowness)
	h.slowness += averageWeight * (sample - h.slowness)
	h.slowness = math.Max(0.5, h.slowness)
}

func (r *Router) applyFirstToken(now time.Time, e FirstToken) {
	i, ok := r.byName[e.Choice.Target]
	if !ok || r.targets[i].Incarnation != e.Choice.incarnation {
		return
	}
	t := &r.targets[i]
	r.addOwnWork(now, t, work{prefill: -e.Choice.Prefill})
	t.health.recordLatency(e.Choice.Expected, e.Elapsed)
	if t.Kind == fleet.Service {
		t.serviceTime += averageWeight * (e.Elapsed.Seconds() - t.serviceTime)
	}
}

func (r *Router) applyOutcome(now time.Time, e Outcome) {
	if e.Choice.CrossesRegion && e.Bytes > 0 {
		r.CrossRegionBytes[e.Customer] += e.Bytes
	}
	i, ok := r.byName[e.Choice.Target]
	if !ok || r.targets[i].Incarnation != e.Choice.incarnation {
		return
	}
	t := &r.targets[i]
	remaining := work{-e.Choice.Prefill, -e.Choice.Decode}
	if e.FirstTokenSeen {
		remaining.prefill = 0
	}
	r.addOwnWork(now, t, remaining)
	switch e.Result {
	case Served:
		t.health.recordSuccess(now, e.Choice.Probe)
	case Failed:
		t.health.recordFailure(now, e.Choice.Probe)
	case Cancelled:
		if e.Choice.Probe {
			t.health.probeInFlight = false
		}
	}
}
