package route

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
)

const (
	// SubsetSize is the number of targets that an entry keeps sessions with. 80
	// polls of 186 B per second and 80 sessions leave 9 KB/s of the 27 KB/s that
	// a node may use for control traffic. In fleets of up to 80 targets every
	// target is in the subset.
	SubsetSize = 80
	// One in spreadDivisor targets of a share is selected regardless of distance.
	// Otherwise, targets in a data centre without entries would be in no subset.
	spreadDivisor = 4
)

// Subset is the set of targets that one entry keeps sessions with and receives
// load reports from. The zero value contains every target.
type Subset struct {
	selected map[fleet.TargetName]struct{} // nil means all
	partial  map[poolLocation]struct{}     // pools and data centres with ready targets that are not selected
}

// poolLocation identifies the targets of one pool in one data centre.
type poolLocation struct {
	pool       string
	dataCentre fleet.DataCentre
}

// poolRole identifies targets that are interchangeable. Each pool and role gets a
// share of the subset, so that an entry has targets for each stage.
type poolRole struct {
	pool string
	role fleet.Role
}

// Node is the entry for which a Subset is selected.
type Node struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// SelectSubset selects at most size ready targets. It selects more only if there
// are more than size combinations of pool and role, and then one target of each.
// Each combination gets an equal share, or all its targets if it has fewer. Three
// quarters of a share are the nearest targets, with rendezvous hashing between
// equally near ones; the rest is selected by the same hash from all remaining
// targets. Adding or removing a target therefore changes few other members, and
// the subsets of all entries together cover the targets evenly.
func SelectSubset(self Node, targets []fleet.Target, size int) Subset {
	byRole, ready := make(map[poolRole][]rankedTarget), 0
	for _, t := range targets {
		if t.Phase == fleet.Ready {
			k := poolRole{t.Pool, t.Role}
			byRole[k] = append(byRole[k], rank(self, t))
			ready++
		}
	}
	if ready <= size {
		return Subset{}
	}
	s := Subset{selected: make(map[fleet.TargetName]struct{}, size), partial: make(map[poolLocation]struct{})}
	order := slices.SortedFunc(maps.Keys(byRole), func(a, b poolRole) int {
		return cmp.Or(cmp.Compare(len(byRole[a]), len(byRole[b])), cmp.Compare(a.pool, b.pool), cmp.Compare(a.role, b.role))
	})
	for i, k := range order { // smallest first; what it leaves of its share goes to the larger ones
		share := min(max(size/(len(order)-i), 1), len(byRole[k]))
		size -= share
		s.selectTargets(byRole[k], share)
	}
	return s
}

// rankedTarget is a target with its sort keys for one entry.
type rankedTarget struct {
	name     fleet.TargetName
	location poolLocation
	distance uint8
	hash     uint64
}

func rank(self Node, t fleet.Target) rankedTarget {
	r := rankedTarget{name: t.Name, location: poolLocation{t.Pool, t.DataCentre}, distance: 2}
	switch {
	case t.DataCentre == self.DataCentre:
		r.distance = 0
	case t.Region == self.Region:
		r.distance = 1
	}
	b := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(string(self.Host)))
	r.hash = xxhash.Sum64(append(b, t.Name...))
	return r
}

// selectTargets selects share candidates of one pool and role: the nearest ones, and
// one in spreadDivisor by hash alone. It adds the locations of the others to
// partial.
func (s *Subset) selectTargets(candidates []rankedTarget, share int) {
	byHash := func(a, b rankedTarget) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) }
	slices.SortFunc(candidates, func(a, b rankedTarget) int { return cmp.Or(cmp.Compare(a.distance, b.distance), byHash(a, b)) })
	near := share
	if share < len(candidates) {
		near -= share / spreadDivisor
		slices.SortFunc(candidates[near:], byHash)
	}
	for i, t := range candidates {
		if i < share {
			s.selected[t.name] = struct{}{}
		} else {
			s.partial[t.location] = struct{}{}
		}
	}
}

// Contains reports whether a target is in the subset.
func (s Subset) Contains(t fleet.TargetName) bool {
	_, ok := s.selected[t]
	return ok || s.selected == nil
}

// Covers reports whether all ready targets of a pool in a data centre are in the
// subset. If so, their load reports are more precise than a summary.
func (s Subset) Covers(pool string, d fleet.DataCentre) bool {
	_, partial := s.partial[poolLocation{pool, d}]
	return !partial
}

// Len returns the number of targets in the subset, or 0 if it contains all.
func (s Subset) Len() int { return len(s.selected) }
