package route

import (
	"math"
	"time"
)

// transferTimeConstant is the age at which the measured transfer time has decayed by
// 63%. Without decay a high measurement would persist, since transfers that are
// expected to be slow are not attempted and no new measurement is made.
const transferTimeConstant = time.Minute

// applyKVTransferred updates the transfer time per token and counts the bytes of
// transfers between regions. Failed transfers are measured only if they were slow.
func (r *Router) applyKVTransferred(now time.Time, e KVTransferred) {
	from, fromKnown := r.byName[e.From]
	to, toKnown := r.byName[e.To]
	if fromKnown && toKnown && r.targets[from].Region != r.targets[to].Region {
		r.CrossRegionBytes[e.Customer] += e.Bytes
	}
	if e.Tokens <= 0 {
		return
	}
	perToken := e.Elapsed.Seconds() / e.Tokens
	if !e.Complete && perToken < r.transferSecondsPerToken {
		return // a transfer that fails early is no evidence of fast transfers
	}
	if r.transferSecondsPerToken == 0 {
		r.transferSecondsPerToken = perToken
	}
	r.transferSecondsPerToken += averageWeight * (perToken - r.transferSecondsPerToken)
	r.transferUpdatedAt = now
}

// transferCost returns the expected time in seconds to transfer the KV cache of a
// prompt. It is 0 until a transfer has been measured.
func (r *Router) transferCost(now time.Time, tokens float64) float64 {
	if r.transferSecondsPerToken == 0 {
		return 0
	}
	return r.transferSecondsPerToken * tokens * math.Exp(-float64(now.Sub(r.transferUpdatedAt))/float64(transferTimeConstant))
}

// worthTransferring reports whether decoding at the decode candidate instead of the
// local one saves more time than the transfer of the KV cache takes. It is true
// while the transfer time is unknown, and if the local candidate may not be chosen.
func (r *Router) worthTransferring(now time.Time, q Request, decode, local candidate) bool {
	cost := r.transferCost(now, q.PromptTokens)
	return cost == 0 || math.IsInf(local.score, 1) || local.score-decode.score > cost
}
