package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/roster"
)

// Guards against placement by work, or any other change, in pools whose KV cache holds a
// batch of average prompts.
func TestLargeCacheIsNotPlacedByWork(t *testing.T) {
	is := is.New(t)
	with := newWorkReplay(*replaySeed, largeCache, 8, 6, 20).run(*replaySeed, 20*time.Second)
	without := newWorkReplay(*replaySeed, place.Batch{}, 8, 6, 20).run(*replaySeed, 20*time.Second)
	is.True(!with.everWork)
	is.Equal(with.decisions, without.decisions)
	for _, p := range with.placers {
		is.Equal(p.PoolsByWork(), 0)
		c := p.Counters(with.now)["language"]
		is.True(c.Prefills > 0)
		is.Equal(c.PromptTokens, uint64(0))
		is.Equal(c.PrefillSpeed, 0.0)
		is.Equal(len(c.Paces), 0)
	}
}

// Replays streams and imports of KV caches over engines of two speeds, with and without
// placement by work. The bound is that of docs/serving-under-shortage.md, part 4: the largest
// tenth of requests is served at least half as often as all. Run with -v for the figures.
//
// Guards against long responses at engines that can't complete them in time or without long
// gaps while fast engines serve short ones.
func TestReplayByWork(t *testing.T) {
	is := is.New(t)
	before := newWorkReplay(*replaySeed, place.Batch{}, 8, 6, 20).run(*replaySeed, workLength)
	after := newWorkReplay(*replaySeed, fullBatch, 8, 6, 20).run(*replaySeed, workLength)
	is.True(!before.everWork)
	is.True(after.everWork)
	for i, limit := range lengthClasses {
		t.Logf("seed %d, up to %d events: before %+v, after %+v", *replaySeed, limit, before.byLength()[i], after.byLength()[i])
	}
	largestBefore, allBefore := before.largest()
	largest, all := after.largest()
	t.Logf("largest tenth: before %+v, after %+v", largestBefore, largest)
	t.Logf("all: before %+v, after %+v", allBefore, all)
	is.True(largest.share() >= 0.5*all.share())
	is.True(largest.share() > largestBefore.share())
	is.True(all.share() >= allBefore.share())
	is.True(largest.cut <= largestBefore.cut)
	is.True(largest.longGap <= largestBefore.longGap)
}

