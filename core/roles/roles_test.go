package roles_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roles"
)

var start = time.Unix(1000, 0)

// newEngines returns engines p1, p2, … that prefill and d1, d2, … that decode, spread
// evenly over three regions.
func newEngines(prefill, decode int) []roles.Engine {
	var out []roles.Engine
	add := func(prefix string, n int, role fleet.Role) {
		for i := range n {
			out = append(out, roles.Engine{
				Target: fleet.TargetName(fmt.Sprint(prefix, i+1)), Started: start, Region: fleet.Region(fmt.Sprint("r", i%3)), Role: role, Slots: 64,
			})
		}
	}
	add("p", prefill, fleet.Prefill)
	add("d", decode, fleet.Decode)
	return out
}

// Guards against roles that stay as they are while most prompts wait and decode engines
// are idle, and against changes whose gain is doubtful: each makes engines unavailable
// for seconds.
func TestPlan(t *testing.T) {
	for name, test := range map[string]struct {
		engines         []roles.Engine
		load            roles.Load
		prefill, decode int // changes to each role
	}{
		"no load":                                  {newEngines(4, 5), roles.Load{}, 0, 0},
		"few prompts":                              {newEngines(4, 5), roles.Load{Prefills: 2, Delayed: 2}, 0, 0},
		"prompts in time":                          {newEngines(4, 5), roles.Load{Prefills: 100, Delayed: 5, Streams: 40, Pace: 0.2}, 0, 0},
		"delayed, one decode per region stays":     {newEngines(4, 5), roles.Load{Prefills: 60, Delayed: 60, Streams: 40, Pace: 0.2}, 2, 0},
		"delayed, large pool":                      {newEngines(15, 28), roles.Load{Prefills: 50, Delayed: 50, Streams: 60, Pace: 0.27}, 15, 0},
		"delayed, decode is busy":                  {newEngines(4, 5), roles.Load{Prefills: 60, Delayed: 60, Streams: 200, Pace: 0.4}, 0, 0},
		"delayed, pauses are long":                 {newEngines(4, 5), roles.Load{Prefills: 60, Delayed: 60, Streams: 40, Pace: 1}, 0, 0},
		"decode is full":                           {newEngines(6, 3), roles.Load{Prefills: 100, Streams: 180, Pace: 0.4}, 0, 1},
		"decode is full, delayed too":              {newEngines(6, 3), roles.Load{Prefills: 100, Delayed: 10, Streams: 180, Pace: 0.4}, 0, 0},
		"delayed, links of decode engines busy":    {newEngines(20, 23), roles.Load{Prefills: 50, Delayed: 150, Streams: 60, Pace: 0.2, Transfers: 5}, 10, 0},
		"delayed, links busy if refused return":    {newEngines(20, 23), roles.Load{Prefills: 50, Delayed: 150, Refused: 50, Streams: 60, Pace: 0.2, Transfers: 4}, 3, 0},
		"imports refused, prompts delayed too":     {newEngines(36, 4), roles.Load{Prefills: 60, Delayed: 90, Streams: 20, Pace: 0.2, Imports: 100, RefusedImports: 90, Transfers: 4}, 0, 4},
		"imports refused for another reason":       {newEngines(20, 23), roles.Load{Prefills: 60, Streams: 20, Pace: 0.2, Imports: 100, RefusedImports: 40, Transfers: 4}, 0, 0},
		"links of decode engines full":             {newEngines(36, 4), roles.Load{Prefills: 100, Streams: 20, Pace: 0.2, Imports: 100, Transfers: 3}, 0, 4},
		"imports refused, pauses long, links idle": {newEngines(32, 11), roles.Load{Prefills: 291, Delayed: 340, Refused: 200, Streams: 375, Pace: 0.73, Imports: 459, RefusedImports: 60, Transfers: 2}, 0, 0},
		"no prefill engine":                        {newEngines(0, 5), roles.Load{Prefills: 60, Delayed: 60}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p roles.Planner
			p.Plan(start, test.engines, roles.Load{Prefills: 1}, 3*time.Second)
			is.Equal(len(p.Plan(start.Add(time.Second), test.engines, test.load, 3*time.Second)), 0) // caches are empty at first
			got := make(map[fleet.Role]int)
			for _, c := range p.Plan(start.Add(3*time.Second), test.engines, test.load, 3*time.Second) {
				got[c.Role]++
			}
			is.Equal(got[fleet.Prefill], test.prefill)
			is.Equal(got[fleet.Decode], test.decode)
		})
	}
}

