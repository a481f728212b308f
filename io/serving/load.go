package serving

import (
	"context"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// loadPollInterval is how often agents of the local region are polled for the load
	// of their targets. Responses to requests include load reports, too.
	loadPollInterval = time.Second
	// remoteLoadPollRounds is the period, in rounds, of the polls of other regions.
	remoteLoadPollRounds = 5
	// loadPollTimeout is the timeout of one poll of an agent.
	loadPollTimeout = 800 * time.Millisecond
	// maxConcurrentLoadPolls limits the number of concurrent polls.
	maxConcurrentLoadPolls = 32
)

// pollLoads polls the agents for the load of their targets until ctx is done.
func (p *Policy) pollLoads(ctx context.Context) {
	for round := 0; ; round++ {
		p.pollLoadRound(ctx, round%remoteLoadPollRounds == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadPollInterval):
		}
	}
}

// pollLoadRound polls the targets of the subset once. Other regions are polled, and
// unused sessions closed, only if includeRemote is true.
func (p *Policy) pollLoadRound(ctx context.Context, includeRemote bool) {
	targets := p.subsetTargets()
	if includeRemote {
		p.retainSessions(targets)
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentLoadPolls)
	for _, t := range targets {
		if !includeRemote && t.Region != p.options.Region {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			p.pollLoad(ctx, t)
		})
	}
	wg.Wait()
}

func (p *Policy) pollLoad(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	open := &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}}
	frame, err := link.Call[wire.Frame](ctx, p.options.Links, address(t), open)
	if err != nil {
		p.options.Log.Debug("load poll failed", "target", t.Name, "error", err)
		return
	}
	if frame.GetLoad() == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLoad(time.Now(), t.Name, frame.GetLoad())
}

// applyLoad passes a load report to the router. If the target's speed has changed, it
// updates the capacity of the pool's queue. The caller holds mu.
func (p *Policy) applyLoad(now time.Time, name fleet.TargetName, m *wire.Load) {
	age := time.Duration(max(m.GetAgeNanos(), 0))
	p.router.Step(now, route.Load{
		Target: name, MeasuredAt: now.Add(-age), Requests: m.GetRunning() + m.GetQueued(),
		PrefillTokens: float64(m.GetPrefillTokens()), DecodeTokens: float64(m.GetDecodeTokens()),
		PrefillSpeed: m.GetPrefillTokensPerSecond(), DecodeSpeed: m.GetDecodeTokensPerSecond(),
	})
	next := engineSpeed{m.GetPrefillTokensPerSecond(), m.GetDecodeTokensPerSecond()}
	// A speed of 0 means that the engine has not reported one.
	if next.prefill <= 0 || next.decode <= 0 || next == p.speeds[name] || p.index == nil {
		return
	}
	p.speeds[name] = next
	if t, ok := p.index.Target(name); ok {
		if ps := p.pools[t.Pool]; ps != nil {
			p.updateCapacity(now, t.Pool, ps)
		}
	}
}
