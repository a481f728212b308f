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

func words[T fmt.Stringer](values ...T) []string {
	var out []string
	for _, v := range values {
		out = append(out, v.String())
	}
	return out
}

// Guards against a word of an enumeration that changes with the name of its
// constant: logs, lists, dumps, scripts and answers to callers carry the words.
func TestWords(t *testing.T) {
	tests := map[string]struct{ got, want []string }{
		"core/admit.Reason": {
			words(admit.Dispatch, admit.Late, admit.Full, admit.Limited, admit.Displaced, admit.Displaced+1),
			[]string{"dispatch", "late", "queue-full", "limit", "displaced", "invalid"},
		},
		"core/authority.Verdict": {
			words(authority.Begin, authority.Running, authority.Completed, authority.Old, authority.OtherContent,
				authority.OtherIncarnation, authority.Busy, authority.Busy+1),
			[]string{"begin", "running", "kept", "old", "other-content", "other-incarnation", "busy", "invalid"},
		},
		"core/catalog.Kind": {
			words(catalog.Idempotent, catalog.NonIdempotent, catalog.Stream),
			[]string{"idempotent", "non-idempotent", "stream"},
		},
		"core/fleet.Class": {
			words(fleet.Patient, fleet.Urgent),
			[]string{"patient", "urgent"},
		},
		"core/fleet.Role": {
			words(fleet.Mixed, fleet.Prefill, fleet.Decode),
			[]string{"mixed", "prefill", "decode"},
		},
		"core/fleet.Kind": {
			words(fleet.Service, fleet.Engine),
			[]string{"service", "engine"},
		},
		"core/fleet.Phase": {
			words(fleet.Announced, fleet.Ready, fleet.Draining, fleet.Leaving, fleet.Gone, fleet.Lost, fleet.Unknown),
			[]string{"announced", "ready", "draining", "leaving", "gone", "lost", "unknown"},
		},
		"core/log.Role": {
			words(log.Follower, log.PreCandidate, log.Candidate, log.Leader),
			[]string{"follower", "pre-candidate", "candidate", "leader"},
		},
		"core/place.Outcome": {
			words(place.Served, place.RejectedFull, place.Gone, place.Failed, place.Erred, place.Unreachable, place.Abandoned),
			[]string{"served", "not-run", "gone", "failed", "erred", "unreachable", "abandoned"},
		},
		"core/retry.NotRun": {
			words(retry.NotRunUnknown, retry.NotRunTrue, retry.NotRunFalse, retry.NotRunFalse+1),
			[]string{"unknown", "true", "false", "invalid-3"},
		},
		"core/roster.Condition": {
			words(roster.Ready, roster.Draining, roster.Left),
			[]string{"ready", "draining", "left"},
		},
		"core/roster.Outcome": {
			words(roster.Stale, roster.Refreshed, roster.Changed),
			[]string{"stale", "renewed", "changed"},
		},
		"core/watch.Condition": {
			words(watch.Healthy, watch.Slow, watch.Partitioned, watch.Dead),
			[]string{"well", "slow", "partitioned", "dead"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if !slices.Equal(tt.got, tt.want) {
				t.Errorf("words %q, want %q", tt.got, tt.want)
			}
		})
	}
}
