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

const changeTime = 3 * time.Second

// workLoad is a load of a pool that is placed by work. The engines d1 to the given number
// are unsteady.
func workLoad(busy, streams float64, unsteady int) roles.Load {
	l := roles.Load{Prefills: 10 * busy, Streams: streams, PrefillBusy: busy, Paces: make(map[fleet.TargetName]roles.Pace)}
	for i := range 40 {
		p := roles.Pace{Mean: 31 * time.Millisecond}
		if i < unsteady {
			p = roles.Pace{Mean: 75 * time.Millisecond, Unsteady: true}
		}
		l.Paces[fleet.TargetName(fmt.Sprint("d", i+1))] = p
	}
	return l
}

// fleetOfEngines applies the changes of a planner.
type fleetOfEngines struct {
	planner roles.Planner
	engines []roles.Engine
	now     time.Time
	ordered []roles.Change
}

// plan plans once with a load, and lets the engines take the roles that were ordered.
func (f *fleetOfEngines) plan(after time.Duration, load roles.Load) []roles.Change {
	f.now = f.now.Add(after)
	changes := slices.Clone(f.planner.Plan(f.now, f.engines, load, changeTime))
	for _, c := range changes {
		i := slices.IndexFunc(f.engines, func(e roles.Engine) bool { return e.Target == c.Target })
		f.engines[i].Role = c.Role
	}
	f.ordered = append(f.ordered, changes...)
	return changes
}

func newFleet(prefill, decode int) *fleetOfEngines {
	return &fleetOfEngines{engines: newEngines(prefill, decode), now: start}
}

// Guards against orders to steady engines, to more than the reserve allows, to the last of a
// role or region, or without prompts that need them, and against orders on figures that are
// missing.
func TestPlanByWork(t *testing.T) {
	withoutSlots := newEngines(4, 26)
	for i := range withoutSlots {
		withoutSlots[i].Slots = 0
	}
	alone := newEngines(2, 8) // d1 is alone in its region
	for i := range alone {
		alone[i].Region = "r1"
		if alone[i].Target == "d1" {
			alone[i].Region = "r0"
		}
	}
	full := workLoad(3, 0.9*64*26, 0)
	for name, test := range map[string]struct {
		engines         []roles.Engine
		load            roles.Load
		prefill, decode int // changes to each role
	}{
		"no load":                           {newEngines(4, 26), workLoad(0, 0, 20), 0, 0},
		"all steady":                        {newEngines(4, 26), workLoad(3, 100, 0), 0, 0},
		"unsteady, half of all stay":        {newEngines(4, 26), workLoad(3, 100, 20), 11, 0},
		"unsteady, fewer than the spare":    {newEngines(4, 26), workLoad(3, 100, 7), 7, 0},
		"unsteady, too few for a change":    {newEngines(4, 26), workLoad(3, 100, 1), 0, 0},
		"unsteady, streams need them":       {newEngines(4, 26), workLoad(3, 640, 20), 0, 0},
		"unsteady, streams need some":       {newEngines(4, 26), workLoad(3, 512, 20), 6, 0},
		"unsteady, links need them":         {newEngines(4, 26), withTransfers(workLoad(3, 100, 20), 8), 0, 0},
		"unsteady, prefill engines idle":    {newEngines(10, 26), workLoad(1, 100, 20), 0, 0},
		"streams fill the slots":            {newEngines(4, 26), full, 0, 1},
		"streams fill them, one per region": {newEngines(3, 26), full, 0, 0},
		"last of each region stays":         {newEngines(3, 3), workLoad(3, 1, 3), 0, 0},
		"unsteady one is alone in region":   {alone, workLoad(2, 1, 1), 0, 0},
		"no prefill engine":                 {newEngines(0, 26), workLoad(3, 100, 20), 0, 0},
		"no decode engine":                  {newEngines(4, 0), workLoad(3, 100, 20), 0, 0},
		"slots unknown":                     {withoutSlots, workLoad(3, 100, 20), 0, 0},
		"huge figures":                      {newEngines(4, 26), workLoad(1e300, 1e300, 20), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p roles.Planner
			p.Plan(start, test.engines, roles.Load{Prefills: 1, Paces: test.load.Paces}, changeTime)
			got := make(map[fleet.Role]int)
			for _, c := range p.Plan(start.Add(3*time.Second), test.engines, test.load, changeTime) {
				got[c.Role]++
				is.True(c.Role == fleet.Decode || test.load.Paces[c.Target].Unsteady)
			}
			is.Equal(got[fleet.Prefill], test.prefill)
			is.Equal(got[fleet.Decode], test.decode)
		})
	}
}

func withTransfers(l roles.Load, n float64) roles.Load {
	l.Transfers = n
	return l
}

