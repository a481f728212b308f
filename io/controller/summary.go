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

// summaryPeriod is how often a relay sends its load summaries to the leader and
// requests those of the other relays.
const summaryPeriod = 500 * time.Millisecond

// recordLoad records the load that an agent reports with its poll. Only the agent on
// the host of a registered target may report its load, for its current incarnation
// and while it is ready. The caller holds mu.
func (c *Controller) recordLoad(index *config.Index, host fleet.Host, s watch.AgentStatus) {
	t, ok := index.Target(s.Name)
	if !ok || s.Load.Taken.IsZero() || t.Host != host || t.Incarnation != s.Incarnation || t.Phase != fleet.Ready {
		return
	}
	c.loads.RecordReport(t, route.Load{
		Target: s.Name, MeasuredAt: s.Load.Taken, Requests: s.Running + s.Load.Waiting,
		PrefillTokens: s.Load.PrefillTokens, DecodeTokens: s.Load.DecodeTokens, PrefillSpeed: s.Prefill, DecodeSpeed: s.Decode,
	})
}

// addSummaries adds this relay's load summaries to its report when they are due.
// The caller holds mu.
func (c *Controller) addSummaries(now time.Time, m *wire.ControlConfirm) {
	if now.Sub(c.summariesSent) < summaryPeriod {
		return
	}
	c.summariesSent = now
	m.Summed, m.Summaries = true, wire.EncodeSummaries(c.loads.LocalSums(now), now)
}

// addDemand adds the total demand of this relay's entries to its report when it is
// due. The caller holds mu.
func (c *Controller) addDemand(now time.Time, m *wire.ControlConfirm) {
	for _, r := range c.demandReports {
		c.entryDemand.Add(now, r)
	}
	c.demandReports = nil
	if now.Sub(c.demandSent) < capacity.RelayReportPeriod {
		return
	}
	c.demandSent = now
	for _, r := range c.entryDemand.RelayReports(now, c.self) {
		m.Demand = append(m.Demand, wire.EncodeDemand(r, now))
	}
}

// exchangeSummaries records a relay's load summaries and returns the totals for the
// response.
func (c *Controller) exchangeSummaries(now time.Time, relay fleet.Host, m *wire.ControlConfirm) []*wire.ControlSummary {
	if !m.GetSummed() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.SetRelaySums(relay, now, wire.DecodeSummaries(m.GetSummaries(), now))
	return wire.EncodeSummaries(c.loads.Totals(now), now)
}

// mergeTotals merges the leader's load summaries. Their ages count from the time at
// which the request was sent, so that a late response makes them older.
func (c *Controller) mergeTotals(sent time.Time, answer *wire.ControlConfirmAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.MergeTotals(wire.DecodeSummaries(answer.GetSummaries(), sent))
}

// summaries returns the load summaries for the response to a poll.
func (c *Controller) summaries(now time.Time) []*wire.ControlSummary {
	_, _, held := c.member.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	if held {
		return wire.EncodeSummaries(c.loads.Totals(now), now)
	}
	return wire.EncodeSummaries(c.loads.Current(now), now)
}
