package watch_test

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/watch"
)

// Guards against declaring a target dead that is only slow, partitioned or
// briefly without its engine, against missing a dead one, and against a condition
// that changes with each pause of a process.
func TestHealth(t *testing.T) {
	newContact := func(entry fleet.Host, reached, failed float64) watch.Contact {
		c := watch.Contact{Entry: entry, Target: "t"}
		if reached > 0 {
			c.Reached = at(reached)
		}
		if failed > 0 {
			c.Failed = at(failed)
		}
		return c
	}
	regularPolls := func(now float64) watch.Evidence { return watch.Evidence{LastPoll: at(now - 0.3), Ready: true} }
	silentSince := func(from float64) func(now float64) watch.Evidence {
		return func(now float64) watch.Evidence { return watch.Evidence{LastPoll: at(min(now, from)), Ready: true} }
	}
	tests := map[string]struct {
		evidence func(now float64) watch.Evidence
		contacts func(now float64) []watch.Contact
		changes  []watch.Condition // expected conditions, starting with the first one
	}{
		"well": {evidence: regularPolls, changes: []watch.Condition{watch.Healthy}},
		"dead": {evidence: silentSince(10), changes: []watch.Condition{watch.Healthy, watch.Slow, watch.Dead}},
		"dead, and entries cannot reach it": {
			evidence: silentSince(10),
			contacts: func(now float64) []watch.Contact { return []watch.Contact{newContact("e1", min(now, 10), now)} },
			changes:  []watch.Condition{watch.Healthy, watch.Partitioned, watch.Slow, watch.Dead},
		},
		"partitioned from the control plane only": {
			evidence: silentSince(10),
			contacts: func(now float64) []watch.Contact { return []watch.Contact{newContact("e1", now, 0)} },
			changes:  []watch.Condition{watch.Healthy, watch.Partitioned},
		},
		"partitioned together with its relay": {
			evidence: func(now float64) watch.Evidence {
				return watch.Evidence{LastPoll: at(min(now, 10)), Ready: true, Relay: "r", LastRelayReport: at(min(now, 10))}
			},
			changes: []watch.Condition{watch.Healthy, watch.Slow, watch.Partitioned, watch.Dead},
		},
		"one-way partition from one entry": {
			evidence: regularPolls,
			contacts: func(now float64) []watch.Contact {
				failed := now - float64(int(now)%20) // the entry tries every 20 s
				return []watch.Contact{newContact("e1", 1, failed), newContact("e2", now, 0)}
			},
			changes: []watch.Condition{watch.Healthy, watch.Partitioned},
		},
		"one-way partition between control plane and agent": {
			// Polls arrive but responses are lost, so each poll times out after 1.1 s.
			evidence: func(now float64) watch.Evidence {
				return watch.Evidence{LastPoll: at(1.2 * float64(int(now/1.2))), Ready: true}
			},
			changes: []watch.Condition{watch.Healthy},
		},
		"repeatedly paused for 3 s": {
			evidence: func(now float64) watch.Evidence {
				if now < 10 {
					return regularPolls(now)
				}
				return watch.Evidence{LastPoll: at(now - max(float64(int(now)%6)-2, 0)), Ready: true}
			},
			changes: []watch.Condition{watch.Healthy, watch.Slow},
		},
		"engine exited": {
			evidence: func(now float64) watch.Evidence { return watch.Evidence{LastPoll: at(now), Ready: now < 10} },
			changes:  []watch.Condition{watch.Healthy, watch.Slow, watch.Dead},
		},
		"engine restarted": {
			evidence: func(now float64) watch.Evidence {
				return watch.Evidence{LastPoll: at(now), Ready: now < 10 || now > 12}
			},
			changes: []watch.Condition{watch.Healthy, watch.Slow, watch.Healthy},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var h watch.Health
			var changes []watch.Condition
			for now := 1.0; now < 90; now += 0.1 {
				if tt.contacts != nil {
					for _, c := range tt.contacts(now) {
						h.RecordContact(c)
					}
				}
				e := tt.evidence(now)
				e.Target = "t"
				a := h.Assess(at(now), e)
				if len(changes) == 0 || changes[len(changes)-1] != a.Condition {
					changes = append(changes, a.Condition)
				}
				if a.Condition != watch.Healthy && (a.Reason == "" || at(now).Sub(a.Since) < 0) {
					t.Fatalf("%s since %v without a reason", a.Condition, a.Since)
				}
			}
			is.New(t).Equal(changes, tt.changes)
		})
	}
}
