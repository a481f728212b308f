package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/route"
)

// Guards against decoding on another engine although the transfer of the KV cache takes
// longer than this saves, and against transfers between regions that are not counted.
func TestKVTransferCost(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	targets := engines(3, 1)
	targets[0].Role, targets[1].Role, targets[2].Role = fleet.Mixed, fleet.Decode, fleet.Decode
	targets[2].Region, targets[2].DataCentre = "far", "far"
	r.Step(start, route.Configure{Targets: targets})
	load := func(at time.Time, tokens float64) {
		r.Step(at, route.Load{Target: targets[0].Name, MeasuredAt: at, DecodeTokens: tokens, DecodeSpeed: 1000})
		r.Step(at, route.Load{Target: targets[1].Name, MeasuredAt: at, DecodeSpeed: 1000})
	}
	pick := func(at time.Time) route.Choice {
		c, err := r.Pick(at, request(1000, time.Hour))
		is.NoErr(err)
		r.Step(at, route.Outcome{Choice: c, Result: route.Cancelled})
		return c
	}
	load(start, 500) // half a second of decode work at the mixed engine
	is.True(pick(start).PrefillOnly)
	transfer := route.KVTransferred{From: targets[0].Name, To: targets[1].Name, Customer: "klang", Bytes: 10, Tokens: 1000, Elapsed: 700 * time.Millisecond, Complete: true}
	r.Step(start, transfer)
	is.True(!pick(start).PrefillOnly)
	is.Equal(r.CrossRegionBytes["klang"], uint64(0))
	at := start.Add(time.Second)
	load(at, 2000)
	is.True(pick(at).PrefillOnly)
	transfer.To, transfer.Complete, transfer.Elapsed = targets[2].Name, false, time.Millisecond
	r.Step(at, transfer)
	is.Equal(r.CrossRegionBytes["klang"], uint64(10))
	load(at, 500)
	is.True(!pick(at).PrefillOnly) // a transfer that failed early does not count as fast
	transfer.Elapsed = time.Minute
	r.Step(at, transfer)
	load(at, 2000)
	is.True(!pick(at).PrefillOnly) // an abandoned transfer counts as slow
	at = at.Add(10 * time.Minute)
	load(at, 2000)
	is.True(pick(at).PrefillOnly) // the measurement has decayed
}

// Guards against KV cache transfers between regions, against processing a prompt
// twice within a region, and against a second processing that is missing from
// Choice.Prefill.
func TestKVTransferStaysInRegion(t *testing.T) {
	for name, c := range map[string]struct {
		decode   fleet.DataCentre
		region   fleet.Region
		transfer bool
	}{
		"own data centre": {"dc0", "r0", true},
		"own region":      {"dc1", "r0", true},
		"other region":    {"far", "far", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter()
			targets := engines(3, 1)
			targets[0].Role, targets[1].Role, targets[2].Role = fleet.Prefill, fleet.Decode, fleet.Decode
			targets[1].Phase = fleet.Draining
			targets[2].DataCentre, targets[2].Region = c.decode, c.region
			r.Step(start, route.Configure{Targets: targets})
			q := request(1000, time.Hour)
			q.Stage, q.PrefillDataCentre = route.Decode, "dc0"
			got, err := r.Pick(start, q)
			is.NoErr(err)
			is.Equal(got.Target, targets[2].Name)
			is.Equal(got.TransferKV, c.transfer)
			is.Equal(got.Prefill == 0, c.transfer)
		})
	}
}
