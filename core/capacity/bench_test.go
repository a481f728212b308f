package capacity_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"papayarock/core/authority"
	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// fleetSize describes a fleet whose entries report once a second.
type fleetSize struct{ targets, pools, dataCentres, entries int }

func (s fleetSize) place(i int) (string, fleet.DataCentre) {
	return fmt.Sprint("m", i%s.pools), fleet.DataCentre(fmt.Sprint("dc", i/s.pools%s.dataCentres))
}

func (s fleetSize) machine() *state.Machine {
	m := state.New()
	b := budget()
	b.HourlyCap = 0
	m.Apply(1, state.Change{ID: "c", Operator: "op", Time: start, Action: state.ReplaceDocument{Document: config.Document{Budget: b}}})
	for i := range s.targets {
		pool, dc := s.place(i)
		name := fleet.TargetName(fmt.Sprint("t", i))
		m.Apply(uint64(2*i+2), state.Announce{Target: fleet.Target{
			Name: name, Pool: pool, DataCentre: dc, Kind: fleet.Engine, Incarnation: 1,
		}, Until: start.Add(time.Hour), Time: start})
		m.Apply(uint64(2*i+3), state.TargetPhase{Target: name, Incarnation: 1, Phase: fleet.Ready, Time: start})
	}
	return m
}

// report adds one second of demand from all entries, 60% of the capacity.
func (s fleetSize) report(d *capacity.Demand, now time.Time) {
	share := 0.6 * float64(s.targets) / float64(s.entries*s.pools*2)
	for e := range s.entries {
		_, dc := s.place(e * s.pools)
		for p := range s.pools {
			for _, class := range []fleet.Class{fleet.Patient, fleet.Urgent} {
				d.Add(now, capacity.Report{
					Entry: fleet.Host(fmt.Sprint("n", e)), Pool: fmt.Sprint("m", p), DataCentre: dc, Class: class,
					Requests: 4 * share, PromptTokens: 4000 * share, OutputTokens: 800 * share, Period: time.Second, At: now,
				})
			}
		}
	}
}

// Measures one complete step of the leader: the copy of the replicated targets,
// the rates, and the planner's decision.
func BenchmarkStep(b *testing.B) {
	for _, s := range []fleetSize{{8, 1, 3, 3}, {100, 2, 4, 40}, {1100, 5, 11, 420}} {
		b.Run(fmt.Sprintf("%d-targets", s.targets), func(b *testing.B) {
			m, now := s.machine(), start
			var d capacity.Demand
			t := capacity.New(capacity.Options{Platform: true})
			step := func() {
				v := capacity.Input{
					Config: m.Config(), Targets: m.Targets(), LastStarts: m.PlannedStarts(),
					AgentStatuses: make(map[fleet.TargetName]watch.AgentStatus), LeaderSince: start, Rates: d.Rates(now),
				}
				for _, r := range v.Targets {
					v.AgentStatuses[r.Target.Name] = watch.AgentStatus{Name: r.Target.Name, Incarnation: 1, Prefill: 10000, Decode: 2000}
				}
				t.Step(now, leaseAt(now), v)
			}
			for range 460 { // fills the planner's history
				now = now.Add(capacity.Period)
				s.report(&d, now)
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
				now = now.Add(capacity.Period)
				b.StopTimer()
				s.report(&d, now)
				b.StartTimer()
			}
			reportHeap(b, t, &d)
		})
	}
}

// Measures recording the reports of all entries for one second.
func BenchmarkDemandAdd(b *testing.B) {
	s := fleetSize{1100, 5, 11, 420}
	var d capacity.Demand
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		s.report(&d, now)
	}
}

func leaseAt(now time.Time) authority.Gate {
	return authority.Gate{Held: true, Term: 1, Expires: now.Add(time.Second)}
}

// reportHeap reports the heap memory that the planner and the demand retain
// between steps.
func reportHeap(b *testing.B, t *capacity.TermPlanner, d *capacity.Demand) {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(t)
	runtime.KeepAlive(d)
	*t, *d = capacity.TermPlanner{}, capacity.Demand{}
	runtime.GC()
	runtime.ReadMemStats(&without)
	b.ReportMetric(float64(with.HeapAlloc)-float64(without.HeapAlloc), "held-B")
}
