package place

import (
	"cmp"
	"slices"
	"time"
)

// maxOverloadPauseShare is the part of the objective for pauses between events that a
// decode engine may spend on a prompt while the prefill engines are overloaded. No other
// prompt is processed at the engine then, as far as is known.
const maxOverloadPauseShare = 1.0 / 3

// prefillOverloaded reports whether a prompt is expected to wait too long at all prefill
// engines. Decode engines help out then with the prompts that do not pause their streams
// for too long, one at a time for each engine: right after a start, when no prefix is
// cached, in a burst, and until engines that were ordered to prefill have changed their
// role.
func (p *Placer) prefillOverloaded(now time.Time, x *pool, prefill []*target, req Request) bool {
	if len(prefill) == 0 || !p.usesBacklog(now, x, req) || !x.fitsPause(req.Prompt.Tokens, req.MaxPause, maxOverloadPauseShare) {
		return false
	}
	return p.presentWait(now, x, prefill) > x.allowedWait(now, req)
}

// presentWait returns the shortest wait at the prefill engines that is expected now: that
// of the last report, with the work that other gateways have sent since, less what the
// engines have processed.
func (p *Placer) presentWait(now time.Time, x *pool, prefill []*target) time.Duration {
	return max(0, p.waitLevel(now, x, prefill)-p.reportAge.age(now))
}

// pickIdleDecode returns a near decode engine that no gateway is known to have sent a
// prompt to, or nil if there is none.
func (p *Placer) pickIdleDecode(x *pool, decode []*target, req Request) *target {
	took, _ := x.speed.time(req.Prompt.Tokens)
	left := req.Objective - time.Duration(float64(took)/decodePrefillSpeed)
	idle := slices.DeleteFunc(slices.Clone(decode), func(t *target) bool {
		return t.own.Prompts+t.others.Prompts > 0 || t.inFlight >= p.slotShare(t) || p.rttTo(t) > left
	})
	if len(idle) == 0 {
		return nil
	}
	nearest := slices.MinFunc(idle, func(a, b *target) int { return cmp.Compare(p.rttTo(a), p.rttTo(b)) })
	farthest := p.rttTo(nearest) + time.Duration(similarCostShare*float64(req.Objective))
	near := slices.DeleteFunc(idle, func(t *target) bool { return p.rttTo(t) > farthest })
	if req.Affinity != "" {
		return rendezvous(near, req.Affinity)
	}
	return leastRecent(near)
}
