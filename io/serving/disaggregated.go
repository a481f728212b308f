package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/io/entry"
)

// PrefillOnly reports whether the target chosen last for the request only performs the
// prefill, and the expected time to the first token. A response of one token needs no
// separate decode, since the prefill target produces it.
func (p *Policy) PrefillOnly(r entry.Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rs := p.requests[r.ID]
	if rs == nil || !rs.chosen || !rs.choice.PrefillOnly || r.MaxOutputTokens == 1 {
		return 0, false
	}
	return rs.choice.Expected, true
}

// PickDecode chooses the target that decodes the response after the prefill, and reports
// whether the KV cache is to be transferred to it. KV caches are not transferred between
// regions. ok is false if no target is available.
func (p *Policy) PickDecode(r entry.Request, prefill fleet.Target, targets []fleet.Target) (t fleet.Target, transferKV, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, err := p.router.Pick(now, route.Request{
		Pool: r.Route.Pool, Customer: r.Customer, Stage: route.Decode, PrefillDataCentre: prefill.DataCentre, PromptTokens: promptTokens(r),
		OutputTokens: float64(r.MaxOutputTokens), FirstTokenBy: firstTokenBy(r), TriedTargets: r.TriedTargets,
	})
	if err != nil {
		return fleet.Target{}, false, false
	}
	for _, t := range targets {
		if t.Name == choice.Target {
			p.recordChoice(now, r.ID, choice)
			p.requests[r.ID].decodeOnly = true
			return t, choice.TransferKV, true
		}
	}
	// The router and the entry use different configurations, as in Pick.
	p.router.Step(now, route.Outcome{Choice: choice, Result: route.Cancelled})
	return fleet.Target{}, false, false
}

// RecordKVTransfer reports a KV cache transfer to the router, which learns its cost.
// complete is false for a transfer that failed.
func (p *Policy) RecordKVTransfer(r entry.Request, from, to fleet.TargetName, bytes uint64, elapsed time.Duration, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := route.KVTransferred{
		From: from, To: to, Customer: r.Customer, Tokens: promptTokens(r), Bytes: bytes, Elapsed: elapsed, Complete: complete,
	}
	p.kvTransfers++
	p.router.Step(time.Now(), m)
}
