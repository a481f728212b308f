package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the distance between hashed prefixes. Engines cache
	// smaller blocks, but hashing each of those would multiply the number of
	// cache events by 16.
	BlockTokens = 256
	// MaxBlocks is the maximum number of hashed prefixes per prompt. core/route
	// looks up no more.
	MaxBlocks = 16
)

// Hasher hashes the prefixes of one prompt. The zero value is ready to use.
//
// A token is a word delimited by white space. The hash of a prefix is the
// xxhash64 of its words, each followed by a space, and thus covers all
// preceding blocks.
type Hasher struct {
	Hashes []uint64 // prefix hashes so far, shortest prefix first

	digest *xxhash.Digest
	words  int
}

// Add appends text to the prompt. The text must begin at a word boundary. Add
// returns false once no further prefix will be hashed.
func (h *Hasher) Add(text string) bool {
	if h.digest == nil {
		h.digest = xxhash.New()
	}
	for word := range strings.FieldsSeq(text) {
		if len(h.Hashes) == MaxBlocks {
			return false
		}
		_, _ = h.digest.WriteString(word) // a Digest never returns an error
		_, _ = h.digest.WriteString(" ")
		if h.words++; h.words%BlockTokens == 0 {
			h.Hashes = append(h.Hashes, h.digest.Sum64())
		}
	}
	return len(h.Hashes) < MaxBlocks
}
