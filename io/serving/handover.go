package serving

import (
	"time"

	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/io/entry"
)

// PrefillOnly reports whether the most recently chosen target only performs the
// prefill, and the expected time to the first token. A response of one token needs no
// separate decode: the prefill target produces it.
func (p *Policy) PrefillOnly(r entry.Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.requests[r.ID]
	if f == nil || !f.chosen || !f.choice.HandOver || r.MaxOutput == 1 {
		return 0, false
	}
	return f.choice.Expected, true
}

// PickDecode chooses the decode target, and reports whether the KV cache is to be
// moved to it. KV caches are not transferred between regions.
func (p *Policy) PickDecode(r entry.Request, prefill fleet.Target, targets []fleet.Target) (t fleet.Target, move, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, err := p.router.Pick(now, route.Request{
		Pool: r.Route.Pool, Customer: r.Customer, Stage: route.Decode, PrefillDataCentre: prefill.DataCentre, PromptTokens: promptTokens(r),
		OutputTokens: float64(r.MaxOutput), FirstTokenBy: firstTokenBy(r), Tried: r.Tried,
	})
	if err != nil {
		return fleet.Target{}, false, false
	}
	for _, t := range targets {
		if t.Name == choice.Target {
			p.recordChoice(now, r.ID, choice)
			p.requests[r.ID].decodeOnly = true
			return t, choice.MoveKV, true
		}
	}
	p.router.Step(now, route.Outcome{Choice: choice, Result: route.Cancelled})
	return fleet.Target{}, false, false
}

// Moved reports the cost of a KV cache transfer to the router.
func (p *Policy) Moved(r entry.Request, from, to fleet.TargetName, bytes uint64, took time.Duration, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := route.KVMoved{
		From: from, To: to, Customer: r.Customer, Tokens: promptTokens(r), Bytes: bytes, Elapsed: took, Complete: whole,
	}
	p.kvTransfers++
	p.router.Step(time.Now(), m)
}
