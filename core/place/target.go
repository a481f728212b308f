package place

import (
	"time"

	"papayarock/core/roster"
)

const (
	// failuresToBench is the number of failures in a row after which a target
	// is left alone: one may be the request's own fault.
	failuresToBench = 2
	// firstBench and longestBench bound how long a failing target is left alone.
	firstBench   = 500 * time.Millisecond
	longestBench = 4 * time.Second
	// errorsToBench is the moving share of errors above which a target is left
	// alone; requests that fail by themselves are well below it.
	errorsToBench  = 0.6
	errorSmoothing = 0.1
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2

	// firstLimit is the limit of a target that has not answered yet.
	firstLimit = 2
	// leastLimit and mostLimit bound the limit. Below one, it is the share of the
	// time in which the target has a request of this gateway: many gateways
	// share one target.
	leastLimit = 1.0 / 32
	mostLimit  = 256
	// pacedGrowth is the factor of one step up of a limit below one.
	pacedGrowth = 1.15
	// slowShare is the part of the objective by which the time to the first event
	// may exceed its floor before the limit of the target shrinks. The rest is for
	// waits at the gateway and for the way to the caller.
	slowShare = 0.15
	// floorShare is the part of the objective that the time to the first event
	// may take without a queue: engines put many tokens into one event.
	floorShare = 0.5
	// waitShare is the part of the objective that a request may wait for a place.
	waitShare = 0.25
	// shrink is the factor of one step down. Steps are as far apart as the
	// answer took, since answers until then belong to the former limit.
	shrink = 0.8
	// fullPause is the least time for which a target that has refused a request is
	// avoided: some requests in its batch end meanwhile.
	fullPause = 20 * time.Millisecond
	// longestFull bounds the pause, which doubles with each refusal in a row: an
	// engine that changes its role refuses for seconds.
	longestFull       = 400 * time.Millisecond
	maxPauseDoublings = 5
	// assumedFirst is the time to the first event while none was observed.
	assumedFirst = 50 * time.Millisecond
)

// target is a run of a target as this gateway sees it.
type target struct {
	record   roster.Record
	running  int           // requests that are not finished
	reading  int           // of these, those without a first event
	limit    float64       // of reading
	sent     time.Time     // when the last request was sent
	shrunk   time.Time     // when the limit may shrink again
	first    time.Duration // moving average of the time to the first event
	floor    floor         // of the time to the first event
	distance time.Duration // shortest time to connect; zero if not known

	failures int     // in a row
	errors   float64 // moving share of answers that report an error
	benched  time.Time
	bench    time.Duration
	full     time.Time // it has refused a request; others are preferred until then
	refusals int       // in a row
	// gone is when the target said that it is not the one that was meant; zero if
	// it has announced itself since. It may have changed its role, or another
	// target has its address.
	gone time.Time
}

// adapt takes the time to a first event into the limit.
func (t *target) adapt(now time.Time, took, objective time.Duration) {
	if t.first == 0 {
		t.first = took
	}
	// A queue that was there before this gateway is not the way to the target.
	least := min(t.floor.add(now, took), t.distance+time.Duration(floorShare*float64(objective)))
	t.first += time.Duration(smoothing * float64(took-t.first))
	switch {
	case took-least > time.Duration(slowShare*float64(objective)):
		t.reduce(now, took)
	case t.limit < 1:
		t.limit = min(t.limit*pacedGrowth, 1)
	case float64(t.reading+1) >= t.limit-1:
		t.limit = min(t.limit+1/t.limit, mostLimit)
	}
}

// opens returns when t takes the next request of this gateway by its limit, and
// whether that depends on time alone.
func (t *target) opens() (time.Time, bool) {
	if t.limit >= 1 {
		return time.Time{}, float64(t.reading) < t.limit
	}
	return t.sent.Add(time.Duration(float64(t.expected()) / t.limit)), t.reading == 0
}

func (t *target) reduce(now time.Time, pause time.Duration) {
	if now.Before(t.shrunk) {
		return
	}
	t.limit = max(t.limit*shrink, leastLimit)
	t.shrunk = now.Add(pause)
}

func (t *target) judge(now time.Time, o Outcome) {
	switch o {
	case Served:
		t.failures, t.bench, t.refusals = 0, 0, 0
		t.benched = time.Time{}
		t.errors -= errorSmoothing * t.errors
	case Erred:
		t.failures = 0
		if t.errors += errorSmoothing * (1 - t.errors); t.errors > errorsToBench {
			t.errors /= 2
			t.leaveAlone(now)
		}
	case NotRun:
		t.reduce(now, t.expected())
		t.refusals++
		pause := max(t.expected(), fullPause)
		for range min(t.refusals-1, maxPauseDoublings) {
			pause *= 2
		}
		t.full = now.Add(min(pause, longestFull))
	case Abandoned:
	case Gone:
		t.gone = now
	case Failed, Unreachable:
		t.failures++
		if o == Unreachable {
			t.failures = max(t.failures, failuresToBench)
		}
		if t.failures >= failuresToBench {
			t.leaveAlone(now)
		}
	}
}

func (t *target) leaveAlone(now time.Time) {
	t.bench = min(max(2*t.bench, firstBench), longestBench)
	t.benched = now.Add(t.bench)
}

// probing reports whether t is tried by one request after a pause.
func (t *target) probing() bool { return t.bench > 0 && t.running > 0 }

// expected is the expected time to a first event.
func (t *target) expected() time.Duration {
	if t.first == 0 {
		return assumedFirst
	}
	return t.first
}
