package wire_test

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/io/wire"
)

// Guards against a message from a replica that makes a voter panic, write an entry
// that leaves a gap, or overwrite an entry covered by its snapshot, and against
// messages that change when they are encoded again.
func FuzzLogMessage(f *testing.F) {
	start := time.Unix(1000, 0)
	for _, m := range []log.Message{
		{Kind: log.Append, From: "b", Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []log.Entry{{Index: 2, Term: 2, Command: []byte("x")}}},
		{Kind: log.VoteRequest, From: "b", Term: 3, Index: 9, LogTerm: 2},
		{Kind: log.SnapshotChunk, From: "b", Term: 2, Index: 7, LogTerm: 2, Total: 1 << 62, Data: []byte("part"), Members: log.NewMembership("a", "b")},
	} {
		b, err := proto.Marshal(wire.EncodeLogMessage(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		n := log.New(start, log.Options{
			Self: "a", Identity: 1, Random: rand.New(rand.NewPCG(1, 1)),
			Stored: log.Stored{Snapshot: log.BootstrapSnapshot(log.NewMembership("a", "b", "c")), Hard: log.HardState{Term: 1}},
		})
		for i, b := range [][]byte{first, second} {
			var m wire.LogMessage
			if proto.Unmarshal(b, &m) != nil {
				return
			}
			decoded, err := wire.DecodeLogMessage(&m)
			if err != nil {
				return
			}
			again, err := wire.DecodeLogMessage(wire.EncodeLogMessage(decoded))
			if err != nil || !reflect.DeepEqual(decoded, again) {
				t.Fatalf("%+v became %+v: %v", decoded, again, err)
			}
			decoded.To, decoded.ToIdentity = "a", 1
			for _, a := range n.Step(start.Add(time.Duration(i+1)*time.Second), log.Receive{Message: decoded}) {
				if p, ok := a.(log.Persist); ok && len(p.Entries) > 0 && p.Entries[0].Index < 2 {
					t.Fatalf("entry %d, which the first snapshot covers, is replaced", p.Entries[0].Index)
				}
			}
		}
	})
}

// Guards against messages from nodes and relays that make a control replica panic, or
// that contain times in the future or figures that would corrupt running totals.
func FuzzControlMessages(f *testing.F) {
	now := time.Unix(1000, 0)
	for _, m := range []proto.Message{
		&wire.ControlSubscriber{Host: "h", AgeNanos: -5, Target: &wire.ControlTarget{Name: "t", PrefillSpeed: math.Inf(1)}},
		&wire.ControlDemand{Pool: "p", PromptTokens: math.NaN(), Seconds: 1e300, AgeNanos: math.MinInt64},
		&wire.StateOrder{}, &wire.StateContent{}, &wire.ControlResult{},
		&wire.ControlConfirm{
			Run: 1, Sequence: 1, Whole: true, OldestNanos: -5,
			Subscribers: []*wire.ControlSubscriber{{Host: "h", Quiet: true, AgeNanos: math.MinInt64}},
			Summaries:   []*wire.ControlSummary{{Targets: 1, Work: float32(math.Inf(1))}},
			Contacts:    []*wire.ControlContact{{Target: "t", ReachedAgeNanos: -1, FailedAgeNanos: math.MaxInt64}},
		},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	f.Fuzz(func(t *testing.T, b []byte) {
		var s wire.ControlSubscriber
		if proto.Unmarshal(b, &s) == nil {
			d := wire.DecodeSubscriber(&s, now)
			if d.Seen.After(now) || !finite(d.Target.Prefill) || !finite(d.Target.Decode) {
				t.Fatalf("subscriber with a future time or an invalid speed: %+v", d)
			}
		}
		var demand wire.ControlDemand
		if proto.Unmarshal(b, &demand) == nil {
			d := wire.DecodeDemand(&demand, now)
			if d.At.After(now) || d.Period < 0 || !finite(d.Requests) || !finite(d.PromptTokens) || !finite(d.OutputTokens) {
				t.Fatalf("demand report with a future time or an invalid figure: %+v", d)
			}
		}
		var confirm wire.ControlConfirm
		if proto.Unmarshal(b, &confirm) == nil {
			var v watch.ReportReceiver
			listed, _ := v.Apply(now, wire.DecodeReport(&confirm, now))
			for _, d := range listed {
				if d.Seen.After(now) || d.Heard.After(now) {
					t.Fatalf("subscriber in a report with a future time: %+v", d)
				}
			}
			for _, row := range wire.DecodeSummaries(confirm.GetSummaries(), now) {
				if !finite(row.Backlog) || row.ComputedAt.After(now) {
					t.Fatalf("load summary with a future time or an invalid backlog: %+v", row)
				}
			}
			for _, c := range confirm.GetContacts() {
				if d := wire.DecodeContact(c, now); d.Reached.After(now) || d.Failed.After(now) {
					t.Fatalf("contact with a future time: %+v", d)
				}
			}
		}
		checkRoundTrip(t, b, &wire.StateOrder{}, wire.DecodeOrder, wire.EncodeOrder)
		checkRoundTrip(t, b, &wire.StateContent{}, wire.DecodeOrderContent, wire.EncodeOrderContent)
		var r wire.ControlResult
		if proto.Unmarshal(b, &r) == nil {
			if result, err := wire.DecodeResult(&r); err == nil {
				if _, err := wire.EncodeResult(result); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// checkRoundTrip decodes b and checks that the value does not change when it is
// encoded and decoded again.
func checkRoundTrip[M proto.Message, V any](t *testing.T, b []byte, m M, decode func(M) (V, error), encode func(V) M) {
	t.Helper()
	if proto.Unmarshal(b, m) != nil {
		return
	}
	v, err := decode(m)
	if err != nil {
		return
	}
	again, err := decode(encode(v))
	if err != nil || !reflect.DeepEqual(v, again) {
		t.Fatalf("%+v became %+v: %v", v, again, err)
	}
}

// Guards against a header, usage record or request ID from an agent that makes the
// entry panic or that changes when it is encoded again.
func FuzzAgentMessages(f *testing.F) {
	u := state.UsageRecord{ID: state.UsageID{Node: "n", Incarnation: 1, Sequence: 2}, Customer: "c", Route: "r", Ended: time.Unix(5, 0)}
	b, err := proto.Marshal(wire.EncodeUsage(u))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var head wire.Head
		if proto.Unmarshal(b, &head) == nil {
			if h, err := wire.DecodeHeader(head.GetHeaders()); err == nil {
				again, err := wire.DecodeHeader(wire.EncodeHeader(h))
				if err != nil || !reflect.DeepEqual(h, again) {
					t.Fatalf("%v became %v: %v", h, again, err)
				}
			}
			_, _ = wire.DecodeRequestID(head.GetRequestId())
		}
		var usage wire.Usage
		if proto.Unmarshal(b, &usage) == nil {
			if u, ok := wire.DecodeUsage(&usage, fleet.Customer("c"), "r"); ok {
				if again, ok := wire.DecodeUsage(wire.EncodeUsage(u), "c", "r"); !ok || !reflect.DeepEqual(u, again) {
					t.Fatalf("%+v became %+v", u, again)
				}
			}
		}
	})
}
