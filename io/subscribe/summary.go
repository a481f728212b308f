package subscribe

import "time"

// summaryPeriod is how often summaries are asked for. 110 of them are about
// 4 KB, of 27 KB/s for all control of a node.
const summaryPeriod = time.Second

// wantsSummaries says whether the next poll asks for summaries of load.
func (c *Client) wantsSummaries(now time.Time) bool {
	if c.o.Summed == nil || now.Sub(c.summed) < summaryPeriod || c.o.Wanted != nil && !c.o.Wanted() {
		return false
	}
	c.summed = now
	return true
}