// Guards against a second decision before the engines of the first have announced their
// roles, and against waiting for an engine that never does.
func TestPendingChanges(t *testing.T) {
	is := is.New(t)
	delayed := roles.Load{Prefills: 60, Delayed: 60, Streams: 40, Pace: 0.2}
	engines := newEngines(4, 5)
	var p roles.Planner
	p.Plan(start, engines, delayed, 3*time.Second)
	now := start.Add(3 * time.Second)
	changes := p.Plan(now, engines, delayed, 3*time.Second)
	is.Equal(len(changes), 2)
	is.Equal(len(p.Pending()), 2)
	now = now.Add(5 * time.Second)
	is.Equal(len(p.Plan(now, engines, delayed, 3*time.Second)), 0)
	p.Fail(changes[0])
	is.Equal(len(p.Pending()), 1)
	for i, e := range engines {
		if e.Target == changes[1].Target {
			engines[i].Role = fleet.Prefill
		}
	}
	now = now.Add(time.Second)
	is.Equal(len(p.Plan(now, engines, delayed, 3*time.Second)), 0) // the load shows no effect yet
	is.Equal(len(p.Pending()), 0)
	now = now.Add(4 * time.Second)
	is.Equal(len(p.Plan(now, engines, delayed, 3*time.Second)), 1)
	now = now.Add(20 * time.Second)
	p.Plan(now, engines, delayed, 3*time.Second) // gives up the change that nobody announced
	is.Equal(len(p.Pending()), 0)
}

// Guards against waiting for engines that ended while they changed their role: the others
// get no second decision until the deadline.
func TestChangesOfLostEngines(t *testing.T) {
	is := is.New(t)
	delayed := roles.Load{Prefills: 60, Delayed: 60, Streams: 40, Pace: 0.2}
	engines := newEngines(4, 8)
	var p roles.Planner
	p.Plan(start, engines, delayed, 3*time.Second)
	now := start.Add(3 * time.Second)
	changes := p.Plan(now, engines, delayed, 3*time.Second)
	is.Equal(len(changes), 4)
	engines = slices.DeleteFunc(engines, func(e roles.Engine) bool {
		return slices.ContainsFunc(changes, func(c roles.Change) bool { return c.Target == e.Target })
	})
	now = now.Add(time.Second)
	p.Plan(now, engines, delayed, 3*time.Second)
	is.Equal(len(p.Pending()), 0)
	is.Equal(len(p.Plan(now.Add(4*time.Second), engines, delayed, 3*time.Second)), 1)
}

func ExampleMeter() {
	var m roles.Meter[string]
	m.Add(start, "gateway-1", roles.Counters{Prefills: 100, Delayed: 10, Streams: 4})
	m.Add(start.Add(time.Second), "gateway-1", roles.Counters{Prefills: 130, Delayed: 16, Streams: 6, Paced: 10, PaceSum: 2500})
	m.Add(start.Add(time.Second), "gateway-2", roles.Counters{Prefills: 900, Streams: 1})
	fmt.Printf("%+v\n", m.Load(start.Add(time.Second)))
	// Output: {Prefills:30 Delayed:6 Refused:0 Streams:6 Pace:0.25 Imports:0 RefusedImports:0 Transfers:0 PrefillBusy:0 Paces:map[]}
}
