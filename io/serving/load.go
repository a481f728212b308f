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
	// nearInterval is how often the targets of the own region are asked for
	// their load; answers carry it as well.
	nearInterval = time.Second
	// farEvery is how many rounds pass between polls of other regions.
	farEvery = 5
	// loadTimeout bounds one poll.
	loadTimeout = 800 * time.Millisecond
	// maxPolls bounds the polls at one time.
	maxPolls = 32
)

// pollLoads asks the agents for the load of their targets.
func (p *Policy) pollLoads(ctx context.Context) {
	for round := 0; ; round++ {
		p.pollRound(ctx, round%farEvery == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(nearInterval):
		}
	}
}

func (p *Policy) pollRound(ctx context.Context, far bool) {
	targets := p.drawn()
	if far {
		p.retain(targets)
	}
	var wg sync.WaitGroup
	room := make(chan struct{}, maxPolls)
	for _, t := range targets {
		if !far && t.Region != p.o.Region {
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			p.pollLoad(ctx, t)
		})
	}
	wg.Wait()
}

func (p *Policy) pollLoad(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	open := &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}}
	f, err := link.Call[wire.Frame](ctx, p.o.Links, address(t), open)
	if err != nil {
		p.o.Log.Debug("load not polled", "target", t.Name, "error", err)
		return
	}
	if f.GetLoad() == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(time.Now(), t.Name, f.GetLoad())
}

// load passes a report to the router and learns the target's speed.
func (p *Policy) load(now time.Time, name fleet.TargetName, m *wire.Load) {
	age := time.Duration(max(m.GetAgeNanos(), 0))
	p.router.Step(now, route.Load{
		Target: name, Taken: now.Add(-age), Requests: m.GetRunning() + m.GetQueued(),
		PrefillTokens: float64(m.GetPrefillTokens()), DecodeTokens: float64(m.GetDecodeTokens()),
		PrefillSpeed: m.GetPrefillTokensPerSecond(), DecodeSpeed: m.GetDecodeTokensPerSecond(),
	})
	next := speed{m.GetPrefillTokensPerSecond(), m.GetDecodeTokensPerSecond()}
	if next.prefill <= 0 || next.decode <= 0 || next == p.speeds[name] || p.index == nil {
		return
	}
	p.speeds[name] = next
	if t, ok := p.index.Target(name); ok {
		if q := p.pools[t.Pool]; q != nil {
			p.resize(now, t.Pool, q)
		}
	}
}
