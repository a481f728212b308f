package pathsearch

import (
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/wire"
)

// variant breaks one rule, from outside of the product code.
type variant struct {
	finds      string                                            // part of the fault that shows the broken rule
	grant      func(state.Claim) bool                            // grants without control
	claimed    func(*state.ClaimResult)                          // alters the answer to a claim
	command    func(*state.Machine, state.Command) state.Command // alters a command
	relay      func(*wire.Query) func(*wire.Outcome)             // alters queries to agents and their answers
	run        func(*wire.Run)                                   // alters requests to agents
	idempotent bool                                              // orders are taken for idempotent
}

var variants = map[string]variant{
	"no claim":         {finds: "keyed order", grant: func(state.Claim) bool { return true }},
	"sure is left out": {finds: "untrue for its key", grant: func(c state.Claim) bool { return c.Target == "" }},
	"unknown claim is granted": {finds: "keyed order", claimed: func(r *state.ClaimResult) {
		if r.Outcome == state.ClaimUnknown {
			r.Outcome = state.ClaimGranted
		}
	}},
	"any request settles": {finds: "keyed order", command: func(m *state.Machine, c state.Command) state.Command {
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
	"agent does not bar": {finds: "order", relay: func(q *wire.Query) func(*wire.Outcome) {
		q.Bar = false
		return func(o *wire.Outcome) {
			if o.State == wire.Outcome_UNKNOWN {
				o.State = wire.Outcome_NOT_RUN_AND_BARRED
			}
		}
	}},
	"agent forgets ids": {finds: "order", relay: func(q *wire.Query) func(*wire.Outcome) {
		id := q.RequestId
		q.RequestId = make([]byte, len(id))
		return func(o *wire.Outcome) { o.RequestId = id }
	}},
	"repeated message runs again": {finds: "order", run: renameRepeated()},
	"retry after unknown":         {finds: "keyless order", idempotent: true},
}

// renameRepeated gives a request that comes again another id, so that the agent
// does not know it.
func renameRepeated() func(*wire.Run) {
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

// Guards against a search that would not notice a broken rule.
func TestSearchFindsBrokenRules(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			var c counts
			found := false
			memlink.RunInBubble(t, func(t *testing.T) {
				for seed := *searchSeed; seed < *searchSeed+*searchRuns && !found; seed++ {
					if faults := explore(seed, v, &c, hclog.NewNullLogger()); len(faults) > 0 {
						found = true
						t.Logf("seed %d: %s", seed, faults[0])
					}
				}
			})
			if !found {
				t.Fatalf("no run shows that the rule is broken; reached: %s", &c)
			}
		})
	}
}
