package route_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/fleet"
	"papayarock/core/route"
)

// newFleet returns n engines in five pools, eleven data centres and four regions.
// One engine in four is a prefill engine.
func newFleet(n int) []fleet.Target {
	out := make([]fleet.Target, n)
	for i := range out {
		role, dc := fleet.Decode, i%11
		if i/55%4 == 0 {
			role = fleet.Prefill
		}
		out[i] = fleet.Target{
			Name: fleet.TargetName(fmt.Sprintf("target-%d", i)), Pool: fmt.Sprintf("model-%d", i/11%5), Kind: fleet.Engine,
			Role: role, Phase: fleet.Ready, DataCentre: fleet.DataCentre(fmt.Sprint(dc)), Region: fleet.Region(fmt.Sprint(dc / 3)),
		}
	}
	return out
}

func nodeAt(i, dcs int) route.Node {
	dc := i % dcs
	return route.Node{
		Host: fleet.Host(fmt.Sprintf("entry-%d", i)), DataCentre: fleet.DataCentre(fmt.Sprint(dc)), Region: fleet.Region(fmt.Sprint(dc / 3)),
	}
}

func selected(s route.Subset, targets []fleet.Target) map[fleet.TargetName]bool {
	out := make(map[fleet.TargetName]bool)
	for _, t := range targets {
		if t.Phase == fleet.Ready && s.Contains(t.Name) {
			out[t.Name] = true
		}
	}
	return out
}

// Guards against targets that are in very few or in nearly all subsets, against a
// subset that grows with the fleet, and against targets that are in no subset
// because their data centre has no entries.
func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	for name, dcs := range map[string]int{"entries everywhere": 11, "two data centres without entries": 9} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			targets, covered := newFleet(1100), make(map[fleet.TargetName]int)
			for i := range 405 {
				got := selected(route.SelectSubset(nodeAt(i, dcs), targets, route.SubsetSize), targets)
				is.Equal(len(got), route.SubsetSize)
				for n := range got {
					covered[n]++
				}
			}
			// Targets of one data centre, pool and role have the same probability.
			least, sums, counts, most := math.MaxInt, map[string]int{}, map[string]int{}, map[string]int{}
			for _, x := range targets {
				n, k := covered[x.Name], fmt.Sprint(x.DataCentre, x.Pool, x.Role)
				least, most[k] = min(least, n), max(most[k], n)
				sums[k], counts[k] = sums[k]+n, counts[k]+1
			}
			is.True(least > 0)
			for k, n := range most {
				mean := float64(sums[k]) / float64(counts[k])
				if float64(n) > mean+5*math.Sqrt(mean) { // bound for unbiased selection
					t.Errorf("%s: one target is in %d subsets, the mean is %.1f", k, n, mean)
				}
			}
		})
	}
}

// Guards against a subset that changes almost completely when one target is added
// or removed, and against a subset that depends on the order of the targets.
func TestSubsetStability(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := newFleet(rapid.IntRange(81, 600).Draw(rt, "targets"))
		self := nodeAt(rapid.IntRange(0, 404).Draw(rt, "entry"), 11)
		before := selected(route.SelectSubset(self, targets, route.SubsetSize), targets)
		targets[rapid.IntRange(0, len(targets)-1).Draw(rt, "lost")].Phase = fleet.Lost
		targets = append(targets[1:], targets[0])
		after := selected(route.SelectSubset(self, targets, route.SubsetSize), targets)
		added := 0
		for n := range after {
			if !before[n] {
				added++
			}
		}
		// One target replaces the lost one. If the share of its pool and role
		// shrinks, the shares of others among the ten grow and add one target each.
		// A share whose near part changes in size can add one, too.
		if added > 4 {
			rt.Fatalf("%d of %d targets are new after the loss of one", added, len(after))
		}
	})
}

// Guards against a subset that leaves out targets of a small fleet, and against
// far targets that are preferred to near ones.
func TestSubsetPrefersNearTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(route.SelectSubset(nodeAt(0, 11), newFleet(80), route.SubsetSize).Len(), 0)
	targets, near := newFleet(1100), 0
	for n := range selected(route.SelectSubset(nodeAt(0, 11), targets, route.SubsetSize), targets) {
		for _, x := range targets {
			if x.Name == n && x.DataCentre == "0" {
				near++
			}
		}
	}
	is.True(near >= route.SubsetSize*5/8) // each prefill pool has 5 near targets and a share of 8
}

// Guards against using targets outside the subset while a target in it can meet
// the deadline, and against requests that wait although a target outside the
// subset is known to be idle.
func TestPickOutsideSubset(t *testing.T) {
	tests := map[string]struct {
		busy    bool            // the targets in the subset are overloaded
		summary []route.Summary // of data centre dc1
		now     time.Time       // when Pick is called
		tried   bool            // all targets in the subset were tried
		outside bool            // a target outside the subset is chosen
	}{
		"the subset meets the deadline": {summary: []route.Summary{{ComputedAt: start}}, now: start},
		"the other data centre is idle": {busy: true, summary: []route.Summary{{ComputedAt: start, MeanBacklog: 0.01}}, now: start, outside: true},
		"the other data centre is busy": {busy: true, summary: []route.Summary{{ComputedAt: start, MeanBacklog: 99}}, now: start},
		"the summary has expired":       {busy: true, summary: []route.Summary{{ComputedAt: start}}, now: start.Add(5 * time.Second)},
		"no summary was received":       {busy: true, now: start},
		"an older summary arrives late": {
			busy: true, now: start,
			summary: []route.Summary{{ComputedAt: start, MeanBacklog: 99}, {ComputedAt: start.Add(-time.Second)}},
		},
		"no other target is left": {now: start, tried: true, outside: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, targets := newRouter(), engines(40, 2) // dc0 and dc1 in one region
			subset := route.SelectSubset(route.Node{Host: "e", DataCentre: "dc0", Region: "r0"}, targets, 8)
			r.Step(start, route.Configure{Targets: targets, Subset: subset})
			q := request(500, 330*time.Millisecond)
			q.FirstTokenBy = tt.now.Add(330 * time.Millisecond)
			for n := range selected(subset, targets) {
				if tt.busy {
					r.Step(start, route.Load{Target: n, MeasuredAt: tt.now, PrefillTokens: 80000})
				}
				if tt.tried {
					q.TriedTargets = append(q.TriedTargets, n)
				}
			}
			for _, s := range tt.summary {
				s.Pool, s.DataCentre = "m", "dc1"
				r.Step(start, s)
			}
			c, err := r.Pick(tt.now, q)
			is.NoErr(err)
			is.Equal(!subset.Contains(c.Target), tt.outside)
		})
	}
}
