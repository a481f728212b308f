package controller_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/operator"
	"papayarock/io/subscribe"
)

// inForceWithin is the bound of promise 12.
const inForceWithin = 4 * time.Second

// observer samples all nodes and replicas in virtual time.
type observer struct {
	c     *cluster
	nodes map[fleet.Host]*subscribe.Client
	base  uint64 // revision before the change

	mu       sync.Mutex
	accepted time.Time                // a replica has applied the change, so it was committed
	reported time.Time                // a leader reports the change in force
	old      map[fleet.Host]time.Time // last time a node served keyed requests without the change
	held     map[fleet.Host]uint64    // highest revision a node had
	back     []fleet.Host             // nodes whose copy went back
}

const samplePeriod = 10 * time.Millisecond

func (o *observer) sample(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.c.replicas {
		if o.accepted.IsZero() && r.Status().Revision > o.base {
			o.accepted = now
		}
		if o.reported.IsZero() && r.InForce(o.base+1) {
			o.reported = now
		}
	}
	for h, n := range o.nodes {
		x := n.Index.Load()
		if x == nil {
			continue
		}
		if x.Revision < o.held[h] {
			o.back = append(o.back, h)
		}
		o.held[h] = max(o.held[h], x.Revision)
		if x.Revision <= o.base && n.Fresh(now) {
			o.old[h] = now
		}
	}
}

// run samples until ctx ends.
func (o *observer) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.sample(time.Now())
		time.Sleep(samplePeriod)
	}
}

// fault is what happens around a change, at a time after it is submitted, or
// before it.
type fault struct {
	after time.Duration
	act   func(o *observer, leader fleet.Host)
}

func cutLeader(o *observer, leader fleet.Host)  { o.c.isolate(leader) }
func cutRelay(o *observer, _ fleet.Host)        { o.c.isolate("c4") }
func partLeader(o *observer, leader fleet.Host) { o.c.part(leader) }
func partRelay(o *observer, _ fleet.Host)       { o.c.part("c4") }
func cutNode(o *observer, _ fleet.Host)         { o.c.isolate("silent") }

// endRelay ends a relay as a crash does for its nodes: all its connections
// close.
func endRelay(o *observer, _ fleet.Host) {
	o.mu.Lock()
	stop := o.c.stops["c4"]
	delete(o.c.stops, "c4")
	delete(o.c.replicas, "c4")
	o.mu.Unlock()
	stop()
}

// Guards against a node that serves keyed requests by an old configuration more
// than 4 s after a change was accepted, against a change that is reported in
// force before that, and against a copy that goes back.
func changeIsInForceInTime(t *testing.T) {
	cases := map[string][]fault{
		"nothing fails":                                nil,
		"a node is silent before the change":           {{-2 * time.Second, cutNode}},
		"a node falls silent with the change":          {{0, cutNode}},
		"the relay falls silent":                       {{0, cutRelay}},
		"the relay ends":                               {{0, endRelay}},
		"the leader is cut off long before":            {{-1500 * time.Millisecond, cutLeader}},
		"the leader is cut off shortly before":         {{-100 * time.Millisecond, cutLeader}},
		"the leader is cut off with it":                {{0, cutLeader}},
		"the leader is cut off after it":               {{samplePeriod, cutLeader}},
		"the leader is parted before":                  {{-1500 * time.Millisecond, partLeader}},
		"the leader is parted with it":                 {{0, partLeader}},
		"the leader is parted after it":                {{samplePeriod, partLeader}},
		"the relay is parted before":                   {{-100 * time.Millisecond, partRelay}},
		"the relay is parted, then the leader is lost": {{-100 * time.Millisecond, partRelay}, {0, cutLeader}},
		"leader, relay and node are lost":              {{-50 * time.Millisecond, cutRelay}, {0, cutNode}, {0, cutLeader}},
		"relay ends, then the leader is lost":          {{-time.Second, endRelay}, {time.Second, cutLeader}},
	}
	// The node leader-then-relay has the change when it moves to a relay that lacks it.
	cases["the relay is parted, the leader is lost after the change"] = []fault{
		{-100 * time.Millisecond, partRelay}, {500 * time.Millisecond, cutLeader},
	}
	for name, faults := range cases {
		t.Log(name)
		inForceUnder(t, faults)
	}
}

func inForceUnder(t *testing.T, faults []fault) {
	t.Helper()
	is := is.New(t)
	c := newCluster(t, "c4")
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	var a operator.HostAnswer
	is.Equal(c.ask(leader, "ana", http.MethodPost, "/v1/hosts", operator.HostChange{Action: operator.AddLearner, Host: "c4"}, &a), http.StatusOK)
	c.start("c4", t.TempDir())
	rest := follower(c)[0]

	o := &observer{c: c, nodes: make(map[fleet.Host]*subscribe.Client), old: make(map[fleet.Host]time.Time), held: make(map[fleet.Host]uint64)}
	all := []fleet.Host{"c1", "c2", "c3"}
	for h, control := range map[fleet.Host][]fleet.Host{
		"at-leader": {leader}, "at-relay": {"c4"}, "at-follower": {rest}, "leader-then-relay": {leader, "c4"}, "silent": all,
		"relay-first": append([]fleet.Host{"c4"}, all...), "leader-first": append([]fleet.Host{leader}, all...),
	} {
		node, stop := c.client(h, control...)
		defer stop()
		o.nodes[h] = node
	}
	ana, stopAna := c.client("ana", all...)
	defer stopAna()
	await(t, "not all nodes are fresh", func() bool {
		for _, n := range o.nodes {
			if !n.Fresh(time.Now()) {
				return false
			}
		}
		return ana.Fresh(time.Now())
	})
	o.base = ana.Index.Load().Revision

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const lead = 3 * time.Second // before the change
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(lead + f.after)
			f.act(o, leader)
		})
	}
	wg.Go(func() { o.run(ctx) })
	time.Sleep(lead)
	change := state.Change{
		ID: "change-1", Base: o.base, Operator: "ana",
		Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}},
	}
	await(t, "no change is accepted", func() bool {
		r, err := submit(ana, change)
		return err == nil && r.Outcome == state.ChangeAccepted
	})
	await(t, "the change is not reported in force", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return !o.reported.IsZero()
	})
	time.Sleep(2 * inForceWithin) // a copy that goes back would do so by now
	o.mu.Lock()
	defer o.mu.Unlock()
	is.Equal(len(o.back), 0) // no copy goes back
	for h, last := range o.old {
		if took := last.Sub(o.accepted); took > inForceWithin {
			t.Errorf("%s served by the old configuration %v after the change was accepted", h, took)
		}
		if !last.Before(o.reported) {
			t.Errorf("%s served by the old configuration %v after the change was reported in force", h, last.Sub(o.reported))
		}
	}
}
