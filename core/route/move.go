package route

import (
	"math"
	"time"
)

// moveTimeConstant is the age at which the measured transfer time has decayed by
// 63%. Without decay a high measurement would persist, since transfers that are expected to be slow are not attempted
// and no new measurement is made.
const moveTimeConstant = time.Minute

// applyKVMoved updates the transfer time per token and counts the bytes of
// transfers between regions. Failed transfers are measured only if they were slow.
func (r *Router) applyKVMoved(now time.Time, e KVTransferred) {
	from, fromKnown := r.byName[e.From]
	to, toKnown := r.byName[e.To]
	if fromKnown && toKnown && r.targets[from].Region != r.targets[to].Region {
		r.CrossRegionBytes[e.Customer] += e.Bytes
	}
	if e.Tokens <= 0 {
		return
	}
	perToken := e.Elapsed.Seconds() / e.Tokens
	if !e.Complete && perToken < r.moveSecondsPerToken {
		return // a transfer that fails early is no evidence of fast transfers
	}
	if r.moveSecondsPerToken == 0 {
		r.moveSecondsPerToken = perToken
	}
	r.moveSecondsPerToken += averageWeight * (perToken - r.moveSecondsPerToken)
	r.moveUpdatedAt = now
}

// moveCost returns the expected time in seconds to transfer the KV cache of a
// prompt. It is 0 until a transfer has been measured.
func (r *Router) moveCost(now time.Time, tokens float64) float64 {
	if r.moveSecondsPerToken == 0 {
		return 0
	}
	return r.moveSecondsPerToken * tokens * math.Exp(-float64(now.Sub(r.moveUpdatedAt))/float64(moveTimeConstant))
}

// worthMoving reports whether decoding at the decode candidate instead of the
// local one saves more time than the transfer of the KV cache takes. It is true
// while the transfer time is unknown, and if the local candidate may not be chosen.
func (r *Router) worthMoving(now time.Time, q Request, decode, local candidate) bool {
	cost := r.moveCost(now, q.PromptTokens)
	return cost == 0 || math.IsInf(local.score, 1) || local.score-decode.score > cost
}
