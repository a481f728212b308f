package soak_test

import (
	"net/http"
	"slices"
	"time"

	"papayarock/platform/standin"
)

// noProcessFault reports whether no process fault was recorded between
// t - faultGrace and t + window.
func (r *soakRun) noProcessFault(t time.Time, window time.Duration) bool {
	for _, fault := range r.processFaults {
		if fault.After(t.Add(-faultGrace)) && fault.Before(t.Add(window)) {
			return false
		}
	}
	return true
}

// checkOutcomes compares the responses that callers got with the requests that
// targets ran, and passes each violation that the injected faults do not excuse to
// report. It is called after the last request.
func (r *soakRun) checkOutcomes(report func(format string, args ...any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, expected := 0, 0
	limited := make(map[string]bool) // ids of the requests of the customer with a limit
	for _, o := range r.outcomes {
		limited[o.ID] = o.Key == limitedCustomer.Key
		if o.Status != http.StatusTooManyRequests {
			expected++
		} else if !limited[o.ID] {
			report("%s %s got status 429, but its customer has no limit", o.Path, o.ID)
		}
		runs := r.runLog.Executions(o.ID)
		if o.Path == "/order/" && len(runs) > 1 { // the only route that is not idempotent
			report("order %s ran %d times: %+v", o.ID, len(runs), runs)
		}
		switch o.Status {
		// Each of these statuses tells the caller that the request was not run.
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				report("%s %s was refused with status %d but ran: %+v", o.Path, o.ID, o.Status, runs)
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			report("%s %s with a valid key got status %d", o.Path, o.ID, o.Status)
		case http.StatusOK:
			want := standin.ResponseBody(o.ID)
			if o.Path == "/stream/" {
				want = standin.EventStreamBody(o.ID, 0)
			}
			if o.Complete && (o.Body != want || !o.Signed) {
				report("%s %s got a complete response of %d bytes that is wrong or unsigned", o.Path, o.ID, len(o.Body))
			}
			if o.Complete {
				served++
			}
		}
	}
	for id, runs := range r.runLog.All() {
		for _, x := range runs {
			want := "c1" // the customer of all other keys in the document
			if limited[id] {
				want = limitedCustomer.Name
			}
			if x.Customer != want {
				report("%s ran for customer %q", id, x.Customer)
			}
		}
	}
	if n := r.runLog.APIKeyCount(); n > 0 {
		report("%d requests were forwarded to a target with an API key", n)
	}
	if served*4 < expected {
		report("only %d of %d requests were served, want at least a quarter", served, expected)
	}
	if n := r.largestWindow(); float64(n) > maxLimitedWindow {
		report("%d requests of customer %s ran within %v, limit %.0f", n, limitedCustomer.Name, limitWindow, maxLimitedWindow)
	}
	r.checkRetries(report)
	r.checkDrains(report)
}

// checkRetries requires that the number of runs after the first run of each request
// stays within the retry budget, which the gateways share.
func (r *soakRun) checkRetries(report func(format string, args ...any)) {
	var extra []time.Time
	for _, runs := range r.runLog.All() {
		slices.SortFunc(runs, func(a, b standin.Execution) int { return a.Start.Compare(b.Start) })
		for _, x := range runs[1:] {
			extra = append(extra, x.Start)
		}
	}
	slices.SortFunc(extra, time.Time.Compare)
	for i, at := range extra {
		count := 0
		for _, t := range extra[i:] {
			if t.Sub(at) < retryWindow {
				count++
			}
		}
		// The budget depends on the number of requests in the window. The total number
		// is an upper bound for it, so this check allows more than the gateways do.
		if allowed := retryShare*float64(len(r.outcomes)) + retrySlack; float64(count) > allowed {
			report("%d extra runs within %v, limit %.0f", count, retryWindow, allowed)
			return
		}
	}
}

// checkDrains requires that no request starts at a draining target later than
// propagationTimeout after the drain was acknowledged. If there was a process fault around
// the acknowledgement, or the target serves for long, requests are checked that start without
// a process fault shortly before, after which a gateway may be disconnected.
func (r *soakRun) checkDrains(report func(format string, args ...any)) {
	for _, d := range r.drains {
		at := d.target.DrainAcknowledged()
		if at.IsZero() {
			continue
		}
		undisturbed := !d.quietly && r.noProcessFault(at, propagationTimeout)
		for id, runs := range r.runLog.All() {
			for _, x := range runs {
				if x.Target == d.target.Name && x.Start.After(at.Add(propagationTimeout)) && (undisturbed || r.noProcessFault(x.Start, 0)) {
					report("request %s started at target %s %v after its drain was acknowledged, limit %v", id, x.Target, x.Start.Sub(at), propagationTimeout)
				}
			}
		}
	}
}
