package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"papayarock/core/answer"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/wire"
)

const (
	// claimRetention is how long a key answers for its first request.
	claimRetention = 24 * time.Hour
	claimTimeout   = 5 * time.Second
	settleTimeout  = 30 * time.Second
	settlePause    = 200 * time.Millisecond
)

// digest names method, path and body of a request. Lengths keep the parts
// apart.
func (c *call) digest() [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.run.Method), []byte(c.run.Path), c.body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// claim asks control for the right to run the request at a target.
func (c *call) claim(target fleet.TargetName, timeout time.Duration) (state.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return c.e.Control.Claim(ctx, state.Claim{
		Key:     state.ClaimKey{Customer: c.run.Customer, IdempotencyKey: c.idempotencyKey},
		Request: c.request.ID,
		Body:    c.digest(),
		Target:  target,
		Expires: c.request.Arrived.Add(claimRetention),
	})
}

// sure makes a refusal true for all requests that were sent under the caller's
// Idempotency-Key, since a caller that repeats one asks about the first. Control
// is asked: if it grants the claim, no earlier request has run, and the claim is
// freed at once.
func (c *call) sure(r *Refusal) *Refusal {
	if c.idempotencyKey == "" || c.request.Idempotent || r.notRun() != notRunTrue {
		return r
	}
	if c.e.Control == nil || !c.e.asking.TryAcquire(1) {
		return r.known(notRunUnknown)
	}
	defer c.e.asking.Release(1)
	c.ctx = context.WithoutCancel(c.ctx)
	result, err := c.claim("", askTimeout)
	switch {
	case err != nil:
		c.settle(c.request.ID, state.SettledBarred, nil)
		return r.known(notRunUnknown)
	case result.Outcome == state.ClaimGranted:
		c.settle(c.request.ID, state.SettledBarred, nil)
		return r
	case result.Outcome == state.ClaimReplayed:
		c.sink.replay(result.Answer)
		return nil
	case result.Outcome == state.ClaimCompleted:
		return refuseRan
	case result.Outcome == state.ClaimMismatch:
		return refuseMismatch
	}
	return r.known(notRunUnknown)
}

// runClaimed runs a non-idempotent request that its caller named.
func (c *call) runClaimed(out *Outcome) *Refusal {
	if c.e.Control == nil {
		return refuseClaim
	}
	// The target is chosen before the claim, so that the claim tells others
	// where the request runs.
	t, process, ok := c.pickClaimed()
	if !ok {
		return c.sure(refuseNoTarget)
	}
	result, err := c.claim(t.Name, claimTimeout)
	granted := err == nil && result.Outcome == state.ClaimGranted
	if !granted {
		c.e.Picker.Ended(c.request, t.Name, Outcome{Ending: NotRun, Ended: time.Now()})
	}
	if err != nil {
		c.e.Log.Warn("claim failed", "request", c.request.ID, "error", err)
		// The claim may have been recorded. Nobody hands it over any more.
		c.settle(c.request.ID, state.SettledBarred, nil)
		// An earlier request under the same key may have run, and only control
		// could tell.
		return refuseClaim.known(notRunUnknown)
	}
	switch result.Outcome {
	case state.ClaimGranted:
		process()
		return c.runGranted(t, result.Index, out)
	case state.ClaimRunning:
		return c.attach(result, out)
	case state.ClaimReplayed:
		c.sink.replay(result.Answer)
		return nil
	case state.ClaimCompleted:
		return refuseRan
	case state.ClaimMismatch:
		return refuseMismatch
	case state.ClaimUnknown:
		return refuseUnknown
	}
	return refuseClaim
}

// runGranted runs the request at the target that the claim names, and at no
// other: whoever attaches looks there.
func (c *call) runGranted(t fleet.Target, index uint64, out *Outcome) *Refusal {
	c.run.Claim = index
	c.sink.keep = &state.StoredAnswer{}
	c.target = t
	c.request.Tried = append(c.request.Tried, t.Name)
	refusal := c.attempt(out)
	c.e.Picker.Ended(c.request, t.Name, *out)
	c.settleOutcome(*out, refusal)
	return refusal
}

// settleOutcome records how the request ended. A request that still runs stays
// unsettled, so that the same key can attach to it.
func (c *call) settleOutcome(o Outcome, refusal *Refusal) {
	switch {
	case o.Ending == Answered:
		c.settle(c.assembly.ID, state.SettledCompleted, c.sink.keep)
	case refusal.notRun() == notRunTrue:
		c.settle(c.assembly.ID, state.SettledBarred, nil)
	case o.Ending == Cancelled && (c.running || refusal.NotRun == notRunFalse):
	case refusal.NotRun == notRunFalse:
		c.settle(c.assembly.ID, state.SettledCompleted, nil)
	default:
		c.settle(c.assembly.ID, state.SettledUnknown, nil)
	}
}

// settle records the end of a claim in the background, since the caller need
// not wait for it. It repeats until control has recorded the end or time is up.
// An unsettled claim expires by itself and allows no second run before that.
func (c *call) settle(id fleet.RequestID, how state.Settlement, kept *state.StoredAnswer) {
	m := state.Settle{
		Key:        state.ClaimKey{Customer: c.run.Customer, IdempotencyKey: c.idempotencyKey},
		Request:    id,
		Settlement: how,
		Answer:     kept,
	}
	c.e.settling.Add(1)
	go func() {
		defer c.e.settling.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), settleTimeout)
		defer cancel()
		for {
			err := c.e.Control.Settle(ctx, m)
			if err == nil {
				return
			}
			select {
			case <-time.After(settlePause):
			case <-ctx.Done():
				c.e.Log.Warn("claim not settled", "request", id, "error", err)
				return
			}
		}
	}()
}

// attach follows the answer to the request that holds the claim.
func (c *call) attach(held state.ClaimResult, out *Outcome) *Refusal {
	c.assembly = answer.NewAssembly(held.Holder)
	c.sink.keep = &state.StoredAnswer{}
	for _, t := range c.e.Config.Load().Pool(c.admitted.route.Pool) {
		if t.Name == held.Target {
			c.target = t
		}
	}
	if c.target.Name == "" {
		return refuseRunning
	}
	var end Ending
	var ran wire.Ran
	var err error
	// The holder may not have handed the request over yet.
	for until := time.Now().Add(resumeTimeout); time.Now().Before(until) && c.ctx.Err() == nil; c.pause() {
		if end, ran, err = c.resume(); end == Answered || ran == wire.Ran_RAN_YES && end == Failed {
			break
		}
	}
	*out = Outcome{Ending: end, Ended: time.Now(), FirstByte: c.sink.first, Bytes: c.assembly.Length}
	if end == Answered {
		c.settle(held.Holder, state.SettledCompleted, c.sink.keep)
		c.e.counts.served.Add(1)
		return nil
	}
	c.e.Log.Warn("attach failed", "request", c.request.ID, "holder", held.Holder, "error", err)
	return refuseRunning
}
