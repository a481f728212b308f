package soak_test

import (
	"net/http"
	"slices"
	"time"

	"papayarock/platform/standin"
)

// calm reports whether no process was hit from contact before t until after.
func (r *run) calm(t time.Time, after time.Duration) bool {
	for _, h := range r.hits {
		if h.After(t.Add(-contact)) && h.Before(t.Add(after)) {
			return false
		}
	}
	return true
}

// judge checks what callers and targets saw, and reports what no fault excuses.
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
				report("%s %s was refused with %d and ran: %+v", o.Path, o.ID, o.Status, runs)
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			report("%s %s with a valid key got %d", o.Path, o.ID, o.Status)
		case http.StatusOK:
			want := standin.Answer(o.ID)
			if o.Path == "/stream/" {
				want = standin.Events(o.ID, 0)
			}
			if o.Complete && (o.Body != want || !o.Signed) {
				report("%s %s got a whole answer of %d bytes that is not its own", o.Path, o.ID, len(o.Body))
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
		report("%d requests reached a target with a key", n)
	}
	if served*4 < len(r.outcomes) {
		report("%d of %d requests were served", served, len(r.outcomes))
	}
	r.judgeRetries(report)
	r.judgeDrains(report)
}

// judgeRetries requires that requests run again within the budget of the fleet.
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
		// No window has more requests than there were at all.
		if allowed := retryShare*float64(len(r.outcomes)) + retrySlack; float64(in) > allowed {
			report("%d extra runs within %v, %.0f are allowed", in, retryWindow, allowed)
			return
		}
	}
}

// judgeDrains requires that no request starts at a target that has drained,
// later than a gateway in touch may learn of it.
func (r *run) judgeDrains(report func(format string, args ...any)) {
	for _, d := range r.drains {
		at := d.m.DrainAcknowledged()
		if at.IsZero() || !r.calm(at, inForce) {
			continue
		}
		for id, runs := range r.ledger.All() {
			for _, x := range runs {
				if x.Target == d.m.Name && x.Start.After(at.Add(inForce)) {
					report("%s started at %s %v after it was draining", id, x.Target, x.Start.Sub(at))
				}
			}
		}
	}
}
