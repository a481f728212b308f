package failover_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/internal/memlink"
	"papayarock/io/link"
	"papayarock/io/registry"
	"papayarock/io/wire"
)

const (
	successorDelay = time.Second // between the loss of a host and the start of its successor
	// catchUpTime is how long after the start of its successor a lost host no longer
	// counts as lost, so that another one may be lost.
	catchUpTime  = 4 * time.Second
	shutdownTime = 4 * time.Second  // limit of Leave
	recoveryTime = 12 * time.Second // after which documents must be readable and accepted again
)

// replicaFleet runs replicas that are connected in memory, in a bubble. Hosts that
// are lost do not refuse connections: dials to them time out.
type replicaFleet struct {
	t         *testing.T
	losses    int
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memlink.Listener
	conns     map[netip.AddrPort][]net.Conn // by either end
	cut       map[netip.AddrPort]bool
	seeds     []netip.AddrPort
	running   []netip.AddrPort // oldest first
	replicas  map[netip.AddrPort]*registry.Registry
	stops     map[netip.AddrPort]func()
	dirs      map[netip.AddrPort]string // data directories
	nextHost  int
	version   uint64
}

// newReplicaFleet starts hosts replicas, of which the first three create the log. losses is the
// number of them that may be lost at once.
func newReplicaFleet(t *testing.T, hosts, losses int) *replicaFleet {
	f := &replicaFleet{
		t: t, losses: losses, listeners: make(map[netip.AddrPort]*memlink.Listener), conns: make(map[netip.AddrPort][]net.Conn),
		cut: make(map[netip.AddrPort]bool), replicas: make(map[netip.AddrPort]*registry.Registry), stops: make(map[netip.AddrPort]func()), dirs: make(map[netip.AddrPort]string),
	}
	t.Cleanup(f.stopAll)
	for i := range min(3, hosts) {
		f.seeds = append(f.seeds, replicaAddress(i))
	}
	for range hosts {
		f.add(true)
	}
	f.put()
	time.Sleep(8 * time.Second) // all replicas have joined and caught up
	return f
}

func replicaAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7660", 10+i))
}

// add starts a replica on another host with an empty disk.
func (f *replicaFleet) add(createLog bool) netip.AddrPort {
	a := replicaAddress(f.nextHost)
	f.nextHost++
	f.start(a, createLog && slices.Contains(f.seeds, a))
	return a
}

// start starts a replica with an empty disk.
func (f *replicaFleet) start(self netip.AddrPort, createLog bool) {
	f.startAt(self, f.t.TempDir(), createLog)
}

func (f *replicaFleet) startAt(self netip.AddrPort, dir string, createLog bool) {
	f.t.Helper()
	f.dirs[self] = dir
	links := &link.Pool{Dial: func(ctx context.Context, to link.Address) (net.Conn, error) { return f.dial(ctx, self, to.AddrPort) }}
	r, err := registry.New(registry.Options{
		Self: self, HostName: self.String(), Seeds: slices.Clone(f.seeds), CreateLog: createLog, Voters: 2*f.losses + 1,
		DataDir: dir, Links: links, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	listener := memlink.NewListener()
	s := &link.Server{Listener: listener, StopTimeout: 10 * time.Millisecond}
	r.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.Serve(ctx) })
	wg.Go(func() { _ = s.Serve(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[self], f.replicas[self] = listener, r
	f.running = append(f.running, self)
	f.stops[self] = func() {
		cancel()
		links.Close()
		wg.Wait()
	}
}

func (f *replicaFleet) dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	l := f.listeners[to]
	if l == nil || f.cut[from] || f.cut[to] {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Unlock()
	c, err := l.Dial(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[from], f.conns[to] = append(f.conns[from], c), append(f.conns[to], c)
	return c, err
}

// setCut cuts a host off from all others, or heals the cut.
func (f *replicaFleet) setCut(a netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[a] = cut
	if cut {
		f.closeConns(a)
	}
}

func (f *replicaFleet) closeConns(a netip.AddrPort) {
	for _, c := range f.conns[a] {
		_ = c.Close()
	}
	delete(f.conns, a)
}

// lose ends a replica as the loss of its host does, without a shutdown.
func (f *replicaFleet) lose(a netip.AddrPort) {
	f.mu.Lock()
	delete(f.listeners, a)
	f.closeConns(a)
	f.running = slices.DeleteFunc(f.running, func(x netip.AddrPort) bool { return x == a })
	stop := f.stops[a]
	delete(f.stops, a)
	f.mu.Unlock()
	stop()
}

func (f *replicaFleet) stopAll() {
	for _, a := range slices.Clone(f.running) {
		f.lose(a)
	}
}

// leader returns the address of the replica that leads, and one that does not.
func (f *replicaFleet) leader() (leader, follower netip.AddrPort) {
	f.t.Helper()
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, a := range f.running {
			if f.replicas[a].Leads() {
				leader = a
			} else if f.isVoter(a) {
				follower = a
			}
		}
		if leader.IsValid() {
			return leader, follower
		}
	}
	f.t.Fatalf("no replica leads %v after the last loss", recoveryTime)
	return leader, follower
}

func (f *replicaFleet) isVoter(a netip.AddrPort) bool {
	return f.replicas[a].Members().IsVoter(fleet.Host(a.String()))
}

// put has a new document accepted.
func (f *replicaFleet) put() {
	f.t.Helper()
	f.version++
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, a := range f.running {
			if f.replicas[a].PutCatalog(f.t.Context(), f.version, []byte("document")) == nil {
				return
			}
		}
	}
	f.t.Fatalf("document %d not accepted within %v", f.version, recoveryTime)
}

// replace loses hosts, starts a successor for each, and waits until the hosts no longer
// count as lost.
func (f *replicaFleet) replace(lost ...netip.AddrPort) {
	lost = slices.Clone(lost)
	for _, a := range lost {
		f.lose(a)
	}
	time.Sleep(successorDelay)
	for _, a := range lost {
		next := f.add(false)
		if i := slices.Index(f.seeds, a); i >= 0 {
			f.seeds[i] = next
		}
	}
	time.Sleep(catchUpTime)
}

// check checks that the document that was accepted last can be read at each host, and that
// another one is accepted.
func (f *replicaFleet) check() {
	f.t.Helper()
	is := is.New(f.t)
	time.Sleep(recoveryTime)
	for _, a := range f.running {
		version, _, err := f.replicas[a].LatestCatalog(f.t.Context())
		is.NoErr(err)                // read of the accepted document
		is.Equal(version, f.version) // that was accepted last
	}
	f.put()
}

// replaceAsPlanned starts successors, waits until they have caught up, and then shuts the
// given hosts down at the same moment.
func (f *replicaFleet) replaceAsPlanned(old ...netip.AddrPort) {
	for _, a := range old {
		next := f.add(false)
		if i := slices.Index(f.seeds, a); i >= 0 {
			f.seeds[i] = next
		}
	}
	time.Sleep(catchUpTime)
	var shutdowns sync.WaitGroup
	for _, a := range old {
		shutdowns.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
			defer cancel()
			f.replicas[a].Leave(ctx)
			f.lose(a)
		})
	}
	shutdowns.Wait()
}

