package replica_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/internal/bubble"
	"papayarock/io/replica"
)

// suspendableHost is a host whose monotonic clock stands still while it is suspended.
type suspendableHost struct {
	mu        sync.Mutex
	stoppedAt time.Time     // zero while the host runs
	suspended time.Duration // until the host woke up last
}

func (h *suspendableHost) clock() replica.Clock {
	return replica.Clock{Now: h.now, Suspended: h.total}
}

func (h *suspendableHost) now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stoppedAt.IsZero() {
		return h.stoppedAt
	}
	return time.Now().Add(-h.suspended)
}

func (h *suspendableHost) total() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspended
}

func (h *suspendableHost) suspend() {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stoppedAt = now
}

func (h *suspendableHost) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspended, h.stoppedAt = time.Since(h.stoppedAt), time.Time{}
}

// Guards against a leader that counts on its lease after its host was suspended, although
// another leader has committed commands in the meantime: a read then misses them.
func TestSuspendedLeaderDoesNotServeOldState(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, time.Millisecond)
		defer c.stopAll()
		hosts := []fleet.Host{"a", "b", "c"}
		clocks := make(map[fleet.Host]*suspendableHost)
		c.clocks = make(map[fleet.Host]replica.Clock)
		for _, h := range hosts {
			clocks[h] = &suspendableHost{}
			c.clocks[h] = clocks[h].clock()
			c.start(h, nil, hosts...)
		}
		is.Equal(c.propose("one"), 1)
		leader := c.leader()
		suspended := c.members[leader]
		for _, h := range hosts {
			c.network.SetBlocked(leader, h, true)
			c.network.SetBlocked(h, leader, true)
		}
		clocks[leader].suspend()
		delete(c.members, leader)
		time.Sleep(3 * time.Second)
		is.Equal(c.propose("two"), 2)
		clocks[leader].wake()
		c.members[leader] = suspended
		_, _, held := suspended.replica.Lease()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := suspended.replica.ReadBarrier(ctx)
		is.True(err != nil || slices.Contains(suspended.machine.all(), "two")) // a read without the newer command
		is.True(!held)                                                         // the lease of the former leader
	})
}
