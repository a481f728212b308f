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

// check compares what the callers got with what the services counted.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	byOrder := make(map[int][]*run)
	bySend := make(map[int][]*run)
	for _, r := range w.runs {
		byOrder[r.send.order] = append(byOrder[r.send.order], r)
		bySend[r.send.id] = append(bySend[r.send.id], r)
		if r.customer != r.send.customer {
			w.fault("run %d is for %s, sent by %s", r.number, r.customer, r.send.customer)
		}
	}
	for n, runs := range byOrder {
		// A caller without a key sends again only after not-run: true.
		if kind := runs[0].send.kind; kind != read && len(runs) > 1 {
			w.fault("%s order %d ran %d times: sends %d and %d", kindNames[kind], n, len(runs), runs[0].send.id, runs[1].send.id)
		}
	}
	for _, s := range w.sends {
		switch {
		case s.refused():
			w.checkRefusal(s, byOrder[s.order], bySend[s.id])
		case s.err == nil:
			w.checkAnswer(s)
		}
	}
	w.checkUsage()
}

var kindNames = map[orderKind]string{keyed: "keyed", unkeyed: "keyless", read: "read"}

// checkRefusal requires that not-run: true holds for the request for good, and
// with a key for every request under it until control was asked.
func (w *world) checkRefusal(s *send, order, own []*run) {
	switch s.notRun {
	case "true":
		w.counts.notRunTrue.Add(1)
		for _, r := range own {
			w.fault("not-run: true of send %d (%s) is untrue: run %d", s.id, kindNames[s.kind], r.number)
		}
		if s.kind != keyed {
			return
		}
		until := s.began
		w.control.mu.Lock()
		at, ok := w.control.grants[requestID(s)]
		w.control.mu.Unlock()
		if ok {
			until = at
		}
		for _, r := range order {
			if r.at.Before(until) {
				w.fault("not-run: true of send %d is untrue for its key: run %d of send %d; answer %q", s.id, r.number, r.send.id, s.text)
			}
		}
	case "false":
		w.counts.notRunFalse.Add(1)
		if len(order) == 0 {
			w.fault("not-run: false of send %d is untrue", s.id)
		}
	case "unknown":
		w.counts.notRunUnknown.Add(1)
	default:
		w.fault("send %d is refused with not-run %q", s.id, s.notRun)
	}
}

func requestID(s *send) fleet.RequestID {
	var id fleet.RequestID
	_, _ = hex.Decode(id[:], []byte(s.header.Get("Request-Id")))
	return id
}

func (w *world) checkAnswer(s *send) {
	r := w.runOf(s.text)
	switch {
	case r == nil:
		w.fault("send %d got status %d and no whole answer: %.80q", s.id, s.status, s.text)
	case r.send.order != s.order, s.kind != keyed && r.send != s:
		w.fault("send %d got the answer to send %d", s.id, r.send.id)
	default:
		w.counts.answered.Add(1)
	}
}

// checkUsage requires that each run is billed at most once, that each order is
// billed whose answer the service completed for an agent that lives on, and that
// each answer that a caller got is billed unless both processes that report it
// were killed.
func (w *world) checkUsage() {
	w.control.mu.Lock() // late settlements go on
	image := w.control.m.Snapshot()
	windows := append(w.control.m.UnacknowledgedWindows(), image.Usage.Open)
	w.control.mu.Unlock()
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
			w.fault("customer %s: %d requests are billed with tokens %b", c, requests[c], sum)
		}
		for _, r := range w.runs {
			if sum&(1<<r.number) != 0 && (r.customer != string(c) || !r.completed) {
				w.fault("run %d of %s, completed %v, is billed to %s", r.number, r.customer, r.completed, c)
			}
		}
	}
	for _, r := range w.runs {
		if r.completed && r.send.kind != read && r.agent != nil && r.agent.ctx.Err() == nil && r.service.ctx.Err() == nil &&
			billed[fleet.Customer(r.customer)]&(1<<r.number) == 0 {
			w.fault("run %d of send %d is completed but not billed", r.number, r.send.id)
		}
	}
	for _, s := range w.sends {
		if s.err != nil || s.status != http.StatusOK || s.refused() || s.header.Get("Idempotency-Replayed") != "" {
			continue
		}
		r := w.runOf(s.text)
		if r == nil || r.agent == nil || r.agent.ctx.Err() != nil && s.entry.ctx.Err() != nil {
			continue
		}
		w.counts.billed.Add(1)
		if billed[fleet.Customer(s.customer)]&(1<<r.number) == 0 {
			w.fault("run %d of send %d is answered but not billed", r.number, s.id)
		}
	}
}

// busy names the requests and usage records that processes still hold.
func (w *world) busy() []string {
	var out []string
	for i := range w.entries {
		d := w.entries[i].current().entry.Dump().(entry.Dump)
		if d.Running != 0 || d.BodyBytes != 0 || d.UsageWaiting != 0 {
			out = append(out, fmt.Sprintf("entry %d holds %d requests, %d bytes, %d usage records", i, d.Running, d.BodyBytes, d.UsageWaiting))
		}
	}
	for i := range w.agents {
		d := w.agents[i].current().agent.Dump().(agent.Dump)
		if d.Running != 0 || d.UsageWaiting != 0 {
			out = append(out, fmt.Sprintf("agent %d holds %d requests, %d usage records", i, d.Running, d.UsageWaiting))
		}
	}
	return out
}

// checkIdle requires that no process holds a request some time after the last
// one.
func (w *world) checkIdle() {
	for until := time.Now().Add(idleAfter); len(w.busy()) > 0 && time.Now().Before(until); {
		time.Sleep(time.Second)
	}
	for _, text := range w.busy() {
		w.failf("%s", text)
	}
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	for _, c := range w.control.m.Snapshot().Claims {
		if c.Phase == state.ClaimPhaseRunning {
			w.counts.unsettled.Add(1)
		}
	}
}

// idleAfter is longer than any request, report or settlement takes once the
// faults have ended.
const idleAfter = 40 * time.Second
