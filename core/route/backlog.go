package route

import (
	"cmp"

	"papayarock/core/fleet"
)

// Backlog returns the seconds that a report delays a new request of a stage, as
// the score of the target would count them, or false if its role does not serve
// the stage.
func Backlog(t fleet.Target, l Load, stage Stage) (float64, bool) {
	if !serves(&t, stage) {
		return 0, false
	}
	if t.Kind == fleet.Service {
		return float64(l.Requests) * defaultService / float64(max(t.Slots, 1)), true
	}
	return ahead(work{
		l.PrefillTokens / cmp.Or(l.PrefillSpeed, defaultPrefill), l.DecodeTokens / cmp.Or(l.DecodeSpeed, defaultDecode),
	}, stage), true
}
