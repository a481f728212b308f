package wire

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/capacity"
	"papayarock/core/fleet"
	"papayarock/core/route"
	"papayarock/core/summary"
	"papayarock/core/watch"
)

// Guards against a conversion that drops a field of a subscriber, a demand report or a
// load summary, and against one that lets through a row without targets, an unknown
// stage, or a negative, infinite or NaN figure, which would corrupt running totals.
func TestControlMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	s := watch.Subscriber{Host: "h", Revision: 3, Seen: testTime, Target: watch.AgentStatus{
		Name: "e1", Incarnation: 4, Ready: true, Running: 5, Refusing: true, Prefill: 6, Decode: 7,
		Load: watch.Load{Taken: testTime.Add(-time.Second), PrefillTokens: 8, DecodeTokens: 9, Waiting: 10},
	}}
	sent := testTime.Add(time.Second)
	is.Equal(DecodeSubscriber(EncodeSubscriber(s, sent), sent), s)
	r := capacity.Report{
		Entry: "n1", Pool: "m", DataCentre: "dc", Class: fleet.Urgent, Requests: 1, PromptTokens: 2, OutputTokens: 3,
		Period: 4 * time.Second, At: testTime, Aggregated: true,
	}
	is.Equal(DecodeDemand(EncodeDemand(r, sent), sent), r)
	rows := []summary.Row{{Key: summary.Key{Pool: "m", DataCentre: "dc", Stage: route.Decode}, Targets: 2, Backlog: 1.5, ComputedAt: testTime}}
	is.Equal(DecodeSummaries(EncodeSummaries(rows, sent), sent), rows)
	is.Equal(len(DecodeSummaries([]*ControlSummary{{}, {Targets: 1, Stage: 2}}, testTime)), 0)
	for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
		got := DecodeDemand(&ControlDemand{Requests: v, PromptTokens: v, OutputTokens: v, Seconds: v}, testTime)
		is.Equal(got, capacity.Report{At: testTime})
		is.Equal(DecodeSubscriber(&ControlSubscriber{Target: &ControlTarget{PrefillSpeed: v, DecodeSpeed: v}}, testTime).Target, watch.AgentStatus{})
		is.Equal(DecodeSummaries([]*ControlSummary{{Targets: 1, Work: float32(v)}}, testTime)[0].Backlog, 0.0)
	}
}
