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
	// Prefill is abandoned after prefillSlack times the expected duration, but not
	// before minPrefill. The decode target then processes the prompt itself.
	prefillSlack = 4
	minPrefill   = 2 * time.Second
	// moveTimeout bounds the transfer of KV cache between two targets. It is the
	// delay of a request if the link between them does not respond.
	moveTimeout = 2 * time.Second
)

// ErrPrefill reports that the prefill of a prompt or the transfer of its KV cache
// failed. The request has not run.
var ErrPrefill = errors.New("prefill or KV cache transfer failed")

// DisaggregatedPicker is a Picker for disaggregated serving: one target may run the
// prefill of a prompt and another the decode.
type DisaggregatedPicker interface {
	Picker
	// PrefillOnly reports whether the target picked last for r runs only the prefill,
	// and its expected duration.
	PrefillOnly(r Request) (expected time.Duration, ok bool)
	// PickDecode selects the decode target for a prompt whose prefill runs at
	// prefill, and reports whether the KV cache is to be transferred there.
	PickDecode(r Request, prefill fleet.Target, targets []fleet.Target) (t fleet.Target, move, ok bool)
	// Moved records a transfer of KV cache between targets; whole is false if it
	// was incomplete.
	Moved(r Request, from, to fleet.TargetName, bytes uint64, took time.Duration, whole bool)
}

// pick selects the target that runs the request. With disaggregated serving it
// first runs the prefill at another target and transfers the KV cache. This does
// not count as a run of the request: even if it fails, the selected target
// processes the missing part of the prompt and gives the complete response.
func (c *call) pick() (fleet.Target, bool) {
	pool := c.e.Config.Load().Pool(c.authenticated.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	h, disaggregated := c.e.Picker.(DisaggregatedPicker)
	if !ok || !disaggregated {
		return t, ok
	}
	expected, prefillOnly := h.PrefillOnly(c.request)
	if !prefillOnly {
		return t, true
	}
	err := c.prefill(t, prefillLimit(expected))
	out := Outcome{Ending: Answered, Status: 200, Ended: time.Now()}
	switch {
	case c.ctx.Err() != nil:
		out.Ending = Cancelled
	case err != nil:
		out.Ending = Failed
	}
	h.Ended(c.request, t.Name, out)
	decode, move, ok := h.PickDecode(c.request, t, c.e.Config.Load().Pool(c.authenticated.route.Pool))
	if !ok {
		return fleet.Target{}, false
	}
	if move {
		c.transferKV(h, t, decode, err)
	}
	return decode, true
}

func prefillLimit(expected time.Duration) time.Duration {
	return max(minPrefill, prefillSlack*expected)
}

// transferKV transfers the KV cache of a prompt if its prefill succeeded.
func (c *call) transferKV(h DisaggregatedPicker, from, to fleet.Target, err error) {
	if err == nil && to.Name != from.Name {
		err = c.moveKV(h, from, to)
	}
	if err != nil {
		c.e.Log.Info("KV cache not transferred", "request", c.request.ID, "from", from.Name, "to", to.Name, "error", err)
	}
}

// pickClaimed is pick for a request that needs a claim, which names the target.
// The caller runs the prefill through the returned function only after the claim
// is granted: otherwise the repetition of an answered request would cost as much
// prefill as the first.
func (c *call) pickClaimed() (target fleet.Target, runPrefill func(), ok bool) {
	pool := c.e.Config.Load().Pool(c.authenticated.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	h, disaggregated := c.e.Picker.(DisaggregatedPicker)
	if !ok || !disaggregated {
		return t, func() {}, ok
	}
	expected, prefillOnly := h.PrefillOnly(c.request)
	if !prefillOnly {
		return t, func() {}, true
	}
	h.Ended(c.request, t.Name, Outcome{Ending: Cancelled, Ended: time.Now()})
	decode, move, ok := h.PickDecode(c.request, t, pool)
	if !move {
		return decode, func() {}, ok
	}
	return decode, func() { c.transferKV(h, t, decode, c.prefill(t, prefillLimit(expected))) }, ok
}

// prefill runs the prefill of the prompt at a target.
func (c *call) prefill(t fleet.Target, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	m := &wire.Prefill{
		RequestId: c.request.ID[:], Customer: string(c.run.Customer), Class: uint32(c.run.Class),
		DeadlineUnixNanos: c.run.Deadline.UnixNano(), Path: c.run.Path,
	}
	s, err := c.e.Links.OpenQueued(ctx, addressOf(t), m)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	s.ReceiveTimeout = -1
	if _, err := c.sendBody(s); err != nil {
		return err
	}
	var answer wire.Prefilled
	if err := s.Receive(&answer); err != nil {
		return err
	}
	if f := answer.GetFailure(); f != "" {
		return errors.Wrap(ErrPrefill, f)
	}
	return nil
}

// moveKV makes the agent of target to fetch the KV cache from target from.
func (c *call) moveKV(h DisaggregatedPicker, from, to fleet.Target) error {
	ctx, cancel := context.WithTimeout(c.ctx, moveTimeout)
	defer cancel()
	start := time.Now()
	m := &wire.KVImport{RequestId: c.request.ID[:], Host: string(from.Host), Address: from.Agent.String()}
	answer, err := link.Call[wire.KVImported](ctx, c.e.Links, addressOf(to), m)
	complete := err == nil && answer.GetFailure() == ""
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	h.Moved(c.request, from.Name, to.Name, answer.GetBytes(), time.Since(start), complete)
	if err == nil && !complete {
		err = errors.Wrap(ErrPrefill, answer.GetFailure())
	}
	return err
}

func addressOf(t fleet.Target) link.Address { return link.Address{Host: t.Host, AddrPort: t.Agent} }
