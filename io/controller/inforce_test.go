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

// inForceWithin is the time within which an accepted change must be in force, as
// promised in docs/promises.md, row 12.
const inForceWithin = 4 * time.Second

// observer samples the configuration of all nodes and replicas in virtual time.
type observer struct {
	c     *cluster
	nodes map[fleet.Host]*subscribe.Client
	base  uint64 // revision before the change

	mu           sync.Mutex
	accepted     time.Time                // when a replica had applied the change, so it was committed
	reported     time.Time                // when a leader reported the change in force
	lastOutdated map[fleet.Host]time.Time // last time a node served keyed requests without the change
	maxRevision  map[fleet.Host]uint64    // highest revision of each node
	regressed    []fleet.Host             // nodes whose revision decreased
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
		x := n.Config.Load()
		if x == nil {
			continue
		}
		if x.Revision < o.maxRevision[h] {
			o.regressed = append(o.regressed, h)
		}
		o.maxRevision[h] = max(o.maxRevision[h], x.Revision)
		if x.Revision <= o.base && n.Fresh(now) {
			o.lastOutdated[h] = now
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

// fault is injected at an offset from the submission of a change, which may be
// negative.
type fault struct {
	offset time.Duration
	inject func(o *observer, leader fleet.Host)
}

// The relay of these faults is c4, a learner, which never leads. The node that is
// isolated is called silent.
func isolateLeader(o *observer, leader fleet.Host)   { o.c.isolate(leader) }
func isolateRelay(o *observer, _ fleet.Host)         { o.c.isolate("c4") }
func partitionLeader(o *observer, leader fleet.Host) { o.c.partition(leader) }
func partitionRelay(o *observer, _ fleet.Host)       { o.c.partition("c4") }
func isolateNode(o *observer, _ fleet.Host)          { o.c.isolate("silent") }

// stopRelay stops the relay. Its nodes see what they would see in a crash: all
// connections close.
func stopRelay(o *observer, _ fleet.Host) {
	o.mu.Lock()
	stop := o.c.stops["c4"]
	delete(o.c.stops, "c4")
	delete(o.c.replicas, "c4")
	o.mu.Unlock()
	stop()
}

// Guards against a node that serves keyed requests under an old configuration more
// than 4 s after a change was accepted, a change that is reported in force while a
// node still does so, and a node whose configuration returns to an older revision.
func changeIsInForceInTime(t *testing.T) {
	cases := map[string][]fault{
		"nothing fails":                                         nil,
		"a node is isolated before the change":                  {{-2 * time.Second, isolateNode}},
		"a node is isolated at the change":                      {{0, isolateNode}},
		"the relay is isolated at the change":                   {{0, isolateRelay}},
		"the relay stops at the change":                         {{0, stopRelay}},
		"the leader is isolated long before the change":         {{-1500 * time.Millisecond, isolateLeader}},
		"the leader is isolated shortly before the change":      {{-100 * time.Millisecond, isolateLeader}},
		"the leader is isolated at the change":                  {{0, isolateLeader}},
		"the leader is isolated after the change":               {{samplePeriod, isolateLeader}},
		"the leader is partitioned before the change":           {{-1500 * time.Millisecond, partitionLeader}},
		"the leader is partitioned at the change":               {{0, partitionLeader}},
		"the leader is partitioned after the change":            {{samplePeriod, partitionLeader}},
		"the relay is partitioned before the change":            {{-100 * time.Millisecond, partitionRelay}},
		"the relay is partitioned, then the leader is isolated": {{-100 * time.Millisecond, partitionRelay}, {0, isolateLeader}},
		"relay, node and leader are isolated":                   {{-50 * time.Millisecond, isolateRelay}, {0, isolateNode}, {0, isolateLeader}},
		"the relay stops, then the leader is isolated":          {{-time.Second, stopRelay}, {time.Second, isolateLeader}},
	}
	// The node leader-then-relay has the change when it moves to a relay that lacks it,
	// whose older configuration it must not take.
	cases["the relay is partitioned, the leader is isolated after the change"] = []fault{
		{-100 * time.Millisecond, partitionRelay}, {500 * time.Millisecond, isolateLeader},
	}
	for name, faults := range cases {
		t.Log(name)
		checkInForceUnder(t, faults)
	}
}

// checkInForceUnder injects faults around a change, and checks that the change is in
// force in time on nodes that poll different replicas.
func checkInForceUnder(t *testing.T, faults []fault) {
	t.Helper()
	is := is.New(t)
	c := newCluster(t, "c4")
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	var a operator.MemberChangeResult
	is.Equal(c.request(leader, "ana", http.MethodPost, "/v1/hosts", operator.MemberChange{Action: operator.AddLearner, Host: "c4"}, &a), http.StatusOK)
	c.start("c4", t.TempDir())
	polledFollower := anyFollower(c)[0]

	o := &observer{c: c, nodes: make(map[fleet.Host]*subscribe.Client), lastOutdated: make(map[fleet.Host]time.Time), maxRevision: make(map[fleet.Host]uint64)}
	all := []fleet.Host{"c1", "c2", "c3"}
	for h, control := range map[fleet.Host][]fleet.Host{
		"at-leader": {leader}, "at-relay": {"c4"}, "at-follower": {polledFollower}, "leader-then-relay": {leader, "c4"}, "silent": all,
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
	o.base = ana.Config.Load().Revision

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const settleTime = 3 * time.Second // from the first sample to the change
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(settleTime + f.offset)
			f.inject(o, leader)
		})
	}
	wg.Go(func() { o.run(ctx) })
	time.Sleep(settleTime)
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
	time.Sleep(2 * inForceWithin) // enough for a copy to return to an older revision
	o.mu.Lock()
	defer o.mu.Unlock()
	is.Equal(len(o.regressed), 0) // no revision decreased
	for h, last := range o.lastOutdated {
		if took := last.Sub(o.accepted); took > inForceWithin {
			t.Errorf("%s served by the old configuration %v after the change was accepted", h, took)
		}
		if !last.Before(o.reported) {
			t.Errorf("%s served by the old configuration %v after the change was reported in force", h, last.Sub(o.reported))
		}
	}
}
