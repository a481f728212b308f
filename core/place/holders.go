package place

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
)

const (
	// prefixTTL is how long an engine is assumed to keep a prefix after the last prompt
	// with it that this gateway knows of.
	prefixTTL = 20 * time.Second
	// prefixRefresh is the age from which the gateways are told again that an engine has
	// a prefix cached.
	prefixRefresh = prefixTTL / 4
	// maxPrefixes bounds the prefixes that a gateway remembers.
	maxPrefixes = 8192
)

// Prefix identifies the shared tokens of a prompt in a pool.
type Prefix uint64

// NewPrefix returns the Prefix for an affinity key.
func NewPrefix(pool, affinity string) Prefix {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(affinity)
	return Prefix(d.Sum64())
}

// Sighting says that an engine has processed a prompt with a prefix, and therefore has
// the prefix cached.
type Sighting struct {
	Target fleet.TargetName
	Prefix Prefix
}

// holders records which engines have prefixes cached. The gateways tell each other of
// new holders by way of the registry: where many gateways share many prefixes, most of
// them have not sent a prefix themselves when they get a prompt with it. The zero value
// is ready to use.
type holders struct {
	targets map[Prefix]map[fleet.TargetName]time.Time // time of the last sighting
}

// add records a sighting and reports whether the other gateways should be told: it is
// new, or the last one that they were told of is older than prefixRefresh.
func (h *holders) add(now time.Time, s Sighting) bool {
	if h.targets == nil {
		h.targets = make(map[Prefix]map[fleet.TargetName]time.Time)
	}
	list := h.targets[s.Prefix]
	if list == nil {
		if len(h.targets) >= maxPrefixes {
			h.expire(now)
		}
		if len(h.targets) >= maxPrefixes {
			return false
		}
		list = make(map[fleet.TargetName]time.Time)
		h.targets[s.Prefix] = list
	}
	last, known := list[s.Target]
	if now.Sub(last) < prefixRefresh {
		return false
	}
	if !known { // the registry is not told of targets that are gone
		expireSightings(now, list)
	}
	list[s.Target] = now
	return true
}

// expire removes sightings that are older than prefixTTL.
func (h *holders) expire(now time.Time) {
	for prefix, list := range h.targets {
		expireSightings(now, list)
		if len(list) == 0 {
			delete(h.targets, prefix)
		}
	}
}

// expireSightings removes sightings of one prefix that are older than prefixTTL.
func expireSightings(now time.Time, list map[fleet.TargetName]time.Time) {
	maps.DeleteFunc(list, func(_ fleet.TargetName, at time.Time) bool { return now.Sub(at) > prefixTTL })
}

// has reports whether a target has a prefix cached.
func (h *holders) has(now time.Time, prefix Prefix, target fleet.TargetName) bool {
	at, ok := h.targets[prefix][target]
	return ok && now.Sub(at) <= prefixTTL
}

// seen reports whether any target is known to have had a prefix cached.
func (h *holders) seen(prefix Prefix) bool {
	_, ok := h.targets[prefix]
	return ok
}

// drop removes the sightings of a target whose run has ended.
func (h *holders) drop(target fleet.TargetName) {
	for _, list := range h.targets {
		delete(list, target)
	}
}

// AddSightings records prefixes that other gateways have seen at engines.
func (p *Placer) AddSightings(now time.Time, list []Sighting) {
	for _, s := range list {
		if _, known := p.targets[s.Target]; known {
			p.holders.add(now, s)
		}
	}
}

// TakeSightings returns the prefixes that this gateway has seen at engines since the
// last call and that the others should know of.
func (p *Placer) TakeSightings() []Sighting {
	out := p.sightings
	p.sightings = nil
	return out
}
