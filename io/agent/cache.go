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
	// cacheInterval is the time between reads of an engine's cache events.
	cacheInterval = 200 * time.Millisecond
	// cacheTimeout bounds one read of events or of a cacheListing.
	cacheTimeout = time.Second
	// listInterval is the least time between two reads of a cacheListing, however
	// often events are lost.
	listInterval = time.Second
	// cacheRetryDelay is the delay after a read of the engine's cache failed.
	cacheRetryDelay = 5 * time.Second
	// maxPrefixes bounds the prefixes that are tracked. With blocks of
	// prefix.BlockTokens they cover 17 million prompt tokens.
	maxPrefixes = 1 << 16
	// maxChangeHashes bounds the hashes in the changes that are kept for entries.
	// They take 8 KiB on a link.
	maxChangeHashes = 1024
	// maxContentHashes bounds the hashes in the message that replaces an entry's
	// copy of the cache content: 64 KiB on a link, and half of the hashes that
	// core/route keeps for all engines together.
	maxContentHashes = 8192
)

// cacheEvent is the JSON form of a cache event that an engine publishes: a block
// was stored or removed, or the cache was cleared.
type cacheEvent struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Kind        string `json:"kind"`
	Block       string `json:"block"`
	Tokens      int    `json:"tokens"`
}

// cacheListing is the JSON form in which an engine lists the content of its cache,
// as of the event with the given sequence number.
type cacheListing struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Blocks      []struct {
		Block  string `json:"block"`
		Tokens int    `json:"tokens"`
	} `json:"blocks"`
}

// cacheView is the agent's copy of the state of its engine's prefix cache. Its
// changes have sequence numbers of their own: the events of one read become one
// change, and after lost events the view is rebuilt from a listing.
type cacheView struct {
	mu           sync.Mutex
	incarnation  uint64            // of the engine
	lastEvent    uint64            // sequence number of the last event read
	gap          bool              // events have been lost since the last listing
	listedAt     time.Time         // time of the last request for a listing
	prefixes     map[uint64]uint64 // sequence number of the change that stored each prefix, by hash
	sequence     uint64            // of the last change
	changes      []cacheChange     // newest changes, with consecutive numbers
	changeHashes int               // number of hashes in changes
}

// cacheChange is the difference between two states of a cacheView.
type cacheChange struct {
	sequence        uint64
	stored, evicted []uint64 // hashes of prefixes
}

// trackCache keeps the view of the engine's cache up to date.
func (a *Agent) trackCache(ctx context.Context) {
	next := cacheInterval
	for sleep(ctx, next) {
		next = cacheInterval
		if err := a.updateCacheView(ctx); err != nil && ctx.Err() == nil {
			a.Log.Debug("reading the cache state of the engine failed", "target", a.Announcement.Name, "error", err)
			next = cacheRetryDelay
		}
	}
}

func (a *Agent) updateCacheView(ctx context.Context) error {
	v := &a.cache
	var events []cacheEvent
	path := fmt.Sprintf("/events?after=%d&incarnation=%d", v.lastEvent, v.incarnation)
	if err := a.getCacheState(ctx, path, &events); err != nil {
		return err
	}
	now := time.Now()
	v.mu.Lock()
	v.applyEvents(events)
	due := v.gap && now.Sub(v.listedAt) >= listInterval
	v.mu.Unlock()
	if !due {
		return nil
	}
	v.listedAt = now
	var l cacheListing
	if err := a.getCacheState(ctx, "/cache", &l); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyListing(l)
	return nil
}

// getCacheState makes a GET request to the engine and decodes the response into out.
func (a *Agent) getCacheState(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	status, err := a.callTarget(ctx, http.MethodGet, path, nil, out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: status %d to %s", ErrTarget, status, path)
	}
	return err
}

// prefixHash parses the hash of a block. It returns false if the hash is invalid or
// the block does not end at a prefix length that routing uses.
func prefixHash(block string, tokens int) (uint64, bool) {
	if tokens%prefix.BlockTokens != 0 || tokens > prefix.MaxBlocks*prefix.BlockTokens {
		return 0, false
	}
	h, err := strconv.ParseUint(block, 16, 64)
	return h, err == nil
}

