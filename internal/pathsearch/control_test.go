package pathsearch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

var errUncertain = errors.New("command may have been committed")

const (
	attemptTimeout = 2 * time.Second
	retryDelay     = 100 * time.Millisecond
	latency        = 5 * time.Millisecond
	restoreEvery   = 7 // commands
	sealEvery      = 11
)

// control applies commands to the real state machine. Submissions are lost,
// late and repeated as planned.
type control struct {
	w *world
	process

	mu       sync.Mutex
	m        *state.Machine
	index    uint64
	attempts int
	down     bool // no quorum
	grants   map[fleet.RequestID]time.Time
}

func newControl(w *world) *control {
	return &control{w: w, m: state.New(), grants: make(map[fleet.RequestID]time.Time)}
}

// fail takes the quorum away, or lets control stand still.
func (c *control) fail(quorum bool) {
	if !quorum {
		c.pause()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = true
}

func (c *control) recover() {
	c.resume()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = false
}

// apply commits an encoded command.
func (c *control) apply(b []byte) state.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	command, err := wire.DecodeCommand(b)
	if err != nil {
		c.w.failf("decode command: %v", err)
		return nil
	}
	if c.index%restoreEvery == 0 {
		c.restore()
	}
	c.commit(state.Tick{Now: time.Now()})
	if n, _ := c.m.OpenWindow(); c.index%sealEvery == 0 && n < 20 {
		c.commit(state.SealUsage{Window: n, Until: time.Now()})
	}
	if c.w.v.command != nil {
		command = c.w.v.command(c.m, command)
	}
	r := c.commit(command)
	if claim, ok := command.(state.Claim); ok {
		if r.(state.ClaimResult).Outcome == state.ClaimGranted {
			c.grants[claim.Request] = time.Now()
		}
	}
	return r
}

func (c *control) commit(command state.Command) state.Result {
	c.index++
	c.m.EnterTerm(1)
	return c.m.Apply(c.index, command)
}

// restore replaces the machine by one that starts from its snapshot.
func (c *control) restore() {
	b, err := wire.EncodeImage(c.m.Snapshot())
	if err == nil {
		var image *state.Snapshot
		if image, err = wire.DecodeImage(b); err == nil {
			c.m = state.New()
			c.m.Restore(image)
		}
	}
	if err != nil {
		c.w.failf("restore: %v", err)
	}
}

func (c *control) next() (fate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.attempts
	c.attempts++
	if n >= nCommands || c.w.healed.Load() {
		return fate{}, c.down
	}
	return c.w.plan.commands[n], c.down
}

// attempt submits a command once.
func (c *control) attempt(ctx context.Context, b []byte) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	f, down := c.next()
	c.w.step()
	if down {
		return nil, errors.Wrap(errUncertain, "no quorum")
	}
	later := func() {
		go func() {
			time.Sleep(f.delay)
			c.apply(b)
		}()
	}
	done := make(chan state.Result, 1)
	go func() {
		time.Sleep(latency)
		c.wait()
		switch f.kind {
		case lostCommand:
			return
		case lateCommand:
			later()
			return
		case repeated:
			later()
		case fine, lostAnswer:
		}
		r := c.apply(b)
		c.w.step()
		if f.kind == lostAnswer {
			return
		}
		time.Sleep(latency)
		done <- r
	}()
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return nil, errors.Wrap(errUncertain, ctx.Err().Error())
	}
}

// endpoint is the connection of one run of a process with control.
type endpoint struct {
	c *control
	l *life
}

// submit goes on until ctx ends or the process is killed, as
// subscribe.Client.Submit does.
func (e *endpoint) submit(ctx context.Context, command state.Command) (state.Result, error) {
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.l.ctx, cancel)()
	for {
		// An agent holds a mutex while it reports; a killed one must not wait here,
		// since a goroutine that waits for a mutex stops the clock of a bubble.
		e.l.process.waitUntil(ctx.Done())
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r, err := e.c.attempt(ctx, b)
		if err == nil && e.l.ctx.Err() == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(errUncertain, ctx.Err().Error())
		case <-time.After(retryDelay):
		}
	}
}

func (e *endpoint) Claim(ctx context.Context, m state.Claim) (state.ClaimResult, error) {
	if e.c.w.v.grant != nil && e.c.w.v.grant(m) {
		return state.ClaimResult{Outcome: state.ClaimGranted, Index: 1, Holder: m.Request, Target: m.Target}, nil
	}
	r, err := e.submit(ctx, m)
	if err != nil {
		return state.ClaimResult{}, err
	}
	out := r.(state.ClaimResult)
	if e.c.w.v.claimed != nil {
		e.c.w.v.claimed(&out)
	}
	return out, nil
}

func (e *endpoint) Settle(ctx context.Context, m state.Settle) error {
	_, err := e.submit(ctx, m)
	return err
}

func (e *endpoint) ReportUsage(ctx context.Context, records []state.UsageRecord) error {
	r, err := e.submit(ctx, state.ReportUsage{Records: records})
	if err != nil {
		return err
	}
	if out := r.(state.UsageResult); len(out.Refused)+len(out.TooLate) > 0 {
		return errors.Errorf("usage not counted: %+v", out)
	}
	return nil
}

func (e *endpoint) Announce(context.Context, fleet.Target) error { return nil }
