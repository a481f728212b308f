package summary_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func prefillTarget(name fleet.TargetName, dc fleet.DataCentre) fleet.Target {
	return fleet.Target{Name: name, Pool: "m", Kind: fleet.Engine, Role: fleet.Prefill, DataCentre: dc, Phase: fleet.Ready, Incarnation: 1}
}

// load returns a load with a prefill backlog of the given seconds.
func load(measured, seconds float64) route.Load {
	return route.Load{MeasuredAt: at(measured), PrefillTokens: 1000 * seconds, PrefillSpeed: 1000, DecodeSpeed: 1}
}

func row(dc fleet.DataCentre, targets uint32, backlog, computed float64) summary.Row {
	return summary.Row{Key: summary.Key{Pool: "m", DataCentre: dc}, Targets: targets, Backlog: backlog, ComputedAt: at(computed)}
}

// Guards against sums that count a target twice, keep a target that stopped
// reporting, take in a late report, or ignore the first report of a restarted agent.
func TestLocalSums(t *testing.T) {
	is := is.New(t)
	var b summary.LoadTable
	is.Equal(len(b.LocalSums(at(0))), 0)
	b.RecordReport(prefillTarget("t1", "a"), load(1, 3))
	b.RecordReport(prefillTarget("t1", "a"), load(0.5, 9)) // older than the previous report
	b.RecordReport(prefillTarget("t2", "a"), load(2, 1))
	b.RecordReport(prefillTarget("t3", "b"), load(2, 7))
	is.Equal(b.LocalSums(at(2)), []summary.Row{row("a", 2, 4, 2), row("b", 1, 7, 2)})
	is.Equal(b.LocalSums(at(3)), []summary.Row{row("a", 1, 1, 3), row("b", 1, 7, 3)}) // the report of t1 has expired
	restarted := prefillTarget("t2", "a")
	restarted.Incarnation = 2
	b.RecordReport(restarted, load(1.9, 5)) // earlier by its clock, but a newer incarnation
	is.Equal(b.LocalSums(at(3)), []summary.Row{row("a", 1, 5, 3), row("b", 1, 7, 3)})
	is.Equal(len(b.LocalSums(at(9))), 0) // all reports have expired
}

// Guards against totals that keep the sums of a failed relay or a data centre that
// stopped reporting, and against relay sums that arrive out of order.
func TestTotals(t *testing.T) {
	is := is.New(t)
	var b summary.LoadTable
	b.RecordReport(prefillTarget("t1", "a"), load(1, 3))
	b.SetRelaySums("relay-1", at(1), []summary.Row{row("a", 2, 1, 0), row("b", 4, 8, 0)})
	b.SetRelaySums("relay-2", at(1.5), []summary.Row{row("b", 1, 2, 0)})
	b.SetRelaySums("relay-1", at(0.5), nil) // arrives out of order
	is.Equal(b.Totals(at(2)), []summary.Row{row("a", 3, 4, 2), row("b", 5, 10, 1.5)})
	b.SetRelaySums("relay-2", at(2.5), []summary.Row{row("b", 3, 9, 0)}) // now includes agents of relay-1
	is.Equal(b.Totals(at(3)), []summary.Row{row("b", 3, 9, 2.5)})        // the sums of relay-1 have expired
	is.Equal(len(b.Totals(at(4.5))), 0)                                  // all sums have expired
	b.SetRelaySums("relay-1", at(5), []summary.Row{row("c", 2, 2, 0)})   // relay-1 is back
	is.Equal(b.Totals(at(5)), []summary.Row{row("c", 2, 2, 5)})          // only its new rows count
	is.Equal(b.Totals(at(5))[0].Mean(), 1.0)                             // per target
	is.Equal(summary.Row{Backlog: 0}.Mean(), 0.0)                        // without targets
}

// Guards against late totals of a former leader that replace newer ones, against
// totals that stay after the leader stopped answering, and against a relay without a
// leader that returns nothing for its own data centre.
func TestCurrent(t *testing.T) {
	is := is.New(t)
	var b summary.LoadTable
	b.MergeTotals([]summary.Row{row("a", 9, 9, 1), row("b", 5, 5, 1)})
	b.MergeTotals([]summary.Row{row("a", 9, 90, 0.5), row("b", 5, 50, 1)}) // from the former leader
	b.RecordReport(prefillTarget("t1", "a"), load(1, 3))
	is.Equal(b.Current(at(2)), []summary.Row{row("a", 9, 9, 1), row("b", 5, 5, 1)})
	b.MergeTotals([]summary.Row{row("b", 4, 4, 2)}) // no row for a
	b.RecordReport(prefillTarget("t1", "a"), load(4, 3))
	is.Equal(b.Current(at(4.5)), []summary.Row{row("a", 1, 3, 4.5), row("b", 4, 4, 2)})
	is.Equal(b.Current(at(5)), []summary.Row{row("a", 1, 3, 5)}) // the total of b has expired
}
