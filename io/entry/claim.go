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
	// claimRetention is how long an Idempotency-Key refers to its first request.
	claimRetention   = 24 * time.Hour
	claimTimeout     = 5 * time.Second  // bounds a claim request before a run
	settleTimeout    = 30 * time.Second // bounds all attempts to settle a claim
	settleRetryPause = 200 * time.Millisecond
)

// digest returns the hash of method, path and body by which the control plane
// detects that an Idempotency-Key is used again with a different request. Each part
// is prefixed with its length so that different splits give different hashes.
func (c *call) digest() [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.agentRequest.Method), []byte(c.agentRequest.Path), c.body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// claim asks the control plane for the exclusive right to run a request with c's
// Idempotency-Key. The claim names the target that runs the request.
func (c *call) claim(target fleet.TargetName, timeout time.Duration) (state.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return c.e.Control.Claim(ctx, state.Claim{
		Key:     state.ClaimKey{Customer: c.agentRequest.Customer, IdempotencyKey: c.idempotencyKey},
		Request: c.request.ID,
		Body:    c.digest(),
		Target:  target,
		Expires: c.request.Arrived.Add(claimRetention),
	})
}

// confirmRefusal adapts r, the refusal of a request that has not run, to earlier
// requests with the same Idempotency-Key, since a caller that retries wants to know
// whether any of them has run. If the control plane grants a claim for the key,
// none has; the claim is released at once and r stays unchanged. Otherwise the
// caller gets the stored response to the earlier request, or a refusal that states
// what is known about it.
func (c *call) confirmRefusal(r *Refusal) *Refusal {
	if c.idempotencyKey == "" || c.request.Idempotent || r.notRun() != notRunTrue {
		return r
	}
	if c.e.Control == nil || !c.e.refusalClaims.TryAcquire(1) {
		return r.withNotRun(notRunUnknown)
	}
	defer c.e.refusalClaims.Release(1)
	c.ctx = context.WithoutCancel(c.ctx)
	result, err := c.claim("", queryTimeout)
	switch {
	case err != nil:
		// The claim may have been recorded nevertheless.
		c.settle(c.request.ID, state.SettledBarred, nil)
		return r.withNotRun(notRunUnknown)
	case result.Outcome == state.ClaimGranted:
		c.settle(c.request.ID, state.SettledBarred, nil)
		return r
	case result.Outcome == state.ClaimReplayed:
		c.sink.replay(result.Answer)
		return nil
	case result.Outcome == state.ClaimCompleted:
		return refuseAlreadyRun
	case result.Outcome == state.ClaimMismatch:
		return refuseIdempotencyKeyMismatch
	}
	return r.withNotRun(notRunUnknown)
}

// refuseWithoutKey adapts r, the refusal of a request whose API key is not valid. Unlike
// confirmRefusal, it reveals nothing of earlier requests with the same Idempotency-Key.
func (c *call) refuseWithoutKey(r *Refusal) *Refusal {
	if c.idempotencyKey == "" || c.request.Idempotent {
		return r
	}
	return r.withNotRun(notRunUnknown)
}

// runClaimed runs a non-idempotent request with an Idempotency-Key if the control
// plane grants it the claim for the key. Otherwise it returns the response to the
// earlier request with this key, or a refusal.
func (c *call) runClaimed(out *Outcome) *Refusal {
	if c.e.Control == nil {
		return refuseNoClaim
	}
	// The target is selected before the claim, so that the claim tells other
	// entries where the request runs.
	t, runPrefill, ok := c.pickClaimed()
	if !ok {
		return c.confirmRefusal(refuseNoTarget)
	}
	result, err := c.claim(t.Name, claimTimeout)
	granted := err == nil && result.Outcome == state.ClaimGranted
	if !granted {
		c.e.Picker.AttemptEnded(c.request, t.Name, Outcome{Ending: NotRun, Ended: time.Now()})
	}
	if err != nil {
		c.e.Log.Warn("claim request to control plane failed", "request", c.request.ID, "error", err)
		// The claim may have been recorded, but the request will not be sent.
		c.settle(c.request.ID, state.SettledBarred, nil)
		// An earlier request with the same Idempotency-Key may have run; only the
		// control plane knows.
		return refuseNoClaim.withNotRun(notRunUnknown)
	}
	switch result.Outcome {
	case state.ClaimGranted:
		runPrefill()
		return c.runGranted(t, result.Index, out)
	case state.ClaimRunning:
		return c.attach(result, out)
	case state.ClaimReplayed:
		c.sink.replay(result.Answer)
		return nil
	case state.ClaimCompleted:
		return refuseAlreadyRun
	case state.ClaimMismatch:
		return refuseIdempotencyKeyMismatch
	case state.ClaimUnknown:
		return refuseOutcomeUnknown
	}
	return refuseNoClaim
}

