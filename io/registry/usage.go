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
	// and to report.
	usagePeriod = 200 * time.Millisecond
	// closeDeadlineRatio is the fraction of Options.ReportTimeout after which a window is
	// finalised even if a gateway has not reported. The rest is left for the
	// report to the platform.
	closeDeadlineRatio = 0.75
	// countGrace is how long after the end of a window gateways may still count
	// requests for it, because of clock differences.
	countGrace = 500 * time.Millisecond
	// gatewayTimeout is how long finalising waits for a gateway that has stopped
	// reporting. A running gateway reconnects within seconds.
	gatewayTimeout = 30 * time.Second
	// usageTimeout limits one report to the platform.
	usageTimeout = 1500 * time.Millisecond
	// maxLateWindows is the maximum number of past windows without committed counts
	// that a new leader finalises.
	maxLateWindows = 3
	// maxCountedWindows is the number of windows for which a replica keeps counts.
	maxCountedWindows = 12
)

// usageLoop finalises and reports usage windows while this replica leads.
func (r *Registry) usageLoop(ctx context.Context) {
	if r.options.Usage == nil || r.options.Window <= 0 {
		return
	}
	var commits time.Time // time of the next commit of counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePeriod):
		}
		now := r.options.Now()
		r.expireCounts(now)
		term, _, held := r.group.Lease()
		if !held {
			continue
		}
		if !time.Now().Before(commits) {
			commits = time.Now().Add(progressPeriod)
			r.commitProgress(ctx, now)
		}
		r.finaliseWindows(ctx, now)
		r.sendWindows(ctx, term)
	}
}

func (r *Registry) windowAt(t time.Time) int64 {
	return t.UnixMilli() / r.options.Window.Milliseconds()
}

// finaliseWindows commits the final counts of windows that have ended long enough
// ago. The first commit for a window stands; a later leader does not change it.
func (r *Registry) finaliseWindows(ctx context.Context, now time.Time) {
	last := r.windowAt(now) - 1
	_, closed := r.machine.unsent()
	for w := r.machine.firstOpen(max(closed+1, last-maxLateWindows)); w <= last; w++ {
		end := time.UnixMilli((w + 1) * r.options.Window.Milliseconds())
		complete := r.allReported(now, end.Add(countGrace))
		if !complete && now.Before(end.Add(time.Duration(closeDeadlineRatio*float64(r.options.ReportTimeout)))) {
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

// allReported reports whether at least one gateway has reported within
// gatewayTimeout and all that have done so reported after t. It drops
// records older than gatewayTimeout.
func (r *Registry) allReported(now, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported := false
	for g, last := range r.reports {
		if now.Sub(last.received) > gatewayTimeout {
			delete(r.reports, g)
			continue
		}
		if last.received.Before(t) {
			return false
		}
		reported = true
	}
	return reported
}

func (r *Registry) customerTotals(window int64) map[fleet.Customer]uint64 {
	out := make(map[fleet.Customer]uint64)
	for s, n := range r.windowCounts(window) {
		out[s.customer] += n
	}
	return out
}

func (r *Registry) sendWindows(ctx context.Context, term uint64) {
	r.mu.Lock()
	superseded := r.superseded[term]
	r.mu.Unlock()
	if superseded {
		return
	}
	list, _ := r.machine.unsent()
	for _, w := range list {
		if _, expires, held := r.group.Lease(); !held || time.Until(expires) <= 0 {
			return
		}
		limited, cancel := context.WithTimeout(ctx, usageTimeout)
		err := r.options.Usage.ReportUsage(limited, r.options.Name, term, w)
		cancel()
		r.log.Info("usage window reported", "window", w.Number, "term", term, "customers", len(w.Counts), "error", err)
		if errors.Is(err, ErrSuperseded) {
			r.mu.Lock()
			r.superseded[term] = true
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

func (r *Registry) expireCounts(now time.Time) {
	oldest := r.windowAt(now) - maxCountedWindows
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.counts, func(w int64, _ map[source]uint64) bool { return w < oldest })
}
