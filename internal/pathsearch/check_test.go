package pathsearch

import (
	"encoding/hex"
	"fmt"
	"math/bits"
	"net/http"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/agent"
	"papayarock/io/entry"
)

// check compares the responses that callers received with the runs at the services
// and with the billed usage. An order other than a read must run at most once.
func (sim *simulation) check() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	byOrder := make(map[int][]*run)
	bySend := make(map[int][]*run)
	for _, r := range sim.runs {
		byOrder[r.send.order] = append(byOrder[r.send.order], r)
		bySend[r.send.id] = append(bySend[r.send.id], r)
		if r.customer != r.send.customer {
			sim.failLockedf("run %d is for customer %s but was sent by customer %s", r.number, r.customer, r.send.customer)
		}
	}
	for n, runs := range byOrder {
		// This holds without an idempotency key, too, because the caller then retries
		// only after not-run: true.
		if kind := runs[0].send.kind; kind != read && len(runs) > 1 {
			sim.failLockedf("%s order %d ran %d times: sends %d and %d", kindNames[kind], n, len(runs), runs[0].send.id, runs[1].send.id)
		}
	}
	for _, s := range sim.sends {
		switch {
		case s.refused():
			sim.checkRefusal(s, byOrder[s.order], bySend[s.id])
		case s.err == nil:
			sim.checkResponse(s)
		}
	}
	sim.checkUsage()
}

// kindNames are the names in violations, which variants match.
var kindNames = map[orderKind]string{keyed: "keyed", unkeyed: "keyless", read: "read"}

// checkRefusal checks the not-run value of a refusal. order holds the runs of all
// requests for the order, own those of the refused request.
//
// With not-run: true, the request must never run. If it has an idempotency key, no
// other request with the key may have run before this request was granted a claim
// or, if it was granted none, before it was sent. With not-run: false, a request for
// the order must have run.
func (sim *simulation) checkRefusal(s *send, order, own []*run) {
	switch s.notRun {
	case "true":
		sim.counts.notRunTrue.Add(1)
		for _, r := range own {
			sim.failLockedf("send %d (%s): not-run: true is wrong: run %d", s.id, kindNames[s.kind], r.number)
		}
		if s.kind != keyed {
			return
		}
		until := s.began
		sim.control.mu.Lock()
		at, ok := sim.control.grantedAt[requestID(s)]
		sim.control.mu.Unlock()
		if ok {
			until = at
		}
		for _, r := range order {
			if r.at.Before(until) {
				sim.failLockedf("send %d: not-run: true is wrong for its key: run %d of send %d; response %q", s.id, r.number, r.send.id, s.responseBody)
			}
		}
	case "false":
		sim.counts.notRunFalse.Add(1)
		if len(order) == 0 {
			sim.failLockedf("send %d: not-run: false is wrong: no run", s.id)
		}
	case "unknown":
		sim.counts.notRunUnknown.Add(1)
	default:
		sim.failLockedf("send %d was refused with not-run %q", s.id, s.notRun)
	}
}

// requestID returns the request id that the entry assigned.
func requestID(s *send) fleet.RequestID {
	var id fleet.RequestID
	_, _ = hex.Decode(id[:], []byte(s.header.Get("Request-Id")))
	return id
}

// checkResponse requires that a response is that of a run of the same order and,
// unless the order is keyed, of the same request.
func (sim *simulation) checkResponse(s *send) {
	r := sim.runWithResponse(s.responseBody)
	switch {
	case r == nil:
		sim.failLockedf("send %d got status %d and a body that matches no run: %.80q", s.id, s.status, s.responseBody)
	case r.send.order != s.order, s.kind != keyed && r.send != s:
		sim.failLockedf("send %d got the response to send %d", s.id, r.send.id)
	default:
		sim.counts.responses.Add(1)
	}
}

