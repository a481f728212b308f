package registry

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

const (
	// usagePeriod is the interval at which the leader checks for windows to finalise
	// and to report to the usage sink.
	usagePeriod = 200 * time.Millisecond
	// finaliseDeadlineRatio is the fraction of Options.ReportTimeout after which a
	// window is finalised even if a gateway has not reported. The rest of the time is
	// left for the report to the usage sink.
	finaliseDeadlineRatio = 0.75
	// countGrace is how long after the end of a window gateways may still count
	// requests for it, because of clock differences.
	countGrace = 500 * time.Millisecond
	// gatewayTimeout is how long finalising waits for a gateway that has stopped
	// reporting. A running gateway reconnects within seconds.
	gatewayTimeout = 30 * time.Second
	// usageTimeout limits one report to the usage sink.
	usageTimeout = 1500 * time.Millisecond
	// maxLateWindows limits how many windows before the current one a leader commits
	// counts for, and how many windows before the last ended one it finalises if they
	// have no committed counts.
	maxLateWindows = 3
	// maxPastWindows is the number of past windows for which a replica keeps the counts
	// reported by gateways.
	maxPastWindows = 12
)

// usageLoop finalises and reports usage windows while this replica leads.
func (r *Registry) usageLoop(ctx context.Context) {
	if r.options.UsageSink == nil || r.options.Window <= 0 {
		return
	}
	var nextProgress time.Time // when the counts of open windows are committed next
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePeriod):
		}
		now := r.options.Now() // determines windows; intervals are measured with time.Now
		r.expireCounts(now)
		term, _, held := r.member.Lease()
		if !held {
			continue
		}
		if !time.Now().Before(nextProgress) {
			nextProgress = time.Now().Add(progressPeriod)
			r.commitProgress(ctx, now)
		}
		r.finaliseWindows(ctx, now)
		r.reportWindows(ctx, term)
	}
}

func (r *Registry) windowAt(t time.Time) int64 {
	return t.UnixMilli() / r.options.Window.Milliseconds()
}

// finaliseWindows commits the final counts of ended windows, oldest first, once all
// gateways have reported or the deadline has passed. The first commit for a window is
// final; a later leader does not change it. Windows without counts are skipped.
func (r *Registry) finaliseWindows(ctx context.Context, now time.Time) {
	last := r.windowAt(now) - 1
	_, newestFinal := r.machine.unsent()
	for w := r.machine.firstOpen(max(newestFinal+1, last-maxLateWindows)); w <= last; w++ {
		end := time.UnixMilli((w + 1) * r.options.Window.Milliseconds())
		complete := r.allReported(now, end.Add(countGrace))
		if !complete && now.Before(end.Add(time.Duration(finaliseDeadlineRatio*float64(r.options.ReportTimeout)))) {
			return
		}
		counts := r.customerTotals(w)
		if len(counts) == 0 {
			continue
		}
		err := r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Close{
			Close: &wire.WindowClose{Window: w, Counts: encodeCounts(counts)},
		}})
		if err != nil {
			r.log.Warn("usage window not finalised", "window", w, "error", err)
			return
		}
		r.log.Info("usage window finalised", "window", w, "customers", len(counts), "complete", complete)
	}
}

// allReported returns whether all gateways have reported at t or later. It ignores gateways
// whose last report is older than gatewayTimeout. It returns false if there are no others.
func (r *Registry) allReported(now, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireReportStatuses(now)
	reported := false
	for _, last := range r.reportStatuses {
		if last.received.Before(t) {
			return false
		}
		reported = true
	}
	return reported
}

// expireReportStatuses forgets gateways whose last report is older than gatewayTimeout. The
// caller holds mu.
func (r *Registry) expireReportStatuses(now time.Time) {
	maps.DeleteFunc(r.reportStatuses, func(_ gatewayRun, last reportStatus) bool { return now.Sub(last.received) > gatewayTimeout })
}

// customerTotals returns the sums over all gateways of the counts of a window.
func (r *Registry) customerTotals(window int64) map[fleet.Customer]uint64 {
	out := make(map[fleet.Customer]uint64)
	for key, n := range r.windowCounts(window) {
		out[key.customer] += n
	}
	return out
}

// reportWindows reports the final windows to the usage sink, oldest first, and records
// those that it has accepted. The lease is checked before each report, since it may
// end during an earlier one. After ErrSuperseded, nothing more is reported in term.
func (r *Registry) reportWindows(ctx context.Context, term uint64) {
	r.mu.Lock()
	superseded := term <= r.supersededTerm
	r.mu.Unlock()
	if superseded {
		return
	}
	list, _ := r.machine.unsent()
	for _, w := range list {
		if _, expires, held := r.member.Lease(); !held || time.Until(expires) <= 0 {
			return
		}
		reportCtx, cancel := context.WithTimeout(ctx, usageTimeout)
		err := r.options.UsageSink.ReportUsage(reportCtx, r.options.HostName, term, w)
		cancel()
		r.log.Info("usage window reported", "window", w.Number, "term", term, "customers", len(w.Counts), "error", err)
		if errors.Is(err, ErrSuperseded) {
			r.mu.Lock()
			r.recordSuperseded(term)
			r.mu.Unlock()
			return
		}
		if err != nil {
			return
		}
		err = r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Sent{Sent: &wire.WindowSent{Window: w.Number}}})
		if err != nil {
			r.log.Warn("delivery of usage window not recorded", "window", w.Number, "error", err)
			return
		}
	}
}

// expireCounts drops reported counts older than maxPastWindows.
func (r *Registry) expireCounts(now time.Time) {
	oldest := r.windowAt(now) - maxPastWindows
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reportedCounts, func(w int64, _ map[countKey]uint64) bool { return w < oldest })
}
