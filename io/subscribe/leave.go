package subscribe

import (
	"context"
	"time"

	"papayarock/core/watch"
	"papayarock/io/wire"
)

// leaveTimeout bounds the last poll. Without it, a change waits until this
// node's copy must be stale, as after a failure.
const leaveTimeout = 500 * time.Millisecond

// leave gives the copy up, so that keyed requests are refused from here on, and
// only then tells control.
func (c *Client) leave(ctx context.Context) {
	c.mu.Lock()
	c.copy.FreshUntil = time.Time{}
	c.FreshNanos.Store(0)
	c.mu.Unlock()
	addr, ok := c.address()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m := &wire.ControlPoll{Self: c.self(time.Now())}
	m.Self.Left = true
	s, err := c.o.Links.Open(ctx, addr, m)
	if err != nil {
		c.o.Log.Debug("control not told that this node leaves", "control", addr, "error", err)
		return
	}
	defer func() { _ = s.Close() }()
	var answer wire.ControlPollAnswer
	if err := s.Receive(&answer); err != nil {
		c.o.Log.Debug("control not told that this node leaves", "control", addr, "error", err)
	}
}

// self says who polls, and what it holds.
func (c *Client) self(now time.Time) *wire.ControlSubscriber {
	s := watch.Subscriber{Host: c.o.Host, Run: c.run, Seen: now}
	if x := c.Index.Load(); x != nil {
		s.Revision = x.Revision
	}
	if c.o.Sign != nil {
		s.Target = c.o.Sign()
	}
	return wire.EncodeSubscriber(s, now)
}
