package fake

import (
	"sync"
	"time"
)

// SuspendableHost is the clock of a host that can be suspended. The zero value runs.
type SuspendableHost struct {
	mu        sync.Mutex
	stoppedAt time.Time     // by Now; zero while the host runs
	suspended time.Duration // until the host woke up last
}

// Now returns the time of the monotonic clock, which stands still while the host is
// suspended.
func (h *SuspendableHost) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stoppedAt.IsZero() {
		return h.stoppedAt
	}
	return time.Now().Add(-h.suspended)
}

// Suspended returns for how long the host was suspended until it woke up last.
func (h *SuspendableHost) Suspended() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspended
}

// Suspend stops the monotonic clock. The goroutines of the host are not stopped.
func (h *SuspendableHost) Suspend() {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stoppedAt = now
}

// Wake starts the monotonic clock again.
func (h *SuspendableHost) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspended, h.stoppedAt = time.Since(h.stoppedAt), time.Time{}
}
