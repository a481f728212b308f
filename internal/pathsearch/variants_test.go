package pathsearch

import (
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/wire"
)

// variant breaks one rule that the guarantees of the request path depend on. It
// alters calls and messages between processes, not the product code.
type variant struct {
	violation        string                                            // part of the text of the violation that the broken rule must cause
	grantLocally     func(state.Claim) bool                            // whether to grant a claim without control
	alterClaimResult func(*state.ClaimResult)                          // alters the result of a claim
	alterCommand     func(*state.Machine, state.Command) state.Command // alters a command
	alterQuery       func(*wire.Query) func(*wire.Outcome)             // alters queries to agents and their outcomes
	alterRun         func(*wire.Run)                                   // alters run requests to agents
	idempotent       bool                                              // declares the route of orders idempotent, so that entries retry them after an unknown outcome
}

var variants = map[string]variant{
	"no claim": {violation: "keyed order", grantLocally: func(state.Claim) bool { return true }},
	// An entry that refuses a keyed request claims its key without a target, to be sure
	// that no earlier request with the key has run.
	"sure is left out": {violation: "wrong for its key", grantLocally: func(c state.Claim) bool { return c.Target == "" }},
	"unknown claim is granted": {violation: "keyed order", alterClaimResult: func(r *state.ClaimResult) {
		if r.Outcome == state.ClaimUnknown {
			r.Outcome = state.ClaimGranted
		}
	}},
	// Only the request that holds a claim may settle it.
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
	// An entry asks the agent to bar a request of unknown outcome, so that the request
	// cannot start there after the entry has sent it to another target.
	"agent does not bar": {violation: "order", alterQuery: func(q *wire.Query) func(*wire.Outcome) {
		q.Bar = false
		return func(o *wire.Outcome) {
			if o.State == wire.Outcome_UNKNOWN {
				o.State = wire.Outcome_NOT_RUN_AND_BARRED
			}
		}
	}},
	// The agent is asked about an id that it does not know, as if it had no record of
	// the request.
	"agent forgets ids": {violation: "order", alterQuery: func(q *wire.Query) func(*wire.Outcome) {
		id := q.RequestId
		q.RequestId = make([]byte, len(id))
		return func(o *wire.Outcome) { o.RequestId = id }
	}},
	"repeated message runs again": {violation: "order", alterRun: changeRepeatedID()},
	"retry after unknown":         {violation: "keyless order", idempotent: true},
}

// changeRepeatedID returns a function that changes the id of a run request that it
// has seen before, so that the agent does not recognise the repetition.
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

// Guards against a search that cannot detect a violation. For each variant at least
// one seed must report the violation that the broken rule causes.
func TestSearchFindsBrokenRules(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			var c counts
			found := false
			memlink.RunInBubble(t, func(t *testing.T) {
				for seed := *firstSeed; seed < *firstSeed+*seedCount && !found; seed++ {
					if violations := runSeed(seed, v, &c, hclog.NewNullLogger()); len(violations) > 0 {
						found = true
						t.Logf("seed %d: %s", seed, violations[0])
					}
				}
			})
			if !found {
				t.Fatalf("none of the %d seeds from %d on reports the violation %q; coverage: %s", *seedCount, *firstSeed, v.violation, &c)
			}
		})
	}
}
