package pathsearch

import (
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/wire"
)

// variant breaks one rule of the system by altering calls and messages, without
// a change of the product code.
type variant struct {
	violation        string                                            // part of the violation that the broken rule must cause
	grantLocally     func(state.Claim) bool                            // whether to grant a claim without control
	alterClaimResult func(*state.ClaimResult)                          // alters the result of a claim
	alterCommand     func(*state.Machine, state.Command) state.Command // alters a command
	alterQuery       func(*wire.Query) func(*wire.Outcome)             // alters queries to agents and their outcomes
	alterRun         func(*wire.Run)                                   // alters requests to agents
	idempotent       bool                                              // declares the route of orders idempotent
}

var variants = map[string]variant{
	"no claim":         {violation: "keyed order", grantLocally: func(state.Claim) bool { return true }},
	"sure is left out": {violation: "wrong for its key", grantLocally: func(c state.Claim) bool { return c.Target == "" }},
	"unknown claim is granted": {violation: "keyed order", alterClaimResult: func(r *state.ClaimResult) {
		if r.Outcome == state.ClaimUnknown {
			r.Outcome = state.ClaimGranted
		}
	}},
	"any request settles": {violation: "keyed order", alterCommand: func(m *state.Machine, c state.Command) state.Command {
		s, ok := c.(state.Settle)
		if !ok {
			return c
		}
		for _, r := range m.Snapshot().Claims {
			if r.Claim.Key == s.Key {
				s.Request = r.Claim.Request
			}
		}
		return s
	}},
	"agent does not bar": {violation: "order", alterQuery: func(q *wire.Query) func(*wire.Outcome) {
		q.Bar = false
		return func(o *wire.Outcome) {
			if o.State == wire.Outcome_UNKNOWN {
				o.State = wire.Outcome_NOT_RUN_AND_BARRED
			}
		}
	}},
	"agent forgets ids": {violation: "order", alterQuery: func(q *wire.Query) func(*wire.Outcome) {
		id := q.RequestId
		q.RequestId = make([]byte, len(id))
		return func(o *wire.Outcome) { o.RequestId = id }
	}},
	"repeated message runs again": {violation: "order", alterRun: changeRepeatedID()},
	"retry after unknown":         {violation: "keyless order", idempotent: true},
}

// changeRepeatedID changes the id of a repeated request, so that the agent does
// not recognise it.
func changeRepeatedID() func(*wire.Run) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(m *wire.Run) {
		mu.Lock()
		defer mu.Unlock()
		id := string(m.RequestId)
		if seen[id] {
			m.RequestId = append([]byte{^id[0]}, id[1:]...)
		}
		seen[id] = true
	}
}

// Guards against a search that does not detect a broken rule.
func TestSearchFindsBrokenRules(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			var c counts
			found := false
			memlink.RunInBubble(t, func(t *testing.T) {
				for seed := *searchSeed; seed < *searchSeed+*searchRuns && !found; seed++ {
					if violations := runSeed(seed, v, &c, hclog.NewNullLogger()); len(violations) > 0 {
						found = true
						t.Logf("seed %d: %s", seed, violations[0])
					}
				}
			})
			if !found {
				t.Fatalf("no run detects the broken rule; coverage: %s", &c)
			}
		})
	}
}