// longStreams returns how many long streams that arrived in a span an engine has served.
func (s *workReplay) longStreams(engine fleet.TargetName, from, to time.Duration) int {
	n := 0
	for _, r := range s.requests {
		at := r.at.Sub(start)
		if !r.imports && r.events > 20 && r.engine == engine && at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against long streams at an engine that has become slow, and against an engine that
// is avoided for good after it has recovered.
func TestEngineTurnsSlow(t *testing.T) {
	is := is.New(t)
	s := newWorkReplay(*replaySeed, fullBatch, 8, 6, 20)
	const engine = "d0"
	const slow, recovered, end = 30 * time.Second, 60 * time.Second, 120 * time.Second
	s.schedule(start.Add(slow), func() { s.engines[engine].pace = 4 * slowPace })
	s.schedule(start.Add(recovered), func() { s.engines[engine].pace = fastPace })
	s.run(*replaySeed, end)
	perSecond := func(from, to time.Duration) float64 {
		return float64(s.longStreams(engine, from, to)) / (to - from).Seconds()
	}
	usual := perSecond(10*time.Second, slow)
	whileSlow := perSecond(slow+2*time.Second, recovered)
	later := perSecond(recovered+20*time.Second, end)
	t.Logf("seed %d: long streams a second: %.2f usually, %.2f while slow, %.2f later", *replaySeed, usual, whileSlow, later)
	is.True(usual > 0)
	is.True(whileSlow <= usual/4)
	is.True(later >= usual/2)
}

// workPlacer returns a placer that places by work, with the given engines.
func workPlacer(t *testing.T, records ...roster.Record) *place.Placer {
	t.Helper()
	p := newPlacer(records...)
	for _, r := range records {
		if r.Role != fleet.Prefill {
			continue
		}
		for range 8 {
			p.RecordFirstEvent(start, r, place.FirstEvent{Took: 10 * time.Millisecond, Objective: workObjective, Prompt: place.Prompt{Tokens: 800, Unique: 800}})
		}
	}
	for id := range uint64(20) {
		d := p.Offer(start, id+1, workStream("", 1))
		if d.Action == place.Send {
			p.Finish(start, d.Choice.Target, place.End{Outcome: place.Served, Uncached: d.Choice.Uncached})
		} else {
			p.Withdraw(start, id+1, "language")
		}
	}
	if !p.PlacesByWork("language") {
		t.Fatal("the pool is not placed by work")
	}
	return p
}

func workStream(affinity string, events float64) place.Request {
	return place.Request{
		Pool: "language", Objective: workObjective, MaxPause: workMaxPause, Batch: fullBatch, Events: events, Affinity: affinity,
		Prompt: place.Prompt{Tokens: 3000, Unique: 200}, Start: start, Deadline: start.Add(callerWait),
	}
}

func gapsOf(gap time.Duration) []time.Duration {
	out := make([]time.Duration, 20)
	for i := range out {
		out[i] = gap
	}
	return out
}

// Guards against long streams at a slow engine, against requests to an engine that is lost,
// and against a new run that is avoided for the pace of the last one.
func TestLostEngineByWork(t *testing.T) {
	is := is.New(t)
	prefill, slow, fast := newRecord("p", fleet.Prefill, "kt"), newRecord("slow", fleet.Decode, "kt"), newRecord("fast", fleet.Decode, "kt")
	p := workPlacer(t, prefill, slow, fast)
	p.RecordGaps(start, slow, gapsOf(150*time.Millisecond))
	p.RecordGaps(start, fast, gapsOf(30*time.Millisecond))
	choose := func(events float64) fleet.TargetName {
		d := p.Offer(start, 100, workStream("s", events))
		is.Equal(d.Action, place.Send)
		p.Finish(start, d.Choice.Target, place.End{Outcome: place.Served, Uncached: d.Choice.Uncached})
		return d.Choice.Target.Target
	}
	is.Equal(choose(80), fleet.TargetName("fast"))
	paces := p.Counters(start)["language"].Paces
	is.True(paces["slow"].Unsteady)
	is.True(!paces["fast"].Unsteady)
	is.Equal(len(p.Counters(start.Add(time.Minute))["language"].Paces), 0) // nothing is known any more

	lost := fast
	lost.Condition = roster.Left
	p.Update(start, []roster.Record{lost})
	is.Equal(choose(80), fleet.TargetName("slow")) // no engine is fast enough
	p.RecordGaps(start, fast, gapsOf(time.Millisecond))
	p.Finish(start, fast, place.End{Outcome: place.Failed})

	again := fast
	again.Started = start.Add(time.Second)
	p.Update(start, []roster.Record{again})
	is.Equal(choose(80), fleet.TargetName("fast")) // nothing is known of it
}

// Guards against requests that are refused, or all sent to one engine, because nothing is
// known of the engines, of the length of responses, or of the objectives.
func TestPlacementWithoutSamples(t *testing.T) {
	prefill, a, b := newRecord("p", fleet.Prefill, "kt"), newRecord("a", fleet.Decode, "kt"), newRecord("b", fleet.Decode, "kt")
	noRoleA, noRoleB := newRecord("a", fleet.Mixed, "kt"), newRecord("b", fleet.Mixed, "kt")
	for name, test := range map[string]struct {
		p       *place.Placer
		request place.Request
	}{
		"new gateway":            {newPlacer(prefill, a, b), workStream("", 0)},
		"no gaps":                {workPlacer(t, prefill, a, b), workStream("", 80)},
		"no length":              {workPlacer(t, prefill, a, b), workStream("", 0)},
		"engines without a role": {workPlacer(t, prefill, noRoleA, noRoleB), workStream("", 80)},
		"no objectives":          {workPlacer(t, prefill, a, b), place.Request{Pool: "language", Events: 80, Deadline: start.Add(time.Second)}},
		"no deadline":            {workPlacer(t, prefill, a, b), place.Request{Pool: "language", Events: 1e300}},
		"deadline has passed":    {workPlacer(t, prefill, a, b), place.Request{Pool: "language", Events: 80, Deadline: start.Add(-time.Hour)}},
		"no size and no engine":  {workPlacer(t, prefill, a, b), place.Request{Pool: "language", Deadline: start.Add(time.Second)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 2 { // at first without a pace, then with one
				got := make(map[fleet.TargetName]int)
				for id := range uint64(2) {
					d := test.p.Offer(start, 1000+id, test.request)
					is.Equal(d.Action, place.Send)
					got[d.Choice.Target.Target]++
				}
				is.Equal(got, map[fleet.TargetName]int{"a": 1, "b": 1})
				for _, r := range []roster.Record{a, b} {
					test.p.Finish(start, r, place.End{Outcome: place.Served})
					test.p.RecordGaps(start, r, gapsOf(50*time.Millisecond))
				}
			}
		})
	}
}

// promptPlay sends prompts one after the other to three slow prefill engines, p0 to p2, three
// fast ones, and a decode engine.
type promptPlay struct {
	placer  *place.Placer
	records []roster.Record
	now     time.Time
	id      uint64
}

func newPromptPlay(t *testing.T) *promptPlay {
	t.Helper()
	list := []roster.Record{newRecord("d", fleet.Decode, "kt")}
	for i := range 6 {
		list = append(list, newRecord(fmt.Sprint("p", i), fleet.Prefill, "kt"))
	}
	return &promptPlay{placer: workPlacer(t, list...), records: list, now: start, id: 1000}
}

// send sends n prompts and returns how many each engine has processed.
func (x *promptPlay) send(t *testing.T, n int, prompt place.Prompt) map[fleet.TargetName]int {
	t.Helper()
	got := make(map[fleet.TargetName]int)
	for range n {
		x.id++
		x.now = x.now.Add(20 * time.Millisecond)
		q := workStream(fmt.Sprint("s", x.id), 2)
		q.Split, q.Prompt, q.Start, q.Deadline = true, prompt, x.now, x.now.Add(callerWait)
		d := x.placer.Offer(x.now, x.id, q)
		if d.Action != place.Send {
			t.Fatalf("prompt %d: %+v", x.id, d)
		}
		target := d.Choice.Target
		got[target.Target]++
		speed := 1.2
		switch {
		case target.Role == fleet.Decode:
			speed = decodeSpeedShare
		case target.Target < "p3":
			speed = 0.55
		}
		took := time.Duration(float64(d.Choice.Uncached) / workTokensPerMS / speed * float64(time.Millisecond))
		x.placer.RecordFirstEvent(x.now, target, place.FirstEvent{
			Took: took, Objective: workObjective, Prompt: q.Prompt, Uncached: d.Choice.Uncached, Affinity: q.Affinity, MaxPause: workMaxPause, Expected: d.Choice.Expected,
		})
		x.placer.Finish(x.now, target, place.End{Outcome: place.Served, Answered: true, Uncached: d.Choice.Uncached})
		for j := range x.records {
			x.records[j].Heard = x.now
		}
		x.placer.Update(x.now, x.records)
	}
	t.Log(got)
	return got
}

// slowAndFast returns the numbers of prompts of slow and of fast prefill engines.
func slowAndFast(got map[fleet.TargetName]int) (slow, fast float64) {
	return float64(got["p0"] + got["p1"] + got["p2"]), float64(got["p3"] + got["p4"] + got["p5"])
}

// Guards against prompts that queue at slow prefill engines while fast ones are idle, and
// against an engine that gets none and therefore never shows that it has become faster.
func TestSlowPrefillEnginesGetFewerPrompts(t *testing.T) {
	is := is.New(t)
	const prompts = 1500
	x := newPromptPlay(t)
	x.send(t, prompts, place.Prompt{Tokens: 2000, Unique: 1000})
	got := x.send(t, prompts, place.Prompt{Tokens: 2000, Unique: 1000})
	is.True(x.placer.PlacesByWork("language"))
	slow, fast := slowAndFast(got)
	is.True(slow < 0.75*fast)
	for i := range 6 {
		is.True(got[fleet.TargetName(fmt.Sprint("p", i))] >= prompts/6/5) // a fifth of an equal share
	}
}

// Guards against a pool that is placed by what was measured before its prompts became short,
// and against a route without an objective for gaps that changes whether it is.
func TestPoolLeavesPlacementByWork(t *testing.T) {
	is := is.New(t)
	x := newPromptPlay(t)
	x.send(t, 1500, place.Prompt{Tokens: 2000, Unique: 1000})
	is.True(x.placer.PlacesByWork("language"))
	x.send(t, 200, place.Prompt{Tokens: 800, Unique: 400})
	is.True(!x.placer.PlacesByWork("language"))
	is.Equal(x.placer.Counters(x.now)["language"].PrefillSpeed, 0.0)
	slow, fast := slowAndFast(x.send(t, 1500, place.Prompt{Tokens: 800, Unique: 400}))
	is.True(slow > 0.8*fast)

	long := newPromptPlay(t)
	long.send(t, 200, place.Prompt{Tokens: 3000, Unique: 3000}) // too long for decode engines
	is.True(!long.placer.PlacesByWork("language"))
	q := workStream("", 2)
	q.MaxPause = 0
	long.placer.Offer(long.now, 1, q)
	is.True(!long.placer.PlacesByWork("language"))
}
