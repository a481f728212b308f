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
	// A prompt that takes prefillSlack times the expected time, and at least
	// minPrefill, is left to the target that answers.
	prefillSlack = 4
	minPrefill   = 2 * time.Second
	// moveTimeout bounds the move of KV cache between two targets. A request on a
	// silent link between them loses this time.
	moveTimeout = 2 * time.Second
)

// ErrPrompt reports a prompt that was not processed, or whose KV cache did not
// arrive. The request has not run.
var ErrPrompt = errors.New("prompt is not handed over")

// HandOverPicker is a Picker that lets some prompts be processed by one target
// and answered by another.
type HandOverPicker interface {
	Picker
	// HandsOver says whether the target picked last for r processes the prompt
	// only, and how long it is expected to take.
	HandsOver(r Request) (expected time.Duration, ok bool)
	// PickDecode chooses the target that answers a prompt processed at prefill,
	// and says whether the KV cache moves there.
	PickDecode(r Request, prefill fleet.Target, targets []fleet.Target) (t fleet.Target, move, ok bool)
	// Moved reports KV cache that went between targets, whole or not.
	Moved(r Request, from, to fleet.TargetName, bytes uint64, took time.Duration, whole bool)
}

// pick chooses the target that runs the request. Where the prompt belongs at
// another target it is processed there first, and its KV cache moved. That is
// not a run of the request: whatever becomes of it, the chosen target processes
// what it lacks of the prompt and gives the whole answer.
func (c *call) pick() (fleet.Target, bool) {
	pool := c.e.Config.Load().Pool(c.admitted.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	h, can := c.e.Picker.(HandOverPicker)
	if !ok || !can {
		return t, ok
	}
	expected, over := h.HandsOver(c.request)
	if !over {
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
	decode, move, ok := h.PickDecode(c.request, t, c.e.Config.Load().Pool(c.admitted.route.Pool))
	if !ok {
		return fleet.Target{}, false
	}
	if move {
		c.moved(h, t, decode, err)
	}
	return decode, true
}

func prefillLimit(expected time.Duration) time.Duration {
	return max(minPrefill, prefillSlack*expected)
}

// moved moves the KV cache of a prompt unless it was not processed.
func (c *call) moved(h HandOverPicker, from, to fleet.Target, err error) {
	if err == nil && to.Name != from.Name {
		err = c.moveKV(h, from, to)
	}
	if err != nil {
		c.e.Log.Info("prompt not handed over", "request", c.request.ID, "from", from.Name, "to", to.Name, "error", err)
	}
}

// pickClaimed is pick for a request that needs a claim, which names the target.
// The prompt is processed by the returned function once the claim is granted:
// a repetition of an answered request would cost as much as the first.
func (c *call) pickClaimed() (target fleet.Target, process func(), ok bool) {
	pool := c.e.Config.Load().Pool(c.admitted.route.Pool)
	t, ok := c.e.Picker.Pick(c.request, pool)
	h, can := c.e.Picker.(HandOverPicker)
	if !ok || !can {
		return t, func() {}, ok
	}
	expected, over := h.HandsOver(c.request)
	if !over {
		return t, func() {}, true
	}
	h.Ended(c.request, t.Name, Outcome{Ending: Cancelled, Ended: time.Now()})
	decode, move, ok := h.PickDecode(c.request, t, pool)
	if !move {
		return decode, func() {}, ok
	}
	return decode, func() { c.moved(h, t, decode, c.prefill(t, prefillLimit(expected))) }, ok
}

// prefill has a target process the prompt.
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
	if _, err := c.sendParts(s); err != nil {
		return err
	}
	var answer wire.Prefilled
	if err := s.Receive(&answer); err != nil {
		return err
	}
	if f := answer.GetFailure(); f != "" {
		return errors.Wrap(ErrPrompt, f)
	}
	return nil
}

// moveKV has the agent of a target fetch the KV cache from another.
func (c *call) moveKV(h HandOverPicker, from, to fleet.Target) error {
	ctx, cancel := context.WithTimeout(c.ctx, moveTimeout)
	defer cancel()
	start := time.Now()
	m := &wire.KVImport{RequestId: c.request.ID[:], Host: string(from.Host), Address: from.Agent.String()}
	answer, err := link.Call[wire.KVImported](ctx, c.e.Links, addressOf(to), m)
	whole := err == nil && answer.GetFailure() == ""
	if c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	h.Moved(c.request, from.Name, to.Name, answer.GetBytes(), time.Since(start), whole)
	if err == nil && !whole {
		err = errors.Wrap(ErrPrompt, answer.GetFailure())
	}
	return err
}

func addressOf(t fleet.Target) link.Address { return link.Address{Host: t.Host, AddrPort: t.Agent} }
