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

// Guards against targets that crash without a word and are kept for ever, and are sent a
// request again and again, and against losing targets that still work or while the registry
// cannot be reached.
func TestTargetsThatAreGone(t *testing.T) {
	const ttl = 2 * time.Minute
	for name, test := range map[string]struct {
		failures   int           // of requests to the target
		silent     time.Duration // since its last announcement
		otherHeard bool          // another target of the pool announces itself
		want       bool          // the target is dropped
	}{
		"crashed":                       {2, 3 * time.Minute, true, true},
		"serves, but is not heard of":   {0, 3 * time.Minute, true, false},
		"one failure":                   {1, 3 * time.Minute, true, false},
		"fails, and is heard of":        {2, time.Minute, true, false},
		"the registry is not reachable": {2, 3 * time.Minute, false, false},
		"crashed, without requests":     {0, 2 * time.Hour, true, true},
		"registry lost for long":        {0, 2 * time.Hour, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gone := newRecord("gone", fleet.Mixed, "kt")
			p := newPlacer(gone)
			for i := range test.failures {
				d := p.Offer(start, uint64(i), newRequest(nil))
				is.Equal(d.Action, place.Send)
				p.Finish(start, gone, place.End{Outcome: place.Failed})
			}
			now := start.Add(test.silent)
			other := newRecord("other", fleet.Mixed, "kt")
			if test.otherHeard {
				other.Heard = now
			}
			p.Update(now, []roster.Record{other})
			dropped := p.Expire(now.Add(-ttl))
			is.Equal(len(dropped) == 1 && dropped[0] == "gone", test.want)
			is.Equal(len(dropped) == 0, !test.want)
		})
	}
}

// Guards against a placer and a log of sightings that grow with each target that was ever
// replaced.
func TestReplacedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newPlacer()
	var l place.SightingLog[int]
	held, told := 0, 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Minute)
		r := newRecord(fmt.Sprint("t-", i), fleet.Mixed, "kt")
		r.Heard = now
		p.Update(now, []roster.Record{r})
		held += 1 - len(p.Expire(now.Add(-2*time.Minute)))
		l.Add(now, 1, []place.Sighting{{Target: r.Target, Prefix: 7}})
		told++
	}
	is.True(held <= 63) // those of the last hour and of the last two minutes
	list, _ := l.Since(0, 2)
	is.Equal(len(list), told)
}
