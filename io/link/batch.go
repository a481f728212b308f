package link

import (
	"net"
	"sync"
)

// maxBatchBytes bounds what a batch holds before Write blocks.
const maxBatchBytes = 256 << 10

// batch joins small writes. yamux writes header and body of each frame of each
// stream one by one; over TLS each would be a record and a system call. What is
// written while one write runs goes out together with the next one.
type batch struct {
	net.Conn

	mu      sync.Mutex
	change  sync.Cond
	pending []byte
	closed  bool
	err     error
}

func newBatch(c net.Conn) *batch {
	b := &batch{Conn: c}
	b.change.L = &b.mu
	go b.flush()
	return b
}

// Write queues p. It blocks while maxBatchBytes wait.
func (b *batch) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.err == nil && len(b.pending) > maxBatchBytes {
		b.change.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending) == 0 {
		b.change.Broadcast()
	}
	b.pending = append(b.pending, p...)
	return len(p), nil
}

// Close closes the connection and drops what is queued.
func (b *batch) Close() error {
	b.mu.Lock()
	b.closed = true
	b.change.Broadcast()
	b.mu.Unlock()
	return b.Conn.Close()
}

// flush writes until the connection fails or is closed.
func (b *batch) flush() {
	var out []byte
	for {
		b.mu.Lock()
		for !b.closed && len(b.pending) == 0 {
			b.change.Wait()
		}
		if b.closed {
			b.mu.Unlock()
			return
		}
		out, b.pending = b.pending, out[:0]
		b.change.Broadcast()
		b.mu.Unlock()
		if _, err := b.Conn.Write(out); err != nil {
			b.mu.Lock()
			b.err = err
			b.change.Broadcast()
			b.mu.Unlock()
			_ = b.Close() // ends the session
			return
		}
	}
}
