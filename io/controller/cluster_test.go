package controller_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/internal/fake"
	"papayarock/internal/memlink"
	"papayarock/io/controller"
	"papayarock/io/link"
	"papayarock/io/replica"
	"papayarock/io/subscribe"
)

// cluster is a control group of three voters, and learners if any, on in-memory
// links.
type cluster struct {
	t         *testing.T
	addresses map[fleet.Host]netip.AddrPort
	operators map[fleet.Host]netip.AddrPort
	listeners map[netip.AddrPort]*fake.MemoryListener
	replicas  map[fleet.Host]*controller.Controller
	stops     map[fleet.Host]func()
	clocks    map[fleet.Host]replica.Clock // of hosts that may be suspended

	mu          sync.Mutex
	isolated    map[fleet.Host]bool // isolated hosts
	partitioned map[fleet.Host]bool // replicas that cannot reach other replicas
	conns       map[fleet.Host][]*silentConn
}

// silentConn is a connection that drops all writes once its host is isolated;
// writes still succeed.
type silentConn struct {
	net.Conn
	control bool // between control replicas
	mu      sync.Mutex
	silent  bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// newCluster starts three voters. Learners get an address and are not started.
func newCluster(t *testing.T, learners ...fleet.Host) *cluster {
	return newClusterWithClocks(t, nil, learners...)
}

func newClusterWithClocks(t *testing.T, clocks map[fleet.Host]replica.Clock, learners ...fleet.Host) *cluster {
	c := &cluster{
		clocks: clocks,
		t:      t, addresses: make(map[fleet.Host]netip.AddrPort), listeners: make(map[netip.AddrPort]*fake.MemoryListener),
		replicas: make(map[fleet.Host]*controller.Controller), stops: make(map[fleet.Host]func()),
		operators: make(map[fleet.Host]netip.AddrPort), isolated: make(map[fleet.Host]bool), partitioned: make(map[fleet.Host]bool),
		conns: make(map[fleet.Host][]*silentConn),
	}
	voters := []fleet.Host{"c1", "c2", "c3"}
	for i, h := range slices.Concat(voters, learners) {
		c.addresses[h] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
		c.operators[h] = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7401+i))
	}
	for _, h := range voters {
		c.start(h, t.TempDir(), voters...)
	}
	return c
}

// start runs a replica. Without voters it joins the group as a learner.
func (c *cluster) start(h fleet.Host, dir string, voters ...fleet.Host) {
	is := is.New(c.t)
	pool := c.pool(h)
	r, err := controller.New(controller.Options{
		Self: h, Voters: voters, Addresses: c.addresses, OperatorAddresses: c.operators, DataDir: dir, Links: pool, Log: hclog.NewNullLogger(),
		Clock: c.clocks[h],
	})
	is.NoErr(err)
	l := fake.NewMemoryListener()
	c.mu.Lock()
	c.listeners[c.addresses[h]] = l
	c.mu.Unlock()
	server := &link.Server{Listener: l, StopTimeout: time.Second}
	r.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx) })
	wg.Go(func() { _ = r.Serve(ctx) })
	c.replicas[h] = r
	c.stops[h] = func() {
		cancel()
		pool.Close()
		wg.Wait()
	}
}

func (c *cluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
}

// pool returns a pool that dials from a host. A connection is recorded for both of
// its hosts.
func (c *cluster) pool(from fleet.Host) *link.Pool {
	return &link.Pool{Dial: func(ctx context.Context, a link.Address) (net.Conn, error) {
		c.mu.Lock()
		l := c.listeners[a.AddrPort]
		_, control := c.addresses[from]
		silent := c.isolated[from] || c.isolated[a.Host] || control && (c.partitioned[from] || c.partitioned[a.Host])
		c.mu.Unlock()
		if l == nil || silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		x, y := net.Pipe()
		out, in := &silentConn{Conn: x, control: control}, &silentConn{Conn: y, control: control}
		c.mu.Lock()
		for _, h := range []fleet.Host{from, a.Host} {
			c.conns[h] = append(c.conns[h], out, in)
		}
		c.mu.Unlock()
		if err := l.Deliver(ctx, in); err != nil {
			return nil, err
		}
		return out, nil
	}}
}

// isolate drops all traffic of a host without closing its connections.
func (c *cluster) isolate(h fleet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[h] = true
	for _, x := range c.conns[h] {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
}

// partition drops the traffic between a control replica and the others. Nodes still
// reach it.
func (c *cluster) partition(h fleet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[h] = true
	for _, x := range c.conns[h] {
		x.mu.Lock()
		x.silent = x.silent || x.control
		x.mu.Unlock()
	}
}

// heal lets an isolated host open connections again. Its old ones stay silent.
func (c *cluster) heal(h fleet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.isolated, h)
}

// client starts a node without a target or callbacks, which polls the given replicas,
// nearest first.
func (c *cluster) client(host fleet.Host, control ...fleet.Host) (*subscribe.Client, func()) {
	return c.node(subscribe.Options{Host: host}, control...)
}

