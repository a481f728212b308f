package wire

import (
	"math"
	"time"

	"papayarock/core/capacity"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/core/watch"
)

// EncodeSubscriber converts a subscriber to its message. The times of its last poll
// and of its load measurement are sent as ages, since the clocks of different hosts
// do not agree.
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

// DecodeSubscriber converts a message to a subscriber. Ages are subtracted from now.
// Negative ages and figures that are negative or not finite become 0.
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
			Prefill: finiteOrZero(t.GetPrefillSpeed()), Decode: finiteOrZero(t.GetDecodeSpeed()),
		}
		if l := t.GetLoad(); l != nil {
			s.Target.Load = watch.Load{
				PrefillTokens: finiteOrZero(l.GetPrefillTokens()), DecodeTokens: finiteOrZero(l.GetDecodeTokens()), Waiting: l.GetWaiting(),
				Taken: now.Add(-time.Duration(max(l.GetAgeNanos(), 0))),
			}
		}
	}
	return s
}

// finiteOrZero returns v, or 0 if v is negative, infinite or NaN. A running total
// that includes an infinity or a NaN would never become finite again.
func finiteOrZero(v float64) float64 {
	if v > 0 && v <= math.MaxFloat64 {
		return v
	}
	return 0
}

// EncodeDemand converts a demand report to its message. The end of its period is sent
// as an age, as in EncodeSubscriber.
func EncodeDemand(r capacity.Report, now time.Time) *ControlDemand {
	return &ControlDemand{
		Entry: string(r.Entry), Pool: r.Pool, DataCentre: string(r.DataCentre), Class: uint32(r.Class),
		Requests: r.Requests, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Seconds: r.Period.Seconds(),
		AgeNanos: int64(now.Sub(r.At)), Summed: r.Aggregated,
	}
}

// maxDemandSeconds limits the period of a decoded demand report. Without a limit, the
// conversion to time.Duration could overflow.
const maxDemandSeconds = 3600

// DecodeDemand converts a message to a demand report. Its age is subtracted from now.
// Negative ages and figures that are negative or not finite become 0, and an unknown
// class becomes fleet.Patient.
func DecodeDemand(m *ControlDemand, now time.Time) capacity.Report {
	class := fleet.Patient
	if m.GetClass() == uint32(fleet.Urgent) {
		class = fleet.Urgent
	}
	return capacity.Report{
		Entry: fleet.Host(m.GetEntry()), Pool: m.GetPool(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Class: class,
		Requests: finiteOrZero(m.GetRequests()), PromptTokens: finiteOrZero(m.GetPromptTokens()), OutputTokens: finiteOrZero(m.GetOutputTokens()),
		Period:     time.Duration(min(finiteOrZero(m.GetSeconds()), maxDemandSeconds) * float64(time.Second)),
		At:         now.Add(-time.Duration(max(m.GetAgeNanos(), 0))),
		Aggregated: m.GetSummed(),
	}
}

// EncodeOrder converts an order to its message.
func EncodeOrder(o state.Order) *StateOrder { return encodeOrder(o) }

// DecodeOrder converts a message to an order.
func DecodeOrder(m *StateOrder) (state.Order, error) {
	var dec decoder
	o := dec.order(m)
	return o, dec.err
}

// EncodeOrderNumber converts an order number to its message.
func EncodeOrderNumber(n fleet.OrderNumber) *StateNumber { return encodeOrderNumber(n) }

// DecodeOrderNumber converts a message to an order number.
func DecodeOrderNumber(m *StateNumber) fleet.OrderNumber { return decodeOrderNumber(m) }

// EncodeOrderContent converts the content of an order to its message.
func EncodeOrderContent(c state.OrderContent) *StateContent { return encodeOrderContent(c) }

// DecodeOrderContent converts a message to the content of an order.
func DecodeOrderContent(m *StateContent) (state.OrderContent, error) {
	var dec decoder
	c := dec.orderContent(m)
	return c, dec.err
}
