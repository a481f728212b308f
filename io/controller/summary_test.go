package controller_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/summary"
	"papayarock/core/watch"
	"papayarock/io/subscribe"
)

// summaryRecorder keeps the last load summaries that an entry received.
type summaryRecorder struct {
	mu   sync.Mutex
	rows []summary.Row
}

func (s *summaryRecorder) record(rows []summary.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = rows
}

// row returns the current row of a data centre.
func (s *summaryRecorder) row(dc fleet.DataCentre) summary.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.DataCentre == dc && time.Since(r.ComputedAt) < 5*time.Second {
			return r
		}
	}
	return summary.Row{}
}

// Guards against load that does not reach an entry through an agent, a relay, the
// leader and another relay; against load reported by a host other than the
// target's; and against summaries that are kept after their data centre stopped
// reporting or are lost with the leader.
func summariesReachEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader, near := c.leader(), anyFollower(c)
	var far []fleet.Host
	for h := range c.replicas {
		if h != leader && h != near[0] {
			far = append(far, h)
		}
	}
	agent := func(i int, dc fleet.DataCentre, as fleet.Host, control ...fleet.Host) func() {
		name := fleet.TargetName(fmt.Sprint("t", i))
		target := fleet.Target{
			Name: name, Incarnation: 1, Kind: fleet.Engine, Role: fleet.Prefill, Pool: "m", DataCentre: dc, Host: fleet.Host(fmt.Sprint("a", i)),
		}
		_, stop := c.node(subscribe.Options{Host: as, AgentStatus: func() watch.AgentStatus {
			return watch.AgentStatus{Name: name, Incarnation: 1, Ready: true, Prefill: 1000, Decode: 1, Load: watch.Load{
				Taken: time.Now(), PrefillTokens: 3000,
			}}
		}}, control...)
		_, err := c.replicas[leader].Propose(t.Context(), state.Announce{Target: target, Until: time.Now().Add(time.Hour), Time: time.Now()})
		is.NoErr(err)
		return stop
	}
	defer agent(0, "a", "a0", near...)()
	defer agent(1, "a", "a1", leader, near[0])()
	stopB := agent(2, "b", "a2", near...)
	defer agent(3, "a", "stranger", near...)() // reports the load of a target of a3
	var seen summaryRecorder
	_, stop := c.node(subscribe.Options{Host: "e1", OnSummaries: seen.record}, far...)
	defer stop()
	await(t, "no summaries", func() bool { return seen.row("a").Targets == 2 && seen.row("b").Targets == 1 })
	is.Equal(seen.row("a").Mean(), 3.0)
	stopB()
	await(t, "a silent data centre is kept", func() bool { return seen.row("b").Targets == 0 })
	is.Equal(seen.row("a").Targets, uint32(2))
	c.isolate(leader)
	await(t, "no new leader", func() bool { return c.leader() != "" })
	time.Sleep(5 * time.Second)
	is.Equal(seen.row("a").Targets, uint32(2)) // both agents now poll the other relay
	c.isolate(near[0])
	await(t, "a relay that died is kept", func() bool { return seen.row("a").Targets == 0 })
}
