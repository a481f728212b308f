package replica_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/internal/bubble"
	"papayarock/internal/fake"
	"papayarock/io/replica"
)

// Guards against a leader that counts on its lease after its host was suspended, although
// another leader has committed commands in the meantime: a read then misses them.
func TestSuspendedLeaderDoesNotServeOldState(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, time.Millisecond)
		defer c.stopAll()
		hosts := []fleet.Host{"a", "b", "c"}
		clocks := make(map[fleet.Host]*fake.SuspendableHost)
		c.clocks = make(map[fleet.Host]replica.Clock)
		for _, h := range hosts {
			clocks[h] = &fake.SuspendableHost{}
			c.clocks[h] = replica.Clock{Now: clocks[h].Now, Suspended: clocks[h].Suspended}
			c.start(h, nil, hosts...)
		}
		is.Equal(c.propose("one"), 1)
		leader := c.leader()
		suspended := c.members[leader]
		for _, h := range hosts {
			c.network.SetBlocked(leader, h, true)
			c.network.SetBlocked(h, leader, true)
		}
		clocks[leader].Suspend()
		delete(c.members, leader)
		time.Sleep(3 * time.Second)
		is.Equal(c.propose("two"), 2)
		clocks[leader].Wake()
		c.members[leader] = suspended
		_, _, held := suspended.replica.Lease()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := suspended.replica.ReadBarrier(ctx)
		is.True(err != nil || slices.Contains(suspended.machine.all(), "two")) // a read without the newer command
		is.True(!held)                                                         // the lease of the former leader
	})
}
