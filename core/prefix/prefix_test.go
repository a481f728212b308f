package prefix_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/prefix"
	"papayarock/internal/fake"
)

// Guards against an entry and an engine that name the same beginning of a
// prompt differently, so that no cache event is ever of use.
func TestSameAsEngines(t *testing.T) {
	is := is.New(t)
	const engineBlock = 16
	prompt := strings.Repeat("tide  wall\nstone ", 700)
	var h prefix.Hasher
	first, second, _ := strings.Cut(prompt, "\n") // between words
	is.True(h.Add(first) && h.Add(second))
	engine := fake.BlockHashes(prompt)
	is.Equal(len(h.Hashes), 2100/prefix.BlockTokens)
	for i, hash := range h.Hashes {
		is.Equal(hash, engine[(i+1)*prefix.BlockTokens/engineBlock-1])
	}
}

// Guards against work and memory that grow with the length of a prompt.
func TestBound(t *testing.T) {
	is := is.New(t)
	var h prefix.Hasher
	is.True(!h.Add(strings.Repeat("w ", 10*prefix.MaxBlocks*prefix.BlockTokens)))
	is.Equal(len(h.Hashes), prefix.MaxBlocks)
}
