package subscribe

import (
	"context"
	"time"

	"papayarock/core/watch"
	"papayarock/io/wire"
)

// leaveTimeout limits the last poll, which tells control that this node leaves. If
// control does not receive it, the next change is in force only once this node's copy
// must have become stale, as after a crash.
const leaveTimeout = 500 * time.Millisecond

// sendLeave first marks the copy as stale, so that keyed requests are refused from
// then on, and only then notifies control.
func (c *Client) sendLeave(ctx context.Context) {
	c.mu.Lock()
	c.copy.FreshUntil = time.Time{}
	c.FreshUntilNanos.Store(0)
	c.mu.Unlock()
	addr, ok := c.address()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m := &wire.ControlPoll{Self: c.subscriber(time.Now())}
	m.Self.Left = true
	s, err := c.o.Links.Open(ctx, addr, m)
	if err != nil {
		c.o.Log.Debug("could not notify control that this node leaves", "control", addr, "error", err)
		return
	}
	defer func() { _ = s.Close() }()
	var answer wire.ControlPollAnswer
	if err := s.Receive(&answer); err != nil {
		c.o.Log.Debug("could not notify control that this node leaves", "control", addr, "error", err)
	}
}

// subscriber returns the identity, revision and target status that a poll reports.
func (c *Client) subscriber(now time.Time) *wire.ControlSubscriber {
	s := watch.Subscriber{Host: c.o.Host, Run: c.runID, Seen: now}
	if x := c.Config.Load(); x != nil {
		s.Revision = x.Revision
	}
	if c.o.AgentStatus != nil {
		s.Target = c.o.AgentStatus()
	}
	return wire.EncodeSubscriber(s, now)
}
