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
	// usagePeriod is how often the leader looks for windows to fix and to send.
	usagePeriod = 200 * time.Millisecond
	// closeShare is the part of the time until a window is due after which its
	// figures are fixed even if a gateway has not reported: some time is left to
	// send.
	closeShare = 0.75
	// settle is how long after the end of a window gateways may still count for
	// it, as their clocks differ.
	settle = 500 * time.Millisecond
	// missed is how long a gateway is waited for that follows this replica no
	// more: it reconnects within seconds, or has ended.
	missed = 30 * time.Second
	// usageTimeout bounds one report to the platform.
	usageTimeout = 1500 * time.Millisecond
	// maxLate is the number of past windows without committed figures that a new
	// leader fixes at most.
	maxLate = 3
	// keepWindows is how many windows of counts a replica keeps.
	keepWindows = 12
)

// usageLoop fixes and reports usage windows while this replica leads.
func (r *Registry) usageLoop(ctx context.Context) {
	if r.o.Usage == nil || r.o.Window <= 0 {
		return
	}
	var commits time.Time // next commit of figures
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePeriod):
		}
		now := r.o.Now()
		r.forgetCounts(now)
		term, _, held := r.group.Lease()
		if !held {
			continue
		}
		if !time.Now().Before(commits) {
			commits = time.Now().Add(progressPeriod)
			r.commitProgress(ctx, now)
		}
		r.closeWindows(ctx, now)
		r.sendWindows(ctx, term)
	}
}

func (r *Registry) windowAt(t time.Time) int64 { return t.UnixMilli() / r.o.Window.Milliseconds() }

// closeWindows commits the figures of windows that have ended long enough ago.
// What is committed first counts, also for a later leader.
func (r *Registry) closeWindows(ctx context.Context, now time.Time) {
	last := r.windowAt(now) - 1
	_, closed := r.machine.unsent()
	for w := r.machine.firstOpen(max(closed+1, last-maxLate)); w <= last; w++ {
		end := time.UnixMilli((w + 1) * r.o.Window.Milliseconds())
		complete := r.complete(now, end.Add(settle))
		if !complete && now.Before(end.Add(time.Duration(closeShare*float64(r.o.Due)))) {
			return
		}
		counts := r.sum(w)
		if len(counts) == 0 {
			continue
		}
		err := r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Close{
			Close: &wire.WindowClose{Window: w, Counts: encodeCounts(counts)},
		}})
		if err != nil {
			r.log.Warn("usage window not fixed", "window", w, "error", err)
			return
		}
		r.log.Info("usage window fixed", "window", w, "customers", len(counts), "complete", complete)
	}
}

// complete reports whether all gateways that were heard lately have reported
// after t.
func (r *Registry) complete(now, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	any := false
	for g, x := range r.reports {
		if now.Sub(x.at) > missed {
			delete(r.reports, g)
			continue
		}
		if x.at.Before(t) {
			return false
		}
		any = true
	}
	return any
}

func (r *Registry) sum(window int64) map[fleet.Customer]uint64 {
	out := make(map[fleet.Customer]uint64)
	for s, n := range r.figures(window) {
		out[s.customer] += n
	}
	return out
}

func (r *Registry) sendWindows(ctx context.Context, term uint64) {
	r.mu.Lock()
	silenced := r.silenced[term]
	r.mu.Unlock()
	if silenced {
		return
	}
	list, _ := r.machine.unsent()
	for _, w := range list {
		if _, expires, held := r.group.Lease(); !held || time.Until(expires) <= 0 {
			return
		}
		limited, cancel := context.WithTimeout(ctx, usageTimeout)
		err := r.o.Usage.ReportUsage(limited, r.o.Name, term, w)
		cancel()
		r.log.Info("usage window reported", "window", w.Number, "term", term, "customers", len(w.Counts), "error", err)
		if errors.Is(err, ErrSuperseded) {
			r.mu.Lock()
			r.silenced[term] = true
			r.mu.Unlock()
			return
		}
		if err != nil {
			return
		}
		err = r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_Sent{Sent: &wire.WindowSent{Window: w.Number}}})
		if err != nil {
			r.log.Warn("sent usage window not noted", "window", w.Number, "error", err)
			return
		}
	}
}

func (r *Registry) forgetCounts(now time.Time) {
	oldest := r.windowAt(now) - keepWindows
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.counts, func(w int64, _ map[source]uint64) bool { return w < oldest })
}
