package config

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against items lost between two pieces of a configuration, and against
// joining pieces of different revisions.
func TestPieces(t *testing.T) {
	for name, s := range map[string]Snapshot{"empty": {Revision: 3}, "small": newSnapshot(8, 6), "large": newSnapshot(11000, 1100)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pieces := s.Pieces()
			for _, p := range pieces {
				is.True(len(p.Document.Customers)+len(p.Keys)+len(p.Targets) <= MaxPieceItems)
			}
			got, err := Join(pieces)
			is.NoErr(err)
			is.Equal(NewIndex(got).Snapshot(), NewIndex(s).Snapshot())
			_, err = Join(append(pieces, Snapshot{Revision: 9}))
			is.True(err != nil)
		})
	}
}
