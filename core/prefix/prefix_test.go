package prefix_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/prefix"
	"papayarock/internal/fake"
)

// Entries and engines must compute the same hash for the same prefix; otherwise
// cache events never match.
func TestHashesMatchEngine(t *testing.T) {
	is := is.New(t)
	const engineBlock = 16
	prompt := strings.Repeat("tide  wall\nstone ", 700)
	var h prefix.Hasher
	first, second, _ := strings.Cut(prompt, "\n") // at a word boundary
	is.True(h.Add(first) && h.Add(second))
	engine := fake.BlockHashes(prompt)
	is.Equal(len(h.Hashes), 2100/prefix.BlockTokens)
	for i, hash := range h.Hashes {
		is.Equal(hash, engine[(i+1)*prefix.BlockTokens/engineBlock-1])
	}
}

// Time and memory must not grow with the length of the prompt.
func TestMaxBlocks(t *testing.T) {
	is := is.New(t)
	var h prefix.Hasher
	is.True(!h.Add(strings.Repeat("w ", 10*prefix.MaxBlocks*prefix.BlockTokens)))
	is.Equal(len(h.Hashes), prefix.MaxBlocks)
}
