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

// control applies commands to the real state machine. It drops, delays and
// repeats submissions as planned.
type control struct {
	sim *simulation
	process

	mu          sync.Mutex
	m           *state.Machine
	index       uint64
	submissions int
	noQuorum    bool
	grantedAt   map[fleet.RequestID]time.Time
}

func newControl(sim *simulation) *control {
	return &control{sim: sim, m: state.New(), grantedAt: make(map[fleet.RequestID]time.Time)}
}

// injectFault makes the quorum unavailable, or pauses control.
func (c *control) injectFault(quorum bool) {
	if !quorum {
		c.pause()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noQuorum = true
}

func (c *control) endFault() {
	c.resume()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noQuorum = false
}

// apply commits an encoded command.
func (c *control) apply(b []byte) state.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	command, err := wire.DecodeCommand(b)
	if err != nil {
		c.sim.failf("decode command: %v", err)
		return nil
	}
	if c.index%restoreEvery == 0 {
		c.restore()
	}
	c.commit(state.Tick{Now: time.Now()})
	if n, _ := c.m.OpenWindow(); c.index%sealEvery == 0 && n < 20 {
		c.commit(state.SealUsage{Window: n, Until: time.Now()})
	}
	if c.sim.variant.alterCommand != nil {
		command = c.sim.variant.alterCommand(c.m, command)
	}
	r := c.commit(command)
	if claim, ok := command.(state.Claim); ok {
		if r.(state.ClaimResult).Outcome == state.ClaimGranted {
			c.grantedAt[claim.Request] = time.Now()
		}
	}
	return r
}

func (c *control) commit(command state.Command) state.Result {
	c.index++
	c.m.EnterTerm(1)
	return c.m.Apply(c.index, command)
}

// restore replaces the state machine by a new one restored from its snapshot.
func (c *control) restore() {
	b, err := wire.EncodeStateSnapshot(c.m.Snapshot())
	if err == nil {
		var image *state.Snapshot
		if image, err = wire.DecodeStateSnapshot(b); err == nil {
			c.m = state.New()
			c.m.Restore(image)
		}
	}
	if err != nil {
		c.sim.failf("restore snapshot: %v", err)
	}
}

func (c *control) nextFault() (commandFault, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.submissions
	c.submissions++
	if n >= nCommands || c.sim.faultsEnded.Load() {
		return commandFault{}, c.noQuorum
	}
	return c.sim.plan.commands[n], c.noQuorum
}

// attempt submits a command once, subject to the planned faults.
func (c *control) attempt(ctx context.Context, b []byte) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	f, noQuorum := c.nextFault()
	c.sim.step()
	if noQuorum {
		return nil, errors.Wrap(errUncertain, "no quorum")
	}
	applyLater := func() {
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
			applyLater()
			return
		case repeatedCommand:
			applyLater()
		case noCommandFault, lostResult:
		}
		r := c.apply(b)
		c.sim.step()
		if f.kind == lostResult {
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

// endpoint is the control client of one instance of a process.
type endpoint struct {
	c    *control
	inst *instance
}

// submit retries until ctx is done or the process is killed, like
// subscribe.Client.Submit.
func (e *endpoint) submit(ctx context.Context, command state.Command) (state.Result, error) {
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.inst.ctx, cancel)()
	for {
		// An agent holds a mutex while it reports usage, so a killed one must not
		// block here: a goroutine blocked on a mutex stops the clock of a synctest
		// bubble.
		e.inst.process.waitUntil(ctx.Done())
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r, err := e.c.attempt(ctx, b)
		if err == nil && e.inst.ctx.Err() == nil {
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
	if e.c.sim.variant.grantLocally != nil && e.c.sim.variant.grantLocally(m) {
		return state.ClaimResult{Outcome: state.ClaimGranted, Index: 1, Holder: m.Request, Target: m.Target}, nil
	}
	r, err := e.submit(ctx, m)
	if err != nil {
		return state.ClaimResult{}, err
	}
	out := r.(state.ClaimResult)
	if e.c.sim.variant.alterClaimResult != nil {
		e.c.sim.variant.alterClaimResult(&out)
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
