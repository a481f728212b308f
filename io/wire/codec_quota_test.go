package wire_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/quota"
	"papayarock/io/wire"
)

// Guards against figures of customer limits that are sent as another one, or not at all.
func TestQuotaMessages(t *testing.T) {
	is := is.New(t)
	u := quota.Update{Term: 3, Sequence: 4, Seen: 5, Gateways: 6, Leases: []quota.Lease{
		{Customer: "c1", Share: 0.25, Granted: 1000, Available: -300, Fill: 17},
		{Customer: "c2", Share: 1},
	}}
	is.Equal(wire.DecodeFeedQuotaUpdate(wire.EncodeFeedQuotaUpdate(u)), u)
	r := quota.Report{Sequence: 7, Term: 8, Applied: 9, Demands: []quota.Demand{
		{Customer: "c1", Charged: 1, Asked: 2, Share: 0.5, Want: 4, Need: 3, Released: 6, Returned: 5, Size: 8},
	}}
	is.Equal(wire.DecodeFeedQuotaReport(wire.EncodeFeedQuotaReport(r)), r)
}

// Guards against a share above the limit, and against amounts that spoil the sums of the
// leader or of a gateway for good.
func TestQuotaMessagesOutOfRange(t *testing.T) {
	for name, v := range map[string]float64{"negative": -1e300, "huge": 1e300, "infinite": math.Inf(1), "no number": math.NaN()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := wire.DecodeFeedQuotaUpdate(&wire.FeedQuotaUpdate{Leases: []*wire.FeedQuotaLease{{Share: v, Granted: v, Available: v, Fill: v}}})
			l := u.Leases[0]
			is.True(l.Share >= 0 && l.Share <= 1)
			for _, amount := range []float64{l.Granted, math.Abs(l.Available), l.Fill} {
				is.True(amount >= 0 && amount < 1e16)
			}
			r := wire.DecodeFeedQuotaReport(&wire.FeedQuotaReport{Demands: []*wire.FeedQuotaDemand{
				{Charged: v, Asked: v, Share: v, Want: v, Need: v, Released: v, Returned: v, Size: v},
			}})
			d := r.Demands[0]
			is.True(d.Share >= 0 && d.Share <= 1)
			for _, amount := range []float64{d.Charged, d.Asked, d.Want, d.Need, d.Released, d.Returned, d.Size} {
				is.True(amount >= 0 && amount < 1e16)
			}
		})
	}
}
