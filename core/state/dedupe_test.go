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

// Guards against memory of the dedupe that a snapshot does not carry: after the
// latest incarnation of a node expires, an older one may be the latest again.
func TestDedupeAfterRestore(t *testing.T) {
	is := is.New(t)
	r := newRig()
	apply[TickResult](r, Tick{Now: start})
	apply[UsageResult](r, record(2, 1))
	apply[TickResult](r, Tick{Now: start.Add(idleFor - time.Hour)})
	apply[UsageResult](r, record(1, 1))
	apply[TickResult](r, Tick{Now: start.Add(idleFor)})
	restored := newRig()
	restored.Restore(r.Image())
	restored.next = r.next
	for _, x := range []*rig{r, restored} {
		apply[TickResult](x, Tick{Now: start.Add(idleFor + 2*time.Hour)})
		apply[UsageResult](x, record(1, 2))
	}
	is.Equal(r.Image(), restored.Image())
}

// Guards against a record that counts again once its dedupe memory has ended,
// and against the loss of an idle agent's memory.
func TestDedupeRetention(t *testing.T) {
	is := is.New(t)
	r := newRig()
	apply[TickResult](r, Tick{Now: start})
	apply[UsageResult](r, record(1, 1))
	apply[TickResult](r, Tick{Now: start.Add(30 * 24 * time.Hour)})
	is.Equal(apply[UsageResult](r, record(1, 1)).Counted, 0) // idle, not forgotten
	apply[UsageResult](r, record(2, 1))
	apply[TickResult](r, Tick{Now: start.Add(38 * 24 * time.Hour)})
	is.Equal(len(apply[UsageResult](r, record(1, 1)).TooLate), 1)
	is.Equal(len(apply[UsageResult](r, record(1, 2)).TooLate), 1)
	is.Equal(apply[UsageResult](r, record(2, 2)).Counted, 1)
}
