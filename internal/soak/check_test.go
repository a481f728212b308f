package soak_test

import (
	"net/http"
	"slices"
	"time"

	"papayarock/platform/standin"
)

// noProcessFault reports whether no process fault was recorded between
// t - faultGrace and t + after.
func (r *run) noProcessFault(t time.Time, after time.Duration) bool {
	for _, h := range r.processFaults {
		if h.After(t.Add(-faultGrace)) && h.Before(t.Add(after)) {
			return false
		}
	}
	return true
}

// judge compares the responses that callers got with the requests that targets
// ran, and reports each violation that the injected faults do not excuse.
func (r *run) judge(report func(format string, args ...any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := 0
	for _, o := range r.outcomes {
		runs := r.ledger.Runs(o.ID)
		if o.Path == "/order/" && len(runs) > 1 {
			report("order %s ran %d times: %+v", o.ID, len(runs), runs)
		}
		switch o.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				report("%s %s was refused with status %d but ran: %+v", o.Path, o.ID, o.Status, runs)
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			report("%s %s with a valid key got status %d", o.Path, o.ID, o.Status)
		case http.StatusOK:
			want := standin.Answer(o.ID)
			if o.Path == "/stream/" {
				want = standin.Events(o.ID, 0)
			}
			if o.Complete && (o.Body != want || !o.Signed) {
				report("%s %s got a complete response of %d bytes that is wrong or unsigned", o.Path, o.ID, len(o.Body))
			}
			if o.Complete {
				served++
			}
		}
	}
	for id, runs := range r.ledger.All() {
		for _, x := range runs {
			if x.Customer != "c1" {
				report("%s ran for customer %q", id, x.Customer)
			}
		}
	}
	if n := r.ledger.Keys(); n > 0 {
		report("%d requests reached a target with an API key", n)
	}
	if served*4 < len(r.outcomes) {
		report("only %d of %d requests were served", served, len(r.outcomes))
	}
	r.judgeRetries(report)
	r.judgeDrains(report)
}

// judgeRetries requires that repeated runs of requests stay within the retry
// budget of all gateways.
func (r *run) judgeRetries(report func(format string, args ...any)) {
	var extra []time.Time
	for _, runs := range r.ledger.All() {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Start.Compare(b.Start) })
		for _, x := range runs[1:] {
			extra = append(extra, x.Start)
		}
	}
	slices.SortFunc(extra, time.Time.Compare)
	for i, at := range extra {
		in := 0
		for _, t := range extra[i:] {
			if t.Sub(at) < retryWindow {
				in++
			}
		}
		// The total number of requests is an upper bound for those of any window.
		if allowed := retryShare*float64(len(r.outcomes)) + retrySlack; float64(in) > allowed {
			report("%d extra runs within %v, limit %.0f", in, retryWindow, allowed)
			return
		}
	}
}

// judgeDrains requires that no request starts at a draining target once every
// connected gateway must have learned of the drain.
func (r *run) judgeDrains(report func(format string, args ...any)) {
	for _, d := range r.drains {
		at := d.target.DrainAcknowledged()
		if at.IsZero() || !r.noProcessFault(at, propagationTimeout) {
			continue
		}
		for id, runs := range r.ledger.All() {
			for _, x := range runs {
				if x.Target == d.target.Name && x.Start.After(at.Add(propagationTimeout)) {
					report("request %s started at target %s %v after its drain was acknowledged", id, x.Target, x.Start.Sub(at))
				}
			}
		}
	}
}