// restart shuts a host down and starts it again with its disk.
func (f *replicaFleet) restart(a netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	f.replicas[a].Leave(ctx)
	f.lose(a)
	time.Sleep(successorDelay)
	f.startAt(a, f.dirs[a], false)
	time.Sleep(catchUpTime)
}

// Guards against a log without a quorum for good, because hosts end that are replaced as
// planned: each successor has caught up before its predecessor is shut down, so that no
// host counts as lost at any time.
func TestVotersReplacedAsPlanned(t *testing.T) {
	for name, test := range map[string]struct {
		hosts, losses int
		run           func(f *replicaFleet)
	}{
		"two at once":           {3, 1, func(f *replicaFleet) { f.replaceAsPlanned(f.running[:2]...) }},
		"all at once":           {3, 1, func(f *replicaFleet) { f.replaceAsPlanned(f.running[:3]...) }},
		"three of five at once": {5, 2, func(f *replicaFleet) { f.replaceAsPlanned(f.running[:3]...) }},
		"a single host":         {1, 0, func(f *replicaFleet) { f.replaceAsPlanned(f.running[0]) }},
		"in turn, then a loss": {3, 1, func(f *replicaFleet) {
			f.replaceAsPlanned(f.running[0])
			f.replaceAsPlanned(f.running[0])
			f.replace(f.running[0])
			f.replace(f.running[0])
		}},
		"restarts in turn, then a loss": {4, 1, func(f *replicaFleet) {
			for _, a := range slices.Clone(f.running) {
				f.restart(a)
				f.put()
			}
			f.replace(f.running[0])
			f.replace(f.running[0])
		}},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				f := newReplicaFleet(t, test.hosts, test.losses)
				test.run(f)
				f.check()
			})
		})
	}
}

// Guards against a shutdown that waits although no learner can replace the replica, or for
// a leader that a group without a quorum does not elect.
func TestShutdownWithoutSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int
		lose  int
	}{
		"all hosts vote": {3, 0},
		"no quorum":      {3, 2},
		"a learner":      {4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newReplicaFleet(t, test.hosts, 1)
				for range test.lose {
					f.lose(f.running[0])
				}
				last := f.running[len(f.running)-1]
				for _, a := range f.running {
					if !f.isVoter(a) {
						last = a
					}
				}
				start := time.Now()
				f.replicas[last].Leave(t.Context())
				is.True(time.Since(start) < successorDelay) // time in Leave
			})
		})
	}
}

