package daemon_test

import (
	"fmt"
	"slices"
	"testing"

	"papayarock/core/admit"
	"papayarock/core/authority"
	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/place"
	"papayarock/core/retry"
	"papayarock/core/roster"
	"papayarock/core/watch"
)

func enumStrings[T fmt.Stringer](values ...T) []string {
	var out []string
	for _, v := range values {
		out = append(out, v.String())
	}
	return out
}

// Guards against an enum string that changes when its constant is renamed. Logs,
// dumps, command output, scripts and responses to callers contain these strings.
func TestEnumStrings(t *testing.T) {
	tests := map[string]struct{ got, want []string }{
		"core/admit.Reason": {
			enumStrings(admit.Dispatch, admit.Late, admit.Full, admit.Limited, admit.Displaced, admit.Displaced+1),
			[]string{"dispatch", "late", "queue-full", "limit", "displaced", "invalid"},
		},
		"core/authority.Verdict": {
			enumStrings(authority.Begin, authority.Running, authority.Completed, authority.Old, authority.OtherContent,
				authority.OtherIncarnation, authority.Busy, authority.Busy+1),
			[]string{"begin", "running", "kept", "old", "other-content", "other-incarnation", "busy", "invalid"},
		},
		"core/catalog.Kind": {
			enumStrings(catalog.Idempotent, catalog.NonIdempotent, catalog.Stream),
			[]string{"idempotent", "non-idempotent", "stream"},
		},
		"core/fleet.Class": {
			enumStrings(fleet.Patient, fleet.Urgent),
			[]string{"patient", "urgent"},
		},
		"core/fleet.Role": {
			enumStrings(fleet.Mixed, fleet.Prefill, fleet.Decode),
			[]string{"mixed", "prefill", "decode"},
		},
		"core/fleet.Kind": {
			enumStrings(fleet.Service, fleet.Engine),
			[]string{"service", "engine"},
		},
		"core/fleet.Phase": {
			enumStrings(fleet.Announced, fleet.Ready, fleet.Draining, fleet.Leaving, fleet.Gone, fleet.Lost, fleet.Unknown),
			[]string{"announced", "ready", "draining", "leaving", "gone", "lost", "unknown"},
		},
		"core/log.Role": {
			enumStrings(log.Follower, log.PreCandidate, log.Candidate, log.Leader),
			[]string{"follower", "pre-candidate", "candidate", "leader"},
		},
		"core/place.Outcome": {
			enumStrings(place.Served, place.RejectedFull, place.Gone, place.Failed, place.Erred, place.Unreachable, place.Abandoned),
			[]string{"served", "not-run", "gone", "failed", "erred", "unreachable", "abandoned"},
		},
		"core/retry.NotRun": {
			enumStrings(retry.NotRunUnknown, retry.NotRunTrue, retry.NotRunFalse, retry.NotRunFalse+1),
			[]string{"unknown", "true", "false", "invalid-3"},
		},
		"core/roster.Condition": {
			enumStrings(roster.Ready, roster.Draining, roster.Left),
			[]string{"ready", "draining", "left"},
		},
		"core/roster.Outcome": {
			enumStrings(roster.Stale, roster.Refreshed, roster.Changed),
			[]string{"stale", "renewed", "changed"},
		},
		"core/watch.Condition": {
			enumStrings(watch.Healthy, watch.Slow, watch.Partitioned, watch.Dead),
			[]string{"well", "slow", "partitioned", "dead"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if !slices.Equal(tt.got, tt.want) {
				t.Errorf("got %q, want %q", tt.got, tt.want)
			}
		})
	}
}
