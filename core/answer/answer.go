// Package answer puts the answer to a request together from frames, and
// retains the recent part of an answer so that it can be resumed.
package answer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// Errors of an answer that cannot be completed.
var (
	ErrGap      = errors.New("answer has a gap")
	ErrChecksum = errors.New("answer does not match its end")
	ErrDropped  = errors.New("answer is no longer retained from this offset")
)

// Assembly accepts the frames of one answer in any number of resumed streams.
type Assembly struct {
	ID       fleet.RequestID
	Length   uint64 // bytes accepted so far
	Stray    uint64 // frames of other requests, dropped
	Repeated uint64 // bytes that had been accepted before, dropped
	Whole    bool

	sum xxhash.Digest
}

// NewAssembly starts the answer to request id.
func NewAssembly(id fleet.RequestID) *Assembly {
	a := &Assembly{ID: id}
	a.sum.Reset()
	return a
}

// Mine reports whether a frame belongs to this answer, and counts it as stray
// otherwise.
func (a *Assembly) Mine(id []byte) bool {
	if string(id) == string(a.ID[:]) {
		return true
	}
	a.Stray++
	return false
}

// Part returns the bytes of data that follow what was accepted before. A part
// that starts behind that point leaves a gap and is an error.
func (a *Assembly) Part(offset uint64, data []byte) ([]byte, error) {
	if offset > a.Length || a.Whole {
		return nil, errors.Wrapf(ErrGap, "part at offset %d after %d bytes", offset, a.Length)
	}
	known := a.Length - offset
	if known >= uint64(len(data)) {
		a.Repeated += uint64(len(data))
		return nil, nil
	}
	a.Repeated += known
	fresh := data[known:]
	_, _ = a.sum.Write(fresh)
	a.Length += uint64(len(fresh))
	return fresh, nil
}

// End marks the answer whole if all of it was accepted.
func (a *Assembly) End(length, checksum uint64) error {
	if length != a.Length || checksum != a.sum.Sum64() {
		return errors.Wrapf(ErrChecksum, "%d of %d bytes", a.Length, length)
	}
	a.Whole = true
	return nil
}

// Retained holds the last part of an answer while it is produced and after.
type Retained struct {
	Max    int    // bytes held at most
	Length uint64 // bytes produced so far

	base  uint64 // offset of held[0]
	held  []byte
	sum   xxhash.Digest
	begun bool
}

// Append adds data to the answer. The oldest bytes beyond Max are dropped.
func (r *Retained) Append(data []byte) {
	if !r.begun {
		r.sum.Reset()
		r.begun = true
	}
	_, _ = r.sum.Write(data)
	r.Length += uint64(len(data))
	if len(data) >= r.Max {
		r.held = append(r.held[:0], data[len(data)-r.Max:]...)
		r.base = r.Length - uint64(r.Max)
		return
	}
	if over := len(r.held) + len(data) - r.Max; over > 0 {
		// An eighth more is dropped, so that the rest moves less often.
		over = min(over+r.Max/8, len(r.held))
		r.held = r.held[:copy(r.held, r.held[over:])]
		r.base += uint64(over)
	}
	r.held = append(r.held, data...)
}

// From returns the held bytes from offset on. They are valid until the next
// Append.
func (r *Retained) From(offset uint64) ([]byte, error) {
	if offset < r.base || offset > r.Length {
		return nil, errors.Wrapf(ErrDropped, "offset %d, held %d to %d", offset, r.base, r.Length)
	}
	return r.held[offset-r.base:], nil
}

// Checksum returns the xxhash64 of the whole answer so far.
func (r *Retained) Checksum() uint64 {
	if !r.begun {
		return xxhash.Sum64(nil)
	}
	return r.sum.Sum64()
}

// Bytes returns the memory the answer takes.
func (r *Retained) Bytes() int { return cap(r.held) }

// Held returns the number of bytes that From can return.
func (r *Retained) Held() int { return len(r.held) }
