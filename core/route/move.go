package route

import "math"

// moved learns what it costs to move KV cache, and counts what crosses regions.
func (r *Router) moved(e Moved) {
	from, known := r.byName[e.From]
	to, ok := r.byName[e.To]
	if known && ok && r.targets[from].Region != r.targets[to].Region {
		r.Crossed[e.Customer] += e.Bytes
	}
	if e.Tokens <= 0 {
		return
	}
	x := e.Took.Seconds() / e.Tokens
	if r.move == 0 {
		r.move = x
	}
	r.move += rateWeight * (x - r.move)
}

// saves says whether the decode candidate saves a request at slot more time
// than the move of its KV cache takes. A move counts as free until one was seen.
func (r *Router) saves(q Request, decode, slot candidate) bool {
	if r.move == 0 {
		return true
	}
	if math.IsInf(slot.score, 1) {
		return true
	}
	return slot.score-decode.score > r.move*q.PromptTokens
}
