package agent

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/prefix"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// cacheInterval is how often the agent reads the cache events of an engine.
	cacheInterval = 200 * time.Millisecond
	// cacheTimeout bounds one read.
	cacheTimeout = time.Second
	// listInterval bounds how often the agent asks an engine for the whole
	// content of its cache, however often events are lost.
	listInterval = time.Second
	// cacheRest is the pause after an engine refused to tell of its cache.
	cacheRest = 5 * time.Second
	// maxPrefixes bounds the prefixes followed: 17 million tokens of prompts.
	maxPrefixes = 1 << 16
	// maxChangeHashes bounds the hashes in the changes that are kept for entries:
	// 8 KiB on a link.
	maxChangeHashes = 1024
	// maxContentHashes bounds the hashes of a whole content: 64 KiB on a link, and
	// half of what core/route keeps of all engines.
	maxContentHashes = 8192
)

// cacheEvent is one event in the JSON that engines publish.
type cacheEvent struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Kind        string `json:"kind"`
	Block       string `json:"block"`
	Tokens      int    `json:"tokens"`
}

// cacheListing is the whole content of a cache in the JSON of engines.
type cacheListing struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Blocks      []struct {
		Block  string `json:"block"`
		Tokens int    `json:"tokens"`
	} `json:"blocks"`
}

// cacheView is what the agent knows of the prefix cache of its engine. It
// numbers the changes itself: those of several engine events are one change,
// and events that the engine lost are made up for by its listing.
type cacheView struct {
	mu          sync.Mutex
	incarnation uint64            // of the engine
	read        uint64            // sequence number of the last event
	gap         bool              // events were lost since the last listing
	listed      time.Time         // when the last listing was asked for
	held        map[uint64]uint64 // the change that stored each prefix, by hash
	sequence    uint64            // of the last change
	changes     []cacheChange     // the newest, consecutive
	hashes      int               // in changes
}

type cacheChange struct {
	sequence        uint64
	stored, evicted []uint64
}

// readCache follows the cache of an engine.
func (a *Agent) readCache(ctx context.Context) {
	next := cacheInterval
	for pause(ctx, next) {
		next = cacheInterval
		if err := a.readCacheOnce(ctx); err != nil && ctx.Err() == nil {
			a.Log.Debug("cache of the target not read", "target", a.Announcement.Name, "error", err)
			next = cacheRest
		}
	}
}

func (a *Agent) readCacheOnce(ctx context.Context) error {
	v := &a.cache
	var events []cacheEvent
	path := fmt.Sprintf("/events?after=%d&incarnation=%d", v.read, v.incarnation)
	if err := a.readTarget(ctx, path, &events); err != nil {
		return err
	}
	now := time.Now()
	v.mu.Lock()
	v.events(events)
	due := v.gap && now.Sub(v.listed) >= listInterval
	v.mu.Unlock()
	if !due {
		return nil
	}
	v.listed = now
	var l cacheListing
	if err := a.readTarget(ctx, "/cache", &l); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.whole(l)
	return nil
}

func (a *Agent) readTarget(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	status, err := a.callTarget(ctx, http.MethodGet, path, nil, out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: status %d to %s", ErrTarget, status, path)
	}
	return err
}

// prefixHash returns the hash of a block that ends a prefix entries ask for.
func prefixHash(block string, tokens int) (uint64, bool) {
	if tokens%prefix.BlockTokens != 0 || tokens > prefix.MaxBlocks*prefix.BlockTokens {
		return 0, false
	}
	h, err := strconv.ParseUint(block, 16, 64)
	return h, err == nil
}

// events takes over what an engine published, as one change.
func (v *cacheView) events(events []cacheEvent) {
	if len(events) == 0 {
		return
	}
	next := maps.Clone(v.held)
	if next == nil {
		next = make(map[uint64]uint64)
	}
	for _, e := range events {
		if e.Incarnation != v.incarnation {
			clear(next) // an engine that restarted has lost its cache
			v.incarnation, v.read = e.Incarnation, 0
		}
		if e.Sequence <= v.read {
			continue
		}
		v.gap = v.gap || e.Sequence != v.read+1
		v.read = e.Sequence
		h, ok := prefixHash(e.Block, e.Tokens)
		switch {
		case e.Kind == "cleared":
			clear(next)
		case !ok:
		case e.Kind == "stored":
			next[h] = 0
		case e.Kind == "removed":
			delete(next, h)
		}
	}
	v.change(next)
}

// whole takes over a listing.
func (v *cacheView) whole(l cacheListing) {
	next := make(map[uint64]uint64)
	for _, b := range l.Blocks {
		if h, ok := prefixHash(b.Block, b.Tokens); ok {
			next[h] = 0
		}
	}
	v.incarnation, v.read, v.gap = l.Incarnation, l.Sequence, false
	v.change(next)
}

// change records the difference between the prefixes held before and now.
func (v *cacheView) change(next map[uint64]uint64) {
	var c cacheChange
	for h := range v.held {
		if _, ok := next[h]; !ok {
			c.evicted = append(c.evicted, h)
			delete(v.held, h)
		}
	}
	if v.held == nil {
		v.held = make(map[uint64]uint64)
	}
	for h := range next {
		if _, ok := v.held[h]; !ok && len(v.held) < maxPrefixes {
			c.stored = append(c.stored, h)
			v.held[h] = v.sequence + 1
		}
	}
	n := len(c.stored) + len(c.evicted)
	if n == 0 {
		return
	}
	v.sequence++
	c.sequence = v.sequence
	v.changes = append(v.changes, c)
	v.hashes += n
	drop := 0
	for v.hashes > maxChangeHashes {
		v.hashes -= len(v.changes[drop].stored) + len(v.changes[drop].evicted)
		drop++
	}
	v.changes = slices.Delete(v.changes, 0, drop)
}

// since returns the changes after a number. An entry that is so far behind that
// they are no longer kept sees the gap in the numbers and asks for the whole.
func (v *cacheView) since(after uint64) []*wire.CacheChange {
	var out []*wire.CacheChange
	for _, c := range v.changes {
		if c.sequence > after {
			out = append(out, &wire.CacheChange{Sequence: c.sequence, Stored: c.stored, Evicted: c.evicted})
		}
	}
	if len(out) == 0 && after < v.sequence {
		out = []*wire.CacheChange{{Sequence: v.sequence}} // too large to keep
	}
	return out
}

// content returns the prefixes held, the newest if there are too many.
func (v *cacheView) content() *wire.CacheChange {
	hashes := slices.Collect(maps.Keys(v.held))
	slices.SortFunc(hashes, func(a, b uint64) int {
		switch x, y := v.held[a], v.held[b]; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return &wire.CacheChange{Sequence: v.sequence, Whole: true, Stored: hashes[:min(len(hashes), maxContentHashes)]}
}

// pollCache answers an entry that follows the cache.
func (a *Agent) pollCache(_ context.Context, s *link.Stream, m *wire.CachePoll) {
	v := &a.cache
	news := &wire.CacheChanges{Incarnation: uint64(a.Announcement.Incarnation)}
	v.mu.Lock()
	if m.GetWhole() || fleet.Incarnation(m.GetIncarnation()) != a.Announcement.Incarnation {
		news.Changes = []*wire.CacheChange{v.content()}
	} else {
		news.Changes = v.since(m.GetAfter())
	}
	v.mu.Unlock()
	if err := s.Send(news); err != nil {
		a.Log.Debug("cache changes not sent", "error", err)
	}
}
