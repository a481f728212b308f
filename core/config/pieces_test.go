package config

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a configuration that loses entries between two messages, or
// is put together from two revisions.
func TestPieces(t *testing.T) {
	for name, s := range map[string]Snapshot{"empty": {Revision: 3}, "small": wide(8, 6), "large": wide(11000, 1100)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pieces := s.Pieces()
			for _, p := range pieces {
				is.True(len(p.Document.Customers)+len(p.Keys)+len(p.Targets) <= PieceEntries)
			}
			got, err := Join(pieces)
			is.NoErr(err)
			is.Equal(NewIndex(got).Snapshot(), NewIndex(s).Snapshot())
			_, err = Join(append(pieces, Snapshot{Revision: 9}))
			is.True(err != nil)
		})
	}
}
