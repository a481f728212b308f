package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// The timeout of a prefill is prefillTimeoutFactor times the expected duration, but
	// at least minPrefillTimeout. After the timeout, the decode target processes the
	// prompt itself.
	prefillTimeoutFactor = 4
	minPrefillTimeout    = 2 * time.Second
	// kvTransferTimeout bounds the transfer of KV cache between two targets. It is the
	// delay of a request if the link between the targets does not respond.
	kvTransferTimeout = 2 * time.Second
)

// ErrRemotePrefill reports that the prefill of a prompt at another target, or the
// transfer of its KV cache to the decode target, failed. The request has not run.
var ErrRemotePrefill = errors.New("prefill or KV cache transfer failed")

// DisaggregatedPicker is a Picker for disaggregated serving: one target may run the
// prefill of a prompt and another the decode.
type DisaggregatedPicker interface {
	Picker
	// PrefillOnly reports whether the target that Pick returned most recently for r is
	// to run only the prefill, and the expected duration of the prefill.
	PrefillOnly(r Request) (expected time.Duration, ok bool)
	// PickDecode selects the decode target for a prompt whose prefill runs at target
	// prefill. transfer reports whether the KV cache is to be transferred to the decode
	// target; ok is false if no target is eligible.
	PickDecode(r Request, prefill fleet.Target, targets []fleet.Target) (t fleet.Target, transfer, ok bool)
	// RecordKVTransfer records an attempted transfer of a KV cache: the bytes received,
	// the time it took and whether it was complete.
	RecordKVTransfer(r Request, from, to fleet.TargetName, bytes uint64, took time.Duration, complete bool)
}

// pick selects the target that runs the request. With disaggregated serving it may
// also run the prefill at another target and transfer the KV cache to the selected
// target. The prefill does not count as a run of the request: even if it fails, the
// selected target processes the missing part of the prompt and gives the complete
// response.
func (c *call) pick() (fleet.Target, bool) {
	pool := c.e.Config.Load().PoolTargets(c.auth.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	picker, disaggregated := c.e.Picker.(DisaggregatedPicker)
	if !ok || !disaggregated {
		return t, ok
	}
	expected, prefillOnly := picker.PrefillOnly(c.request)
	if !prefillOnly {
		return t, true
	}
	err := c.prefill(t, prefillTimeout(expected))
	outcome := Outcome{Ending: Completed, Status: 200, Ended: time.Now()}
	switch {
	case c.ctx.Err() != nil:
		outcome.Ending = Cancelled
	case err != nil:
		outcome.Ending = Failed
	}
	picker.AttemptEnded(c.request, t.Name, outcome)
	decode, transfer, ok := picker.PickDecode(c.request, t, c.e.Config.Load().PoolTargets(c.auth.route.Pool))
	if !ok {
		return fleet.Target{}, false
	}
	if transfer {
		c.transferKV(picker, t, decode, err)
	}
	return decode, true
}

func prefillTimeout(expected time.Duration) time.Duration {
	return max(minPrefillTimeout, prefillTimeoutFactor*expected)
}

// transferKV transfers the KV cache of a prompt unless its prefill failed with err. A
// failure is only logged, since the decode target can process the prompt itself.
func (c *call) transferKV(picker DisaggregatedPicker, from, to fleet.Target, err error) {
	if err == nil && to.Name != from.Name {
		err = c.importKV(picker, from, to)
	}
	if err != nil {
		c.e.Log.Info("KV cache not transferred", "request", c.request.ID, "from", from.Name, "to", to.Name, "error", err)
	}
}

// pickClaimed is like pick, for a request that needs a claim. It returns the target
// to name in the claim, and a function that runs the prefill and the transfer of
// the KV cache. runPrefill must be called only after the claim is granted:
// otherwise repeating a completed request would cost as much prefill as the first
// request.
func (c *call) pickClaimed() (target fleet.Target, runPrefill func(), ok bool) {
	pool := c.e.Config.Load().PoolTargets(c.auth.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	picker, disaggregated := c.e.Picker.(DisaggregatedPicker)
	if !ok || !disaggregated {
		return t, func() {}, ok
	}
	expected, prefillOnly := picker.PrefillOnly(c.request)
	if !prefillOnly {
		return t, func() {}, true
	}
	// The prefill target is released at once, since the claim may not be granted.
	picker.AttemptEnded(c.request, t.Name, Outcome{Ending: Cancelled, Ended: time.Now()})
	decode, transfer, ok := picker.PickDecode(c.request, t, pool)
	if !transfer {
		return decode, func() {}, ok
	}
	return decode, func() { c.transferKV(picker, t, decode, c.prefill(t, prefillTimeout(expected))) }, ok
}

// prefill runs the prefill of the prompt at a target.
func (c *call) prefill(t fleet.Target, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	m := &wire.Prefill{
		RequestId: c.request.ID[:], Customer: string(c.agentRequest.Customer), Class: uint32(c.agentRequest.Class),
		DeadlineUnixNanos: c.agentRequest.Deadline.UnixNano(), Path: c.agentRequest.Path,
	}
	s, err := c.e.Links.OpenQueued(ctx, addressOf(t), m)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	s.ReceiveTimeout = -1 // no timeout other than that of ctx and lost heartbeats
	if _, err := c.sendBody(s); err != nil {
		return err
	}
	var response wire.Prefilled
	if err := s.Receive(&response); err != nil {
		return err
	}
	if failure := response.GetFailure(); failure != "" {
		return errors.Wrap(ErrRemotePrefill, failure)
	}
	return nil
}

// importKV makes the agent of the decode target fetch the KV cache of the prompt
// from the agent of the prefill target.
func (c *call) importKV(picker DisaggregatedPicker, from, to fleet.Target) error {
	ctx, cancel := context.WithTimeout(c.ctx, kvTransferTimeout)
	defer cancel()
	start := time.Now()
	m := &wire.KVImport{RequestId: c.request.ID[:], Host: string(from.Host), Address: from.Agent.String()}
	response, err := link.Call[wire.KVImported](ctx, c.e.Links, addressOf(to), m)
	complete := err == nil && response.GetFailure() == ""
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	picker.RecordKVTransfer(c.request, from.Name, to.Name, response.GetBytes(), time.Since(start), complete)
	if err == nil && !complete {
		err = errors.Wrap(ErrRemotePrefill, response.GetFailure())
	}
	return err
}

func addressOf(t fleet.Target) link.Address { return link.Address{Host: t.Host, AddrPort: t.Agent} }
