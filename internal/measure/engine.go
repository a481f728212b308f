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
	engineSlots    = 32                     // maximum decoding requests in a batch
	blockTokens    = 256                    // prompt tokens per cache block
	cacheBlocks    = 48                     // capacity of the prefix cache
	roleChangeTime = 5 * time.Second
	serviceTime    = 30 * time.Millisecond // of a request at a plain service
	serviceSlots   = 8                     // concurrent requests of a plain service
	speedWeight    = 0.05                  // weight of one batch in the moving average of the prompt speed
)

// stageRun is the execution of one stage of a request, or of both stages, at one
// engine. A request to a plain service has one stage.
type stageRun struct {
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

// engine models an engine or a plain service. A service has no batches and no cache.
type engine struct {
	clock         *clock
	target        fleet.Target
	site          int
	slowdown      float64     // factor of batch times
	fcfs          bool        // processes stages in order of arrival, whatever their class
	prompts       []*stageRun // prompts to process; requests without a slot at a service
	waitingDecode []*stageRun // decode phases without a slot
	running       []*stageRun // in a slot
	busy          bool        // a batch is running
	dead          bool
	unavailable   bool // draining or changing its role
	paidFrom      time.Duration
	paidTime      time.Duration // set when the engine is killed or the run ends

	cache   []uint64 // block hashes, least recently used first
	stored  []uint64 // cache changes not yet sent
	evicted []uint64
	seq     uint64 // of the last cache update sent

	busyTime                   time.Duration // time in batches since the last call of takeSpeed
	prefilled, decoded         float64       // tokens since the last call of takeSpeed
	saturated                  bool          // since the last call of takeSpeed a batch left prompts waiting or filled 3/4 of the slots
	promptTokens, cachedTokens float64       // of accepted prompts and of their cached prefixes; both decay
	promptSpeed                float64       // prompt tokens/s in batches with a prompt, moving average
}

// accept queues a stage; a dead engine fails it.
func (e *engine) accept(s *stageRun) {
	if e.dead {
		s.onEnd(false)
		return
	}
	if e.target.Kind == fleet.Service {
		e.prompts = append(e.prompts, s)
		e.serveRequests()
		return
	}
	if s.decodeOnly {
		e.waitingDecode = append(e.waitingDecode, s)
	} else {
		hit := e.cachedPromptTokens(s.r)
		s.remaining = s.r.promptTokens - hit
		e.promptTokens += s.r.promptTokens
		e.cachedTokens += hit
		e.prompts = e.insertByClass(e.prompts, s)
	}
	e.startIfIdle()
}

// insertByClass queues an urgent stage ahead of patient ones that have not started.
func (e *engine) insertByClass(l []*stageRun, s *stageRun) []*stageRun {
	l = append(l, s)
	if e.fcfs || s.r.class == fleet.Patient {
		return l
	}
	i := len(l) - 1
	for i > 0 && l[i-1].r.class == fleet.Patient && !l[i-1].started {
		l[i] = l[i-1]
		i--
	}
	l[i] = s
	return l
}

// serveRequests runs queued requests of a plain service in its free slots.
func (e *engine) serveRequests() {
	for len(e.running) < serviceSlots && len(e.prompts) > 0 {
		s := e.prompts[0]
		e.prompts = e.prompts[1:]
		e.running = append(e.running, s)
		e.clock.after(time.Duration(float64(serviceTime)*e.slowdown), func() {
			if e.dead {
				return
			}
			e.remove(s)
			s.onFirstToken()
			s.onEnd(true)
			e.serveRequests()
		})
	}
}

func (e *engine) remove(s *stageRun) {
	for i, x := range e.running {
		if x == s {
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

// startBatch starts the next batch if there is work. A batch has a chunk of at most
// one prompt. An engine that also decodes processes a prompt only while a slot is
// free, since decoding follows in this slot.
func (e *engine) startBatch() {
	e.fillSlots()
	chunk := 0.0
	var prompt *stageRun
	if len(e.prompts) > 0 && (e.target.Role == fleet.Prefill || len(e.running) < engineSlots) {
		prompt = e.prompts[0]
		prompt.started = true
		chunk = min(prompt.remaining, mixedChunk)
		if e.target.Role == fleet.Prefill {
			chunk = min(prompt.remaining, prefillChunk)
		}
	}
	if prompt == nil && len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	d := batchTime + time.Duration(chunk*float64(promptTime)) + time.Duration(len(e.running))*sequenceTime
	if prompt != nil && len(e.running) > 0 {
		d += mixedTime
	}
	e.saturated = e.saturated || len(e.prompts) > 1 || len(e.running) >= engineSlots*3/4
	d = time.Duration(float64(d) * e.slowdown)
	n := len(e.running)
	e.clock.after(d, func() { e.endBatch(d, prompt, chunk, n) })
}

// fillSlots starts waiting decode stages in free slots.
func (e *engine) fillSlots() {
	for len(e.waitingDecode) > 0 && len(e.running) < engineSlots {
		e.running = append(e.running, e.waitingDecode[0])
		e.waitingDecode = e.waitingDecode[1:]
	}
}

// endBatch ends a batch that took d. It processed a chunk of prompt, which is nil if
// there was none, and one token for each of the first n running stages.
func (e *engine) endBatch(d time.Duration, prompt *stageRun, chunk float64, n int) {
	if e.dead {
		return
	}
	e.busyTime += d
	e.prefilled += chunk
	e.decoded += float64(n)
	// In a small chunk the fixed time of a batch outweighs the time per token.
	if chunk > mixedChunk/2 {
		e.promptSpeed += speedWeight * (chunk/d.Seconds() - e.promptSpeed)
	}
	keep := e.running[:0]
	var ended []*stageRun
	for i, s := range e.running {
		if i < n {
			s.produced++
		}
		if s.produced >= s.r.outputTokens || s.cancelled {
			ended = append(ended, s)
		} else {
			keep = append(keep, s)
		}
	}
	e.running = keep
	for _, s := range ended {
		s.onEnd(true)
	}
	if prompt != nil {
		e.advancePrompt(prompt, chunk)
	}
	e.startBatch()
}

// advancePrompt subtracts a processed chunk from a prompt. When the prompt is
// complete, it starts the decode phase, or ends a stage that has none.
func (e *engine) advancePrompt(s *stageRun, chunk float64) {
	s.remaining -= chunk
	if s.remaining > 0 && !s.cancelled {
		return
	}
	e.prompts = e.prompts[1:]
	e.cachePrefix(s.r)
	s.produced = 1
	s.onFirstToken()
	if s.prefillOnly || s.r.outputTokens <= 1 {
		s.onEnd(true)
		return
	}
	e.running = append(e.running, s)
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

// cacheIndex returns the position of a block in the cache, or -1.
func (e *engine) cacheIndex(h uint64) int {
	for i, c := range e.cache {
		if c == h {
			return i
		}
	}
	return -1
}

// cachePrefix adds the blocks of a shared prefix as the most recently used ones, and
// evicts the least recently used ones above cacheBlocks.
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
// tokens not yet generated. Until a response ends, at least a quarter of its estimate
// counts as not yet generated.
func (e *engine) backlog() (prefill, decode float64) {
	for _, s := range e.prompts {
		prefill += s.remaining
		if !s.prefillOnly {
			decode += s.r.outputEstimate
		}
	}
	for _, l := range [2][]*stageRun{e.waitingDecode, e.running} {
		for _, s := range l {
			decode += max(s.r.outputEstimate-float64(s.produced), s.r.outputEstimate/4)
		}
	}
	return prefill, decode
}

func (e *engine) idle() bool { return len(e.prompts)+len(e.waitingDecode)+len(e.running) == 0 }

// kill stops an engine at once; its stages fail.
func (e *engine) kill() {
	e.dead = true
	e.paidTime += e.clock.now - e.paidFrom
	for _, l := range [3][]*stageRun{e.prompts, e.waitingDecode, e.running} {
		for _, s := range l {
			s.onEnd(false)
		}
	}
	e.prompts, e.waitingDecode, e.running = nil, nil, nil
}
