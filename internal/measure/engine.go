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
	prefillChunk   = 2048                   // prompt tokens in a batch of a prefill engine
	mixedChunk     = 256                    // prompt tokens in a batch of a mixed engine
	engineSlots    = 32
	blockTokens    = 256
	cacheBlocks    = 48
	roleChangeTime = 5 * time.Second
	serviceTime    = 30 * time.Millisecond
	serviceSlots   = 8
	speedWeight    = 0.05 // of one batch in the reported prompt speed
)

// attempt is one request at one engine.
type attempt struct {
	r       *request
	left    float64 // prompt tokens to process
	out     int     // output tokens produced
	decode  bool    // only the decode phase
	prompt  bool    // only the prompt
	first   func()  // prompt processed
	end     func(ok bool)
	cancel  bool
	started bool
}

type engine struct {
	c       *clock
	target  fleet.Target
	site    int
	slow    float64 // factor of batch times
	fifo    bool    // ignores classes
	prompts []*attempt
	wait    []*attempt // decode phases without a slot
	running []*attempt
	busy    bool
	dead    bool
	away    bool // drains or changes its role
	since   time.Duration
	cost    time.Duration // paid time

	cache  []uint64 // least recently used first
	stored []uint64 // changes not yet sent
	gone   []uint64
	seq    uint64

	worked          time.Duration // busy since the last speed report
	prefilled, made float64       // tokens since then
	full            bool          // batches were full
	asked, saved    float64       // prompt tokens accepted, and found in the cache
	promptSpeed     float64       // prompt tokens/s in batches with a prompt, moving average
}

// accept takes an attempt; a dead engine refuses.
func (e *engine) accept(a *attempt) {
	if e.dead {
		a.end(false)
		return
	}
	if e.target.Kind == fleet.Service {
		e.prompts = append(e.prompts, a)
		e.serve()
		return
	}
	if a.decode {
		e.wait = append(e.wait, a)
	} else {
		hit := e.hit(a.r)
		a.left = a.r.prompt - hit
		e.asked += a.r.prompt
		e.saved += hit
		e.prompts = e.insert(e.prompts, a)
	}
	e.kick()
}

// insert keeps urgent attempts ahead of patient ones.
func (e *engine) insert(l []*attempt, a *attempt) []*attempt {
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

// serve runs a plain service.
func (e *engine) serve() {
	for len(e.running) < serviceSlots && len(e.prompts) > 0 {
		a := e.prompts[0]
		e.prompts = e.prompts[1:]
		e.running = append(e.running, a)
		e.c.in(time.Duration(float64(serviceTime)*e.slow), func() {
			if e.dead {
				return
			}
			e.remove(a)
			a.first()
			a.end(true)
			e.serve()
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

func (e *engine) kick() {
	if !e.busy && !e.dead {
		e.batch()
	}
}

// batch starts the next batch, if there is work.
func (e *engine) batch() {
	e.fill()
	chunk := 0.0
	var part *attempt
	if len(e.prompts) > 0 && (e.target.Role == fleet.Prefill || len(e.running) < engineSlots) {
		part = e.prompts[0]
		part.started = true
		chunk = min(part.left, mixedChunk)
		if e.target.Role == fleet.Prefill {
			chunk = min(part.left, prefillChunk)
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
	e.full = e.full || len(e.prompts) > 1 || len(e.running) >= engineSlots*3/4
	d = time.Duration(float64(d) * e.slow)
	n := len(e.running)
	e.c.in(d, func() { e.finish(d, part, chunk, n) })
}

// fill moves decode phases into free slots.
func (e *engine) fill() {
	for len(e.wait) > 0 && len(e.running) < engineSlots {
		e.running = append(e.running, e.wait[0])
		e.wait = e.wait[1:]
	}
}

// finish ends a batch of a chunk of part's prompt and the first n running.
func (e *engine) finish(d time.Duration, part *attempt, chunk float64, n int) {
	if e.dead {
		return
	}
	e.worked += d
	e.prefilled += chunk
	e.made += float64(n)
	if chunk > mixedChunk/2 {
		e.promptSpeed += speedWeight * (chunk/d.Seconds() - e.promptSpeed)
	}
	keep := e.running[:0]
	var ended []*attempt
	for i, a := range e.running {
		if i < n {
			a.out++
		}
		if a.out >= a.r.output || a.cancel {
			ended = append(ended, a)
		} else {
			keep = append(keep, a)
		}
	}
	e.running = keep
	for _, a := range ended {
		a.end(true)
	}
	if part != nil {
		e.processed(part, chunk)
	}
	e.batch()
}

// processed takes a chunk off a prompt.
func (e *engine) processed(a *attempt, chunk float64) {
	a.left -= chunk
	if a.left > 0 && !a.cancel {
		return
	}
	e.prompts = e.prompts[1:]
	e.store(a.r)
	a.out = 1
	a.first()
	if a.prompt || a.r.output <= 1 {
		a.end(true)
		return
	}
	e.running = append(e.running, a)
}

// hit returns the prompt tokens that the cache holds.
func (e *engine) hit(r *request) float64 {
	n := 0
	for _, h := range r.prefix {
		if e.index(h) < 0 {
			break
		}
		n++
	}
	return float64(n) * blockTokens
}

func (e *engine) index(h uint64) int {
	for i, c := range e.cache {
		if c == h {
			return i
		}
	}
	return -1
}

func (e *engine) store(r *request) {
	for _, h := range r.prefix {
		if i := e.index(h); i >= 0 {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
		} else {
			e.stored = append(e.stored, h)
		}
		e.cache = append(e.cache, h)
	}
	for len(e.cache) > cacheBlocks {
		e.gone = append(e.gone, e.cache[0])
		e.cache = e.cache[1:]
	}
}

// backlog returns prompt and output tokens still to come.
func (e *engine) backlog() (prefill, decode float64) {
	for _, a := range e.prompts {
		prefill += a.left
		if !a.prompt {
			decode += a.r.estimate
		}
	}
	for _, l := range [2][]*attempt{e.wait, e.running} {
		for _, a := range l {
			decode += max(a.r.estimate-float64(a.out), a.r.estimate/4)
		}
	}
	return prefill, decode
}

func (e *engine) empty() bool { return len(e.prompts)+len(e.wait)+len(e.running) == 0 }

// kill ends an engine; what it held fails.
func (e *engine) kill() {
	e.dead = true
	e.cost += e.c.now - e.since
	for _, l := range [3][]*attempt{e.prompts, e.wait, e.running} {
		for _, a := range l {
			a.end(false)
		}
	}
	e.prompts, e.wait, e.running = nil, nil, nil
}
