package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayarock/core/fleet"
)

const (
	minutes             = int(runTime / time.Minute)                 // of a run
	maxFirstTokenMicros = int64(10 * time.Minute / time.Microsecond) // longer times to the first token count as this
	afterLossPeriod     = time.Minute                                // in which retries after a loss are counted
)

// result holds the measurements of one run. A request counts in the minute of its
// arrival.
type result struct {
	offered, onTime                           [minutes]float64
	customers                                 []requestCounts         // indexed by customer
	urgentInWindow                            requestCounts           // urgent requests that arrived in the reserved window
	firstTokenLatency                         *hdrhistogram.Histogram // µs, urgent requests only
	roleChanges                               int
	refused                                   int
	paidTime                                  time.Duration
	crossRegionBytes                          float64 // between data centres
	attemptsAfterLoss, firstAttemptsAfterLoss int     // attempts in the minute after a loss, and first attempts among them
}

// requestCounts counts requests and those of them that kept their promise.
type requestCounts struct{ offered, onTime float64 }

func newResult(sz size) *result {
	return &result{
		customers:         make([]requestCounts, sz.customers),
		firstTokenLatency: hdrhistogram.New(1, maxFirstTokenMicros, 3),
	}
}

func arrivalMinute(r *request) int { return min(int(r.arrived/time.Minute), minutes-1) }

func isUrgentInWindow(r *request) bool {
	return r.class == fleet.Urgent && r.arrived >= windowFrom && r.arrived < windowTo
}

func (s *result) recordOffered(r *request) {
	s.offered[arrivalMinute(r)]++
	s.customers[r.customer].offered++
	if isUrgentInWindow(r) {
		s.urgentInWindow.offered++
	}
}

func (s *result) recordOnTime(r *request) {
	s.onTime[arrivalMinute(r)]++
	s.customers[r.customer].onTime++
	if isUrgentInWindow(r) {
		s.urgentInWindow.onTime++
	}
}

// recordFirstToken records the time to the first token of an urgent request.
func (s *result) recordFirstToken(r *request) {
	if r.class == fleet.Urgent {
		_ = s.firstTokenLatency.RecordValue(min(int64((r.firstTokenAt-r.arrived)/time.Microsecond), maxFirstTokenMicros))
	}
}

// recordAttempt counts an attempt if it begins in the minute after a loss.
func (s *result) recordAttempt(now time.Duration, r *request) {
	if now >= eventFrom && now < eventFrom+afterLossPeriod {
		s.attemptsAfterLoss++
		if r.attempts == 1 {
			s.firstAttemptsAfterLoss++
		}
	}
}

// goodput returns the percentage of requests that kept their promise.
func (s *result) goodput() float64 {
	var offered, onTime float64
	for m := range minutes {
		offered += s.offered[m]
		onTime += s.onTime[m]
	}
	return 100 * onTime / offered
}

// worstMinute returns the lowest goodput of a minute.
func (s *result) worstMinute() float64 {
	worst := 100.0
	for m := range minutes {
		if s.offered[m] > 0 {
			worst = min(worst, 100*s.onTime[m]/s.offered[m])
		}
	}
	return worst
}

// worstCustomer returns the lowest goodput of a customer. It excludes the customer of
// a burst, whose own requests exceed its share.
func (s *result) worstCustomer(sc scenario) float64 {
	worst := 100.0
	for i, c := range s.customers {
		if c.offered > 0 && (!sc.burst || i != burstCustomer) {
			worst = min(worst, 100*c.onTime/c.offered)
		}
	}
	return worst
}

// windowGoodput returns the goodput of urgent requests in the reserved window.
func (s *result) windowGoodput() float64 {
	if s.urgentInWindow.offered == 0 {
		return 100
	}
	return 100 * s.urgentInWindow.onTime / s.urgentInWindow.offered
}

// amplification returns the attempts per first attempt in the minute after a loss.
func (s *result) amplification() float64 {
	if s.firstAttemptsAfterLoss == 0 {
		return 1
	}
	return float64(s.attemptsAfterLoss) / float64(s.firstAttemptsAfterLoss)
}
