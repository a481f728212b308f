package controller

import (
	"context"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/watch"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// snapshotPartBytes is the maximum size of one part of a snapshot on a link.
const snapshotPartBytes = 256 << 10

// servePoll answers a node's poll. It waits until the configuration is newer than
// the node's copy, for at most watch.MaxPollHold, and sends the newer configuration
// as a delta or a snapshot. If this replica's own copy is stale, the response says only
// that.
func (c *Controller) servePoll(ctx context.Context, s *link.Stream, host fleet.Host, m *wire.ControlPoll) error {
	revision := m.GetSelf().GetRevision()
	c.recordPoll(host, m)
	if m.GetSelf().GetLeft() {
		return s.Send(&wire.ControlPollAnswer{Last: true})
	}
	c.waitForNewer(ctx, revision)
	age, ok := c.age()
	if !ok {
		return s.Send(&wire.ControlPollAnswer{Stale: true, Last: true})
	}
	index, _ := c.machine.config()
	answer := &wire.ControlPollAnswer{Revision: index.Revision, AgeNanos: int64(age), Last: true}
	if m.GetSummaries() {
		answer.Summaries = c.summaries(time.Now())
	}
	if index.Revision <= revision && revision > 0 {
		return s.Send(answer)
	}
	if d, ok := c.machine.delta(revision); ok && revision > 0 {
		answer.Revision = d.To
		var err error
		if answer.Delta, err = wire.EncodeDelta(d); err != nil {
			return err
		}
		if len(answer.Delta) <= snapshotPartBytes {
			return s.Send(answer)
		}
		// A delta is sent in one message; if it is too large, a snapshot is sent in parts.
		answer.Delta, answer.Revision = nil, index.Revision
	}
	snapshot, err := c.snapshots.encode(index)
	if err != nil {
		return err
	}
	return sendParts(s, answer, snapshot)
}

// sendParts sends a snapshot in parts, the last of them in answer.
func sendParts(s *link.Stream, answer *wire.ControlPollAnswer, snapshot []byte) error {
	for len(snapshot) > snapshotPartBytes {
		part := &wire.ControlPollAnswer{Revision: answer.Revision, SnapshotPart: snapshot[:snapshotPartBytes]}
		if err := s.Send(part); err != nil {
			return err
		}
		snapshot = snapshot[snapshotPartBytes:]
	}
	answer.SnapshotPart = snapshot
	return s.Send(answer)
}

// waitForNewer returns when the configuration is newer than revision, after
// watch.MaxPollHold, or when ctx ends.
func (c *Controller) waitForNewer(ctx context.Context, revision uint64) {
	hold := time.NewTimer(watch.MaxPollHold)
	defer hold.Stop()
	for {
		index, changed := c.machine.config()
		if index.Revision > revision {
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// recordPoll records the subscriber, load, contacts and demand that a poll reports.
func (c *Controller) recordPoll(host fleet.Host, m *wire.ControlPoll) {
	s := wire.DecodeSubscriber(m.GetSelf(), time.Now())
	s.Host = host // the authenticated name
	index, _ := c.machine.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLoad(index, host, s.Target)
	s.Target.Load = watch.Load{} // relays report loads as sums only
	c.tracker.Record(s)
	c.recordContacts(host, m.GetContacts(), s.Seen)
	for _, d := range m.GetDemand() {
		r := wire.DecodeDemand(d, s.Seen)
		r.Entry, r.Aggregated = host, false // a node reports only its own demand
		c.addDemandReport(r)
	}
}

// age returns the age of this replica's copy of the configuration, and whether the
// copy is fresh. While a replica holds the lease, its copy is always fresh. The age
// includes the time for which the host was suspended, in which a key may have been
// withdrawn.
func (c *Controller) age() (time.Duration, bool) {
	if _, _, held := c.member.Lease(); held {
		return 0, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.member.Now()
	return c.copy.Age(now), c.copy.Fresh(now)
}
