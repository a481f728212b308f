package gateway_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/quarantine"
	"papayarock/core/quota"
	"papayarock/core/roster"
	"papayarock/io/wire"
)

// FuzzFeedUpdate guards against a malformed message of a registry replica that ends the
// whole gateway: messages are handled in goroutines of their own, where a panic is not
// recovered.
func FuzzFeedUpdate(f *testing.F) {
	now := time.Unix(1000, 0)
	record := roster.Record{
		Announcement: roster.Announcement{
			Target: "first", Started: now, Pool: "pool", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "kt", Slots: 2,
			Condition: roster.Ready, Role: fleet.Prefill,
		},
		Heard: now,
	}
	update := &wire.FeedUpdate{
		Targets: []*wire.FeedTarget{wire.EncodeFeedTarget(now, record)}, Gateways: 3, Leads: true, BacklogsComplete: true,
		Backlogs:    wire.EncodeFeedBacklogs(map[fleet.TargetName]place.Backlog{"first": {Prompts: 2, Tokens: 4000}}),
		Prefixes:    wire.EncodeFeedPrefixes([]place.Sighting{{Target: "first", Prefix: 7}}),
		RoleChanges: wire.EncodeFeedRoleChanges(now, []place.RoleChange{{Target: "first", Started: now, Role: fleet.Decode, Expires: now.Add(time.Second)}}),
		Verdict: wire.EncodeFeedVerdict(now, quarantine.Verdict{
			Sequence: 3, Suspects: []quarantine.Segment{5}, Quarantined: map[quarantine.Segment]time.Time{6: now.Add(time.Minute)},
		}),
	}
	add := func() {
		text, err := proto.Marshal(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	add()
	update.Targets[0].AgeMs = -5000
	add()
	update.Targets[0].AgeMs = math.MinInt64
	add()
	update.Quota = wire.EncodeFeedQuotaUpdate(quota.Update{Term: 1, Sequence: 1, Seen: 1, Gateways: 2, Leases: []quota.Lease{
		{Customer: "klang", Share: 0.5, Granted: 100, Available: -5, Fill: 3},
	}})
	add()
	f.Fuzz(func(t *testing.T, text []byte) {
		var m wire.FeedUpdate
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		x := newFixture(t)
		x.limit = catalog.Limit{Rate: 10, Burst: 10}
		x.catalog(1, route(stream))
		x.gateway.UpdateCatalog(m.GetVersion(), m.GetDocument())
		var records []roster.Record
		for _, target := range m.GetTargets() {
			if r, err := wire.DecodeFeedTarget(time.Now(), target); err == nil {
				records = append(records, r)
				if r.Heard.After(time.Now()) {
					t.Fatalf("target %q was heard of in the future", r.Target)
				}
			}
		}
		x.gateway.UpdateTargets(records, int(m.GetGateways()))
		x.gateway.UpdateEngines(wire.DecodeFeedBacklogs(m.GetBacklogs()), wire.DecodeFeedRoleChanges(time.Now(), m.GetRoleChanges()))
		x.gateway.AddSightings(wire.DecodeFeedPrefixes(m.GetPrefixes()))
		x.gateway.ApplyVerdict(wire.DecodeFeedVerdict(time.Now(), m.GetVerdict()))
		x.gateway.QuotaReport(false)
		x.gateway.ApplyQuota(wire.DecodeFeedQuotaUpdate(m.GetQuota()))
		if x.gateway.QuotaReport(false); x.send(nil).err != nil {
			t.Fatal("a request got no response")
		}
		x.gateway.Evidence()
		x.gateway.Backlogs()
		x.gateway.Loads()
		x.gateway.Dump()
	})
}
