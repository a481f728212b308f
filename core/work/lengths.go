package work

import (
	"math"
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"papayarock/core/fleet"
)

// Limits on the numbers of distributions. The least recently observed ones are forgotten.
const (
	maxExact   = 2048 // of route, customer and prompt bucket
	maxPrompts = 512  // of route and prompt bucket
	maxHints   = 512  // of route and customer
	maxRoutes  = 256
)

const (
	// maxSamples is the weight at which that of older responses is halved, so that a
	// distribution follows a change of the load.
	maxSamples = 512
	// coarseWeight is the number of responses that a coarser distribution counts for in an
	// empty finer one. In one with as many responses it counts for half of that.
	coarseWeight = 8
	// minHints is the number of hints from which a customer's hints are judged by themselves.
	minHints = 16
	// highLength is the quantile taken for Estimate.High. It is above highQuantile by the
	// standard error of a quantile of some 200 responses, so that 0.9 of the responses are
	// at most High. With 0.9 itself, 0.894 to 0.904 of them were.
	highLength = 0.92
)

// Key selects responses that are alike. Prompt is the number of prompt tokens. Responses are
// alike if their prompts have the same number of binary digits.
type Key struct {
	Route    string
	Customer fleet.Customer
	Prompt   int
}

// Estimate is the expected number of events of a response. The zero value means that it is
// unknown.
type Estimate struct {
	Mean float64
	High float64 // 0.9 quantile, rather too high than too low
}

// Lengths learns how many events responses have. The zero value is ready to use. It is not
// safe for concurrent use. Its memory is bounded for any number of keys.
type Lengths struct {
	exact   table[exactKey, histogram]
	prompts table[promptKey, histogram]
	hints   table[customerKey, hints]
	routes  table[string, route]
}

type customerKey struct {
	route    string
	customer fleet.Customer
}

type promptKey struct {
	route  string
	bucket int
}

type exactKey struct {
	promptKey
	customer fleet.Customer
}

type route struct {
	lengths histogram
	hints   hints
}

// Observe records a complete response. hint is the number of output tokens that the caller
// estimated, or zero; stride is the number of tokens in one event, or zero if it is unknown.
// Without a stride the hint is ignored, as are responses without events.
func (l *Lengths) Observe(k Key, hint, events, stride int) {
	if events <= 0 {
		return
	}
	prompt, exact := k.split()
	r := l.routes.obtain(k.Route, maxRoutes)
	if x, ok := hintLog(hint, stride); ok && r.lengths.total > 0 {
		known := l.known(k)
		knownLog, y := known.meanLog(), math.Log2(clampValue(float64(events)))
		r.hints.observe(x, y, knownLog)
		l.hints.obtain(customerKey{k.Route, k.Customer}, maxHints).observe(x, y, knownLog)
	}
	for _, h := range []*histogram{
		&r.lengths, l.prompts.obtain(prompt, maxPrompts), l.exact.obtain(exact, maxExact),
	} {
		h.add(float64(events), 1)
		if h.total > maxSamples {
			h.scale(0.5)
		}
	}
}

// Estimate returns the expected number of events of a response. A key with few responses
// counts together with those of all customers, and then with the whole route. hint and
// stride are as in Observe. maxTokens is the greatest number of output tokens, or zero if
// there is no limit. If nothing is known the estimate is zero.
func (l *Lengths) Estimate(k Key, hint, maxTokens, stride int) Estimate {
	limit := math.Inf(1)
	if maxTokens > 0 && stride > 0 {
		limit = math.Ceil(float64(maxTokens) / float64(stride))
	}
	known := l.known(k)
	x, ok := hintLog(hint, stride)
	if !ok {
		return estimate(&known, 1, limit)
	}
	if known.total <= 0 {
		return estimate(&assumedErrors, math.Exp2(x)/errorUnit, limit)
	}
	expected, errors := l.hintsOf(k).expect(x, known.meanLog())
	return estimate(errors, math.Exp2(expected)/errorUnit, limit)
}

// estimate returns the estimate for the distribution h, with its values multiplied by scale
// and limited to 1 to limit.
func estimate(h *histogram, scale, limit float64) Estimate {
	if h.total <= 0 {
		return Estimate{}
	}
	return Estimate{
		Mean: min(max(scale*h.mean(limit/scale), 1), limit),
		High: min(max(scale*h.quantile(highLength), 1), limit),
	}
}

// hintsOf returns what is known about the hints for responses with key k: those of the
// customer, or those of the route if the customer has sent few. A customer whose hints are
// wrong therefore has little influence on others.
func (l *Lengths) hintsOf(k Key) *hints {
	if h := l.hints.peek(customerKey{k.Route, k.Customer}); h != nil && h.count >= minHints {
		return h
	}
	if r := l.routes.peek(k.Route); r != nil {
		return &r.hints
	}
	return new(hints)
}

// known returns the distribution of the lengths of responses with key k. It is empty if the
// route is unknown.
func (l *Lengths) known(k Key) histogram {
	prompt, exact := k.split()
	var known histogram
	if r := l.routes.peek(k.Route); r != nil {
		known = r.lengths
	}
	for _, h := range []*histogram{l.prompts.peek(prompt), l.exact.peek(exact)} {
		if h != nil {
			coarse := known
			known = *h
			known.merge(&coarse, min(coarse.total, coarseWeight)*coarseWeight/(coarseWeight+h.total))
		}
	}
	return known
}

func (k Key) split() (promptKey, exactKey) {
	prompt := promptKey{k.Route, bits.Len(uint(max(k.Prompt, 0)))}
	return prompt, exactKey{prompt, k.Customer}
}

// table holds the most recently observed values. The zero value is empty.
type table[K comparable, V any] struct{ lru *simplelru.LRU[K, *V] }

// obtain returns the value for a key, which it creates if necessary. The table then holds at
// most limit values.
func (t *table[K, V]) obtain(key K, limit int) *V {
	if t.lru == nil {
		t.lru, _ = simplelru.NewLRU[K, *V](limit, nil) // fails only for a limit below 1
	}
	v, ok := t.lru.Get(key)
	if !ok {
		v = new(V)
		t.lru.Add(key, v)
	}
	return v
}

// peek returns the value for a key, or nil.
func (t *table[K, V]) peek(key K) *V {
	if t.lru == nil {
		return nil
	}
	v, _ := t.lru.Peek(key)
	return v
}
