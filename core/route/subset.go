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
	// polls a second of 186 B and 80 sessions leave 9 KB/s of the 27 KB/s that a
	// node may use for control; fleets of up to 80 targets are drawn whole.
	SubsetSize = 80
	// spreadPart is the part of a kind's share that is drawn without regard to
	// distance, as a divisor. Without it, targets of a data centre without
	// entries would be in no subset.
	spreadPart = 4
)

// Subset is the part of the targets that one entry keeps sessions with and
// knows by their own load reports. The zero value contains every target.
type Subset struct {
	drawn   map[fleet.TargetName]struct{} // nil means all
	partial map[place]struct{}            // with targets that are not drawn
}

// place is where a target is counted.
type place struct {
	pool       string
	dataCentre fleet.DataCentre
}

// kind groups the targets that can replace each other; each kind of a pool gets
// a share of the subset, so that an entry knows targets of each stage.
type kind struct {
	pool string
	role fleet.Role
}

// Node is the entry for which a Subset is drawn.
type Node struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// Draw chooses at most size ready targets, or one of each kind if there are more
// kinds. Each kind gets an equal share or all its targets. Three quarters of a
// share are the nearest targets and among equally near ones those first by
// rendezvous hashing; the rest is drawn by the same hash from all others. A
// target that comes or goes therefore changes little else, and the draws of all
// entries together cover the targets evenly.
func Draw(self Node, targets []fleet.Target, size int) Subset {
	kinds, ready := make(map[kind][]ranked), 0
	for _, t := range targets {
		if t.Phase == fleet.Ready {
			k := kind{t.Pool, t.Role}
			kinds[k] = append(kinds[k], rank(self, t))
			ready++
		}
	}
	if ready <= size {
		return Subset{}
	}
	s := Subset{drawn: make(map[fleet.TargetName]struct{}, size), partial: make(map[place]struct{})}
	order := slices.SortedFunc(maps.Keys(kinds), func(a, b kind) int {
		return cmp.Or(cmp.Compare(len(kinds[a]), len(kinds[b])), cmp.Compare(a.pool, b.pool), cmp.Compare(a.role, b.role))
	})
	for i, k := range order { // smallest first: what it leaves goes to the larger ones
		share := min(max(size/(len(order)-i), 1), len(kinds[k]))
		size -= share
		s.take(kinds[k], share)
	}
	return s
}

// ranked is a target with its place in the order of one entry.
type ranked struct {
	name     fleet.TargetName
	place    place
	distance uint8
	hash     uint64
}

func rank(self Node, t fleet.Target) ranked {
	r := ranked{name: t.Name, place: place{t.Pool, t.DataCentre}, distance: 2}
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

// take draws share targets of one kind.
func (s *Subset) take(of []ranked, share int) {
	byHash := func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name)) }
	slices.SortFunc(of, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.distance, b.distance), byHash(a, b)) })
	near := share
	if share < len(of) {
		near -= share / spreadPart
		slices.SortFunc(of[near:], byHash)
	}
	for i, t := range of {
		if i < share {
			s.drawn[t.name] = struct{}{}
		} else {
			s.partial[t.place] = struct{}{}
		}
	}
}

// Has says whether a target is drawn.
func (s Subset) Has(t fleet.TargetName) bool {
	_, ok := s.drawn[t]
	return ok || s.drawn == nil
}

// Covers says whether all ready targets of a pool in a data centre are drawn,
// so that their own reports tell more than a summary.
func (s Subset) Covers(pool string, d fleet.DataCentre) bool {
	_, partial := s.partial[place{pool, d}]
	return !partial
}

// Len is the number of targets drawn; 0 if all are.
func (s Subset) Len() int { return len(s.drawn) }
