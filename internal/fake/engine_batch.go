package fake

import (
	"slices"
	"time"

	"papayarock/core/fleet"
)

// job is a completion request in an engine. The mutex of the engine guards it.
type job struct {
	id             string
	class          fleet.Class
	format         responseFormat
	prompt         []string
	seed           uint32 // of the output
	cachedTokens   int    // prompt tokens found in the prefix cache
	pendingPrefill int    // prompt tokens left to process
	generated      int    // output tokens so far
	maxOutput      int    // output tokens to generate

	body      []byte
	frameEnds []int         // end offset of each frame in body: an SSE event, or the whole body
	done      bool          // no further frames follow
	failed    bool          // the response is incomplete, its connections are aborted
	changed   chan struct{} // closed and replaced on each change
	readers   int           // number of HTTP requests that the response is sent to
}

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) appendFrame(frame []byte) {
	j.body = append(j.body, frame...)
	j.frameEnds = append(j.frameEnds, len(j.body))
	j.notify()
}

func (j *job) finish(failed bool) {
	j.done, j.failed = true, failed
	j.notify()
}

// addJob adds j to the queue and starts the batch loop if it is not running. The
// caller holds the mutex.
func (e *Engine) addJob(j *job) {
	e.jobs[j.id] = j
	e.waiting = append(e.waiting, j)
	if !e.loopRunning {
		e.loopRunning = true
		go e.runBatches(e.generation)
	}
}

// runBatches runs batch steps until there is no work or the engine crashes. An idle
// engine has no goroutine, so that a test under synctest can end.
func (e *Engine) runBatches(generation int) {
	for {
		e.mu.Lock()
		if e.generation != generation {
			e.mu.Unlock()
			return
		}
		e.admit()
		s := e.planStep()
		e.sampleLoad()
		if len(s.work) == 0 {
			e.loopRunning = false
			e.mu.Unlock()
			return
		}
		crashed := e.crashed
		e.mu.Unlock()
		waitUnlessCrashed(s.duration, crashed)
		e.mu.Lock()
		if e.generation == generation {
			e.applyStep(s)
		}
		e.mu.Unlock()
	}
}

// waitUnlessCrashed waits for d or until crashed is closed.
func waitUnlessCrashed(d time.Duration, crashed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-crashed:
	}
}

// admit moves waiting requests into free slots of the batch, urgent ones first. The
// caller holds the mutex.
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
		j.cachedTokens = e.cache.match(j.prompt)
		j.pendingPrefill = len(j.prompt) - j.cachedTokens
		e.counts.Started++
		e.counts.CachedTokens += j.cachedTokens
		e.runs[j.id]++
		e.running = append(e.running, j)
	}
}

// jobWork is the work of a job in a batch step.
type jobWork struct {
	job     *job
	prefill int // prompt tokens to process; 0 means to generate one output token
}

type step struct {
	work            []jobWork
	duration        time.Duration
	prefill, decode int     // tokens of all jobs
	prefillFraction float64 // part of the processing time that is spent on prefill
}

// planStep plans a batch step. Each job whose prompt has been processed generates
// one token. The other jobs, urgent ones first, share a chunk of
// prefillChunkTokens prompt tokens. The caller holds the mutex.
func (e *Engine) planStep() step {
	s := step{}
	budget, prefill, decode := prefillChunkTokens, 0, 0
	for _, class := range []fleet.Class{fleet.Urgent, fleet.Patient} {
		for _, j := range e.running {
			switch {
			case j.class != class:
			case j.pendingPrefill == 0:
				decode++
				s.work = append(s.work, jobWork{job: j})
			case budget > 0:
				n := min(budget, j.pendingPrefill)
				budget -= n
				prefill += n
				s.work = append(s.work, jobWork{job: j, prefill: n})
			}
		}
	}
	prefillSpeed, decodeSpeed := e.roleSpeeds()
	seconds := float64(prefill)/prefillSpeed + float64(decode)/decodeSpeed
	s.prefill, s.decode = prefill, decode
	if seconds > 0 {
		s.prefillFraction = float64(prefill) / prefillSpeed / seconds
	}
	s.duration = e.Step + time.Duration(seconds*float64(time.Second))
	if e.faults.Slowdown > 0 {
		s.duration = time.Duration(float64(s.duration) * e.faults.Slowdown)
	}
	return s
}

// roleSpeeds returns the configured speeds in tokens per second, adjusted to the
// role of the engine.
func (e *Engine) roleSpeeds() (prefill, decode float64) {
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

// speedSmoothing is the weight of the latest step in the moving averages.
const speedSmoothing = 0.1

// engineSpeeds are moving averages of the measured speeds in tokens per second.
// Each covers only the steps with tokens of its phase.
type engineSpeeds struct{ prefill, decode float64 }

// update adds the speeds of a step to the averages.
func (v *engineSpeeds) update(s step) {
	average := func(speed *float64, tokens int, seconds float64) {
		if tokens == 0 || seconds <= 0 {
			return
		}
		if measured := float64(tokens) / seconds; *speed == 0 {
			*speed = measured
		} else {
			*speed += speedSmoothing * (measured - *speed)
		}
	}
	seconds := s.duration.Seconds()
	average(&v.prefill, s.prefill, seconds*s.prefillFraction)
	average(&v.decode, s.decode, seconds*(1-s.prefillFraction))
}

// applyStep applies the result of a batch step to its jobs. The caller holds the
// mutex.
func (e *Engine) applyStep(s step) {
	e.measuredSpeeds.update(s)
	for _, w := range s.work {
		j := w.job
		if j.done {
			continue
		}
		if w.prefill > 0 {
			j.pendingPrefill -= w.prefill
			if j.pendingPrefill == 0 {
				e.cache.storePrompt(j.prompt, e.CacheBlocks, e.EventGapEvery)
			}
			continue
		}
		e.generateToken(j)
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.done })
}

func (e *Engine) generateToken(j *job) {
	if j.generated < j.maxOutput {
		j.generated++
		if j.format.stream {
			j.appendFrame(j.format.tokenFrame(j))
		}
	}
	if j.generated < j.maxOutput {
		return
	}
	for _, frame := range j.format.finalFrames(j) {
		j.appendFrame(frame)
	}
	e.counts.Completed++
	e.counts.PromptTokens += len(j.prompt)
	e.counts.OutputTokens += j.generated
	j.finish(false)
	if e.ResumeWindow > 0 {
		time.AfterFunc(e.ResumeWindow, func() { e.discardIfUnread(j) })
	} else if j.readers == 0 {
		delete(e.jobs, j.id)
	}
}

// discardIfUnread removes a finished job, which was kept for resumption, if it has
// no readers.
func (e *Engine) discardIfUnread(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.id] == j && j.done && j.readers == 0 {
		delete(e.jobs, j.id)
	}
}

// cancelIfUnread cancels j if it is not finished and has no readers. The caller
// holds the mutex.
func (e *Engine) cancelIfUnread(j *job) {
	if j.done || j.readers > 0 || e.jobs[j.id] != j {
		return
	}
	e.counts.Cancelled++
	j.finish(true)
	delete(e.jobs, j.id)
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
}
