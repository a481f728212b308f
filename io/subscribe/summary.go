package subscribe

import "time"

// summaryPeriod is the minimum time between two requests for load summaries. At
// 110 summaries per response, they take about 4 KB/s of the 27 KB/s of a node's
// control traffic.
const summaryPeriod = time.Second

// wantsSummaries reports whether the next poll requests load summaries.
func (c *Client) wantsSummaries(now time.Time) bool {
	if c.o.OnSummaries == nil || now.Sub(c.summariesRequested) < summaryPeriod || c.o.WantSummaries != nil && !c.o.WantSummaries() {
		return false
	}
	c.summariesRequested = now
	return true
}
