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
	// for changes of their engines' prefix caches. The router assumes that prompts sent
	// by this entry are cached, without waiting for a poll.
	cachePollInterval = time.Second
	// remoteCachePollRounds is the period, in rounds, of the polls of the other data
	// centres of the region, which receive few prompts.
	remoteCachePollRounds = 5
	// cachePollTimeout is the timeout of one poll of a target.
	cachePollTimeout = 800 * time.Millisecond
	// maxCachePollsPerSecond limits the poll rate. With a large subset, the rounds are
	// longer. Polling 60 local targets every second would take 11 of the
	// 27 KB/s that a node may use for control traffic.
	maxCachePollsPerSecond = 16
	// maxConcurrentCachePolls limits the number of concurrent polls.
	maxConcurrentCachePolls = 32
)

// cacheCursor is the position in the change log of one prefix cache.
type cacheCursor struct {
	incarnation uint64 // of the agent that assigns the sequence numbers
	sequence    uint64
	needsFull   bool // changes were missed; the full content is requested next
}

// pollCaches polls for prefix cache changes and passes them to the router until ctx is
// done. Targets of other regions are excluded: prompts are sent there only if the
// latency objective cannot be met otherwise.
func (p *Policy) pollCaches(ctx context.Context) {
	for round := 0; ; round++ {
		polled := p.pollCacheRound(ctx, round%remoteCachePollRounds == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(cachePollInterval, time.Duration(polled)*time.Second/maxCachePollsPerSecond)):
		}
	}
}

// pollCacheRound runs one round of polls and returns the number of agents polled. Other
// data centres are polled only if includeRemote is true.
func (p *Policy) pollCacheRound(ctx context.Context, includeRemote bool) (polled int) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCachePolls)
	for _, t := range p.cachePollTargets() {
		if !includeRemote && t.DataCentre != p.options.DataCentre {
			continue
		}
		polled++
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			p.pollCache(ctx, t)
		})
	}
	wg.Wait()
	return polled
}

// cachePollTargets returns the targets whose prefix caches affect the choice of a target:
// the ready engines of the subset that are in the local region and perform prefill. It
// removes the cursors of all others.
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

// pollCache requests the changes of one cache. If earlier ones are missing, it requests
// the full content with a second poll.
func (p *Policy) pollCache(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	for range 2 {
		p.mu.Lock()
		c := p.cursors[t.Name]
		p.mu.Unlock()
		poll := &wire.CachePoll{Incarnation: c.incarnation, After: c.sequence, Whole: c.needsFull}
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

// applyCacheChanges passes changes to the router. It returns true if the router has
// found that earlier changes are missing.
func (p *Policy) applyCacheChanges(t fleet.Target, m *wire.CacheChanges) (missing bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Incarnation != 0 && uint64(t.Incarnation) != m.GetIncarnation() {
		return false // the configuration and the response refer to different runs of the agent
	}
	c := p.cursors[t.Name]
	if c.incarnation != m.GetIncarnation() {
		c = cacheCursor{incarnation: m.GetIncarnation()}
	}
	for _, change := range m.GetChanges() {
		resyncs := p.router.Step(now, route.CacheUpdate{
			Target: t.Name, Sequence: change.GetSequence(), Full: change.GetWhole(),
			Stored: change.GetStored(), Evicted: change.GetEvicted(),
		})
		c.sequence, c.needsFull = change.GetSequence(), c.needsFull && !change.GetWhole()
		if len(resyncs) > 0 {
			c.needsFull, missing = true, true
			p.resyncs++
		}
	}
	p.cursors[t.Name] = c
	return missing
}
