package route

import (
	"cmp"

	"papayarock/core/fleet"
)

// Backlog returns the delay in seconds that the reported load adds to a new
// request of the stage, computed as in the target's score, except that
// plain services count with the default service time. It returns false if the
// target's role does not serve the stage.
func Backlog(t fleet.Target, l Load, stage Stage) (float64, bool) {
	if !serves(&t, stage) {
		return 0, false
	}
	if t.Kind == fleet.Service {
		return float64(l.Requests) * defaultServiceTime / float64(max(t.Slots, 1)), true
	}
	return queueDelay(work{
		l.PrefillTokens / cmp.Or(l.PrefillSpeed, defaultPrefillSpeed), l.DecodeTokens / cmp.Or(l.DecodeSpeed, defaultDecodeSpeed),
	}, stage), true
}
