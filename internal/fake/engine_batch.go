package fake

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// job is one request inside an engine. The engine's mutex guards it.
type job struct {
	id       string
	class    fleet.Class
	format   format
	prompt   []string
	seed     uint32 // of the output
	cached   int    // prompt tokens found in the cache
	prefill  int    // prompt tokens still to be processed
	produced int    // output tokens so far
	output   int    // output tokens in all

	body    []byte
	frames  []int // end of each SSE event in body
	done    bool
	failed  bool
	changed chan struct{} // closed and replaced at each change
	readers int
}

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) append(frame []byte) {
	j.body = append(j.body, frame...)
	j.frames = append(j.frames, len(j.body))
	j.notify()
}

func (j *job) end(failed bool) {
	j.done, j.failed = true, failed
	j.notify()
}

// start queues j and runs the batch loop if it is idle. The caller holds the
// mutex.
func (e *Engine) start(j *job) {
	e.jobs[j.id] = j
	e.waiting = append(e.waiting, j)
	if !e.looping {
		e.looping = true
		go e.loop(e.generation)
	}
}

// loop runs batch steps until there is no work, so that an idle engine has no
// goroutine.
func (e *Engine) loop(generation int) {
	for {
		e.mu.Lock()
		if e.generation != generation {
			e.mu.Unlock()
			return
		}
		e.admit()
		s := e.plan()
		e.sample()
		if len(s.shares) == 0 {
			e.looping = false
			e.mu.Unlock()
			return
		}
		crashed := e.crashed
		e.mu.Unlock()
		wait(s.length, crashed)
		e.mu.Lock()
		if e.generation == generation {
			e.apply(s)
		}
		e.mu.Unlock()
	}
}

// wait sleeps for d or until crashed is closed.
func wait(d time.Duration, crashed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-crashed:
	}
}

// admit fills the batch, urgent requests first.
func (e *Engine) admit() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		next := 0
		for i, j := range e.waiting {
			if j.class > e.waiting[next].class {
				next = i
			}
		}
		j := e.waiting[next]
		e.waiting = slices.Delete(e.waiting, next, next+1)
		j.cached = e.cache.match(j.prompt)
		j.prefill = len(j.prompt) - j.cached
		e.counts.Started++
		e.counts.CachedTokens += j.cached
		e.runs[j.id]++
		e.running = append(e.running, j)
	}
}

// share is the work of one job in a step: prompt tokens, or one output token
// if there are none.
type share struct {
	job     *job
	prefill int
}

type step struct {
	shares          []share
	length          time.Duration
	prefill, decode int     // tokens
	prompts         float64 // share of the length that the prompts take
}

// plan shares one step: each job past its prompt yields one token, and the
// prompts, urgent first, share a chunk.
func (e *Engine) plan() step {
	s := step{}
	budget, prefill, decode := prefillChunkTokens, 0, 0
	for _, class := range []fleet.Class{fleet.Urgent, fleet.Patient} {
		for _, j := range e.running {
			switch {
			case j.class != class:
			case j.prefill == 0:
				decode++
				s.shares = append(s.shares, share{job: j})
			case budget > 0:
				n := min(budget, j.prefill)
				budget -= n
				prefill += n
				s.shares = append(s.shares, share{job: j, prefill: n})
			}
		}
	}
	prefillSpeed, decodeSpeed := e.speeds()
	seconds := float64(prefill)/prefillSpeed + float64(decode)/decodeSpeed
	s.prefill, s.decode = prefill, decode
	if seconds > 0 {
		s.prompts = float64(prefill) / prefillSpeed / seconds
	}
	s.length = e.Step + time.Duration(seconds*float64(time.Second))
	if e.faults.Slowdown > 0 {
		s.length = time.Duration(float64(s.length) * e.faults.Slowdown)
	}
	return s
}

func (e *Engine) speeds() (prefill, decode float64) {
	prefill, decode = e.PrefillTokensPerSecond, e.DecodeTokensPerSecond
	switch e.Role {
	case fleet.Prefill:
		return prefill * e.RoleGain, decode / e.RoleGain
	case fleet.Decode:
		return prefill / e.RoleGain, decode * e.RoleGain
	default:
		return prefill, decode
	}
}

// speedWeight is the weight of one step in the measured speeds.
const speedWeight = 0.1

// engineSpeeds are measured over the steps that did work of their phase.
type engineSpeeds struct{ prefill, decode float64 }

func (v *engineSpeeds) measure(s step) {
	follow := func(speed *float64, tokens int, time float64) {
		if tokens == 0 || time <= 0 {
			return
		}
		if n := float64(tokens) / time; *speed == 0 {
			*speed = n
		} else {
			*speed += speedWeight * (n - *speed)
		}
	}
	length := s.length.Seconds()
	follow(&v.prefill, s.prefill, length*s.prompts)
	follow(&v.decode, s.decode, length*(1-s.prompts))
}

func (e *Engine) apply(s step) {
	e.measured.measure(s)
	for _, share := range s.shares {
		j := share.job
		if j.done {
			continue
		}
		if share.prefill > 0 {
			j.prefill -= share.prefill
			if j.prefill == 0 {
				e.cache.store(j.prompt, e.CacheBlocks, e.EventGapEvery)
			}
			continue
		}
		e.produce(j)
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.done })
}

func (e *Engine) produce(j *job) {
	if j.produced < j.output {
		j.produced++
		if j.format.stream {
			j.append(j.format.token(j))
		}
	}
	if j.produced < j.output {
		return
	}
	for _, frame := range j.format.last(j) {
		j.append(frame)
	}
	e.counts.Completed++
	e.counts.PromptTokens += len(j.prompt)
	e.counts.OutputTokens += j.produced
	j.end(false)
	if e.ResumeWindow > 0 {
		time.AfterFunc(e.ResumeWindow, func() { e.forget(j) })
	} else if j.readers == 0 {
		delete(e.jobs, j.id)
	}
}

// forget drops an answer kept for resumption.
func (e *Engine) forget(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.id] == j && j.done && j.readers == 0 {
		delete(e.jobs, j.id)
	}
}

// cancel ends a request that nobody reads.
func (e *Engine) cancel(j *job) {
	if j.done || j.readers > 0 || e.jobs[j.id] != j {
		return
	}
	e.counts.Cancelled++
	j.end(true)
	delete(e.jobs, j.id)
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
}
