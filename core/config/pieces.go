package config

import "github.com/pkg/errors"

// PieceEntries is how many customers, keys and targets one piece of a snapshot
// holds. A key with the longest names allowed takes about 310 bytes encoded, so
// a piece stays below the 1 MiB limit of a message.
const PieceEntries = 2048

// ErrPieces reports pieces that are not of one snapshot.
var ErrPieces = errors.New("pieces of a configuration")

// Pieces splits s for sending. The first piece carries all but customers, keys
// and targets, which are spread over the pieces in order.
func (s Snapshot) Pieces() []Snapshot {
	first := s
	first.Document.Customers, first.Keys, first.Targets = nil, nil, nil
	out := []Snapshot{first}
	room := PieceEntries
	customers, keys, targets := s.Document.Customers, s.Keys, s.Targets
	for len(customers)+len(keys)+len(targets) > 0 {
		if room == 0 {
			out = append(out, Snapshot{Revision: s.Revision})
			room = PieceEntries
		}
		p := &out[len(out)-1]
		p.Document.Customers, customers, room = take(customers, room)
		p.Keys, keys, room = take(keys, room)
		p.Targets, targets, room = take(targets, room)
	}
	return out
}

// take splits a list after at most room entries and returns the room left.
func take[T any](list []T, room int) (head, rest []T, left int) {
	n := min(len(list), room)
	return list[:n:n], list[n:], room - n
}

// Join puts the pieces of one snapshot together, in the order of Pieces.
func Join(pieces []Snapshot) (Snapshot, error) {
	if len(pieces) == 0 {
		return Snapshot{}, errors.Wrap(ErrPieces, "there are none")
	}
	s := pieces[0]
	for _, p := range pieces[1:] {
		if p.Revision != s.Revision {
			return Snapshot{}, errors.Wrapf(ErrPieces, "revisions %d and %d", s.Revision, p.Revision)
		}
		s.Document.Customers = append(s.Document.Customers, p.Document.Customers...)
		s.Keys = append(s.Keys, p.Keys...)
		s.Targets = append(s.Targets, p.Targets...)
	}
	return s, nil
}
