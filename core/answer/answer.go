// Package answer assembles the response to a request from frames, and retains the
// most recent part of a response so that its stream can be resumed.
package answer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// Errors of a response that cannot be completed.
var (
	ErrGap         = errors.New("answer has a gap")
	ErrChecksum    = errors.New("answer does not match its length or checksum")
	ErrNotRetained = errors.New("answer is not retained at this offset")
)

// Assembly assembles the frames of one response from any number of resumed
// streams.
type Assembly struct {
	ID        fleet.RequestID
	Length    uint64 // bytes accepted so far
	Stray     uint64 // dropped frames of other requests
	Duplicate uint64 // dropped bytes that had been accepted before
	Complete  bool   // set by End

	digest xxhash.Digest
}

// NewAssembly returns an empty Assembly for request id.
func NewAssembly(id fleet.RequestID) *Assembly {
	a := &Assembly{ID: id}
	a.digest.Reset()
	return a
}

// Matches reports whether a frame with the given request id belongs to this
// response. If it does not, Matches counts it in Stray.
func (a *Assembly) Matches(id []byte) bool {
	if string(id) == string(a.ID[:]) {
		return true
	}
	a.Stray++
	return false
}

// Accept accepts data at offset and returns the bytes that were not accepted
// before, as a part of data. It returns ErrGap if offset is beyond the bytes
// accepted so far, or if the response is already complete.
func (a *Assembly) Accept(offset uint64, data []byte) ([]byte, error) {
	if offset > a.Length || a.Complete {
		return nil, errors.Wrapf(ErrGap, "part at offset %d after %d bytes", offset, a.Length)
	}
	duplicate := a.Length - offset
	if duplicate >= uint64(len(data)) {
		a.Duplicate += uint64(len(data))
		return nil, nil
	}
	a.Duplicate += duplicate
	fresh := data[duplicate:]
	_, _ = a.digest.Write(fresh)
	a.Length += uint64(len(fresh))
	return fresh, nil
}

// End marks the response as complete if its length in bytes and its xxhash64
// checksum match, and otherwise returns ErrChecksum.
func (a *Assembly) End(length, checksum uint64) error {
	if length != a.Length || checksum != a.digest.Sum64() {
		return errors.Wrapf(ErrChecksum, "received %d of %d bytes", a.Length, length)
	}
	a.Complete = true
	return nil
}

// Buffer buffers the most recent part of a response during and after its
// production.
type Buffer struct {
	Max    int    // maximum number of buffered bytes
	Length uint64 // bytes produced so far

	base    uint64 // offset of buf[0]
	buf     []byte
	digest  xxhash.Digest
	started bool
}

// Append adds data to the response. If more than Max bytes would be buffered, it
// drops the oldest ones, and up to Max/8 bytes more than necessary.
func (b *Buffer) Append(data []byte) {
	if !b.started {
		b.digest.Reset()
		b.started = true
	}
	_, _ = b.digest.Write(data)
	b.Length += uint64(len(data))
	if len(data) >= b.Max {
		b.buf = append(b.buf[:0], data[len(data)-b.Max:]...)
		b.base = b.Length - uint64(b.Max)
		return
	}
	if excess := len(b.buf) + len(data) - b.Max; excess > 0 {
		// An additional eighth is dropped, so that the remaining bytes are
		// moved less often.
		excess = min(excess+b.Max/8, len(b.buf))
		b.buf = b.buf[:copy(b.buf, b.buf[excess:])]
		b.base += uint64(excess)
	}
	b.buf = append(b.buf, data...)
}

// From returns the buffered bytes starting at offset. They are valid until the
// next call of Append. It returns ErrNotRetained if the byte at offset has been
// dropped or offset is beyond Length.
func (b *Buffer) From(offset uint64) ([]byte, error) {
	if offset < b.base || offset > b.Length {
		return nil, errors.Wrapf(ErrNotRetained, "offset %d, retained %d to %d", offset, b.base, b.Length)
	}
	return b.buf[offset-b.base:], nil
}

// Checksum returns the xxhash64 of all bytes produced so far, including dropped
// ones.
func (b *Buffer) Checksum() uint64 {
	if !b.started {
		return xxhash.Sum64(nil)
	}
	return b.digest.Sum64()
}

// AllocatedBytes returns the memory allocated for the buffer, in bytes.
func (b *Buffer) AllocatedBytes() int { return cap(b.buf) }

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return len(b.buf) }
