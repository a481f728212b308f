package place

import (
	"math"
	"slices"
	"time"
)

// Reports of backlogs are out of date by the time that they take through the registry.
// Until then, the prompts that other gateways have sent are unknown. If each gateway took
// the reported wait for the present one, all of them would send their prompts to the few
// engines that were idle in the last report, where the prompts would queue.

const (
	// inflowWindow is the time constant of the average inflow of work.
	inflowWindow = 2 * time.Second
	// intervalSmoothing is the weight of a new sample in the moving average of the interval
	// between reports.
	intervalSmoothing = 0.2
)

// inflow measures the work that this gateway sends to the prefill engines of a pool. The
// zero value is ready to use.
type inflow struct {
	seconds float64 // of engine time, each weighted by its age
	updated time.Time
}

// add records that work was sent that takes an engine a given time.
func (f *inflow) add(now time.Time, work time.Duration) {
	f.seconds = f.weighted(now) + work.Seconds()
	f.updated = now
}

func (f *inflow) weighted(now time.Time) float64 {
	return f.seconds * math.Exp(-now.Sub(f.updated).Seconds()/inflowWindow.Seconds())
}

// engines returns the number of engines that the work keeps busy.
func (f *inflow) engines(now time.Time) float64 { return f.weighted(now) / inflowWindow.Seconds() }

// reportAge tracks how old the reported backlogs are. The zero value is ready to use.
type reportAge struct {
	received time.Time     // of the last report
	interval time.Duration // moving average
}

// report records that backlogs were received.
func (a *reportAge) report(now time.Time) {
	if !a.received.IsZero() {
		a.interval += time.Duration(intervalSmoothing * float64(now.Sub(a.received)-a.interval))
	}
	a.received = now
}

// age returns the mean age of the figures in the last report: other gateways sent them
// half an interval before it, and both ways may lead to another region.
func (a *reportAge) age(now time.Time) time.Duration {
	return now.Sub(a.received) + a.interval/2 + defaultRegionRTT
}

// waitLevel returns the wait up to which engines are not distinguished. The work that
// other gateways have sent since the reported waits goes to the engines with the shortest
// ones and fills them up to this level. All gateways are assumed to have the same inflow.
func (p *Placer) waitLevel(now time.Time, x *pool, prefill []*target) time.Duration {
	work := x.inflow.engines(now) * float64(p.gateways-1) * p.reportAge.age(now).Seconds()
	waits := make([]time.Duration, 0, len(prefill))
	for _, t := range prefill {
		waits = append(waits, x.promptWait(t))
	}
	return fillLevel(waits, time.Duration(work*float64(time.Second)))
}

// fillLevel returns the level up to which work fills the shortest waits.
func fillLevel(waits []time.Duration, work time.Duration) time.Duration {
	slices.Sort(waits)
	var sum time.Duration
	for i, wait := range waits {
		sum += wait
		level := (sum + work) / time.Duration(i+1)
		if i+1 == len(waits) || level <= waits[i+1] {
			return level
		}
	}
	return 0
}
