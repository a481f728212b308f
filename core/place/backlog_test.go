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

const maxPause = 200 * time.Millisecond

// newLongRequest returns a request whose prompt would pause the streams of a decode
// engine for longer than maxPause.
func newLongRequest(affinity string, at time.Time) place.Request {
	return place.Request{
		Pool: "language", Affinity: affinity, Split: true, Objective: 800 * time.Millisecond, MaxPause: maxPause,
		Prompt: place.Prompt{Tokens: 17000, Unique: 4000}, Start: at, Deadline: at.Add(6 * time.Second), TransferTime: 15 * time.Millisecond,
	}
}

// learnSpeed makes p learn that prefill engines process 50 tokens in a millisecond.
func learnSpeed(p *place.Placer, r roster.Record) {
	for range 10 {
		p.RecordFirstEvent(start, r, place.FirstEvent{
			Took: 80 * time.Millisecond, Objective: 800 * time.Millisecond, MaxPause: maxPause, Prompt: place.Prompt{Tokens: 4000, Unique: 4000},
		})
	}
}

// newBacklogPlacer returns a placer that has learned the prefill speed and that prompts
// are long, and is connected to the other gateways.
func newBacklogPlacer(records ...roster.Record) *place.Placer {
	p := newPlacer(records...)
	p.SetGateways(start, 3)
	learnSpeed(p, records[0])
	p.SetBacklogs(start, nil)
	return p
}

// Guards against prompts that wait behind the prompts of other gateways although another
// engine is idle, against processing shared tokens again without need, and against
// sending prompts where they would be late.
func TestPickByBacklog(t *testing.T) {
	engines := []roster.Record{
		newRecord("p1", fleet.Prefill, "kt"), newRecord("p2", fleet.Prefill, "kt"), newRecord("d1", fleet.Decode, "kt"),
	}
	const holder, other = "p1", "p2"
	sighting := place.Sighting{Target: holder, Prefix: place.NewPrefix("language", "session")}
	for name, test := range map[string]struct {
		backlogs  map[fleet.TargetName]place.Backlog
		sightings []place.Sighting
		want      fleet.TargetName // empty if the request is queued or refused
		fetches   bool
		uncached  int
	}{
		"holder":                     {nil, []place.Sighting{sighting}, holder, false, 4000},
		"holder has a short queue":   {map[fleet.TargetName]place.Backlog{holder: {1, 2000}}, []place.Sighting{sighting}, holder, false, 4000},
		"holder is overloaded":       {map[fleet.TargetName]place.Backlog{holder: {10, 30_000}}, []place.Sighting{sighting}, other, true, 4000},
		"prefix unknown, overloaded": {map[fleet.TargetName]place.Backlog{holder: {10, 30_000}}, nil, other, false, 17000},
		"all are overloaded":         {map[fleet.TargetName]place.Backlog{holder: {10, 90_000}, other: {10, 90_000}}, nil, "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newBacklogPlacer(engines...)
			p.AddSightings(start, test.sightings)
			p.SetBacklogs(start, test.backlogs)
			d := p.Offer(start, 1, newLongRequest("session", start))
			is.Equal(d.Choice.Target.Target, test.want)
			is.Equal(d.Choice.FetchFrom.IsValid(), test.fetches)
			is.Equal(d.Choice.Uncached, test.uncached)
		})
	}
}

// Guards against long prompts at decode engines, where they pause all streams, while
// there is a prefill engine; and against refusing them if there is none.
func TestLongPromptAtDecode(t *testing.T) {
	is := is.New(t)
	prefill, decode := newRecord("p", fleet.Prefill, "kt"), newRecord("d", fleet.Decode, "kt")
	p := newBacklogPlacer(prefill, decode)
	full := map[fleet.TargetName]place.Backlog{"p": {10, 90_000}}
	p.SetBacklogs(start, full)
	is.True(p.Offer(start, 1, newLongRequest("session", start)).Action != place.Send)
	prefill.Condition = roster.Left
	p.Update(start, []roster.Record{prefill})
	is.Equal(p.Offer(start, 2, newLongRequest("session", start)).Choice.Target.Target, fleet.TargetName("d"))
}

// Guards against requests to an engine that is changing its role, all of which it would
// reject for seconds, and against never using it again if the change fails.
func TestRoleChangeInProgress(t *testing.T) {
	is := is.New(t)
	changing, other := newRecord("d1", fleet.Decode, "kt"), newRecord("d2", fleet.Decode, "klang")
	p := newPlacer(changing, other)
	p.SetRoleChanges([]place.RoleChange{{Target: "d1", Started: start, Role: fleet.Prefill, Expires: start.Add(10 * time.Second)}})
	is.Equal(p.Offer(start, 1, newRequest(nil)).Choice.Target.Target, fleet.TargetName("d2"))
	now := start.Add(11 * time.Second)
	later := newRequest(func(a *place.Request) { a.Start, a.Deadline = now, now.Add(time.Second) })
	changing.Heard, other.Heard = now, now
	p.Update(now, []roster.Record{changing, other})
	is.Equal(p.Offer(now, 2, later).Choice.Target.Target, fleet.TargetName("d1"))
}

// Guards against a backlog that grows with requests that have ended, which would keep
// prompts from an idle engine.
func TestOwnBacklog(t *testing.T) {
	is := is.New(t)
	p := newBacklogPlacer(newRecord("p", fleet.Prefill, "kt"), newRecord("d", fleet.Decode, "kt"))
	request := newLongRequest("session", start)
	c := p.Offer(start, 1, request).Choice
	is.Equal(p.Backlogs(), map[fleet.TargetName]place.Backlog{"p": {Prompts: 1, Tokens: 17000}})
	p.RecordFirstEvent(start, c.Target, place.FirstEvent{
		Took: 400 * time.Millisecond, Objective: request.Objective, Prompt: request.Prompt, Uncached: c.Uncached, Affinity: "session",
	})
	p.Finish(start, c.Target, place.End{Outcome: place.Served, Answered: true, Uncached: c.Uncached})
	is.Equal(len(p.Backlogs()), 0)
	is.Equal(p.TakeSightings(), []place.Sighting{{Target: "p", Prefix: place.NewPrefix("language", "session")}})
	c = p.Offer(start, 2, request).Choice
	is.Equal(c.Uncached, 4000)
	p.Finish(start, c.Target, place.End{Outcome: place.Abandoned, Uncached: c.Uncached})
	is.Equal(len(p.Backlogs()), 0)
	is.Equal(len(p.TakeSightings()), 0)
}

func ExampleSightingLog() {
	var log place.SightingLog[string]
	now := time.Unix(1, 0)
	log.Add(now, "gateway-1", []place.Sighting{{Target: "t1", Prefix: 7}})
	log.Add(now, "gateway-2", []place.Sighting{{Target: "t1", Prefix: 7}, {Target: "t2", Prefix: 7}})
	first, position := log.Since(0, "gateway-1")
	rest, _ := log.Since(position, "gateway-1")
	fmt.Println(first, rest)
	// Output: [{t2 7}] []
}
