package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
)

func record(i fleet.Incarnation, sequence uint64) ReportUsage {
	return ReportUsage{Records: []UsageRecord{{ID: UsageID{Node: "h", Incarnation: i, Sequence: sequence}, Customer: "c", OutputTokens: 1}}}
}

// Guards against deduplication state that is missing from a snapshot: when the
// latest incarnation of a node expires, an older one becomes the latest again.
func TestDedupeAfterRestore(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	apply[TickResult](tm, Tick{Now: start})
	apply[UsageResult](tm, record(2, 1))
	apply[TickResult](tm, Tick{Now: start.Add(idleRetention - time.Hour)})
	apply[UsageResult](tm, record(1, 1))
	apply[TickResult](tm, Tick{Now: start.Add(idleRetention)})
	restored := newTestMachine()
	restored.Restore(tm.Snapshot())
	restored.nextIndex = tm.nextIndex
	for _, x := range []*testMachine{tm, restored} {
		apply[TickResult](x, Tick{Now: start.Add(idleRetention + 2*time.Hour)})
		apply[UsageResult](x, record(1, 2))
	}
	is.Equal(tm.Snapshot(), restored.Snapshot())
}

// Guards against a record that is counted again after its deduplication state
// has expired, and against the loss of an idle agent's state.
func TestDedupeRetention(t *testing.T) {
	is := is.New(t)
	tm := newTestMachine()
	apply[TickResult](tm, Tick{Now: start})
	apply[UsageResult](tm, record(1, 1))
	apply[TickResult](tm, Tick{Now: start.Add(30 * 24 * time.Hour)})
	is.Equal(apply[UsageResult](tm, record(1, 1)).Counted, 0) // idle, but still stored
	apply[UsageResult](tm, record(2, 1))
	apply[TickResult](tm, Tick{Now: start.Add(38 * 24 * time.Hour)})
	is.Equal(len(apply[UsageResult](tm, record(1, 1)).TooLate), 1)
	is.Equal(len(apply[UsageResult](tm, record(1, 2)).TooLate), 1)
	is.Equal(apply[UsageResult](tm, record(2, 2)).Counted, 1)
}
