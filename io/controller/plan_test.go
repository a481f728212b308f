package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/io/controller"
	"papayarock/io/subscribe"
)

// planStatus returns the planner's status on the leader.
func (c *cluster) planStatus() (s capacity.Status) {
	if r := c.replicas[c.leader()]; r != nil {
		if p := r.Dump().(controller.Dump).Plan; p != nil {
			s = *p
		}
	}
	return s
}

// startEngines announces one engine per role and starts an agent for each.
func (c *cluster) startEngines(control []fleet.Host, roles ...fleet.Role) (stop func()) {
	is := is.New(c.t)
	stops := make([]func(), len(roles))
	leader := c.replicas[c.leader()]
	for i, role := range roles {
		host := fleet.Host(fmt.Sprint("a", i))
		t := fleet.Target{
			Name: fleet.TargetName(fmt.Sprint("t", i)), Incarnation: 1, Kind: fleet.Engine, Pool: "m", DataCentre: "dc", Role: role, Host: host,
		}
		_, stops[i] = c.node(subscribe.Options{Host: host, AgentStatus: func() watch.AgentStatus {
			return watch.AgentStatus{Name: t.Name, Incarnation: 1, Ready: true, Running: 1, Prefill: 9000, Decode: 2200}
		}}, control...)
		_, err := leader.Propose(c.t.Context(), state.Announce{Target: t, Until: time.Now().Add(time.Hour), Time: time.Now()})
		is.NoErr(err)
	}
	return func() {
		for _, s := range stops {
			s()
		}
	}
}

// Guards against the demand of entries or the speeds of engines not reaching the
// planner through a relay, proposals that are not committed, and a new leader whose
// planner proposes changes before its observation period ends.
func plannerActsOnDemand(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	relay := anyFollower(c)
	defer c.startEngines(relay, fleet.Prefill, fleet.Decode, fleet.Decode, fleet.Decode)()
	last := time.Now()
	entry, stop := c.node(subscribe.Options{Host: "e1", Demand: func() []subscribe.Demand {
		d := time.Since(last)
		last = time.Now()
		return []subscribe.Demand{{
			Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: 14 * d.Seconds(),
			PromptTokens: 14000 * d.Seconds(), OutputTokens: 1500 * d.Seconds(), Period: d,
		}}
	}}, relay...)
	defer stop()
	await(t, "the entry is not fresh", func() bool { return entry.Fresh(time.Now()) })
	base := entry.Config.Load().Revision

	time.Sleep(80 * time.Second)
	is.Equal(c.planStatus().Waiting, "the leader is new and observes")
	is.Equal(len(c.planStatus().Recent), 0)
	for range 5 {
		if len(c.planStatus().Recent) == 0 {
			time.Sleep(time.Minute)
		}
	}
	p := c.planStatus()
	is.True(len(p.Recent) > 0)
	is.Equal(p.Recent[0].Kind, plan.ChangeRole)
	is.Equal(p.Recent[0].Outcome, "begun")
	is.Equal(len(p.Rates), 1)
	is.True(p.Rates[0].Prefill > 13900 && p.Rates[0].Prefill < 14100)
	is.True(p.Speeds[0].Decode > 2150) // the planner assumes 2,000 until agents report a speed
	e, _ := entry.Config.Load().Target(p.Recent[0].Target)
	is.Equal(e.Phase, fleet.Draining)
	r, err := submit(entry, state.Change{
		ID: "change-1", Base: base, Operator: "ana",
		Action: state.ReplaceDocument{Document: config.Document{Customers: []config.Customer{{Name: "klang", Weight: 1}}}},
	})
	is.NoErr(err)
	is.Equal(r.Outcome, state.ChangeAccepted) // the planner does not advance the base revision

	old := c.leader()
	c.isolate(old)
	await(t, "no new leader", func() bool { return c.leader() != "" && c.leader() != old })
	time.Sleep(time.Minute)
	is.Equal(c.planStatus().Waiting, "the leader is new and observes")
	is.Equal(len(c.planStatus().Recent), 0)
}
