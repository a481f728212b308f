package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/fleet"
	"papayarock/core/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRouter() *route.Router {
	return route.New(route.Options{DataCentre: "dc0", Region: "r0", Random: rand.New(rand.NewPCG(1, 2))})
}

// engines returns n mixed engines. Engine i is in data centre i mod dcs; each
// region has two data centres.
func engines(n, dcs int) []fleet.Target {
	ts := make([]fleet.Target, n)
	for i := range ts {
		ts[i] = fleet.Target{
			Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Pool: "m", Kind: fleet.Engine, Phase: fleet.Ready, Slots: 16,
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%dcs)),
			Region:     fleet.Region(fmt.Sprintf("r%d", i%dcs/2)),
		}
	}
	return ts
}

func request(prompt float64, promise time.Duration) route.Request {
	return route.Request{Pool: "m", PromptTokens: prompt, OutputTokens: 100, FirstTokenBy: start.Add(promise)}
}

// Guards against traffic leaving a data centre that can meet the deadline, and
// against traffic staying when only another region can meet it.
func TestLocality(t *testing.T) {
	for name, c := range map[string]struct {
		busy []string // overloaded targets
		want fleet.TargetName
	}{
		"own data centre": {nil, "t0"},
		"own region":      {[]string{"t0"}, "t1"},
		"other region":    {[]string{"t0", "t1"}, "t2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter()
			r.Step(start, route.Configure{Targets: engines(3, 3)})
			for _, b := range c.busy {
				r.Step(start, route.Load{Target: fleet.TargetName(b), MeasuredAt: start, PrefillTokens: 80000})
			}
			choice, err := r.Pick(start, request(500, 330*time.Millisecond))
			is.NoErr(err)
			is.Equal(choice.Target, c.want)
			r.Step(start, route.Outcome{Choice: choice, Customer: "a", Bytes: 10})
			is.Equal(r.CrossRegionBytes["a"] == 10, c.want == "t2")
		})
	}
}

// Guards against traffic to a data centre whose summary, the only information
// about it, shows that it is overloaded.
func TestOverloadedSummary(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.Step(start, route.Configure{Targets: engines(5, 5)})
	r.Step(start, route.Load{Target: "t0", MeasuredAt: start, PrefillTokens: 80000})
	for _, d := range []fleet.DataCentre{"dc1", "dc2", "dc4"} {
		r.Step(start, route.Summary{Pool: "m", DataCentre: d, ComputedAt: start, MeanBacklog: 10})
	}
	c, err := r.Pick(start, request(500, 330*time.Millisecond))
	is.NoErr(err)
	is.Equal(c.Target, fleet.TargetName("t3"))
}

// Guards against processing a prompt in a data centre that cannot decode it,
// which would require a KV cache transfer to another one, and against decoding
// far from the engine that processed the prompt.
func TestDecodeStaysNearPrompt(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	ts := engines(4, 2) // dc0: t0, t2; dc1: t1, t3
	ts[0].Role, ts[2].Role, ts[1].Role, ts[3].Role = fleet.Prefill, fleet.Prefill, fleet.Prefill, fleet.Decode
	r.Step(start, route.Configure{Targets: ts})
	q := request(500, time.Hour)
	c, err := r.Pick(start, q)
	is.NoErr(err)
	is.Equal(c.Target, fleet.TargetName("t1"))
	ts[2].Role = fleet.Decode
	r.Step(start, route.Configure{Targets: ts})
	c, err = r.Pick(start, q)
	is.NoErr(err)
	is.Equal(c.Target, fleet.TargetName("t0"))
	is.True(c.PrefillOnly)
	q.Stage, q.PrefillDataCentre = route.Decode, "dc1"
	c, err = r.Pick(start, q)
	is.NoErr(err)
	is.Equal(c.Target, fleet.TargetName("t3"))
}

// Guards against a target that fails fast and, since it looks idle, attracts
// traffic, and against concurrent probes of an ejected target.
func TestFailingTarget(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.Step(start, route.Configure{Targets: engines(4, 1)})
	failed := 0
	probes := 0
	var inFlight []route.Choice
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c, err := r.Pick(now, request(500, time.Hour))
		is.NoErr(err)
		if c.Target != "t0" {
			inFlight = append(inFlight, c)
			if len(inFlight) > 8 {
				r.Step(now, route.FirstToken{Choice: inFlight[0], Elapsed: inFlight[0].Expected})
				r.Step(now, route.Outcome{Choice: inFlight[0], FirstTokenSeen: true})
				inFlight = inFlight[1:]
			}
			continue
		}
		failed++
		if c.Probe {
			probes++
		}
		r.Step(now, route.Outcome{Choice: c, Result: route.Failed})
	}
	is.True(failed-probes <= 3) // until it is ejected
	is.True(probes <= 6)        // in 30 s, with exponential backoff
}

