package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// confirmPeriod is how often a relay confirms its copy with the leader.
	confirmPeriod = 250 * time.Millisecond
	// confirmTimeout bounds one confirmation, so that a leader that went silent
	// is given up well before the relay's own copy is stale.
	confirmTimeout = time.Second
)

// confirmLoop keeps the copy of a replica that does not lead confirmed.
func (c *Controller) confirmLoop(ctx context.Context) error {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, _, held := c.group.Lease(); held {
			c.lead(time.Now())
			continue
		}
		c.follow()
		if err := c.confirm(ctx); err != nil {
			c.log.Debug("copy not confirmed", "error", err)
		}
	}
}

// lead notes since when this replica leads, for the tracker.
func (c *Controller) lead(now time.Time) {
	term, _, _ := c.group.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading != term {
		c.leading = term
		c.tracker.Since = now
	}
	c.tracker.Forget(now.Add(-forgetAfter))
}

func (c *Controller) follow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = 0
	c.tracker.Forget(time.Now().Add(-forgetAfter))
}

// confirm asks the leader for the newest revision and reports this replica's
// subscribers to it.
func (c *Controller) confirm(ctx context.Context) error {
	leader, addr, ok := c.leader()
	if !ok {
		return errors.Wrap(ErrNoLeader, "confirm copy")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := link.Call[wire.ControlConfirmAnswer](ctx, c.links, addr, c.report(sent))
	if err != nil {
		return err
	}
	if !answer.GetLeading() {
		return errors.Wrapf(ErrNoLeader, "host %q does not lead", leader)
	}
	if !c.reached(ctx, answer.GetRevision()) {
		return errors.Errorf("revision %d has not reached this replica", answer.GetRevision())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	index, _ := c.machine.config()
	c.copy.Apply(watch.Answer{Sent: sent, Revision: index.Revision})
	return nil
}

// report lists the subscribers of this replica.
func (c *Controller) report(now time.Time) *wire.ControlConfirm {
	index, _ := c.machine.config()
	m := &wire.ControlConfirm{
		Self: wire.EncodeSubscriber(watch.Subscriber{Host: c.self, Revision: index.Revision, Seen: now}, now),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.tracker.Subscribers() {
		if s.Via == "" {
			m.Subscribers = append(m.Subscribers, wire.EncodeSubscriber(s, now))
		}
	}
	m.Demand, c.demand = c.demand, nil
	return m
}

// reached waits until this replica has applied revision.
func (c *Controller) reached(ctx context.Context, revision uint64) bool {
	for {
		index, changed := c.machine.config()
		if index.Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// confirmed answers a relay. The revision is read while the lease holds, so it
// includes every change accepted before the relay asked.
func (c *Controller) confirmed(s *link.Stream, host fleet.Host, m *wire.ControlConfirm) error {
	now := time.Now()
	index, _ := c.machine.config()
	_, _, held := c.group.Lease()
	answer := &wire.ControlConfirmAnswer{Leading: held, Revision: index.Revision}
	if leader, _, ok := c.leader(); ok {
		answer.Leader = string(leader)
	}
	if held {
		c.recordReport(now, host, m)
	}
	return s.Send(answer)
}

func (c *Controller) recordReport(now time.Time, host fleet.Host, m *wire.ControlConfirm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := wire.DecodeSubscriber(m.GetSelf(), now)
	self.Host = host
	c.tracker.Record(self)
	for _, x := range m.GetSubscribers() {
		s := wire.DecodeSubscriber(x, now)
		s.Via = host
		c.tracker.Record(s)
	}
	c.keepDemand(m.GetDemand())
}
