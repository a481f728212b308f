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
	// confirmTimeout limits one confirmation, so that a relay stops waiting for
	// an unresponsive leader well before its own copy is stale.
	confirmTimeout = time.Second
)

// confirmLoop periodically confirms the copy of a replica that does not lead,
// and reports its subscribers to the leader.
func (c *Controller) confirmLoop(ctx context.Context) error {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, _, held := c.member.Lease(); held {
			c.updateLeading(time.Now())
			continue
		}
		c.clearLeading()
		if err := c.confirm(ctx); err != nil {
			c.log.Debug("could not confirm configuration copy", "error", err)
		}
		if err := c.sendReport(ctx); err != nil {
			c.log.Debug("could not report subscribers to leader", "error", err)
		}
	}
}

// updateLeading records for the tracker when this replica began to lead, and
// removes inactive subscribers and relays.
func (c *Controller) updateLeading(now time.Time) {
	term, _, _ := c.member.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadingTerm != term {
		c.leadingTerm = term
		c.tracker.Since = now
	}
	c.tracker.RemoveInactive(now.Add(-subscriberRetention))
	for host, v := range c.relays {
		if now.Sub(v.LastReport) >= subscriberRetention {
			delete(c.relays, host)
		}
	}
}

// clearLeading discards what only a leader keeps, and removes inactive subscribers.
func (c *Controller) clearLeading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leadingTerm = 0
	clear(c.relays) // relays send a full report to the next leader
	c.tracker.RemoveInactive(time.Now().Add(-subscriberRetention))
}

// confirm performs a linearizable read: afterwards this replica has applied every
// change accepted before the call. A leader with a quorum suffices, even without a
// lease, so copies stay fresh while a new leader waits for the previous lease to
// expire.
func (c *Controller) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := c.member.Now()
	if err := c.member.ReadBarrier(ctx); err != nil {
		return errors.Wrap(err, "confirm copy")
	}
	index, _ := c.machine.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copy.Apply(watch.PollResponse{Sent: sent, Revision: index.Revision})
	return nil
}

// sendReport reports this replica's subscribers, demand and load to the leader.
func (c *Controller) sendReport(ctx context.Context) error {
	leader, addr, ok := c.leader()
	if !ok {
		return errors.Wrap(ErrNoLeader, "report subscribers")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := link.Call[wire.ControlConfirmAnswer](ctx, c.links, addr, c.newReport(sent, leader))
	c.acknowledgeReport(err == nil && answer.GetLeading() && answer.GetComplete())
	if err != nil {
		return err
	}
	if !answer.GetLeading() {
		return errors.Wrapf(ErrNoLeader, "host %q does not lead", leader)
	}
	c.mergeTotals(sent, answer)
	return nil
}

// acknowledgeReport records whether the leader has the complete subscriber list
// of this relay.
func (c *Controller) acknowledgeReport(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportBuilder.Acknowledge(complete)
}

// newReport returns the next report to the leader and clears the queues whose demand
// and contacts it includes.
func (c *Controller) newReport(now time.Time, leader fleet.Host) *wire.ControlConfirm {
	index, _ := c.machine.config()
	m := &wire.ControlConfirm{
		Self: wire.EncodeSubscriber(watch.Subscriber{Host: c.self, Revision: index.Revision, Seen: now}, now),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wire.EncodeReport(m, c.reportBuilder.Report(now, leader, c.tracker.Subscribers()), now)
	c.addDemand(now, m)
	c.addSummaries(now, m)
	m.Contacts = c.takeContacts(now)
	return m
}

// serveConfirm answers a relay's report. The revision is read before the lease is
// checked: if the lease is held, the revision includes every change accepted before
// the relay sent its request.
func (c *Controller) serveConfirm(s *link.Stream, host fleet.Host, m *wire.ControlConfirm) error {
	now := time.Now()
	index, _ := c.machine.config()
	_, _, held := c.member.Lease()
	answer := &wire.ControlConfirmAnswer{Leading: held, Revision: index.Revision}
	if leader, _, ok := c.leader(); ok {
		answer.Leader = string(leader)
	}
	if held {
		answer.Complete = c.recordReport(now, host, m)
		answer.Summaries = c.exchangeSummaries(now, host, m)
	}
	return s.Send(answer)
}

// recordReport records the report of a relay and returns whether its subscriber
// list is complete. The relay itself counts as up to date only with a complete
// list: a change is in force at a relay only if all its subscribers are known.
func (c *Controller) recordReport(now time.Time, host fleet.Host, m *wire.ControlConfirm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	receiver := c.relays[host]
	if receiver == nil {
		if c.relays == nil {
			c.relays = make(map[fleet.Host]*watch.ReportReceiver)
		}
		receiver = &watch.ReportReceiver{}
		c.relays[host] = receiver
	}
	subscribers, complete := receiver.Apply(now, wire.DecodeReport(m, now))
	if complete {
		self := wire.DecodeSubscriber(m.GetSelf(), now)
		self.Host = host
		c.tracker.Record(self)
	}
	for _, s := range subscribers {
		s.Via = host
		c.tracker.Record(s)
	}
	c.recordContacts("", m.GetContacts(), now)
	for _, d := range m.GetDemand() {
		r := wire.DecodeDemand(d, now)
		if r.Aggregated {
			r.Entry = host // the authenticated name
		}
		c.addDemandReport(r)
	}
	return complete
}