// Guards against a log without a quorum for good, because a voter that is gone still
// counts when the next one is lost: its successor had all entries, but did not vote. The
// document that was accepted can then not be read, and no other one is accepted.
func TestVotersLostInTurn(t *testing.T) {
	follower := func(f *replicaFleet) netip.AddrPort { _, a := f.leader(); return a }
	leader := func(f *replicaFleet) netip.AddrPort { a, _ := f.leader(); return a }
	oldest := func(f *replicaFleet) netip.AddrPort { return f.running[0] }
	type pick func(*replicaFleet) netip.AddrPort
	replaceInTurn := func(picks ...pick) func(*replicaFleet) {
		return func(f *replicaFleet) {
			for _, p := range picks {
				f.replace(p(f))
				f.put()
			}
		}
	}
	for name, test := range map[string]struct {
		hosts, losses int
		run           func(f *replicaFleet)
	}{
		"follower, then follower": {3, 1, replaceInTurn(follower, follower)},
		"follower, then leader":   {3, 1, replaceInTurn(follower, leader)},
		"leader, then follower":   {3, 1, replaceInTurn(leader, follower)},
		"leader, then leader":     {3, 1, replaceInTurn(leader, leader)},
		"all hosts":               {3, 1, replaceInTurn(oldest, oldest, oldest)},
		"four in turn":            {3, 1, replaceInTurn(follower, leader, follower, leader)},
		"more hosts than voters":  {4, 1, replaceInTurn(follower, oldest, leader, oldest)},
		"two at once, then two at once": {6, 2, func(f *replicaFleet) {
			f.replace(f.running[0], f.running[1])
			f.replace(f.running[0], f.running[1])
		}},
		"all of five in pairs": {5, 2, func(f *replicaFleet) {
			f.replace(f.running[0], f.running[1])
			f.replace(f.running[0], f.running[1])
			f.replace(f.running[0], f.running[1])
		}},
		"then a disk is lost": {3, 1, func(f *replicaFleet) {
			f.replace(follower(f))
			a := follower(f)
			f.lose(a)
			f.start(a, false)
			time.Sleep(catchUpTime)
			f.replace(follower(f))
		}},
		"then another is cut off": {3, 1, func(f *replicaFleet) {
			f.replace(follower(f))
			a := follower(f)
			f.setCut(a, true)
			time.Sleep(5 * time.Second)
			f.setCut(a, false)
			time.Sleep(catchUpTime)
			f.replace(leader(f))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				f := newReplicaFleet(t, test.hosts, test.losses)
				test.run(f)
				f.check()
			})
		})
	}
}

// Guards against members that are gone for good: each replaced host whose replica does not
// vote stays a member, which the leader and the gateways try to reach for ever.
func TestLearnersReplacedInTurn(t *testing.T) {
	replaceLearner := func(f *replicaFleet) netip.AddrPort {
		learner := f.running[len(f.running)-1]
		for _, a := range f.running {
			if !f.isVoter(a) {
				learner = a
			}
		}
		return learner
	}
	for name, test := range map[string]struct {
		times   int
		replace func(f *replicaFleet, a netip.AddrPort)
	}{
		"lost":       {10, func(f *replicaFleet, a netip.AddrPort) { f.replace(a) }},
		"as planned": {10, func(f *replicaFleet, a netip.AddrPort) { f.replaceAsPlanned(a) }},
		"disk lost":  {3, func(f *replicaFleet, a netip.AddrPort) { f.lose(a); f.start(a, false); time.Sleep(catchUpTime) }},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				is := is.New(t)
				const hosts = 4
				f := newReplicaFleet(t, hosts, 1)
				for range test.times {
					test.replace(f, replaceLearner(f))
				}
				time.Sleep(2 * recoveryTime)
				leader, _ := f.leader()
				members := f.replicas[leader].Members()
				is.Equal(len(members), hosts)
				for _, a := range f.running {
					_, isMember := members.Find(fleet.Host(a.String()))
					is.True(isMember)
				}
				f.check()
			})
		})
	}
}

// Guards against a learner that was only cut off for a while and does not join again.
func TestSilentLearnerReturns(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newReplicaFleet(t, 4, 1)
		var learner netip.AddrPort
		for _, a := range f.running {
			if !f.isVoter(a) {
				learner = a
			}
		}
		f.setCut(learner, true)
		time.Sleep(2 * recoveryTime)
		leader, _ := f.leader()
		is.Equal(len(f.replicas[leader].Members()), 3)
		f.setCut(learner, false)
		time.Sleep(catchUpTime)
		leader, _ = f.leader()
		is.Equal(len(f.replicas[leader].Members()), 4)
		f.check()
	})
}

// Guards against a join request of an earlier process of a host, which was held up on its way,
// and that makes the leader remove a sound member.
func TestLateJoinRequest(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newReplicaFleet(t, 3, 1)
		leader, follower := f.leader()
		links := &link.Pool{Dial: func(ctx context.Context, to link.Address) (net.Conn, error) {
			return f.dial(ctx, follower, to.AddrPort)
		}}
		defer links.Close()
		request := &wire.RegistryJoin{Host: follower.String(), Identity: 7} // of a disk that was lost
		_, err := link.Call[wire.RegistryJoinAnswer](t.Context(), links, link.Address{AddrPort: leader}, request)
		is.NoErr(err)
		is.True(f.replicas[leader].Members().IsVoter(fleet.Host(follower.String())))
		f.check()
	})
}
