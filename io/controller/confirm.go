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
		if err := c.sendReport(ctx); err != nil {
			c.log.Debug("subscribers not reported", "error", err)
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
	c.tracker.RemoveInactive(now.Add(-forgetAfter))
	for host, v := range c.relays {
		if now.Sub(v.LastReport) >= forgetAfter {
			delete(c.relays, host)
		}
	}
}

func (c *Controller) follow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = 0
	clear(c.relays) // relays list all to the next leader
	c.tracker.RemoveInactive(time.Now().Add(-forgetAfter))
}

// confirm reads through the log: afterwards this replica holds every change that
// was accepted before it asked. It needs a leader with a quorum, but no lease, so
// that copies stay fresh while a new leader waits for the former lease to end.
func (c *Controller) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	if err := c.group.Read(ctx); err != nil {
		return errors.Wrap(err, "confirm copy")
	}
	index, _ := c.machine.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copy.Apply(watch.PollResponse{Sent: sent, Revision: index.Revision})
	return nil
}

// sendReport tells the leader of this replica's subscribers.
func (c *Controller) sendReport(ctx context.Context) error {
	leader, addr, ok := c.leader()
	if !ok {
		return errors.Wrap(ErrNoLeader, "report subscribers")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := link.Call[wire.ControlConfirmAnswer](ctx, c.links, addr, c.confirmation(sent, leader))
	c.answered(err == nil && answer.GetLeading() && answer.GetComplete())
	if err != nil {
		return err
	}
	if !answer.GetLeading() {
		return errors.Wrapf(ErrNoLeader, "host %q does not lead", leader)
	}
	c.adopt(sent, answer)
	return nil
}

// answered notes whether the leader holds the list of this relay.
func (c *Controller) answered(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender.Acknowledge(complete)
}

// confirmation reports the subscribers of this replica to a leader.
func (c *Controller) confirmation(now time.Time, leader fleet.Host) *wire.ControlConfirm {
	index, _ := c.machine.config()
	m := &wire.ControlConfirm{
		Self: wire.EncodeSubscriber(watch.Subscriber{Host: c.self, Revision: index.Revision, Seen: now}, now),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wire.EncodeReport(m, c.sender.Report(now, leader, c.tracker.Subscribers()), now)
	c.addDemand(now, m)
	c.addSums(now, m)
	m.Contacts = c.passContacts(now)
	return m
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
		answer.Complete = c.recordReport(now, host, m)
		answer.Summaries = c.totals(now, host, m)
	}
	return s.Send(answer)
}

// recordReport takes in the report of a relay and says whether its list is
// complete. Only then the relay itself counts as holding its revision: a change
// is in force at a relay only with all its subscribers known.
func (c *Controller) recordReport(now time.Time, host fleet.Host, m *wire.ControlConfirm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.relays[host]
	if v == nil {
		if c.relays == nil {
			c.relays = make(map[fleet.Host]*watch.Receiver)
		}
		v = &watch.Receiver{}
		c.relays[host] = v
	}
	subscribers, complete := v.Apply(now, wire.DecodeReport(m, now))
	if complete {
		self := wire.DecodeSubscriber(m.GetSelf(), now)
		self.Host = host
		c.tracker.Record(self)
	}
	for _, s := range subscribers {
		s.Via = host
		c.tracker.Record(s)
	}
	c.observe("", m.GetContacts(), now)
	for _, d := range m.GetDemand() {
		r := wire.DecodeDemand(d, now)
		if r.Aggregated {
			r.Entry = host
		}
		c.report(r)
	}
	return complete
}
