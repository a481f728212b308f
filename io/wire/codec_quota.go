package wire

import (
	"math"

	"papayarock/core/fleet"
	"papayarock/core/quota"
)

// maxQuotaAmount bounds the amounts in messages on customer limits, so that sums stay exact.
const maxQuotaAmount = 1 << 50

// decodeAmount returns a number from 0 to limit. NaN becomes 0.
func decodeAmount(v, limit float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(v, 0), limit)
}

// EncodeFeedQuotaUpdate converts an update of the leader to its message.
func EncodeFeedQuotaUpdate(u quota.Update) *FeedQuotaUpdate {
	m := &FeedQuotaUpdate{Term: u.Term, Sequence: u.Sequence, Seen: u.Seen, Gateways: uint32(u.Gateways)}
	for _, l := range u.Leases {
		m.Leases = append(m.Leases, &FeedQuotaLease{Customer: string(l.Customer), Share: l.Share, Granted: l.Granted, Available: l.Available, Fill: l.Fill})
	}
	return m
}

// DecodeFeedQuotaUpdate is the inverse of EncodeFeedQuotaUpdate. Numbers outside their range
// are set to its bounds.
func DecodeFeedQuotaUpdate(m *FeedQuotaUpdate) quota.Update {
	u := quota.Update{Term: m.GetTerm(), Sequence: m.GetSequence(), Seen: m.GetSeen(), Gateways: int(m.GetGateways())}
	for _, l := range m.GetLeases() {
		u.Leases = append(u.Leases, quota.Lease{
			Customer: fleet.Customer(l.GetCustomer()), Share: decodeAmount(l.GetShare(), 1),
			Granted: decodeAmount(l.GetGranted(), maxQuotaAmount), Fill: decodeAmount(l.GetFill(), maxQuotaAmount),
			Available: decodeAmount(l.GetAvailable()+maxQuotaAmount, 2*maxQuotaAmount) - maxQuotaAmount,
		})
	}
	return u
}

// EncodeFeedQuotaReport converts the report of a gateway to its message.
func EncodeFeedQuotaReport(r quota.Report) *FeedQuotaReport {
	m := &FeedQuotaReport{Sequence: r.Sequence, Term: r.Term, Applied: r.Applied}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &FeedQuotaDemand{
			Customer: string(d.Customer), Charged: d.Charged, Asked: d.Asked, Share: d.Share, Want: d.Want, Need: d.Need,
			Released: d.Released, Size: d.Size, Returned: d.Returned,
		})
	}
	return m
}

// DecodeFeedQuotaReport is the inverse of EncodeFeedQuotaReport. Numbers outside their range
// are set to its bounds.
func DecodeFeedQuotaReport(m *FeedQuotaReport) quota.Report {
	r := quota.Report{Sequence: m.GetSequence(), Term: m.GetTerm(), Applied: m.GetApplied()}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, quota.Demand{
			Customer: fleet.Customer(d.GetCustomer()), Charged: decodeAmount(d.GetCharged(), maxQuotaAmount),
			Asked: decodeAmount(d.GetAsked(), maxQuotaAmount), Share: decodeAmount(d.GetShare(), 1),
			Want: decodeAmount(d.GetWant(), maxQuotaAmount), Need: decodeAmount(d.GetNeed(), maxQuotaAmount),
			Released: decodeAmount(d.GetReleased(), maxQuotaAmount), Size: decodeAmount(d.GetSize(), maxQuotaAmount),
			Returned: decodeAmount(d.GetReturned(), maxQuotaAmount),
		})
	}
	return r
}
