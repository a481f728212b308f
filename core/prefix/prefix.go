package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the distance between the prefixes that are hashed. Engines
	// cache smaller blocks; naming each of those would multiply the cache events
	// by 16.
	BlockTokens = 256
	// MaxBlocks bounds the prefixes of one prompt. core/route looks up no more.
	MaxBlocks = 16
)

// Hasher hashes the prefixes of one prompt. The zero value is ready to use.
//
// A token is a word between white space. The hash of a prefix is the xxhash64 of
// its words with a space after each, so that it covers all blocks before its own.
type Hasher struct {
	Hashes []uint64 // of the prefixes so far, shortest first

	sum   *xxhash.Digest
	words int
}

// Add appends a text, which begins with a new word, to the prompt. It returns
// false once no further prefix will be hashed.
func (h *Hasher) Add(text string) bool {
	if h.sum == nil {
		h.sum = xxhash.New()
	}
	for word := range strings.FieldsSeq(text) {
		if len(h.Hashes) == MaxBlocks {
			return false
		}
		_, _ = h.sum.WriteString(word) // a Digest never fails
		_, _ = h.sum.WriteString(" ")
		if h.words++; h.words%BlockTokens == 0 {
			h.Hashes = append(h.Hashes, h.sum.Sum64())
		}
	}
	return len(h.Hashes) < MaxBlocks
}
