package route

import (
	"time"

	"papayarock/core/fleet"
)

const (
	cacheSets       = 4096 // power of two
	cacheWays       = 4
	holdersPerEntry = 4
	gapConfidence   = 0.5              // factor on a target's cached tokens after lost cache events
	assumedTTL      = 30 * time.Second // how long a prefix sent to a target counts as cached unless the target reports it
	maxPrefixLookup = 16
)

// cacheState tracks the sequence of cache events of one target.
type cacheState struct {
	sequence        uint64
	epoch           uint32 // incremented by a full update; holders of earlier epochs are invalid
	gap             bool   // events were lost since the last full update
	resyncRequested bool
}

type holder struct {
	target  int32 // index into Router.targets, -1 when free
	epoch   uint32
	expires time.Time // zero if the target reported the prefix itself
}

type cacheEntry struct {
	hash     uint64
	lastUsed uint64 // tick of the last use
	holders  [holdersPerEntry]holder
}

// cacheTable maps prefix hashes to the targets expected to have them cached. It
// is a set-associative table of fixed size that replaces the least recently used
// way of a set.
type cacheTable struct {
	sets [cacheSets][cacheWays]cacheEntry
	tick uint64
}

func newCacheTable() *cacheTable { return &cacheTable{} }

func (c *cacheTable) find(hash uint64) *cacheEntry {
	set := &c.sets[hash&(cacheSets-1)]
	for i := range set {
		if set[i].lastUsed > 0 && set[i].hash == hash {
			c.tick++
			set[i].lastUsed = c.tick
			return &set[i]
		}
	}
	return nil
}

// insert adds a holder to the entry of hash. A holder that the target reported is
// not replaced by an assumed one of the same epoch.
func (c *cacheTable) insert(hash uint64, h holder) {
	e := c.find(hash)
	if e == nil {
		set := &c.sets[hash&(cacheSets-1)]
		e = &set[0]
		for i := range set {
			if set[i].lastUsed < e.lastUsed {
				e = &set[i]
			}
		}
		c.tick++
		*e = cacheEntry{hash: hash, lastUsed: c.tick}
		for i := range e.holders {
			e.holders[i].target = -1
		}
	}
	free := 0
	for i := range e.holders {
		if e.holders[i].target == h.target {
			if !e.holders[i].expires.IsZero() || h.expires.IsZero() || e.holders[i].epoch != h.epoch {
				e.holders[i] = h
			}
			return
		}
		if e.holders[i].target < 0 {
			free = i
		}
	}
	e.holders[free] = h
}

func (c *cacheTable) remove(hash uint64, target int32) {
	e := c.find(hash)
	if e == nil {
		return
	}
	for i := range e.holders {
		if e.holders[i].target == target {
			e.holders[i].target = -1
		}
	}
}

// renumber replaces the target indexes of all holders, which refer to old, by those
// in byName and frees holders whose target no longer exists.
func (c *cacheTable) renumber(old []target, byName map[fleet.TargetName]int32) {
	for s := range c.sets {
		for w := range c.sets[s] {
			e := &c.sets[s][w]
			for i := range e.holders {
				if e.lastUsed == 0 || e.holders[i].target < 0 {
					continue
				}
				n, ok := byName[old[e.holders[i].target].Name]
				if !ok {
					n = -1
				}
				e.holders[i].target = n
			}
		}
	}
}

// applyCacheUpdate ignores updates that are not newer than the last one. After a
// gap in the sequence it requests a resync once.
func (r *Router) applyCacheUpdate(e CacheUpdate) {
	i, ok := r.byName[e.Target]
	if !ok {
		return
	}
	c := &r.targets[i].cache
	switch {
	case e.Full:
		c.epoch++
		c.gap, c.resyncRequested = false, false
	case e.Sequence <= c.sequence:
		return // delayed or duplicate
	case c.sequence > 0 && e.Sequence != c.sequence+1:
		c.gap = true
	}
	c.sequence = e.Sequence
	if c.gap && !c.resyncRequested {
		c.resyncRequested = true
		r.resyncs = append(r.resyncs, Resync{e.Target})
	}
	for _, h := range e.Stored {
		r.cache.insert(h, holder{target: i, epoch: c.epoch})
	}
	for _, h := range e.Evicted {
		r.cache.remove(h, i)
	}
}

// longestCachedPrefix returns the entry of the longest prefix that is in the
// cache table, and its length in tokens.
func (r *Router) longestCachedPrefix(prefix []uint64) (*cacheEntry, float64) {
	for i, n := len(prefix)-1, 0; i >= 0 && n < maxPrefixLookup; i, n = i-1, n+1 {
		if e := r.cache.find(prefix[i]); e != nil {
			return e, float64(i+1) * r.options.BlockTokens
		}
	}
	return nil, 0
}

// cachedTokens estimates how many tokens of the prefix of e, which is prefixTokens
// long, target i has cached.
func (r *Router) cachedTokens(now time.Time, e *cacheEntry, prefixTokens float64, i int32) float64 {
	if e == nil {
		return 0
	}
	for _, h := range e.holders {
		if h.target != i || h.epoch != r.targets[i].cache.epoch {
			continue
		}
		if !h.expires.IsZero() && now.After(h.expires) {
			return 0
		}
		if r.targets[i].cache.gap {
			return prefixTokens * gapConfidence
		}
		return prefixTokens
	}
	return 0
}
