package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/internal/bubble"
	"papayarock/internal/fake"
	"papayarock/io/disk"
	"papayarock/io/replica"
)

// commandList is a machine that records the commands it has applied. Apply returns
// their number.
type commandList struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandList) Apply(_, _ uint64, command []byte) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return len(l.commands)
}

func (l *commandList) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.commands)
}

func (l *commandList) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	if len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, &l.commands)
}

func (l *commandList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.commands...)
}

// cluster runs members with an in-memory network and with data directories on disk.
type cluster struct {
	t               testing.TB
	network         *fake.Network
	root            string
	snapshotEntries uint64                       // applied between snapshots; zero means the default
	clocks          map[fleet.Host]replica.Clock // of hosts whose clocks a test controls
	members         map[fleet.Host]*member
}

type member struct {
	replica *replica.Member
	machine *commandList
	cancel  context.CancelFunc
	done    chan error
}

func newCluster(t testing.TB, delay time.Duration) *cluster {
	c := &cluster{t: t, network: &fake.Network{}, root: t.TempDir(), members: make(map[fleet.Host]*member)}
	if delay > 0 {
		c.network.Delay = func(_, _ fleet.Host) time.Duration { return delay }
	}
	return c
}

func (c *cluster) dir(h fleet.Host) string { return c.root + "/" + string(h) }

// start starts a member on host h. voters are the initial voters of a new group.
func (c *cluster) start(h fleet.Host, fs disk.FS, voters ...fleet.Host) *member {
	c.t.Helper()
	m := &member{machine: &commandList{}, done: make(chan error, 1)}
	r, err := replica.New(replica.Options{
		Self: h, InitialVoters: voters, DataDir: c.dir(h), FS: fs, StateMachine: m.machine, Transport: c.network.Endpoint(h),
		SnapshotEntries: c.snapshotEntries, Clock: c.clocks[h],
	})
	if err != nil {
		c.t.Fatal(err)
	}
	m.replica = r
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	c.network.Connect(h, r.Deliver)
	go func() { m.done <- r.Serve(ctx) }()
	c.members[h] = m
	return m
}

func (c *cluster) stop(h fleet.Host) {
	m := c.members[h]
	c.network.Connect(h, nil)
	m.cancel()
	if err := <-m.done; err != nil {
		c.t.Errorf("host %s: %v", h, err)
	}
	delete(c.members, h)
}

func (c *cluster) stopAll() {
	for h := range c.members {
		c.stop(h)
	}
}

// leader waits for a member that holds the lease, and returns its host.
func (c *cluster) leader() fleet.Host {
	c.t.Helper()
	for range 2000 {
		for h, m := range c.members {
			if _, _, held := m.replica.Lease(); held {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no leader within 20 s")
	return ""
}

// propose proposes a command to the leader, repeatedly until it is committed, and returns
// the result of Apply. An uncertain outcome fails the test.
func (c *cluster) propose(command string) any {
	c.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		v, err := c.members[c.leader()].replica.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return v
		}
		if errors.Is(err, replica.ErrUncertain) {
			c.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("not committed in 100 attempts")
	return nil
}

// eventually calls f until it succeeds or ctx ends, and returns the last error.
func eventually(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// withThreeVoters runs f with a group of three voters in a synctest bubble.
func withThreeVoters(t *testing.T, f func(t *testing.T, c *cluster, hosts []fleet.Host)) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t, time.Millisecond)
		defer c.stopAll()
		hosts := []fleet.Host{"a", "b", "c"}
		for _, h := range hosts {
			c.start(h, nil, hosts...)
		}
		f(t, c, hosts)
	})
}

// Guards against a group that elects no new leader, or loses a committed command, when
// its leader stops, and against a restarted member that completes a read before it has
// applied all committed commands.
func TestGroupSurvivesLossOfLeader(t *testing.T) {
	withThreeVoters(t, func(t *testing.T, c *cluster, hosts []fleet.Host) {
		is := is.New(t)
		is.Equal(c.propose("one"), 1)
		old := c.leader()
		c.stop(old)
		is.Equal(c.propose("two"), 2)
		m := c.start(old, nil, hosts...)
		is.Equal(c.propose("three"), 3)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		is.NoErr(eventually(ctx, func() error { return m.replica.ReadBarrier(ctx) }))
		is.Equal(m.machine.all(), []string{"one", "two", "three"})
	})
}

// Guards against a transfer of leadership that takes as long as the failover after a
// failure of the leader, which waits for the lease, an election timeout and the longest
// action, and against one that succeeds on a member that is not the leader.
func TestTransferLeadership(t *testing.T) {
	withThreeVoters(t, func(t *testing.T, c *cluster, _ []fleet.Host) {
		is := is.New(t)
		is.Equal(c.propose("one"), 1)
		old := c.leader()
		for h, m := range c.members {
			if h != old {
				is.True(errors.Is(m.replica.TransferLeadership(t.Context()), replica.ErrNotLeader))
			}
		}
		start := time.Now()
		is.NoErr(c.members[old].replica.TransferLeadership(t.Context()))
		is.True(c.leader() != old)
		is.True(time.Since(start) < 100*time.Millisecond) // by the clock of the synctest bubble
		is.Equal(c.propose("two"), 2)
	})
}

// Guards against a new host that cannot replace a voter, because it does not receive the
// snapshot or the entries after it, or is not counted as a voter.
func TestReplaceHost(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, time.Millisecond)
		c.snapshotEntries = 10
		defer c.stopAll()
		hosts := []fleet.Host{"a", "b", "c"}
		for _, h := range hosts {
			c.start(h, nil, hosts...)
		}
		for i := range 35 {
			c.propose(fmt.Sprint(i))
		}
		leader := c.leader()
		var removed fleet.Host
		for h := range c.members {
			if h != leader {
				removed = h
			}
		}
		c.stop(removed)
		d := c.start("d", nil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		l := c.members[leader].replica
		is.NoErr(l.AddLearner(ctx, "d"))
		is.NoErr(eventually(ctx, func() error { return l.Promote(ctx, "d") }))
		is.NoErr(l.Remove(ctx, removed))
		c.propose("last")
		is.NoErr(d.replica.ReadBarrier(ctx))
		is.Equal(len(d.machine.all()), 36)
		c.stop(leader)
		is.Equal(c.propose("after"), 37)
	})
}
