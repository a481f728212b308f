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

// check compares the responses of the callers with the runs of the services and
// with the usage records.
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
		// A caller without an idempotency key retries only after not-run: true.
		if kind := runs[0].send.kind; kind != read && len(runs) > 1 {
			sim.failLockedf("%s order %d ran %d times: sends %d and %d", kindNames[kind], n, len(runs), runs[0].send.id, runs[1].send.id)
		}
	}
	for _, s := range sim.sends {
		switch {
		case s.refused():
			sim.checkRefusal(s, byOrder[s.order], bySend[s.id])
		case s.err == nil:
			sim.checkAnswer(s)
		}
	}
	sim.checkUsage()
}

var kindNames = map[orderKind]string{keyed: "keyed", unkeyed: "keyless", read: "read"}

// checkRefusal requires that a request refused with not-run: true never runs and,
// if it has an idempotency key, that no request with that key ran before this
// request was granted the claim or, without a grant, before it was sent.
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
				sim.failLockedf("send %d: not-run: true is wrong for its key: run %d of send %d; response %q", s.id, r.number, r.send.id, s.text)
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

func requestID(s *send) fleet.RequestID {
	var id fleet.RequestID
	_, _ = hex.Decode(id[:], []byte(s.header.Get("Request-Id")))
	return id
}

func (sim *simulation) checkAnswer(s *send) {
	r := sim.runOf(s.text)
	switch {
	case r == nil:
		sim.failLockedf("send %d got status %d and a body that matches no run: %.80q", s.id, s.status, s.text)
	case r.send.order != s.order, s.kind != keyed && r.send != s:
		sim.failLockedf("send %d got the response to send %d", s.id, r.send.id)
	default:
		sim.counts.answered.Add(1)
	}
}

// checkUsage requires that each run is billed at most once, that each run
// other than a read is billed if the service completed its response and neither
// the service nor the agent was killed, and that each response that a caller got
// is billed unless both processes that report its usage, the agent and the entry,
// were killed.
func (sim *simulation) checkUsage() {
	sim.control.mu.Lock() // delayed settlements may still arrive
	image := sim.control.m.Snapshot()
	windows := append(sim.control.m.UnacknowledgedWindows(), image.Usage.Open)
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
		if uint64(bits.OnesCount64(sum)) != requests[c] {
			sim.failLockedf("customer %s: %d billed requests do not match the sum of tokens %b", c, requests[c], sum)
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
		r := sim.runOf(s.text)
		if r == nil || r.agent == nil || r.agent.ctx.Err() != nil && s.entry.ctx.Err() != nil {
			continue
		}
		sim.counts.billed.Add(1)
		if billed[fleet.Customer(s.customer)]&(1<<r.number) == 0 {
			sim.failLockedf("run %d of send %d is answered but not billed", r.number, s.id)
		}
	}
}

// pendingWork describes the requests and usage records that processes still hold.
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

// checkIdle requires that no process holds a request or usage record idleTimeout
// after the last request.
func (sim *simulation) checkIdle() {
	for until := time.Now().Add(idleTimeout); len(sim.pendingWork()) > 0 && time.Now().Before(until); {
		time.Sleep(time.Second)
	}
	for _, text := range sim.pendingWork() {
		sim.failf("%s", text)
	}
	sim.control.mu.Lock()
	defer sim.control.mu.Unlock()
	for _, c := range sim.control.m.Snapshot().Claims {
		if c.Phase == state.ClaimPhaseRunning {
			sim.counts.unsettled.Add(1)
		}
	}
}

// idleTimeout exceeds the duration of any request, usage report or settlement
// after the end of the faults.
const idleTimeout = 40 * time.Second
