package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/roster"
)

// Guards against several gateways that together send more than a target has named, also
// requests whose prompt is already processed and those of the only target, and against
// gateways that send much less than it takes.
func TestNamedLimitIsShared(t *testing.T) {
	const seed = 1
	const (
		seconds = 20
		told    = time.Second // all gateways know of the limit from then on
		step    = time.Millisecond
	)
	for name, test := range map[string]struct {
		perSecond float64
		gateways  int
		demand    float64 // requests per second of all gateways
		uneven    bool    // half of the gateways have three quarters of the requests
		change    func(a *place.Request)
	}{
		"saturated":         {perSecond: 17.8, gateways: 8, demand: 50},
		"below the limit":   {perSecond: 17.8, gateways: 8, demand: 10},
		"uneven":            {perSecond: 17.8, gateways: 8, demand: 50, uneven: true},
		"one gateway":       {perSecond: 4, gateways: 1, demand: 50},
		"many gateways":     {perSecond: 6, gateways: 105, demand: 30},
		"low limit":         {perSecond: 0.5, gateways: 8, demand: 50},
		"prompt is cached":  {perSecond: 17.8, gateways: 8, demand: 50, change: func(a *place.Request) { a.CacheFrom = "kt" }},
		"shared prefix":     {perSecond: 17.8, gateways: 8, demand: 50, change: func(a *place.Request) { a.Affinity = "p" }},
		"without objective": {perSecond: 17.8, gateways: 8, demand: 50, change: func(a *place.Request) { a.Objective = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 2))
			r := newRecord("in need", fleet.Mixed, "kt")
			placers := make([]*place.Placer, test.gateways)
			toldAt := make([]time.Time, test.gateways)
			for i := range placers {
				placers[i] = newPlacer(r)
				placers[i].SetGateways(start, test.gateways)
				toldAt[i] = start.Add(time.Duration(random.Int64N(int64(told)/int64(step))) * step)
			}
			var sent []time.Time
			id := uint64(0)
			answer := func(now time.Time, i int) {
				placers[i].RecordFirstEvent(now, r, place.FirstEvent{Took: 10 * time.Millisecond, Objective: objective})
				placers[i].Finish(now, r, place.End{Answered: true})
			}
			for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(step) {
				for i, p := range placers {
					if now.Equal(toldAt[i]) {
						p.RecordLimit(now, now, r, test.perSecond, true)
					}
					for range p.Tick(now) {
						sent = append(sent, now)
						answer(now, i)
					}
					rate := test.demand / float64(test.gateways)
					if test.uneven && i%2 == 0 {
						rate *= 1.5
					} else if test.uneven {
						rate *= 0.5
					}
					if random.Float64() >= rate*step.Seconds() {
						continue
					}
					id++
					d := p.Offer(now, id, newRequest(func(a *place.Request) {
						a.Start, a.Deadline = now, now.Add(2*time.Second)
						if test.change != nil {
							test.change(a)
						}
					}))
					if d.Action == place.Send {
						sent = append(sent, now)
						answer(now, i)
					}
				}
			}
			const window = 4 * time.Second
			const allowed = 1.5 // times the limit, and 5 requests: from the platform's rules
			first, most, late := 0, 0, 0
			for i, at := range sent {
				for at.Sub(sent[first]) > window {
					first++
				}
				if at.Sub(start) > told+window {
					most = max(most, i-first+1)
					late++
				}
			}
			is.True(float64(most) <= allowed*test.perSecond*window.Seconds()+5)
			average := float64(late) / (seconds*time.Second - told - window).Seconds()
			is.True(average <= 1.1*test.perSecond+0.2)
			is.True(average >= 0.7*min(test.perSecond, test.demand))
		})
	}
}

// Guards against a limit that stays when the target names none any more, one that ends by a
// late response to an earlier request, and one that is carried over to the next run.
func TestNamedLimitEnds(t *testing.T) {
	is := is.New(t)
	r := newRecord("a", fleet.Mixed, "kt")
	p := newPlacer(r)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	sends := func(ms int, id uint64) bool {
		d := p.Offer(at(ms), id, newRequest(func(a *place.Request) { a.Start = at(ms) }))
		if d.Action == place.Wait {
			p.Withdraw(at(ms), id, "language")
		}
		return d.Action == place.Send
	}
	is.True(p.RecordLimit(at(0), at(-10), r, 0.5, true))
	is.True(!p.RecordLimit(at(1), at(-10), r, 0.5, true))
	is.True(!sends(10, 1))
	is.True(!p.RecordLimit(at(20), at(-5), r, 0, false)) // sent before the limit was named
	is.True(!sends(30, 2))
	is.True(sends(2000, 3)) // the only way to learn whether the limit still holds
	is.True(p.RecordLimit(at(2050), at(2000), r, 0, false))
	is.True(sends(2060, 4))

	is.True(p.RecordLimit(at(2100), at(2060), r, 0, true)) // none at all
	is.True(!sends(5000, 5))
	next := r
	next.Started = at(5500)
	p.Update(at(5500), []roster.Record{next})
	is.True(sends(5600, 6))
}

// Guards against a gateway that waits for its turn under a limit that the target has raised
// since.
func TestNamedLimitRises(t *testing.T) {
	is := is.New(t)
	r := newRecord("a", fleet.Mixed, "kt")
	p := newPlacer(r)
	p.SetGateways(start, 8)
	p.RecordLimit(start, start, r, 0.2, true) // one request in 40 s for each gateway
	p.RecordLimit(start.Add(time.Millisecond), start, r, 16, true)
	later := start.Add(600 * time.Millisecond)
	d := p.Offer(later, 1, newRequest(func(a *place.Request) { a.Start = later }))
	is.Equal(d.Action, place.Send)
}

// Guards against shares that grow when a registry replica has just started and reports only
// the few gateways that have connected to it.
func TestNamedLimitKeepsNumberOfGateways(t *testing.T) {
	for name, test := range map[string]struct {
		after    time.Duration // since the last report of all gateways
		min, max int           // requests in two seconds
	}{
		"for a moment": {after: 2 * time.Second, min: 1, max: 3},
		"for long":     {after: time.Minute, min: 7, max: 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRecord("a", fleet.Mixed, "kt")
			p := newPlacer(r)
			p.SetGateways(start, 4)
			from := start.Add(test.after)
			p.SetGateways(from, 1)
			r.Heard = from
			p.Update(from, []roster.Record{r})
			p.RecordLimit(from, from, r, 4, true)
			sent := 0
			for now := from; now.Before(from.Add(2050 * time.Millisecond)); now = now.Add(10 * time.Millisecond) {
				d := p.Offer(now, uint64(now.UnixMilli()), newRequest(func(a *place.Request) { a.Start, a.Deadline = now, now.Add(time.Second) }))
				switch d.Action {
				case place.Wait:
					p.Withdraw(now, uint64(now.UnixMilli()), "language")
				case place.Send:
					sent++
					p.Finish(now, r, place.End{})
				case place.Refuse:
				}
			}
			is.True(sent >= test.min && sent <= test.max)
		})
	}
}