// applyEvents applies the events of an engine as one change. It ignores blocks that
// prefixHash rejects.
func (v *cacheView) applyEvents(events []cacheEvent) {
	if len(events) == 0 {
		return
	}
	next := maps.Clone(v.prefixes)
	if next == nil {
		next = make(map[uint64]uint64)
	}
	for _, e := range events {
		if e.Incarnation != v.incarnation {
			clear(next) // the engine restarted, so its cache is empty
			v.incarnation, v.lastEvent = e.Incarnation, 0
		}
		if e.Sequence <= v.lastEvent {
			continue
		}
		v.gap = v.gap || e.Sequence != v.lastEvent+1
		v.lastEvent = e.Sequence
		h, ok := prefixHash(e.Block, e.Tokens)
		switch {
		case e.Kind == "cleared":
			clear(next)
		case !ok:
		case e.Kind == "stored":
			next[h] = 0 // replacePrefixes uses only the keys
		case e.Kind == "removed":
			delete(next, h)
		}
	}
	v.replacePrefixes(next)
}

// applyListing replaces the view with the content of a listing.
func (v *cacheView) applyListing(l cacheListing) {
	next := make(map[uint64]uint64)
	for _, b := range l.Blocks {
		if h, ok := prefixHash(b.Block, b.Tokens); ok {
			next[h] = 0
		}
	}
	v.incarnation, v.lastEvent, v.gap = l.Incarnation, l.Sequence, false
	v.replacePrefixes(next)
}

// replacePrefixes replaces the cached prefixes with the keys of next, up to
// maxPrefixes, and records the difference as a change. It drops the oldest changes
// in excess of maxChangeHashes.
func (v *cacheView) replacePrefixes(next map[uint64]uint64) {
	var c cacheChange
	for h := range v.prefixes {
		if _, ok := next[h]; !ok {
			c.evicted = append(c.evicted, h)
			delete(v.prefixes, h)
		}
	}
	if v.prefixes == nil {
		v.prefixes = make(map[uint64]uint64)
	}
	for h := range next {
		if _, ok := v.prefixes[h]; !ok && len(v.prefixes) < maxPrefixes {
			c.stored = append(c.stored, h)
			v.prefixes[h] = v.sequence + 1
		}
	}
	n := len(c.stored) + len(c.evicted)
	if n == 0 {
		return
	}
	v.sequence++
	c.sequence = v.sequence
	v.changes = append(v.changes, c)
	v.changeHashes += n
	dropped := 0
	for v.changeHashes > maxChangeHashes {
		v.changeHashes -= len(v.changes[dropped].stored) + len(v.changes[dropped].evicted)
		dropped++
	}
	v.changes = slices.Delete(v.changes, 0, dropped)
}

// changesAfter returns the changes with sequence numbers greater than after. If some
// of them are no longer kept, the entry detects the gap in the sequence numbers and
// requests the whole content.
func (v *cacheView) changesAfter(after uint64) []*wire.CacheChange {
	var out []*wire.CacheChange
	for _, c := range v.changes {
		if c.sequence > after {
			out = append(out, &wire.CacheChange{Sequence: c.sequence, Stored: c.stored, Evicted: c.evicted})
		}
	}
	if len(out) == 0 && after < v.sequence {
		// The newest change was too large to keep. An empty change with its number
		// shows the gap to the entry.
		out = []*wire.CacheChange{{Sequence: v.sequence}}
	}
	return out
}

// content returns the cached prefixes, or the newest maxContentHashes of them.
func (v *cacheView) content() *wire.CacheChange {
	hashes := slices.Collect(maps.Keys(v.prefixes))
	slices.SortFunc(hashes, func(a, b uint64) int {
		switch x, y := v.prefixes[a], v.prefixes[b]; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return &wire.CacheChange{Sequence: v.sequence, Whole: true, Stored: hashes[:min(len(hashes), maxContentHashes)]}
}

// handleCachePoll sends an entry the changes that it has not received yet, or the
// whole content if it asks for that or has tracked another incarnation of the agent.
func (a *Agent) handleCachePoll(_ context.Context, s *link.Stream, m *wire.CachePoll) {
	v := &a.cache
	reply := &wire.CacheChanges{Incarnation: uint64(a.Announcement.Incarnation)}
	v.mu.Lock()
	if m.GetWhole() || fleet.Incarnation(m.GetIncarnation()) != a.Announcement.Incarnation {
		reply.Changes = []*wire.CacheChange{v.content()}
	} else {
		reply.Changes = v.changesAfter(m.GetAfter())
	}
	v.mu.Unlock()
	if err := s.Send(reply); err != nil {
		a.Log.Debug("sending cache changes failed", "error", err)
	}
}
