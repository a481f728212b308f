package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/capacity"
	"papayarock/core/fleet"
	"papayarock/core/plan"
)

// Guards against rates that change because they pass through a relay, and against
// demand that counts twice or is missing after lost or late totals, a relay
// failure, an entry that moves to another relay, or a data centre that stops
// reporting. Three entries report 1,000 prompt tokens/s each, two of them through
// relay-0.
func TestDemandSums(t *testing.T) {
	for name, c := range map[string]struct {
		at   func(entry, second int) int  // relay to which the entry reports; -1 for none
		lost func(relay, second int) bool // whether the totals are lost on the way to the leader
		late int                          // delay of the totals in seconds
		want float64                      // expected prompt tokens/s at the leader after 20 s
	}{
		"all arrive":                      {want: 3000},
		"every other report lost":         {lost: func(_, s int) bool { return s%2 == 0 }, want: 3000},
		"two seconds late":                {late: 2, want: 3000},
		"relay failed":                    {lost: func(r, s int) bool { return r == 0 && s > 16 }, want: 1000},
		"entries of a failed relay moved": {at: func(_, s int) int { return s / 16 }, lost: func(r, s int) bool { return r == 0 && s > 15 }, want: 3000},
		"one entry moved": {at: func(e, s int) int {
			if e == 0 && s > 16 {
				return 1
			}
			return e / 2
		}, want: 3000},
		"no reports for 5 s": {at: func(_, s int) int {
			if s > 15 {
				return -1
			}
			return 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if c.at == nil {
				c.at = func(e, _ int) int { return e / 2 }
			}
			var leader capacity.Demand
			var relays [2]capacity.Demand
			var sent [][]capacity.Report
			now := start
			for second := 1; second <= 20; second++ {
				now = now.Add(time.Second)
				for e := range 3 {
					if relay := c.at(e, second); relay >= 0 {
						relays[relay].Add(now, capacity.Report{
							Entry: fleet.Host(fmt.Sprint("e", e)), Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: 4,
							PromptTokens: 1000, OutputTokens: 100, Period: time.Second, At: now,
						})
					}
				}
				var sums []capacity.Report
				for i := range relays {
					if c.lost == nil || !c.lost(i, second) {
						sums = append(sums, relays[i].RelayReports(now, fleet.Host(fmt.Sprint("relay-", i)))...)
					}
				}
				sent = append(sent, sums)
				if second > c.late {
					for _, r := range sent[second-1-c.late] {
						leader.Add(now, r)
						leader.Add(now, r) // duplicate
					}
				}
			}
			var want []plan.Rate
			if c.want > 0 {
				want = []plan.Rate{{Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: c.want / 250, Prefill: c.want, Decode: c.want / 10}}
			}
			is.Equal(len(leader.Rates(now)), len(want))
			for i, r := range leader.Rates(now) {
				is.Equal(r, want[i])
			}
		})
	}
}
