package summary_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func prefill(name fleet.TargetName, dc fleet.DataCentre) fleet.Target {
	return fleet.Target{Name: name, Pool: "m", Kind: fleet.Engine, Role: fleet.Prefill, DataCentre: dc, Phase: fleet.Ready, Incarnation: 1}
}

// load is a backlog of the given seconds.
func load(taken, seconds float64) route.Load {
	return route.Load{Taken: at(taken), PrefillTokens: 1000 * seconds, PrefillSpeed: 1000, DecodeSpeed: 1}
}

func row(dc fleet.DataCentre, targets uint32, work, taken float64) summary.Row {
	return summary.Row{Key: summary.Key{Pool: "m", DataCentre: dc}, Targets: targets, Work: work, Taken: at(taken)}
}

// Guards against sums that count a target twice, that keep a target which is
// silent, or that a late report or one of a former run of an agent changes.
func TestOwn(t *testing.T) {
	is := is.New(t)
	var b summary.Board
	is.Equal(len(b.Own(at(0))), 0)
	b.Hear(prefill("t1", "a"), load(1, 3))
	b.Hear(prefill("t1", "a"), load(0.5, 9)) // late
	b.Hear(prefill("t2", "a"), load(2, 1))
	b.Hear(prefill("t3", "b"), load(2, 7))
	is.Equal(b.Own(at(2)), []summary.Row{row("a", 2, 4, 2), row("b", 1, 7, 2)})
	is.Equal(b.Own(at(3)), []summary.Row{row("a", 1, 1, 3), row("b", 1, 7, 3)}) // t1 is silent
	again := prefill("t2", "a")
	again.Incarnation = 2
	b.Hear(again, load(1.9, 5)) // by the clock of the new run
	is.Equal(b.Own(at(3)), []summary.Row{row("a", 1, 5, 3), row("b", 1, 7, 3)})
	is.Equal(len(b.Own(at(9))), 0) // the data centres are silent
}

// Guards against totals that keep a dead relay or a silent data centre, and
// against sums of a relay that arrive in the wrong order.
func TestTotal(t *testing.T) {
	is := is.New(t)
	var b summary.Board
	b.Hear(prefill("t1", "a"), load(1, 3))
	b.Take("relay-1", at(1), []summary.Row{row("a", 2, 1, 0), row("b", 4, 8, 0)})
	b.Take("relay-2", at(1.5), []summary.Row{row("b", 1, 2, 0)})
	b.Take("relay-1", at(0.5), nil) // overtaken
	is.Equal(b.Total(at(2)), []summary.Row{row("a", 3, 4, 2), row("b", 5, 10, 1.5)})
	b.Take("relay-2", at(2.5), []summary.Row{row("b", 3, 9, 0)}) // took over agents of relay-1
	is.Equal(b.Total(at(3)), []summary.Row{row("b", 3, 9, 2.5)}) // relay-1 has died
	is.Equal(len(b.Total(at(4.5))), 0)                           // all are silent
	b.Take("relay-1", at(5), []summary.Row{row("c", 2, 2, 0)})   // returns
	is.Equal(b.Total(at(5)), []summary.Row{row("c", 2, 2, 5)})   // with its present rows only
	is.Equal(b.Total(at(5))[0].Mean(), 1.0)                      // of each target
	is.Equal(summary.Row{Work: 0}.Mean(), 0.0)                   // of none
}

// Guards against a former leader whose late totals replace newer ones, against
// totals that stay after the leader went silent, and against a relay without a
// leader that knows nothing of its own data centre.
func TestKnown(t *testing.T) {
	is := is.New(t)
	var b summary.Board
	b.Adopt([]summary.Row{row("a", 9, 9, 1), row("b", 5, 5, 1)})
	b.Adopt([]summary.Row{row("a", 9, 90, 0.5), row("b", 5, 50, 1)}) // of the former leader
	b.Hear(prefill("t1", "a"), load(1, 3))
	is.Equal(b.Known(at(2)), []summary.Row{row("a", 9, 9, 1), row("b", 5, 5, 1)})
	b.Adopt([]summary.Row{row("b", 4, 4, 2)}) // lost the row of a
	b.Hear(prefill("t1", "a"), load(4, 3))
	is.Equal(b.Known(at(4.5)), []summary.Row{row("a", 1, 3, 4.5), row("b", 4, 4, 2)})
	is.Equal(b.Known(at(5)), []summary.Row{row("a", 1, 3, 5)}) // b is silent
}
