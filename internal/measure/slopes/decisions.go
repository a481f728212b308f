package slopes

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"papayarock/core/admit"
	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/state"
)

// measurePick measures the time of a routing decision with its outcome, of a load
// report and of a configuration update, and the memory of the router.
func measurePick(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "routing of one request among all targets of 5 models in 11 data centres",
		Columns: []string{"targets", "pick and outcome µs", "load report µs", "configure µs", "memory B"},
	}
	for _, n := range p.targets {
		var all []fleet.Target
		for i := range n {
			all = append(all, target(i))
		}
		before := memory()
		now := time.Now()
		r := route.New(route.Options{DataCentre: all[0].DataCentre, Region: all[0].Region, Random: rand.New(rand.NewPCG(1, 2))})
		start := time.Now()
		r.Step(now, route.Configure{Targets: all})
		configure := time.Since(start)
		size := memory() - before
		start = time.Now()
		for i := range p.picks {
			r.Step(now, route.Load{Target: all[i%n].Name, MeasuredAt: now, Requests: 3, PrefillTokens: 800, DecodeTokens: 300})
		}
		load := time.Since(start)
		start = time.Now()
		for i := range p.picks {
			now = now.Add(time.Millisecond)
			c, err := r.Pick(now, route.Request{Pool: pool(0), Customer: customer(i % customersToday), PromptTokens: 900, OutputTokens: 337})
			if err != nil {
				return t, err
			}
			r.Step(now, route.Outcome{Choice: c, Result: route.Served, Customer: customer(0), Bytes: 4096})
		}
		pick := time.Since(start)
		runtime.KeepAlive(r)
		t.add(float64(n), microsPerOp(pick, p.picks), microsPerOp(load, p.picks), microsPerOp(configure, 1), size)
	}
	return t, nil
}

func microsPerOp(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / 1000 / float64(n) }

// measureWaiting measures the memory of waiting requests in the admission queue of one
// pool and the time to submit one.
func measureWaiting(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "requests waiting in an admission queue",
		Columns: []string{"requests", "memory B", "submit µs"},
	}
	for _, n := range p.waitingRequests {
		before := memory()
		q := admit.New(admit.Options{MaxTotal: n, MaxPerCustomer: n})
		now := time.Now()
		start := time.Now()
		for i := range n {
			q.Step(now, admit.Submit{
				ID: fleet.RequestID{byte(i), byte(i >> 8), byte(i >> 16)}, Customer: customer(i % customersToday),
				Route: "route-1", Class: fleet.Urgent, PromptTokens: 900, Deadline: now.Add(time.Hour),
			})
		}
		spent := time.Since(start)
		size := memory() - before
		runtime.KeepAlive(q)
		t.add(float64(n), size, microsPerOp(spent, n))
	}
	return t, nil
}

// measureClaimMemory measures the memory of claims in the state machine and the time to
// apply one.
func measureClaimMemory(_ context.Context, p parameters) (Table, error) {
	t := Table{
		Title:   "claims in the state machine, without kept answers",
		Columns: []string{"claims", "memory B", "apply µs"},
	}
	for _, n := range p.waitingRequests {
		before := memory()
		m := state.New()
		m.Apply(1, state.Tick{Now: time.Now()})
		start := time.Now()
		for i := range n {
			m.Apply(uint64(i+2), newClaim(0, 0, i))
		}
		spent := time.Since(start)
		size := memory() - before
		runtime.KeepAlive(m)
		t.add(float64(n), size, microsPerOp(spent, n))
	}
	return t, nil
}
