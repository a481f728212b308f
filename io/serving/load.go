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
	// pollInterval is the load polling interval for targets of the local region.
	// Responses carry load reports as well.
	pollInterval = time.Second
	// remotePollRounds is the number of rounds between polls of other regions.
	remotePollRounds = 5
	// loadTimeout is the timeout of one poll.
	loadTimeout = 800 * time.Millisecond
	// maxConcurrentPolls limits the number of concurrent polls.
	maxConcurrentPolls = 32
)

// pollLoads polls the agents for the load of their targets until ctx is done.
func (p *Policy) pollLoads(ctx context.Context) {
	for round := 0; ; round++ {
		p.pollRound(ctx, round%remotePollRounds == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (p *Policy) pollRound(ctx context.Context, far bool) {
	targets := p.subsetTargets()
	if far {
		p.retainSessions(targets)
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for _, t := range targets {
		if !far && t.Region != p.options.Region {
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
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	open := &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}}
	f, err := link.Call[wire.Frame](ctx, p.options.Links, address(t), open)
	if err != nil {
		p.options.Log.Debug("load poll failed", "target", t.Name, "error", err)
		return
	}
	if f.GetLoad() == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLoad(time.Now(), t.Name, f.GetLoad())
}

// applyLoad passes a load report to the router and updates the target's speed. The
// caller holds mu.
func (p *Policy) applyLoad(now time.Time, name fleet.TargetName, m *wire.Load) {
	age := time.Duration(max(m.GetAgeNanos(), 0))
	p.router.Step(now, route.Load{
		Target: name, Taken: now.Add(-age), Requests: m.GetRunning() + m.GetQueued(),
		PrefillTokens: float64(m.GetPrefillTokens()), DecodeTokens: float64(m.GetDecodeTokens()),
		PrefillSpeed: m.GetPrefillTokensPerSecond(), DecodeSpeed: m.GetDecodeTokensPerSecond(),
	})
	next := engineSpeed{m.GetPrefillTokensPerSecond(), m.GetDecodeTokensPerSecond()}
	if next.prefill <= 0 || next.decode <= 0 || next == p.speeds[name] || p.index == nil {
		return
	}
	p.speeds[name] = next
	if t, ok := p.index.Target(name); ok {
		if q := p.pools[t.Pool]; q != nil {
			p.updateCapacity(now, t.Pool, q)
		}
	}
}