// node starts a node with options o, which polls the given replicas, nearest first.
func (c *cluster) node(o subscribe.Options, control ...fleet.Host) (*subscribe.Client, func()) {
	pool := c.pool(o.Host)
	o.Links, o.Log = pool, hclog.NewNullLogger()
	for _, h := range control {
		o.Addresses = append(o.Addresses, link.Address{Host: h, AddrPort: c.addresses[h]})
	}
	s := subscribe.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx) })
	return s, func() { cancel(); wg.Wait(); pool.Close() }
}

func (c *cluster) leader() fleet.Host {
	for h, r := range c.replicas {
		if !c.isolated[h] && r.Status().Leading {
			return h
		}
	}
	return ""
}

// await waits in virtual time until ok holds. failure says what is wrong if it does
// not.
func await(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("after 60 s: %s", failure)
}

func submit(s *subscribe.Client, change state.Change) (state.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	change.Time = time.Now()
	return s.Change(ctx, change)
}

// TestCluster runs its cases one after the other in one synctest bubble, which saves
// the garbage collections between bubbles.
func TestCluster(t *testing.T) {
	cases := map[string]func(t *testing.T){
		"a change reaches nodes":                              changeReachesNodes,
		"a change is in force in time":                        changeIsInForceInTime,
		"a change does not wait for a node that left":         changeDoesNotWaitForStoppedNode,
		"an isolated leader cannot keep an old configuration": isolatedLeaderCannotKeepOldConfiguration,
		"a suspended relay is not current":                    suspendedRelayIsNotCurrent,
		"an isolated leader commits nothing":                  isolatedLeaderCommitsNothing,
		"a revision carries only the differences":             revisionCarriesDifferences,
		"operators race under an equal base":                  operatorsRace,
		"a target cut off from control is not lost":           targetCutOffIsNotLost,
		"large changes race":                                  largeChangesRace,
		"a leader change between pieces":                      leaderChangesBetweenPieces,
		"a change that is too large":                          changeIsTooLarge,
		"the configuration is read back":                      configurationIsReadBack,
		"the planner acts on demand":                          plannerActsOnDemand,
		"summaries of load reach entries":                     summariesReachEntries,
		"hosts join and leave":                                hostsJoinAndLeave,
		"a lost voter is replaced":                            lostVoterIsReplaced,
	}
	memlink.RunInBubble(t, func(t *testing.T) {
		for name, run := range cases {
			t.Log(name)
			run(t)
		}
	})
}

// Guards against a change that is accepted but does not reach a node that polls a
// replica other than the leader.
func changeReachesNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	node, stop := c.client("e1", anyFollower(c)...)
	defer stop()
	await(t, "the node is not fresh", func() bool { return node.Fresh(time.Now()) })
	r, err := submit(node, state.Change{
		ID: "change-1", Base: node.Config.Load().Revision, Operator: "ana",
		Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}},
	})
	is.NoErr(err)
	is.Equal(r.Outcome, state.ChangeAccepted)
	accepted := time.Now()
	await(t, "the node lacks the change", func() bool {
		_, ok := node.Config.Load().Customer("klang")
		return ok
	})
	await(t, "the change is not in force", func() bool { return c.inForce(r.Revision) })
	if took := time.Since(accepted); took > 4*time.Second {
		t.Fatalf("in force after %v", took) // virtual time
	}
	again, err := submit(node, state.Change{
		ID: "change-1", Base: r.Revision - 1, Operator: "ana",
		Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}},
	})
	is.NoErr(err)
	is.Equal(again, r) // a repeated change has the result of the first
}

// Guards against a change that waits for the copy of a node that shut down cleanly,
// and against one that does not wait for an unresponsive node.
func changeDoesNotWaitForStoppedNode(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	operator, stopOperator := c.client("o1", anyFollower(c)...)
	defer stopOperator()
	stopping, shutDown := c.client("e1", anyFollower(c)...)
	silent, stopSilent := c.client("e2", anyFollower(c)...)
	defer stopSilent()
	await(t, "the nodes are not fresh", func() bool {
		return operator.Fresh(time.Now()) && stopping.Fresh(time.Now()) && silent.Fresh(time.Now())
	})
	time.Sleep(5 * time.Second) // the leader knows the nodes by now
	change := func(id string) time.Duration {
		r, err := submit(operator, state.Change{
			ID: id, Base: operator.Config.Load().Revision, Operator: "ana",
			Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: fleet.Customer(id), Weight: 1}}}},
		})
		is.NoErr(err)
		accepted := time.Now()
		await(t, "the change is not in force", func() bool { return c.inForce(r.Revision) })
		return time.Since(accepted) // in virtual time
	}
	shutDown()
	is.True(!stopping.Fresh(time.Now()))
	is.True(change("after-a-leaver") < time.Second)
	c.isolate("e2")
	is.True(change("after-a-silent-node") > 2*time.Second)
}

