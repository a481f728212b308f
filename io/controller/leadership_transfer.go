package controller

import (
	"context"
	"time"

	"papayarock/core/dispatch"
)

const (
	// actionsTimeout limits the wait for running actions when a leader stops. An
	// external action takes at most log.DefaultLongestAction, after which its result
	// still has to be committed.
	actionsTimeout = 2 * time.Second
	// leadershipTransferTimeout limits the transfer itself, which takes one lease
	// duration if the chosen voter does not respond.
	leadershipTransferTimeout = 2 * time.Second
)

// recordUnanswered records an action outside this process that ended without a
// response. It may still take effect until its deadline.
func (c *Controller) recordUnanswered(a dispatch.Action) {
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
		old := c.unansweredUntil.Load()
		if old != nil && !deadline.After(*old) {
			return
		}
		if c.unansweredUntil.CompareAndSwap(old, &deadline) {
			return
		}
	}
}

// transferLeadership transfers leadership when this replica stops. It gives up the lease
// only after every action under it has ended; an action without a response ends at its
// deadline.
func (c *Controller) transferLeadership(ctx context.Context) {
	if _, _, held := c.member.Lease(); !held {
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
		c.log.Warn("not handed over: an action is still in progress")
		return
	}
	if deadline := c.unansweredUntil.Load(); deadline != nil {
		time.Sleep(time.Until(*deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := c.member.TransferLeadership(ctx); err != nil {
		c.log.Warn("not handed over", "error", err)
		return
	}
	c.log.Info("handed over", "leader", c.member.Leader())
}
