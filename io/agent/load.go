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
	// loadInterval is how often the agent reads the load of an engine.
	loadInterval = 200 * time.Millisecond
	// loadTimeout bounds one read.
	loadTimeout = time.Second
)

// targetLoad is the last load that an engine reported.
type targetLoad struct {
	Waiting       uint32    `json:"waiting"`
	PrefillTokens float64   `json:"prefill-tokens"`
	DecodeTokens  float64   `json:"decode-tokens"`
	PrefillSpeed  float64   `json:"prefill-speed"`
	DecodeSpeed   float64   `json:"decode-speed"`
	At            time.Time `json:"at"` // on the clock of this host
}

func (t targetLoad) message(now time.Time, running uint32, role fleet.Role) *wire.Load {
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

// readLoads keeps the load of an engine up to date.
func (a *Agent) readLoads(ctx context.Context) {
	for pause(ctx, loadInterval) {
		one, cancel := context.WithTimeout(ctx, loadTimeout)
		var t targetLoad
		status, err := a.callTarget(one, http.MethodGet, "/load", nil, &t)
		cancel()
		if err != nil || status != http.StatusOK {
			continue // the check of the target tells of it
		}
		a.mu.Lock()
		a.target = t
		a.mu.Unlock()
	}
}

// backlog is what relays sum up. A plain service reports no load of its own; its
// running requests count.
func (a *Agent) backlog() watch.Load {
	if a.Announcement.Kind == fleet.Service {
		return watch.Load{Taken: time.Now()}
	}
	t := a.target
	return watch.Load{Taken: t.At, PrefillTokens: t.PrefillTokens, DecodeTokens: t.DecodeTokens, Waiting: t.Waiting}
}
