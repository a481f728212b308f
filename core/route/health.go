package route

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	ejectAfter   = 3   // consecutive failures
	ejectRate    = 0.5 // failure rate, as a moving average
	rateWeight   = 0.1 // of the newest outcome in the moving averages
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
	slowStart    = 10 * time.Second
	minRamp      = 0.1
	maxSlowness  = 20.0
	failPenalty  = 1.0 // seconds added to the score at a failure rate of 1
)

// health judges a target by the outcomes of its attempts.
type health struct {
	failures int     // consecutive
	rate     float64 // failures per attempt
	slowness float64 // observed over expected time to the first token
	ejected  bool
	probing  bool // the one probe is out
	probeAt  time.Time
	backoff  time.Duration
	returned time.Time // start of the slow start; zero means none
}

func newHealth() health { return health{slowness: 1} }

func (h *health) failed(now time.Time, probe bool) {
	h.failures++
	h.rate += rateWeight * (1 - h.rate)
	if probe {
		h.probing = false
	}
	if h.ejected && !probe {
		return
	}
	if probe || h.failures >= ejectAfter || h.rate > ejectRate {
		h.ejected = true
		h.backoff = min(max(2*h.backoff, firstBackoff), maxBackoff)
		h.probeAt = now.Add(h.backoff)
	}
}

func (h *health) served(now time.Time, probe bool) {
	h.failures = 0
	h.rate -= rateWeight * h.rate
	if !probe {
		return
	}
	h.probing, h.ejected = false, false
	h.rate = 0
	h.returned = now
}

// ramp is the share of its usual traffic that a returned target may draw.
func (h *health) ramp(now time.Time) float64 {
	if h.returned.IsZero() {
		return 1
	}
	since := now.Sub(h.returned)
	if since >= slowStart {
		return 1
	}
	return math.Max(minRamp, float64(since)/float64(slowStart))
}

// learn compares the observed time with the expected one.
func (h *health) learn(expected, observed time.Duration) {
	if expected <= 0 || observed <= 0 {
		return
	}
	x := math.Min(maxSlowness, float64(observed)/float64(expected)*h.slowness)
	h.slowness += rateWeight * (x - h.slowness)
	h.slowness = math.Max(0.5, h.slowness)
}

func (r *Router) firstToken(now time.Time, e FirstToken) {
	i, ok := r.byName[e.Choice.Target]
	if !ok || r.targets[i].Incarnation != e.Choice.incarnation {
		return
	}
	t := &r.targets[i]
	r.shift(now, t, work{prefill: -e.Choice.Prefill})
	t.health.learn(e.Choice.Expected, e.Took)
	if t.Kind == fleet.Service {
		t.service += rateWeight * (e.Took.Seconds() - t.service)
	}
}

func (r *Router) outcome(now time.Time, e Outcome) {
	if e.Choice.Crosses && e.Bytes > 0 {
		r.Crossed[e.Customer] += e.Bytes
	}
	i, ok := r.byName[e.Choice.Target]
	if !ok || r.targets[i].Incarnation != e.Choice.incarnation {
		return
	}
	t := &r.targets[i]
	left := work{-e.Choice.Prefill, -e.Choice.Decode}
	if e.Began {
		left.prefill = 0
	}
	r.shift(now, t, left)
	switch e.Result {
	case Served:
		t.health.served(now, e.Choice.Probe)
	case Failed:
		t.health.failed(now, e.Choice.Probe)
	case Cancelled:
		if e.Choice.Probe {
			t.health.probing = false
		}
	}
}
