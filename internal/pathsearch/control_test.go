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

// errUncertain corresponds to subscribe.ErrUncertain.
var errUncertain = errors.New("command may have been committed")

const (
	attemptTimeout = 2 * time.Second        // limit of one submission
	retryDelay     = 100 * time.Millisecond // before the next submission
	latency        = 5 * time.Millisecond   // one way, between a process and control
	restoreEvery   = 7                      // log entries between restores from a snapshot
	sealEvery      = 11                     // log entries between seals of a usage window
)

// control simulates the control replicas. It applies commands to the real state
// machine, and drops, delays and repeats submissions as planned.
type control struct {
	sim *simulation
	process

	mu          sync.Mutex
	machine     *state.Machine
	index       uint64 // of the last applied log entry
	submissions int    // selects the next of plan.commandFaults
	noQuorum    bool
	grantedAt   map[fleet.RequestID]time.Time // when a request was granted a claim
}

func newControl(sim *simulation) *control {
	return &control{sim: sim, machine: state.New(), grantedAt: make(map[fleet.RequestID]time.Time)}
}

// injectFault makes control lose its quorum, or else pauses it.
func (c *control) injectFault(loseQuorum bool) {
	if !loseQuorum {
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

// apply commits an encoded command. It also advances the clock of the state machine,
// and regularly seals a usage window and restores the state machine from a snapshot.
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
	if n, _ := c.machine.OpenWindow(); c.index%sealEvery == 0 && n < 20 {
		c.commit(state.SealUsage{Window: n, Until: time.Now()})
	}
	if c.sim.variant.alterCommand != nil {
		command = c.sim.variant.alterCommand(c.machine, command)
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
	c.machine.EnterTerm(1)
	return c.machine.Apply(c.index, command)
}

// restore replaces the state machine by a new one restored from its snapshot, so
// that a snapshot without part of the state becomes visible.
func (c *control) restore() {
	b, err := wire.EncodeStateSnapshot(c.machine.Snapshot())
	if err == nil {
		var image *state.Snapshot
		if image, err = wire.DecodeStateSnapshot(b); err == nil {
			c.machine = state.New()
			c.machine.Restore(image)
		}
	}
	if err != nil {
		c.sim.failf("restore snapshot: %v", err)
	}
}

// nextFault returns the fault of the next submission, and whether there is no quorum.
func (c *control) nextFault() (commandFault, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.submissions
	c.submissions++
	if n >= nCommands || c.sim.faultsEnded.Load() {
		return commandFault{}, c.noQuorum
	}
	return c.sim.plan.commandFaults[n], c.noQuorum
}

// attempt submits a command once and injects the fault planned for the submission.
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

// controlClient is the control client of one instance of an entry or agent.
type controlClient struct {
	control *control
	inst    *instance
}

// submit submits a command until it gets a result, as subscribe.Client.Submit does,
// or until ctx is done or the process is killed.
func (c *controlClient) submit(ctx context.Context, command state.Command) (state.Result, error) {
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.inst.ctx, cancel)()
	for {
		// A killed process must not block here, even if it is paused. An agent reports
		// usage with a mutex locked, and a goroutine that waits for a mutex stops the
		// clock of the synctest bubble.
		c.inst.process.waitUntil(ctx.Done())
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r, err := c.control.attempt(ctx, b)
		if err == nil && c.inst.ctx.Err() == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(errUncertain, ctx.Err().Error())
		case <-time.After(retryDelay):
		}
	}
}

func (c *controlClient) Claim(ctx context.Context, m state.Claim) (state.ClaimResult, error) {
	if c.control.sim.variant.grantLocally != nil && c.control.sim.variant.grantLocally(m) {
		return state.ClaimResult{Outcome: state.ClaimGranted, Index: 1, Holder: m.Request, Target: m.Target}, nil
	}
	r, err := c.submit(ctx, m)
	if err != nil {
		return state.ClaimResult{}, err
	}
	out := r.(state.ClaimResult)
	if c.control.sim.variant.alterClaimResult != nil {
		c.control.sim.variant.alterClaimResult(&out)
	}
	return out, nil
}

func (c *controlClient) Settle(ctx context.Context, m state.Settle) error {
	_, err := c.submit(ctx, m)
	return err
}

func (c *controlClient) ReportUsage(ctx context.Context, records []state.UsageRecord) error {
	r, err := c.submit(ctx, state.ReportUsage{Records: records})
	if err != nil {
		return err
	}
	if out := r.(state.UsageResult); len(out.Refused)+len(out.TooLate) > 0 {
		return errors.Errorf("usage records not counted: %+v", out)
	}
	return nil
}

func (c *controlClient) Announce(context.Context, fleet.Target) error { return nil }