// Guards against a serving target that counts as lost because its agent cannot reach
// control, and against a target that is kept although no entry reaches it.
func targetCutOffIsNotLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	var reached atomic.Bool
	reached.Store(true)
	status := watch.AgentStatus{Name: "t1", Incarnation: 7, Ready: true}
	agent, stopAgent := c.node(subscribe.Options{Host: "a1", AgentStatus: func() watch.AgentStatus { return status }}, anyFollower(c)...)
	defer stopAgent()
	entry, stopEntry := c.node(subscribe.Options{
		Host: "e1", Demand: func() []subscribe.Demand { return nil },
		Contacts: func() []watch.Contact {
			if !reached.Load() {
				return nil
			}
			return []watch.Contact{{Target: "t1", Reached: time.Now()}}
		},
	}, anyFollower(c)...)
	defer stopEntry()
	await(t, "the agent is not fresh", func() bool { return agent.Fresh(time.Now()) && entry.Fresh(time.Now()) })
	phase := func() fleet.Phase {
		x, _ := entry.Config.Load().Target("t1")
		return x.Phase
	}
	is.NoErr(agent.Announce(t.Context(), fleet.Target{Name: "t1", Host: "a1", Kind: fleet.Service, Pool: "log", Incarnation: 7}))
	await(t, "the target is not ready", func() bool { return phase() == fleet.Ready })
	conditions := func() []watch.Assessment { return c.replicas[c.leader()].Dump().(controller.Dump).Conditions }
	is.Equal(len(conditions()), 0)

	c.isolate("a1")
	time.Sleep(20 * time.Second)
	is.Equal(phase(), fleet.Ready)
	is.Equal(len(conditions()), 1)
	is.Equal(conditions()[0].Condition, watch.Partitioned)
	is.True(strings.Contains(conditions()[0].Reason, "e1"))
	reached.Store(false)
	await(t, "the target is not lost", func() bool { return phase() == fleet.Lost })
}

// anyFollower returns a list of one replica that does not lead.
func anyFollower(c *cluster) []fleet.Host {
	leader := c.leader()
	for h := range c.replicas {
		if h != leader {
			return []fleet.Host{h}
		}
	}
	return nil
}

func (c *cluster) inForce(revision uint64) bool {
	r := c.replicas[c.leader()]
	return r != nil && r.InForce(revision)
}

// Guards against a node that still serves under an old configuration after a change
// is reported in force, when the node and the leader it polls are isolated together.
func isolatedLeaderCannotKeepOldConfiguration(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	old := c.leader()
	var followers []fleet.Host
	for h := range c.replicas {
		if h != old {
			followers = append(followers, h)
		}
	}
	cutOff, stopCutOff := c.client("e1", old)
	defer stopCutOff()
	operator, stopOperator := c.client("o1", followers...)
	defer stopOperator()
	await(t, "the nodes are not fresh", func() bool {
		return cutOff.Fresh(time.Now()) && operator.Fresh(time.Now())
	})
	before := cutOff.Config.Load().Revision

	c.isolate(old)
	await(t, "no new leader", func() bool { return c.leader() != "" })
	var r state.ChangeResult
	await(t, "no change is accepted", func() bool {
		var err error
		r, err = submit(operator, state.Change{
			ID: "change-1", Base: before, Operator: "ana",
			Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}},
		})
		return err == nil && r.Outcome == state.ChangeAccepted
	})
	await(t, "the change is not in force", func() bool { return c.inForce(r.Revision) })
	is.True(cutOff.Config.Load().Revision < r.Revision)
	is.True(!cutOff.Fresh(time.Now())) // refuses keyed requests
	is.True(!c.replicas[old].Status().Leading)

	c.heal(old)
	await(t, "the node does not catch up", func() bool {
		return cutOff.Fresh(time.Now()) && cutOff.Config.Load().Revision >= r.Revision
	})
}

// Guards against a relay that takes its copy for current after its host was suspended: nodes
// that poll it would accept a key that was withdrawn meanwhile.
func suspendedRelayIsNotCurrent(t *testing.T) {
	is := is.New(t)
	hosts := make(map[fleet.Host]*fake.SuspendableHost)
	clocks := make(map[fleet.Host]replica.Clock)
	for _, h := range []fleet.Host{"c1", "c2", "c3"} {
		hosts[h] = &fake.SuspendableHost{}
		clocks[h] = replica.Clock{Now: hosts[h].Now, Suspended: hosts[h].Suspended}
	}
	c := newClusterWithClocks(t, clocks)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	relay := anyFollower(c)[0]
	await(t, "the relay is not current", func() bool { return c.replicas[relay].Status().Current })
	c.partition(relay)
	hosts[relay].Suspend()
	time.Sleep(10 * time.Second)
	hosts[relay].Wake()
	is.True(!c.replicas[relay].Status().Current)
}

// Guards against a command that an isolated leader reports as committed.
func isolatedLeaderCommitsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	r := c.replicas[leader]
	c.isolate(leader)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := r.Propose(ctx, state.Tick{Now: time.Now()})
	is.True(err != nil)
	is.True(!errors.Is(err, controller.ErrInvalidState)) // which would mean that it was committed
}
