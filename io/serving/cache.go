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
	// followInterval is how often the agents of the own data centre are asked
	// for changes of their engines' prefix caches. What this entry sent itself is
	// believed at once.
	followInterval = time.Second
	// followEvery is how many rounds pass between calls to the other data centres
	// of the region, where few prompts go.
	followEvery = 5
	// followTimeout bounds one such call.
	followTimeout = 800 * time.Millisecond
	// followRate bounds the calls a second of a large subset, in whose place a
	// round takes longer. Calls to 60 near targets each second would cost 11 of
	// the 27 KB/s that a node may use for control.
	followRate = 16
	// maxFollows bounds the calls at one time.
	maxFollows = 32
)

// cursor is how far the changes of one cache are known.
type cursor struct {
	incarnation uint64 // of the agent that numbers them
	after       uint64
	whole       bool // changes were missed
}

// followCaches feeds the router with the changes of prefix caches. Targets of
// other regions are left out: a prompt goes there only to keep a promise.
func (p *Policy) followCaches(ctx context.Context) {
	for round := 0; ; round++ {
		called := p.followRound(ctx, round%followEvery == 0)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(followInterval, time.Duration(called)*time.Second/followRate)):
		}
	}
}

// followRound returns how many agents were called.
func (p *Policy) followRound(ctx context.Context, far bool) (called int) {
	var wg sync.WaitGroup
	room := make(chan struct{}, maxFollows)
	for _, t := range p.caching() {
		if !far && t.DataCentre != p.o.DataCentre {
			continue
		}
		called++
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			p.followCache(ctx, t)
		})
	}
	wg.Wait()
	return called
}

// caching returns the targets of the subset whose caches matter, and forgets the
// others.
func (p *Policy) caching() []fleet.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.index == nil {
		return nil
	}
	cursors := make(map[fleet.TargetName]cursor)
	var targets []fleet.Target
	for _, t := range p.index.Targets() {
		if t.Phase != fleet.Ready || t.Kind != fleet.Engine || t.Role == fleet.Decode || t.Region != p.o.Region || !p.subset.Contains(t.Name) {
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

// followCache asks for the changes of one cache, and once more for its whole
// content if some were missed.
func (p *Policy) followCache(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for range 2 {
		p.mu.Lock()
		c := p.cursors[t.Name]
		p.mu.Unlock()
		poll := &wire.CachePoll{Incarnation: c.incarnation, After: c.after, Whole: c.whole}
		m, err := link.Call[wire.CacheChanges](ctx, p.o.Links, link.Address{Host: t.Host, AddrPort: t.Agent}, poll)
		if err != nil {
			p.o.Log.Debug("cache not followed", "target", t.Name, "error", err)
			return
		}
		if !p.cacheChanges(t, m) {
			return
		}
	}
}

// cacheChanges passes changes to the router. It returns true if changes are
// missing before them.
func (p *Policy) cacheChanges(t fleet.Target, m *wire.CacheChanges) (missing bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Incarnation != 0 && uint64(t.Incarnation) != m.GetIncarnation() {
		return false // the configuration and the agent don't mean the same process
	}
	c := p.cursors[t.Name]
	if c.incarnation != m.GetIncarnation() {
		c = cursor{incarnation: m.GetIncarnation()}
	}
	for _, change := range m.GetChanges() {
		asked := p.router.Step(now, route.CacheUpdate{
			Target: t.Name, Sequence: change.GetSequence(), Full: change.GetWhole(),
			Stored: change.GetStored(), Evicted: change.GetEvicted(),
		})
		c.after, c.whole = change.GetSequence(), c.whole && !change.GetWhole()
		if len(asked) > 0 {
			c.whole, missing = true, true
			p.resyncs++
		}
	}
	p.cursors[t.Name] = c
	return missing
}
