package place

import "time"

// SightingLog passes sightings of prefixes from one gateway to the others. It keeps the
// newest ones and leaves out those that it has passed on shortly before. G identifies a
// run of a gateway. The zero value is ready to use.
type SightingLog[G comparable] struct {
	entries []sightingEntry[G]
	first   uint64 // number of the first entry
	known   holders
}

type sightingEntry[G comparable] struct {
	from     G
	sighting Sighting
}

// maxSightings bounds the entries of a SightingLog. A gateway that has missed more than
// that processes some prefixes once more.
const maxSightings = 4096

// Add records sightings of one gateway.
func (l *SightingLog[G]) Add(now time.Time, from G, list []Sighting) {
	for _, s := range list {
		if l.known.add(now, s) {
			l.entries = append(l.entries, sightingEntry[G]{from, s})
		}
	}
	if excess := len(l.entries) - maxSightings; excess > 0 {
		l.entries = append([]sightingEntry[G](nil), l.entries[excess:]...)
		l.first += uint64(excess)
	}
}

// Since returns the sightings of all gateways but one from the given position on, and
// the position after them.
func (l *SightingLog[G]) Since(position uint64, without G) ([]Sighting, uint64) {
	var out []Sighting
	for i, e := range l.entries {
		if l.first+uint64(i) >= position && e.from != without {
			out = append(out, e.sighting)
		}
	}
	return out, l.first + uint64(len(l.entries))
}
