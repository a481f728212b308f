package wire

import (
	"math"
	"time"

	"papayarock/core/capacity"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// EncodeSubscriber maps a subscriber. Its last poll is sent as an age, since
// the clocks of two hosts do not agree.
func EncodeSubscriber(s watch.Subscriber, now time.Time) *ControlSubscriber {
	m := &ControlSubscriber{
		Host: string(s.Host), Revision: s.Revision, AgeNanos: int64(now.Sub(s.Seen)), Quiet: s.Quiet, Run: s.Run, Left: s.Left,
	}
	if t := s.Target; t.Name != "" {
		m.Target = &ControlTarget{
			Name: string(t.Name), Incarnation: uint64(t.Incarnation),
			Ready: t.Ready, Running: t.Running, Refusing: t.Refusing,
			PrefillSpeed: t.Prefill, DecodeSpeed: t.Decode,
		}
		if l := t.Load; !l.Taken.IsZero() {
			m.Target.Load = &ControlLoad{
				PrefillTokens: l.PrefillTokens, DecodeTokens: l.DecodeTokens, Waiting: l.Waiting, AgeNanos: int64(now.Sub(l.Taken)),
			}
		}
	}
	return m
}

// DecodeSubscriber reads what EncodeSubscriber wrote.
func DecodeSubscriber(m *ControlSubscriber, now time.Time) watch.Subscriber {
	age := time.Duration(max(m.GetAgeNanos(), 0))
	s := watch.Subscriber{
		Host: fleet.Host(m.GetHost()), Revision: m.GetRevision(), Seen: now.Add(-age),
		Quiet: m.GetQuiet(), Run: m.GetRun(), Left: m.GetLeft(),
	}
	if t := m.GetTarget(); t.GetName() != "" {
		s.Target = watch.AgentStatus{
			Name: fleet.TargetName(t.GetName()), Incarnation: fleet.Incarnation(t.GetIncarnation()),
			Ready: t.GetReady(), Running: t.GetRunning(), Refusing: t.GetRefusing(),
			Prefill: amount(t.GetPrefillSpeed()), Decode: amount(t.GetDecodeSpeed()),
		}
		if l := t.GetLoad(); l != nil {
			s.Target.Load = watch.Load{
				PrefillTokens: amount(l.GetPrefillTokens()), DecodeTokens: amount(l.GetDecodeTokens()), Waiting: l.GetWaiting(),
				Taken: now.Add(-time.Duration(max(l.GetAgeNanos(), 0))),
			}
		}
	}
	return s
}

// amount returns v, or 0 if v is no finite amount: sums would never recover
// from it.
func amount(v float64) float64 {
	if v > 0 && v <= math.MaxFloat64 {
		return v
	}
	return 0
}

// EncodeDemand maps the demand that an entry reports. Its time is sent as an
// age, as that of a subscriber.
func EncodeDemand(r capacity.Report, now time.Time) *ControlDemand {
	return &ControlDemand{
		Entry: string(r.Entry), Pool: r.Pool, DataCentre: string(r.DataCentre), Class: uint32(r.Class),
		Requests: r.Requests, PromptTokens: r.Prompt, OutputTokens: r.Output, Seconds: r.Period.Seconds(),
		AgeNanos: int64(now.Sub(r.At)), Summed: r.Aggregated,
	}
}

// maxDemandSeconds bounds the period of one report.
const maxDemandSeconds = 3600

// DecodeDemand reads what EncodeDemand wrote. A class that is not known counts
// as patient.
func DecodeDemand(m *ControlDemand, now time.Time) capacity.Report {
	class := fleet.Patient
	if m.GetClass() == uint32(fleet.Urgent) {
		class = fleet.Urgent
	}
	return capacity.Report{
		Entry: fleet.Host(m.GetEntry()), Pool: m.GetPool(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Class: class,
		Requests: amount(m.GetRequests()), Prompt: amount(m.GetPromptTokens()), Output: amount(m.GetOutputTokens()),
		Period:     time.Duration(min(amount(m.GetSeconds()), maxDemandSeconds) * float64(time.Second)),
		At:         now.Add(-time.Duration(max(m.GetAgeNanos(), 0))),
		Aggregated: m.GetSummed(),
	}
}

// EncodeOrder maps an order to a target.
func EncodeOrder(o state.Order) *StateOrder { return encodeOrder(o) }

// DecodeOrder reads what EncodeOrder wrote.
func DecodeOrder(m *StateOrder) (state.Order, error) {
	var r reader
	o := r.order(m)
	return o, r.err
}

// EncodeNumber maps an order number.
func EncodeNumber(n fleet.OrderNumber) *StateNumber { return encodeNumber(n) }

// DecodeNumber reads what EncodeNumber wrote.
func DecodeNumber(m *StateNumber) fleet.OrderNumber { return decodeNumber(m) }

// EncodeContent maps the content of an order.
func EncodeContent(c state.OrderContent) *StateContent { return encodeContent(c) }

// DecodeContent reads what EncodeContent wrote.
func DecodeContent(m *StateContent) (state.OrderContent, error) {
	var r reader
	c := r.content(m)
	return c, r.err
}
