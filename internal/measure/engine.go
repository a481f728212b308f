package measure

import (
	"time"

	"papayarock/core/fleet"
)

// Engine model.
const (
	batchTime      = 6 * time.Millisecond   // per batch
	promptTime     = 50 * time.Microsecond  // per prompt token
	sequenceTime   = 250 * time.Microsecond // per decoding request in a batch
	mixedTime      = 6 * time.Millisecond   // added to a batch with both phases
	prefillChunk   = 2048                   // maximum prompt tokens in a batch of a prefill engine
	mixedChunk     = 256                    // maximum prompt tokens in a batch of a mixed or decode engine
	engineSlots    = 32
	blockTokens    = 256
	cacheBlocks    = 48
	roleChangeTime = 5 * time.Second
	serviceTime    = 30 * time.Millisecond
	serviceSlots   = 8
	speedWeight    = 0.05 // weight of one batch in the moving average of the prompt speed
)

// attempt is one stage of a request at one engine.
type attempt struct {
	r            *request
	remaining    float64 // prompt tokens to process
	produced     int     // output tokens produced
	decodeOnly   bool    // decode stage, after a KV transfer
	prefillOnly  bool    // prefill stage only; decode runs at another engine
	onFirstToken func()  // called when the prompt has been processed
	onEnd        func(ok bool)
	cancelled    bool
	started      bool
}

type engine struct {
	clock         *clock
	target        fleet.Target
	site          int
	slowdown      float64 // factor of batch times
	fifo          bool    // ignores classes
	prompts       []*attempt
	waitingDecode []*attempt // decode phases without a slot
	running       []*attempt
	busy          bool
	dead          bool
	unavailable   bool // draining or changing its role
	paidFrom      time.Duration
	paidTime      time.Duration // set at the end of the engine or of the run

	cache   []uint64 // least recently used first
	stored  []uint64 // cache changes not yet sent
	evicted []uint64
	seq     uint64

	busyTime                   time.Duration // time in batches since the last call of takeSpeed
	prefilled, decoded         float64       // tokens since the last call of takeSpeed
	saturated                  bool          // a batch left prompts waiting or filled 3/4 of the slots since the last call of takeSpeed
	promptTokens, cachedTokens float64       // of accepted prompts and of their cached prefixes; both decay
	promptSpeed                float64       // prompt tokens/s in batches with a prompt, moving average
}

// accept queues an attempt; a dead engine fails it.
func (e *engine) accept(a *attempt) {
	if e.dead {
		a.onEnd(false)
		return
	}
	if e.target.Kind == fleet.Service {
		e.prompts = append(e.prompts, a)
		e.serveRequests()
		return
	}
	if a.decodeOnly {
		e.waitingDecode = append(e.waitingDecode, a)
	} else {
		hit := e.cachedPromptTokens(a.r)
		a.remaining = a.r.promptTokens - hit
		e.promptTokens += a.r.promptTokens
		e.cachedTokens += hit
		e.prompts = e.insertByClass(e.prompts, a)
	}
	e.startIfIdle()
}

// insertByClass queues an urgent attempt ahead of patient ones that have not
// started.
func (e *engine) insertByClass(l []*attempt, a *attempt) []*attempt {
	l = append(l, a)
	if e.fifo || a.r.class == fleet.Patient {
		return l
	}
	i := len(l) - 1
	for i > 0 && l[i-1].r.class == fleet.Patient && !l[i-1].started {
		l[i] = l[i-1]
		i--
	}
	l[i] = a
	return l
}

// serveRequests runs queued requests of a plain service in its free slots.
func (e *engine) serveRequests() {
	for len(e.running) < serviceSlots && len(e.prompts) > 0 {
		a := e.prompts[0]
		e.prompts = e.prompts[1:]
		e.running = append(e.running, a)
		e.clock.after(time.Duration(float64(serviceTime)*e.slowdown), func() {
			if e.dead {
				return
			}
			e.remove(a)
			a.onFirstToken()
			a.onEnd(true)
			e.serveRequests()
		})
	}
}

