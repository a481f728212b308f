package route

import (
	"time"

	"papayarock/core/fleet"
)

const (
	cacheSets       = 4096 // power of two
	cacheWays       = 4
	cacheHolders    = 4
	gapConfidence   = 0.5              // belief left in a target's entries after lost events
	optimisticLife  = 30 * time.Second // belief in a prefix that was sent but not reported
	maxPrefixLookup = 16
)

// cacheState follows the cache events of one target.
type cacheState struct {
	sequence uint64
	epoch    uint32 // rises when the whole content is learned or lost
	gap      bool
	asked    bool
}

type holder struct {
	target  int32 // index, -1 when free
	epoch   uint32
	expires time.Time // zero: reported by the target
}

type cacheEntry struct {
	hash    uint64
	used    uint64 // tick of the last use
	holders [cacheHolders]holder
}

// cacheTable maps prefix hashes to the targets believed to hold them. Its size
// is fixed; the least recently used way of a set is replaced.
type cacheTable struct {
	sets [cacheSets][cacheWays]cacheEntry
	tick uint64
}

func newCacheTable() *cacheTable { return &cacheTable{} }

func (c *cacheTable) find(hash uint64) *cacheEntry {
	set := &c.sets[hash&(cacheSets-1)]
	for i := range set {
		if set[i].used > 0 && set[i].hash == hash {
			c.tick++
			set[i].used = c.tick
			return &set[i]
		}
	}
	return nil
}

func (c *cacheTable) insert(hash uint64, h holder) {
	e := c.find(hash)
	if e == nil {
		set := &c.sets[hash&(cacheSets-1)]
		e = &set[0]
		for i := range set {
			if set[i].used < e.used {
				e = &set[i]
			}
		}
		c.tick++
		*e = cacheEntry{hash: hash, used: c.tick}
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

// renumber maps holders from old indexes to the targets now under the name.
func (c *cacheTable) renumber(old []target, byName map[fleet.TargetName]int32) {
	for s := range c.sets {
		for w := range c.sets[s] {
			e := &c.sets[s][w]
			for i := range e.holders {
				if e.used == 0 || e.holders[i].target < 0 {
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

func (r *Router) cached(e Cache) {
	i, ok := r.byName[e.Target]
	if !ok {
		return
	}
	c := &r.targets[i].cache
	switch {
	case e.Whole:
		c.epoch++
		c.gap, c.asked = false, false
	case e.Sequence <= c.sequence:
		return // late or repeated
	case c.sequence > 0 && e.Sequence != c.sequence+1:
		c.gap = true
	}
	c.sequence = e.Sequence
	if c.gap && !c.asked {
		c.asked = true
		r.resync = append(r.resync, Resync{e.Target})
	}
	for _, h := range e.Stored {
		r.cache.insert(h, holder{target: i, epoch: c.epoch})
	}
	for _, h := range e.Evicted {
		r.cache.remove(h, i)
	}
}

// longest finds the longest prefix that some target is believed to hold.
func (r *Router) longest(prefix []uint64) (*cacheEntry, float64) {
	for i, n := len(prefix)-1, 0; i >= 0 && n < maxPrefixLookup; i, n = i-1, n+1 {
		if e := r.cache.find(prefix[i]); e != nil {
			return e, float64(i+1) * r.o.BlockTokens
		}
	}
	return nil, 0
}

// held is the number of prompt tokens that target i is believed to hold.
func (r *Router) held(now time.Time, e *cacheEntry, tokens float64, i int32) float64 {
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
			return tokens * gapConfidence
		}
		return tokens
	}
	return 0
}