// checkUsage requires that
//   - each run is billed at most once, to its own customer, and only if the service
//     completed its response;
//   - each completed run other than a read is billed, unless the service or the agent
//     was killed;
//   - each run whose response a caller received is billed, unless both the agent and
//     the entry were killed. Either of them reports the usage. Replayed responses are
//     exempt, since the entry that replays one need not have reported its usage.
func (sim *simulation) checkUsage() {
	sim.control.mu.Lock() // delayed commands may still be applied
	image := sim.control.machine.Snapshot()
	windows := append(sim.control.machine.UnacknowledgedWindows(), image.Usage.Open)
	sim.control.mu.Unlock()
	billed := make(map[fleet.Customer]uint64)
	requests := make(map[fleet.Customer]uint64)
	for _, x := range windows {
		for _, f := range x.Figures {
			billed[f.Customer] += f.PromptTokens
			requests[f.Customer] += f.Requests
		}
	}
	for c, sum := range billed {
		// Each run has its own power of two as the number of prompt tokens, so a run
		// that is billed twice makes the sum have another number of bits.
		if uint64(bits.OnesCount64(sum)) != requests[c] {
			sim.failLockedf("customer %s: %d requests are billed, but the prompt tokens %b are those of another number of runs", c, requests[c], sum)
		}
		for _, r := range sim.runs {
			if sum&(1<<r.number) != 0 && (r.customer != string(c) || !r.completed) {
				sim.failLockedf("run %d of customer %s (completed: %v) is billed to customer %s", r.number, r.customer, r.completed, c)
			}
		}
	}
	for _, r := range sim.runs {
		if r.completed && r.send.kind != read && r.agent != nil && r.agent.ctx.Err() == nil && r.service.ctx.Err() == nil &&
			billed[fleet.Customer(r.customer)]&(1<<r.number) == 0 {
			sim.failLockedf("run %d of send %d is completed but not billed", r.number, r.send.id)
		}
	}
	for _, s := range sim.sends {
		if s.err != nil || s.status != http.StatusOK || s.refused() || s.header.Get("Idempotency-Replayed") != "" {
			continue
		}
		r := sim.runWithResponse(s.responseBody)
		if r == nil || r.agent == nil || r.agent.ctx.Err() != nil && s.entry.ctx.Err() != nil {
			continue
		}
		sim.counts.billingChecks.Add(1)
		if billed[fleet.Customer(s.customer)]&(1<<r.number) == 0 {
			sim.failLockedf("run %d is not billed although send %d received its response", r.number, s.id)
		}
	}
}

// pendingWork describes the requests and usage records that entries and agents still
// hold.
func (sim *simulation) pendingWork() []string {
	var out []string
	for i := range sim.entries {
		d := sim.entries[i].current().entry.Dump().(entry.Dump)
		if d.Running != 0 || d.BodyBytes != 0 || d.UsageWaiting != 0 {
			out = append(out, fmt.Sprintf("entry %d still holds %d requests, %d body bytes, %d usage records", i, d.Running, d.BodyBytes, d.UsageWaiting))
		}
	}
	for i := range sim.agents {
		d := sim.agents[i].current().agent.Dump().(agent.Dump)
		if d.Running != 0 || d.UsageWaiting != 0 {
			out = append(out, fmt.Sprintf("agent %d still holds %d requests, %d usage records", i, d.Running, d.UsageWaiting))
		}
	}
	return out
}

// checkIdle requires that entries and agents hold no request or usage record any more
// idleTimeout after the last request. It also counts the claims never settled.
func (sim *simulation) checkIdle() {
	for until := time.Now().Add(idleTimeout); len(sim.pendingWork()) > 0 && time.Now().Before(until); {
		time.Sleep(time.Second)
	}
	for _, text := range sim.pendingWork() {
		sim.failf("%v after the last request: %s", idleTimeout, text)
	}
	sim.control.mu.Lock()
	defer sim.control.mu.Unlock()
	for _, c := range sim.control.machine.Snapshot().Claims {
		if c.Phase == state.ClaimPhaseRunning {
			sim.counts.unsettledClaims.Add(1)
		}
	}
}

// idleTimeout is longer than any request, usage report or settlement takes once no
// faults are injected any more.
const idleTimeout = 40 * time.Second
