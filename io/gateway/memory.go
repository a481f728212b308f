package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// bodyMemoryDivisor and responseMemoryDivisor are the inverses of the shares of the
	// memory limit that request bodies and buffered responses may take. The two are
	// separate, so that targets that send without end do not cause bodies to be refused.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 8
	// minBufferBytes is the size of the first buffer. It is not charged, so that ordinary
	// events and responses can be read while the share is used up.
	minBufferBytes = 4 << 10
)

var errNoMemory = errors.New("the memory for buffered data is used up")

// memoryShare counts the bytes that buffers hold and limits them. Bytes are charged before
// they are read: many connections that deliver data at the same time would otherwise
// exceed the memory of the process before any of them is complete.
type memoryShare struct {
	limit int64 // zero means no limit
	held  atomic.Int64
}

// take charges n bytes and reports whether the share has room for them.
func (m *memoryShare) take(n int) bool {
	if held := m.held.Add(int64(n)); m.limit > 0 && held > m.limit {
		m.held.Add(int64(-n))
		return false
	}
	return true
}

func (m *memoryShare) give(n int) { m.held.Add(int64(-n)) }

// buffer is a byte buffer whose capacity is charged to a share. The zero value with a
// share is ready to use. Call free when its bytes are not used any more.
type buffer struct {
	share   *memoryShare
	data    []byte
	charged int
}

// reserve makes room for n bytes in all. It returns errNoMemory if the share is used up.
func (b *buffer) reserve(n int) error {
	if n <= cap(b.data) {
		return nil
	}
	if n > minBufferBytes {
		if !b.share.take(n) {
			return errNoMemory
		}
	}
	data := make([]byte, len(b.data), n)
	copy(data, b.data)
	b.share.give(b.charged)
	b.data, b.charged = data, 0
	if n > minBufferBytes {
		b.charged = n
	}
	return nil
}

// grow makes room for at least one more byte, but not for more than limit bytes in all.
func (b *buffer) grow(limit int) error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	return b.reserve(min(max(minBufferBytes, 2*cap(b.data)), limit))
}

// readFrom reads until r ends or the buffer holds limit bytes. It returns nil in both cases.
func (b *buffer) readFrom(r io.Reader, limit int) error {
	for len(b.data) < limit {
		if err := b.grow(limit); err != nil {
			return err
		}
		n, err := r.Read(b.data[len(b.data):min(cap(b.data), limit)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// write appends p, unless the buffer would exceed limit bytes.
func (b *buffer) write(p []byte, limit int) error {
	n := len(b.data) + len(p)
	if n > limit {
		return errEventTooLarge
	}
	if n > cap(b.data) {
		if err := b.reserve(min(max(n, minBufferBytes, 2*cap(b.data)), limit)); err != nil {
			return err
		}
	}
	b.data = append(b.data, p...)
	return nil
}

// reset empties the buffer. It keeps a small one for further use.
func (b *buffer) reset() {
	if b.charged > 0 {
		b.free()
	}
	b.data = b.data[:0]
}

func (b *buffer) free() {
	b.share.give(b.charged)
	b.data, b.charged = nil, 0
}
