package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
)

const (
	minutes       = int(runTime / time.Minute)
	highestFirst  = int64(10 * time.Minute / time.Microsecond)
	afterLossSpan = time.Minute
)

// result is what one run measured. A request counts in the minute in which it
// arrived.
type result struct {
	offered, kept     [minutes]float64
	customers         []served // indexed by customer
	window            served   // urgent requests within the window
	first             *hdrhistogram.Histogram
	changes           int
	refused           int
	paid              time.Duration
	crossed           float64 // bytes
	tries, firstTries int     // attempts in the minute after a loss, and first ones among them
}

type served struct{ offered, kept float64 }

func newResult(sz size) *result {
	return &result{
		customers: make([]served, sz.customers),
		first:     hdrhistogram.New(1, highestFirst, 3),
	}
}

func minute(r *request) int { return min(int(r.arrived/time.Minute), minutes-1) }

func inWindow(r *request) bool {
	return r.class == fleet.Urgent && r.arrived >= windowFrom && r.arrived < windowTo
}

func (s *result) offer(r *request) {
	s.offered[minute(r)]++
	s.customers[r.customer].offered++
	if inWindow(r) {
		s.window.offered++
	}
}

func (s *result) keep(r *request) {
	s.kept[minute(r)]++
	s.customers[r.customer].kept++
	if inWindow(r) {
		s.window.kept++
	}
}

func (s *result) firstToken(r *request) {
	if r.class == fleet.Urgent {
		_ = s.first.RecordValue(min(int64((r.first-r.arrived)/time.Microsecond), highestFirst))
	}
}

func (s *result) attempt(now time.Duration, r *request) {
	if now >= eventFrom && now < eventFrom+afterLossSpan {
		s.tries++
		if r.attempts == 1 {
			s.firstTries++
		}
	}
}

func (s *result) goodput() float64 {
	var o, k float64
	for m := range minutes {
		o += s.offered[m]
		k += s.kept[m]
	}
	return 100 * k / o
}

func (s *result) worstMinute() float64 {
	worst := 100.0
	for m := range minutes {
		if s.offered[m] > 0 {
			worst = min(worst, 100*s.kept[m]/s.offered[m])
		}
	}
	return worst
}

// worstCustomer leaves out the customer of a burst, whose own requests exceed
// its share.
func (s *result) worstCustomer(sc scenario) float64 {
	worst := 100.0
	for i, c := range s.customers {
		if c.offered > 0 && (!sc.burst || i != burstCustomer) {
			worst = min(worst, 100*c.kept/c.offered)
		}
	}
	return worst
}

func (s *result) windowGoodput() float64 {
	if s.window.offered == 0 {
		return 100
	}
	return 100 * s.window.kept / s.window.offered
}

func (s *result) amplification() float64 {
	if s.firstTries == 0 {
		return 1
	}
	return float64(s.tries) / float64(s.firstTries)
}