// runGranted runs the request only at the target named in the claim, because
// requests that attach to the claim look for it there.
func (c *call) runGranted(t fleet.Target, index uint64, out *Outcome) *Refusal {
	c.agentRequest.Claim = index
	c.sink.stored = &state.StoredAnswer{}
	c.target = t
	c.request.TriedTargets = append(c.request.TriedTargets, t.Name)
	refusal := c.attempt(out)
	c.e.Picker.AttemptEnded(c.request, t.Name, *out)
	c.settleOutcome(*out, refusal)
	return refusal
}

// settleOutcome settles the claim with the outcome of the request. If the request was
// cancelled here but still runs at the agent or has run, the claim stays unsettled,
// so that another request with the same Idempotency-Key can attach to it.
func (c *call) settleOutcome(o Outcome, refusal *Refusal) {
	switch {
	case o.Ending == Completed:
		c.settle(c.assembly.ID, state.SettledCompleted, c.sink.stored)
	case refusal.notRun() == notRunTrue:
		c.settle(c.assembly.ID, state.SettledBarred, nil)
	case o.Ending == Cancelled && (c.agentRunning || refusal.NotRun == notRunFalse):
	case refusal.NotRun == notRunFalse:
		c.settle(c.assembly.ID, state.SettledCompleted, nil)
	default:
		c.settle(c.assembly.ID, state.SettledUnknown, nil)
	}
}

// settle settles a claim in the background, since the caller need not wait for it.
// It retries until the control plane has recorded the settlement or settleTimeout
// has passed. A claim that stays unsettled prevents a second run until the claim
// expires.
func (c *call) settle(id fleet.RequestID, settlement state.Settlement, response *state.StoredAnswer) {
	m := state.Settle{
		Key:        state.ClaimKey{Customer: c.agentRequest.Customer, IdempotencyKey: c.idempotencyKey},
		Request:    id,
		Settlement: settlement,
		Answer:     response,
	}
	c.e.pendingSettles.Add(1)
	go func() {
		defer c.e.pendingSettles.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), settleTimeout)
		defer cancel()
		for {
			err := c.e.Control.Settle(ctx, m)
			if err == nil {
				return
			}
			select {
			case <-time.After(settleRetryPause):
			case <-ctx.Done():
				c.e.Log.Warn("claim not settled", "request", id, "error", err)
				return
			}
		}
	}()
}

// attach sends the caller the response to the running request that holds the
// claim, by resuming the response from its start at the agent.
func (c *call) attach(held state.ClaimResult, out *Outcome) *Refusal {
	c.assembly = answer.NewAssembly(held.Holder)
	c.sink.stored = &state.StoredAnswer{}
	for _, t := range c.e.Config.Load().PoolTargets(c.auth.route.Pool) {
		if t.Name == held.Target {
			c.target = t
		}
	}
	if c.target.Name == "" {
		return refuseAlreadyRunning
	}
	end := Cancelled // if the deadline has passed already
	var ran wire.Ran
	var err error
	// The entry that holds the claim may not have sent the request to the agent yet,
	// so an unknown request is tried again.
	for until := time.Now().Add(resumeTimeout); time.Now().Before(until) && c.ctx.Err() == nil; c.pauseBeforeResume() {
		if end, ran, err = c.resume(); end == Completed || ran == wire.Ran_RAN_YES && end == Failed {
			break
		}
	}
	*out = Outcome{Ending: end, Ended: time.Now(), FirstByte: c.sink.firstByte, Bytes: c.assembly.Length}
	if end == Completed {
		c.settle(held.Holder, state.SettledCompleted, c.sink.stored)
		c.e.counts.served.Add(1)
		return nil
	}
	c.e.Log.Warn("attach to running request failed", "request", c.request.ID, "holder", held.Holder, "error", err)
	return refuseAlreadyRunning
}
