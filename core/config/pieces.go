package config

import "github.com/pkg/errors"

// MaxPieceItems is the maximum number of customers, keys and targets in one piece of
// a snapshot. A key with names of maximum length is encoded in about 310 bytes, so
// a piece stays below the message size limit of 1 MiB.
const MaxPieceItems = 2048

// ErrPieces is returned for pieces that do not form one snapshot.
var ErrPieces = errors.New("invalid pieces of a configuration snapshot")

// Pieces splits s for transmission in several messages. Customers, keys and
// targets are distributed over all pieces in order. Everything else is in the first
// piece.
func (s Snapshot) Pieces() []Snapshot {
	first := s
	first.Document.Customers, first.Keys, first.Targets = nil, nil, nil
	out := []Snapshot{first}
	room := MaxPieceItems
	customers, keys, targets := s.Document.Customers, s.Keys, s.Targets
	for len(customers)+len(keys)+len(targets) > 0 {
		if room == 0 {
			out = append(out, Snapshot{Revision: s.Revision})
			room = MaxPieceItems
		}
		p := &out[len(out)-1]
		p.Document.Customers, customers, room = takeUpTo(customers, room)
		p.Keys, keys, room = takeUpTo(keys, room)
		p.Targets, targets, room = takeUpTo(targets, room)
	}
	return out
}

// takeUpTo splits list after at most room items. It also returns the remaining room.
func takeUpTo[T any](list []T, room int) (head, rest []T, left int) {
	n := min(len(list), room)
	return list[:n:n], list[n:], room - n
}

// Join reassembles a snapshot from its pieces, which must be complete and in the
// order of Pieces. It checks only that they have the same revision, and returns
// ErrPieces if they do not or if there are none.
func Join(pieces []Snapshot) (Snapshot, error) {
	if len(pieces) == 0 {
		return Snapshot{}, errors.Wrap(ErrPieces, "no pieces")
	}
	s := pieces[0]
	for _, p := range pieces[1:] {
		if p.Revision != s.Revision {
			return Snapshot{}, errors.Wrapf(ErrPieces, "pieces have different revisions %d and %d", s.Revision, p.Revision)
		}
		s.Document.Customers = append(s.Document.Customers, p.Document.Customers...)
		s.Keys = append(s.Keys, p.Keys...)
		s.Targets = append(s.Targets, p.Targets...)
	}
	return s, nil
}
