package agent

import (
	"context"
	"net/http"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/wire"
)

const (
	// loadInterval is the time between reads of the engine's load.
	loadInterval = 200 * time.Millisecond
	// loadTimeout bounds one read of the load.
	loadTimeout = time.Second
)

// targetLoad is the JSON form in which an engine reports its load.
type targetLoad struct {
	Waiting       uint32    `json:"waiting"`
	PrefillTokens float64   `json:"prefill-tokens"`
	DecodeTokens  float64   `json:"decode-tokens"`
	PrefillSpeed  float64   `json:"prefill-speed"`
	DecodeSpeed   float64   `json:"decode-speed"`
	At            time.Time `json:"at"` // time of the measurement, by the clock of this host
}

// encode returns the load report for an entry. MeasuredUnixNanos is the time of the
// report; the figures of the engine are older by AgeNanos.
func (t targetLoad) encode(now time.Time, running uint32, role fleet.Role) *wire.Load {
	m := &wire.Load{
		Running: running, Queued: t.Waiting, MeasuredUnixNanos: now.UnixNano(), Role: uint32(role),
		PrefillTokens: t.PrefillTokens, DecodeTokens: t.DecodeTokens,
		PrefillTokensPerSecond: t.PrefillSpeed, DecodeTokensPerSecond: t.DecodeSpeed,
	}
	if !t.At.IsZero() {
		m.AgeNanos = int64(now.Sub(t.At))
	}
	return m
}

// trackLoad keeps the copy of the engine's load up to date.
func (a *Agent) trackLoad(ctx context.Context) {
	for sleep(ctx, loadInterval) {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		var t targetLoad
		status, err := a.callTarget(callCtx, http.MethodGet, "/load", nil, &t)
		cancel()
		if err != nil || status != http.StatusOK {
			continue // monitorTarget logs that the target does not respond
		}
		a.mu.Lock()
		a.targetLoad = t
		a.mu.Unlock()
	}
}

// loadSummary returns the load that relays aggregate. A plain service reports no
// load, so for it only the time is set, and relays count its running requests. The
// caller holds the mutex.
func (a *Agent) loadSummary() watch.Load {
	if a.Announcement.Kind == fleet.Service {
		return watch.Load{Taken: time.Now()}
	}
	t := a.targetLoad
	return watch.Load{Taken: t.At, PrefillTokens: t.PrefillTokens, DecodeTokens: t.DecodeTokens, Waiting: t.Waiting}
}