// Guards against full traffic to a target immediately after its recovery.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.Step(start, route.Configure{Targets: engines(4, 1)})
	for range 3 {
		q := request(500, time.Hour)
		q.TriedTargets = []fleet.TargetName{"t1", "t2", "t3"}
		c, err := r.Pick(start, q)
		is.NoErr(err)
		r.Step(start, route.Outcome{Choice: c, Result: route.Failed})
	}
	now := start.Add(2 * time.Second)
	probe, err := r.Pick(now, request(500, time.Hour))
	is.NoErr(err)
	is.Equal(probe.Target, fleet.TargetName("t0")) // a due probe has priority
	is.True(probe.Probe)
	other, err := r.Pick(now, request(500, time.Hour))
	is.NoErr(err)
	is.True(other.Target != "t0") // one probe at a time
	r.Step(now, route.Outcome{Choice: probe})
	r.Step(now, route.Outcome{Choice: other})
	counts := map[fleet.TargetName]int{}
	for range 100 {
		c, err := r.Pick(now, request(500, time.Hour))
		is.NoErr(err)
		counts[c.Target]++
	}
	is.True(counts["t0"]*3 < counts["t1"]) // it starts with a tenth of its usual share
}

// Guards against ignoring a cached prefix, against a popular prefix that overloads
// the target that has it cached, and against lost cache events that cause no
// resync.
func TestCachedPrefix(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.Step(start, route.Configure{Targets: engines(40, 1)})
	is.Equal(len(r.Step(start, route.CacheUpdate{Target: "t7", Sequence: 1, Stored: []uint64{11, 12}})), 0)
	q := request(600, time.Hour)
	q.PrefixHashes = []uint64{11, 12, 13}
	c, err := r.Pick(start, q)
	is.NoErr(err)
	is.Equal(c.Target, fleet.TargetName("t7"))
	seen := map[fleet.TargetName]bool{}
	for range 40 {
		c, err := r.Pick(start, q)
		is.NoErr(err)
		seen[c.Target] = true
	}
	is.True(len(seen) > 3)

	is.Equal(r.Step(start, route.CacheUpdate{Target: "t7", Sequence: 5}), []route.Resync{{Target: "t7"}})
	is.Equal(len(r.Step(start, route.CacheUpdate{Target: "t7", Sequence: 7})), 0) // requested once
	r.Step(start, route.CacheUpdate{Target: "t7", Sequence: 9, Full: true, Stored: []uint64{99}})
	q.PrefixHashes = []uint64{99}
	is.Equal(len(r.Step(start, route.CacheUpdate{Target: "t7", Sequence: 10})), 0)
}

// Guards against work that is never removed from the sums or removed twice. After
// all attempts have ended and both targets have reported empty queues, the next two
// requests must go to different targets.
func TestWorkAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter()
		r.Step(start, route.Configure{Targets: engines(2, 1)})
		now := start
		var inFlight []route.Choice
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				c, err := r.Pick(now, request(500, time.Hour))
				if err != nil {
					t.Fatal(err)
				}
				inFlight = append(inFlight, c)
			case 1:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "open")
					r.Step(now, route.Outcome{Choice: inFlight[i]})
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			case 2:
				r.Step(now, route.Load{Target: "t0", MeasuredAt: now.Add(-time.Millisecond), PrefillTokens: 100})
			}
		}
		for _, c := range inFlight {
			r.Step(now, route.Outcome{Choice: c})
		}
		now = now.Add(time.Second)
		for _, n := range []fleet.TargetName{"t0", "t1"} {
			r.Step(now, route.Load{Target: n, MeasuredAt: now})
		}
		a, err := r.Pick(now, request(500, time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		b, err := r.Pick(now, request(500, time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		if a.Target == b.Target {
			t.Fatalf("both requests go to %s", a.Target)
		}
	})
}

// Measures allocations and time of Pick, which must grow at most logarithmically
// with the number of targets.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("targets-%d", n), func(b *testing.B) {
			r := newRouter()
			r.Step(start, route.Configure{Targets: engines(n, min(11, (n+9)/10))})
			q := request(500, time.Hour)
			q.PrefixHashes = []uint64{1, 2, 3, 4}
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c, err := r.Pick(now, q)
				if err != nil {
					b.Fatal(err)
				}
				r.Step(now, route.Outcome{Choice: c})
			}
		})
	}
}

// Guards against allocations in Pick.
func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	r.Step(start, route.Configure{Targets: engines(1100, 11)})
	q := request(500, time.Hour)
	q.PrefixHashes = []uint64{1, 2, 3, 4}
	n := testing.AllocsPerRun(1000, func() {
		if _, err := r.Pick(start, q); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(n, 0.0)
}
