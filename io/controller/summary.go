package controller

import (
	"time"

	"papayarock/core/capacity"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/watch"
	"papayarock/io/wire"
)

// sumPeriod is how often a relay sends its summaries of load to the leader and
// asks for those of the other relays.
const sumPeriod = 500 * time.Millisecond

// hear takes in the load that an agent reports with its poll. An agent speaks
// for the target that is registered on its host only. It is called with mu held.
func (c *Controller) hear(index *config.Index, host fleet.Host, s watch.AgentStatus) {
	t, ok := index.Target(s.Name)
	if !ok || s.Load.Taken.IsZero() || t.Host != host || t.Incarnation != s.Incarnation || t.Phase != fleet.Ready {
		return
	}
	c.board.RecordReport(t, route.Load{
		Target: s.Name, Taken: s.Load.Taken, Requests: s.Running + s.Load.Waiting,
		PrefillTokens: s.Load.PrefillTokens, DecodeTokens: s.Load.DecodeTokens, PrefillSpeed: s.Prefill, DecodeSpeed: s.Decode,
	})
}

// addSums adds this relay's summaries to its report when they are due. It is
// called with mu held.
func (c *Controller) addSums(now time.Time, m *wire.ControlConfirm) {
	if now.Sub(c.summed) < sumPeriod {
		return
	}
	c.summed = now
	m.Summed, m.Summaries = true, wire.EncodeSummaries(c.board.LocalSums(now), now)
}

// addDemand adds the demand of this relay's entries, summed up, to its report when
// it is due. It is called with mu held.
func (c *Controller) addDemand(now time.Time, m *wire.ControlConfirm) {
	for _, r := range c.reports {
		c.entries.Add(now, r)
	}
	c.reports = nil
	if now.Sub(c.demanded) < capacity.RelayReportPeriod {
		return
	}
	c.demanded = now
	for _, r := range c.entries.RelayReports(now, c.self) {
		m.Demand = append(m.Demand, wire.EncodeDemand(r, now))
	}
}

// totals returns the summaries that the leader answers a relay with.
func (c *Controller) totals(now time.Time, relay fleet.Host, m *wire.ControlConfirm) []*wire.ControlSummary {
	if !m.GetSummed() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.SetRelaySums(relay, now, wire.DecodeSummaries(m.GetSummaries(), now))
	return wire.EncodeSummaries(c.board.Totals(now), now)
}

// adopt takes in the summaries of the leader. Their ages count from the time at
// which the relay asked, so that a late answer makes them older.
func (c *Controller) adopt(sent time.Time, answer *wire.ControlConfirmAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.MergeTotals(wire.DecodeSummaries(answer.GetSummaries(), sent))
}

// summaries returns what a poll is answered with.
func (c *Controller) summaries(now time.Time) []*wire.ControlSummary {
	_, _, held := c.group.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held {
		return wire.EncodeSummaries(c.board.Totals(now), now)
	}
	return wire.EncodeSummaries(c.board.Current(now), now)
}