func (e *engine) remove(a *attempt) {
	for i, x := range e.running {
		if x == a {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

func (e *engine) startIfIdle() {
	if !e.busy && !e.dead {
		e.startBatch()
	}
}

// startBatch starts the next batch if there is work.
func (e *engine) startBatch() {
	e.fillSlots()
	chunk := 0.0
	var part *attempt
	if len(e.prompts) > 0 && (e.target.Role == fleet.Prefill || len(e.running) < engineSlots) {
		part = e.prompts[0]
		part.started = true
		chunk = min(part.remaining, mixedChunk)
		if e.target.Role == fleet.Prefill {
			chunk = min(part.remaining, prefillChunk)
		}
	}
	if part == nil && len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	d := batchTime + time.Duration(chunk*float64(promptTime)) + time.Duration(len(e.running))*sequenceTime
	if part != nil && len(e.running) > 0 {
		d += mixedTime
	}
	e.saturated = e.saturated || len(e.prompts) > 1 || len(e.running) >= engineSlots*3/4
	d = time.Duration(float64(d) * e.slowdown)
	n := len(e.running)
	e.clock.after(d, func() { e.endBatch(d, part, chunk, n) })
}

// fillSlots starts waiting decode stages in free slots.
func (e *engine) fillSlots() {
	for len(e.waitingDecode) > 0 && len(e.running) < engineSlots {
		e.running = append(e.running, e.waitingDecode[0])
		e.waitingDecode = e.waitingDecode[1:]
	}
}

// endBatch ends a batch that processed a chunk of the prompt of part and one token
// for each of the first n running attempts.
func (e *engine) endBatch(d time.Duration, part *attempt, chunk float64, n int) {
	if e.dead {
		return
	}
	e.busyTime += d
	e.prefilled += chunk
	e.decoded += float64(n)
	if chunk > mixedChunk/2 {
		e.promptSpeed += speedWeight * (chunk/d.Seconds() - e.promptSpeed)
	}
	keep := e.running[:0]
	var ended []*attempt
	for i, a := range e.running {
		if i < n {
			a.produced++
		}
		if a.produced >= a.r.outputTokens || a.cancelled {
			ended = append(ended, a)
		} else {
			keep = append(keep, a)
		}
	}
	e.running = keep
	for _, a := range ended {
		a.onEnd(true)
	}
	if part != nil {
		e.advancePrompt(part, chunk)
	}
	e.startBatch()
}

// advancePrompt accounts a processed chunk of a prompt and starts its decode phase
// when the prompt is complete.
func (e *engine) advancePrompt(a *attempt, chunk float64) {
	a.remaining -= chunk
	if a.remaining > 0 && !a.cancelled {
		return
	}
	e.prompts = e.prompts[1:]
	e.cachePrefix(a.r)
	a.produced = 1
	a.onFirstToken()
	if a.prefillOnly || a.r.outputTokens <= 1 {
		a.onEnd(true)
		return
	}
	e.running = append(e.running, a)
}

// cachedPromptTokens returns the length of the cached prefix of a prompt in tokens.
func (e *engine) cachedPromptTokens(r *request) float64 {
	n := 0
	for _, h := range r.prefix {
		if e.cacheIndex(h) < 0 {
			break
		}
		n++
	}
	return float64(n) * blockTokens
}

func (e *engine) cacheIndex(h uint64) int {
	for i, c := range e.cache {
		if c == h {
			return i
		}
	}
	return -1
}

func (e *engine) cachePrefix(r *request) {
	for _, h := range r.prefix {
		if i := e.cacheIndex(h); i >= 0 {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
		} else {
			e.stored = append(e.stored, h)
		}
		e.cache = append(e.cache, h)
	}
	for len(e.cache) > cacheBlocks {
		e.evicted = append(e.evicted, e.cache[0])
		e.cache = e.cache[1:]
	}
}

// backlog returns the prompt tokens not yet processed and the estimated output
// tokens not yet generated.
func (e *engine) backlog() (prefill, decode float64) {
	for _, a := range e.prompts {
		prefill += a.remaining
		if !a.prefillOnly {
			decode += a.r.outputEstimate
		}
	}
	for _, l := range [2][]*attempt{e.waitingDecode, e.running} {
		for _, a := range l {
			decode += max(a.r.outputEstimate-float64(a.produced), a.r.outputEstimate/4)
		}
	}
	return prefill, decode
}

func (e *engine) idle() bool { return len(e.prompts)+len(e.waitingDecode)+len(e.running) == 0 }

// kill stops an engine at once; its attempts fail.
func (e *engine) kill() {
	e.dead = true
	e.paidTime += e.clock.now - e.paidFrom
	for _, l := range [3][]*attempt{e.prompts, e.waitingDecode, e.running} {
		for _, a := range l {
			a.onEnd(false)
		}
	}
	e.prompts, e.waitingDecode, e.running = nil, nil, nil
}
