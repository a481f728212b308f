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
	// cachePollInterval is how often the agents of the local data centre are polled
	// for changes of their engines' prefix caches. Prompts sent by this entry are
	// assumed to be cached without waiting for a poll.
	cachePollInterval = time.Second
	// remoteCachePollRounds is the number of rounds between polls of the other data
	// centres of the region, which receive few prompts.
	remoteCachePollRounds = 5
	// cachePollTimeout is the timeout of one poll of a target.
	cachePollTimeout = 800 * time.Millisecond
	// maxCachePollsPerSecond limits the poll rate; with a large subset, rounds take
	// longer instead. Polling 60 local targets every second would take 11 of the
	// 27 KB/s that a node may use for control traffic.
	maxCachePollsPerSecond = 16
	// maxConcurrentCachePolls limits the number of concurrent polls.
	maxConcurrentCachePolls = 32
)

// cacheCursor is the position in the change log of one prefix cache.
type cacheCursor struct {
	incarnation   uint64 // of the agent that assigns the sequence numbers
	sequence      uint64
	needsSnapshot bool // changes were missed; the full content is needed
}

// pollCaches feeds prefix cache changes to the router until ctx is done. Targets of
// other regions are excluded: prompts are sent there only if the latency objective
// cannot be met otherwise.
func (p *Policy) pollCaches(ctx context.Context) {
	for round := 0; ; round++ {
		called := p.pollCacheRound(ctx, round%remoteCachePollRounds == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(cachePollInterval, time.Duration(called)*time.Second/maxCachePollsPerSecond)):
		}
	}
}

// pollCacheRound runs one round of polls and returns the number of agents polled.
func (p *Policy) pollCacheRound(ctx context.Context, far bool) (called int) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCachePolls)
	for _, t := range p.cachePollTargets() {
		if !far && t.DataCentre != p.options.DataCentre {
			continue
		}
		called++
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			p.pollCache(ctx, t)
		})
	}
	wg.Wait()
	return called
}

// cachePollTargets returns the targets of the subset whose prefix caches are relevant,
// and removes the cursors of all others.
func (p *Policy) cachePollTargets() []fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index == nil {
		return nil
	}
	cursors := make(map[fleet.TargetName]cacheCursor)
	var targets []fleet.Target
	for _, t := range p.index.Targets() {
		if t.Phase != fleet.Ready || t.Kind != fleet.Engine || t.Role == fleet.Decode || t.Region != p.options.Region || !p.subset.Contains(t.Name) {
			continue
		}
		targets = append(targets, t)
		if c, ok := p.cursors[t.Name]; ok {
			cursors[t.Name] = c
		}
	}
	p.cursors = cursors
	return targets
}

// pollCache requests the changes of one cache. If some were missed, it then requests
// the full content.
func (p *Policy) pollCache(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	for range 2 {
		p.mu.Lock()
		c := p.cursors[t.Name]
		p.mu.Unlock()
		poll := &wire.CachePoll{Incarnation: c.incarnation, After: c.sequence, Whole: c.needsSnapshot}
		m, err := link.Call[wire.CacheChanges](ctx, p.options.Links, link.Address{Host: t.Host, AddrPort: t.Agent}, poll)
		if err != nil {
			p.options.Log.Debug("prefix cache poll failed", "target", t.Name, "error", err)
			return
		}
		if !p.applyCacheChanges(t, m) {
			return
		}
	}
}

// applyCacheChanges passes changes to the router. It returns true if earlier changes
// are missing.
func (p *Policy) applyCacheChanges(t fleet.Target, m *wire.CacheChanges) (missing bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Incarnation != 0 && uint64(t.Incarnation) != m.GetIncarnation() {
		return false // the configuration and the agent refer to different processes
	}
	c := p.cursors[t.Name]
	if c.incarnation != m.GetIncarnation() {
		c = cacheCursor{incarnation: m.GetIncarnation()}
	}
	for _, change := range m.GetChanges() {
		asked := p.router.Step(now, route.CacheUpdate{
			Target: t.Name, Sequence: change.GetSequence(), Full: change.GetWhole(),
			Stored: change.GetStored(), Evicted: change.GetEvicted(),
		})
		c.sequence, c.needsSnapshot = change.GetSequence(), c.needsSnapshot && !change.GetWhole()
		if len(asked) > 0 {
			c.needsSnapshot, missing = true, true
			p.resyncs++
		}
	}
	p.cursors[t.Name] = c
	return missing
}
