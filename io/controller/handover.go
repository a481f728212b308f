package controller

import (
	"context"
	"time"

	"papayarock/core/dispatch"
)

const (
	// actionsTimeout bounds the wait for actions when a leader stops. An external
	// action takes at most log.DefaultLongestAction, and its result is committed
	// after it.
	actionsTimeout = 2 * time.Second
	// handOverTimeout bounds the hand-over itself, which takes one lease if the
	// chosen voter does not answer.
	handOverTimeout = 2 * time.Second
)

// noteFailed remembers that an external action has ended without an answer. It
// may have an effect until its deadline.
func (c *Controller) noteFailed(a dispatch.Action) {
	var deadline time.Time
	switch a := a.(type) {
	case dispatch.SendOrder:
		deadline = a.Deadline
	case dispatch.ReadTarget:
		deadline = a.Deadline
	case dispatch.SendPlatform:
		deadline = a.Deadline
	case dispatch.SendUsage:
		deadline = a.Deadline
	default:
		return
	}
	for {
		old := c.failedBy.Load()
		if old != nil && !deadline.After(*old) {
			return
		}
		if c.failedBy.CompareAndSwap(old, &deadline) {
			return
		}
	}
}

// handOver lets another replica lead at once when this one stops. It gives the
// lease up only after every action under it has ended: one without an answer
// ends with its deadline.
func (c *Controller) handOver(ctx context.Context) {
	if _, _, held := c.group.Lease(); !held {
		return
	}
	ended := make(chan struct{})
	go func() {
		c.actions.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(actionsTimeout):
		c.log.Warn("not handed over: an action still runs")
		return
	}
	if by := c.failedBy.Load(); by != nil {
		time.Sleep(time.Until(*by))
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := c.group.HandOver(ctx); err != nil {
		c.log.Warn("not handed over", "error", err)
		return
	}
	c.log.Info("handed over", "leader", c.group.Leader())
}
