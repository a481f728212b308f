package route

import (
	"math"
	"time"
)

// trustMove is the age at which the time of the last moves has lost 63% of its
// weight. Moves that look too slow are not tried, so that nothing else would
// show that they have become faster.
const trustMove = time.Minute

// moved learns what it costs to move KV cache, and counts what crosses regions.
func (r *Router) moved(now time.Time, e Moved) {
	from, known := r.byName[e.From]
	to, ok := r.byName[e.To]
	if known && ok && r.targets[from].Region != r.targets[to].Region {
		r.Crossed[e.Customer] += e.Bytes
	}
	if e.Tokens <= 0 {
		return
	}
	x := e.Took.Seconds() / e.Tokens
	if !e.Whole && x < r.move {
		return // a move that fails at once is not a fast one
	}
	if r.move == 0 {
		r.move = x
	}
	r.move += rateWeight * (x - r.move)
	r.movedAt = now
}

// moveCost is the expected time to move the KV cache of a prompt, 0 until a move
// was seen.
func (r *Router) moveCost(now time.Time, tokens float64) float64 {
	if r.move == 0 {
		return 0
	}
	return r.move * tokens * math.Exp(-float64(now.Sub(r.movedAt))/float64(trustMove))
}

// saves says whether the decode candidate saves a request at slot more time
// than the move of its KV cache takes.
func (r *Router) saves(now time.Time, q Request, decode, slot candidate) bool {
	cost := r.moveCost(now, q.PromptTokens)
	return cost == 0 || math.IsInf(slot.score, 1) || slot.score-decode.score > cost
}