// Guards against engines that are ordered back and forth, each time unavailable for seconds,
// while the load alternates between prompts and streams faster than a role change pays.
func TestAlternatingLoadByWork(t *testing.T) {
	for name, half := range map[string]time.Duration{"3 s": 3 * time.Second, "14 s": 14 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, 26)
			const step = 500 * time.Millisecond
			for at := time.Duration(0); at < 3*time.Minute; at += step {
				load := workLoad(4, 20, 20)
				if (at/half)%2 == 1 {
					load = workLoad(0.1, 400, 20)
				}
				f.plan(step, load)
			}
			changed := make(map[fleet.TargetName]int)
			for _, c := range f.ordered {
				is.Equal(c.Role, fleet.Prefill)
				changed[c.Target]++
			}
			t.Log(len(changed))
			for _, n := range changed {
				is.Equal(n, 1)
			}
			is.True(len(changed) >= 3) // the gain of a change
			decoding := 0
			for _, e := range f.engines {
				if e.Role == fleet.Decode {
					decoding++
				}
			}
			is.True(decoding >= 15)
		})
	}
}

// Guards against engines that prefill for good although streams have come to fill the slots
// of the others, and against sending them to prefill again at once.
func TestEnginesReturnByWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 26)
	for range 10 {
		f.plan(time.Second, workLoad(4, 100, 20))
	}
	left := len(f.ordered)
	is.Equal(left, 11)
	for range 60 {
		f.plan(time.Second, workLoad(0.5, 0.95*64*15, 20))
	}
	is.True(len(f.ordered) > left)
	for _, c := range f.ordered[left:] {
		is.Equal(c.Role, fleet.Decode)
	}
	returned := len(f.ordered)
	for range 20 {
		f.plan(time.Second, workLoad(4, 0.95*64*15, 20))
	}
	for _, c := range f.ordered[returned:] {
		is.Equal(c.Role, fleet.Decode)
	}
}

// Guards against planning by a peak of a pool whose gateways have stopped placing by work.
func TestPoolLeavesPlacementByWork(t *testing.T) {
	is := is.New(t)
	var p roles.Planner
	engines := newEngines(4, 5)
	p.Plan(start, engines, workLoad(1, 10, 0), changeTime)
	delayed := roles.Load{Prefills: 60, Delayed: 60, Streams: 40, Pace: 0.2}
	is.Equal(len(p.Plan(start.Add(5*time.Second), engines, delayed, changeTime)), 2) // as in TestPlan
}

// Guards against orders on the word of one gateway, of gateways that have ended, or of
// gateways that do not place by work.
func TestMeterOfPaces(t *testing.T) {
	unsteady := map[fleet.TargetName]roles.Pace{"d1": {Mean: 90 * time.Millisecond, Unsteady: true}}
	steady := map[fleet.TargetName]roles.Pace{"d1": {Mean: 30 * time.Millisecond}}
	type report struct {
		at       time.Duration
		gateway  string
		counters roles.Counters
	}
	counters := func(tokens uint64, speed float64, paces map[fleet.TargetName]roles.Pace) roles.Counters {
		return roles.Counters{PromptTokens: tokens, PrefillSpeed: speed, Paces: paces}
	}
	for name, test := range map[string]struct {
		reports  []report
		busy     float64
		known    bool // paces
		unsteady bool
	}{
		"none":        {nil, 0, false, false},
		"one report":  {[]report{{0, "a", counters(1000, 100, unsteady)}}, 0, true, true},
		"two reports": {[]report{{0, "a", counters(1000, 100, unsteady)}, {time.Second, "a", counters(1300, 100, unsteady)}}, 3, true, true},
		"two gateways": {[]report{
			{0, "a", counters(1000, 100, unsteady)}, {time.Second, "a", counters(1300, 100, unsteady)},
			{0, "b", counters(0, 300, unsteady)}, {time.Second, "b", counters(100, 300, unsteady)},
		}, 2, true, true},
		"gateways disagree":        {[]report{{0, "a", counters(0, 100, unsteady)}, {0, "b", counters(0, 100, steady)}}, 0, true, false},
		"most say so":              {[]report{{0, "a", counters(0, 100, unsteady)}, {0, "b", counters(0, 100, steady)}, {0, "c", counters(0, 100, unsteady)}}, 0, true, true},
		"stale":                    {[]report{{-4 * time.Second, "a", counters(0, 100, unsteady)}, {0, "b", counters(0, 100, steady)}}, 0, true, false},
		"all stale":                {[]report{{-4 * time.Second, "a", counters(0, 100, unsteady)}}, 0, false, false},
		"one has no pace":          {[]report{{0, "a", counters(0, 100, unsteady)}, {0, "b", counters(0, 100, nil)}}, 0, true, true},
		"not placed by work":       {[]report{{0, "a", counters(0, 0, unsteady)}, {time.Second, "a", counters(300, 0, unsteady)}}, 0, false, false},
		"no longer unsteady":       {[]report{{0, "a", counters(0, 100, unsteady)}, {time.Second, "a", counters(0, 100, steady)}}, 0, true, false},
		"no longer placed by work": {[]report{{0, "a", counters(0, 100, unsteady)}, {time.Second, "a", counters(100, 0, nil)}}, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m roles.Meter[string]
			for _, r := range test.reports {
				m.Add(start.Add(r.at), r.gateway, r.counters)
			}
			load := m.Load(start.Add(time.Second))
			is.Equal(load.PrefillBusy, test.busy)
			is.Equal(load.Paces != nil, test.known)
			is.Equal(load.Paces["d1"].Unsteady, test.unsteady)
		})
	}
}
