package subscribe

import "time"

// summaryPeriod is the minimum time between two requests for load summaries. 110 of
// them take about 4 KB of the 27 KB/s of all control traffic of a node.
const summaryPeriod = time.Second

// wantsSummaries reports whether the next poll requests load summaries.
func (c *Client) wantsSummaries(now time.Time) bool {
	if c.o.OnSummaries == nil || now.Sub(c.summariesRequested) < summaryPeriod || c.o.WantSummaries != nil && !c.o.WantSummaries() {
		return false
	}
	c.summariesRequested = now
	return true
}
