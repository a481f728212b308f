package link

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxPendingBytes is the number of pending bytes above which Write blocks.
const maxPendingBytes = 256 << 10

// batchConn coalesces small writes. yamux writes the header and the body of each
// frame separately, and over TLS each write would be a record and a system call
// of its own. Data queued while a write is in progress is sent in the next one.
type batchConn struct {
	net.Conn
	onClose  func()        // called before the connection is closed; may be nil
	received atomic.Uint64 // bytes read from the connection

	mu      sync.Mutex
	cond    sync.Cond // signals changes of the fields below
	pending []byte
	closed  bool
	err     error // of the first write that failed
}

func newBatchConn(c net.Conn) *batchConn {
	b := &batchConn{Conn: c}
	b.cond.L = &b.mu
	go b.writeLoop()
	return b
}

// Read reads from the connection and counts the bytes.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	b.received.Add(uint64(n))
	return n, err
}

// Write queues p. It blocks while more than maxBatchBytes are pending.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.err == nil && len(b.pending) > maxPendingBytes {
		b.cond.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending) == 0 {
		b.cond.Broadcast()
	}
	b.pending = append(b.pending, p...)
	return len(p), nil
}

// Close closes the connection and discards pending data.
func (b *batchConn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.cond.Broadcast()
	b.mu.Unlock()
	if b.onClose != nil {
		b.onClose()
	}
	return b.Conn.Close()
}

// writeLoop writes pending data until the connection fails or is closed.
func (b *batchConn) writeLoop() {
	var out []byte
	for {
		b.mu.Lock()
		for !b.closed && len(b.pending) == 0 {
			b.cond.Wait()
		}
		if b.closed {
			b.mu.Unlock()
			return
		}
		out, b.pending = b.pending, out[:0]
		b.cond.Broadcast()
		b.mu.Unlock()
		if _, err := b.Conn.Write(out); err != nil {
			b.mu.Lock()
			b.err = err
			b.cond.Broadcast()
			b.mu.Unlock()
			_ = b.Close() // makes yamux end the session
			return
		}
	}
}
