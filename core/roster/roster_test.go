package roster_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

var (
	start        = time.Unix(1000, 0)
	address      = netip.MustParseAddrPort("10.0.0.1:80")
	otherAddress = netip.MustParseAddrPort("10.0.0.2:80")
)

func newAnnouncement(name string, run int, sequence uint64, c roster.Condition) roster.Announcement {
	return roster.Announcement{
		Target: fleet.TargetName(name), Started: start.Add(time.Duration(run) * time.Second), Sequence: sequence,
		Pool: "orders", Address: address, Condition: c, Slots: 6,
	}
}

// Late, repeated and outdated announcements must not bring back a run that has
// ended, and no target may be missed.
func TestAnnounce(t *testing.T) {
	withAddress := func(a roster.Announcement, p netip.AddrPort) roster.Announcement { a.Address = p; return a }
	signOff := roster.Announcement{Target: "t", Condition: roster.Left}
	for name, test := range map[string]struct {
		list []roster.Announcement
		want map[string]roster.Condition
	}{
		"first":                            {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready}},
		"draining":                         {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("t", 1, 2, roster.Draining)}, map[string]roster.Condition{"t": roster.Draining}},
		"late ready":                       {[]roster.Announcement{newAnnouncement("t", 1, 3, roster.Draining), newAnnouncement("t", 1, 2, roster.Ready)}, map[string]roster.Condition{"t": roster.Draining}},
		"draining stays":                   {[]roster.Announcement{newAnnouncement("t", 1, 3, roster.Draining), newAnnouncement("t", 1, 4, roster.Ready)}, map[string]roster.Condition{"t": roster.Draining}},
		"left stays":                       {[]roster.Announcement{newAnnouncement("t", 1, 3, roster.Left), newAnnouncement("t", 1, 9, roster.Ready)}, map[string]roster.Condition{"t": roster.Left}},
		"sign-off without run":             {[]roster.Announcement{newAnnouncement("t", 1, 3, roster.Ready), signOff, newAnnouncement("t", 1, 4, roster.Ready)}, map[string]roster.Condition{"t": roster.Left}},
		"unknown sign-off":                 {[]roster.Announcement{signOff, newAnnouncement("t", 1, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready}},
		"sign-off before the run is known": {[]roster.Announcement{signOff, newAnnouncement("t", 0, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Left}},
		"sign-off of a later run":          {[]roster.Announcement{newAnnouncement("t", 0, 7, roster.Ready), newAnnouncement("t", 1, 1, roster.Ready), signOff, newAnnouncement("t", 1, 2, roster.Ready)}, map[string]roster.Condition{"t": roster.Left}},
		"sign-off, then a new run":         {[]roster.Announcement{newAnnouncement("t", 0, 7, roster.Ready), signOff, newAnnouncement("t", 3, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready}},
		"sign-off, then address reused":    {[]roster.Announcement{newAnnouncement("t", 0, 7, roster.Ready), signOff, newAnnouncement("u", 0, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Left, "u": roster.Ready}},
		"early sign-off":                   {[]roster.Announcement{newAnnouncement("t", 1, 5, roster.Left), newAnnouncement("t", 1, 4, roster.Ready)}, map[string]roster.Condition{"t": roster.Left}},
		"new run, same name":               {[]roster.Announcement{newAnnouncement("t", 1, 9, roster.Left), newAnnouncement("t", 2, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready}},
		"late, from an old run":            {[]roster.Announcement{newAnnouncement("t", 2, 1, roster.Ready), newAnnouncement("t", 1, 9, roster.Draining)}, map[string]roster.Condition{"t": roster.Ready}},
		"old sign-off":                     {[]roster.Announcement{newAnnouncement("t", 2, 1, roster.Ready), newAnnouncement("t", 1, 9, roster.Left)}, map[string]roster.Condition{"t": roster.Ready}},
		"address taken over":               {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("u", 2, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Left, "u": roster.Ready}},
		"late, from the former holder":     {[]roster.Announcement{newAnnouncement("u", 2, 1, roster.Ready), newAnnouncement("t", 1, 9, roster.Ready)}, map[string]roster.Condition{"u": roster.Ready}},
		"moved":                            {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), withAddress(newAnnouncement("t", 1, 2, roster.Ready), otherAddress), newAnnouncement("u", 1, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready, "u": roster.Ready}},
		"sign-off after reuse":             {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("u", 2, 1, roster.Ready), newAnnouncement("t", 1, 2, roster.Left)}, map[string]roster.Condition{"t": roster.Left, "u": roster.Ready}},
		"reuse after a late sign-off":      {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("u", 2, 1, roster.Ready), newAnnouncement("t", 1, 2, roster.Left), newAnnouncement("v", 3, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Left, "u": roster.Left, "v": roster.Ready}},
		"two at two addresses":             {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), withAddress(newAnnouncement("u", 1, 1, roster.Ready), otherAddress)}, map[string]roster.Condition{"t": roster.Ready, "u": roster.Ready}},
		"repeated announcement":            {[]roster.Announcement{newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("t", 1, 1, roster.Ready)}, map[string]roster.Condition{"t": roster.Ready}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r roster.Roster
			for i, a := range test.list {
				r.Announce(start.Add(time.Duration(i)*time.Second), a)
			}
			got := make(map[string]roster.Condition)
			for _, record := range r.ChangedSince(0) {
				got[string(record.Target)] = record.Condition
			}
			is.Equal(got, test.want)
		})
	}
}

// Gateways must end with the same targets although the replicas of the registry
// pass announcements on in different orders.
func TestAnnounceAnyOrder(t *testing.T) {
	list := []roster.Announcement{
		newAnnouncement("t", 1, 1, roster.Ready), newAnnouncement("t", 1, 2, roster.Ready), newAnnouncement("t", 1, 3, roster.Draining),
		newAnnouncement("t", 1, 4, roster.Left), newAnnouncement("t", 3, 1, roster.Ready), newAnnouncement("t", 3, 2, roster.Ready),
	}
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		var r roster.Roster
		for _, i := range random.Perm(len(list)) {
			r.Announce(start, list[i])
		}
		record, ok := r.Get("t")
		is.True(ok)
		is.Equal(record.Announcement, list[5]) // the newest announcement wins
	}
}

// Guards against a sign-off without a run that is dropped, because the replica that
// received it has heard nothing of the target, or only of an earlier run.
func TestSignOffAtAnotherReplica(t *testing.T) {
	for name, heard := range map[string][]roster.Announcement{
		"unknown":        nil,
		"an earlier run": {newAnnouncement("t", 1, 9, roster.Ready)},
		"this run":       {newAnnouncement("t", 2, 1, roster.Ready)},
	} {
		t.Run(name, func(t *testing.T) {
			var announced, signedOff roster.Roster
			announced.Announce(start.Add(3*time.Second), newAnnouncement("t", 2, 1, roster.Ready))
			for _, a := range heard {
				signedOff.Announce(start.Add(4*time.Second), a)
			}
			signedOff.Announce(start.Add(5*time.Second), roster.Announcement{Target: "t", Condition: roster.Left})
			// The gateway hears of both in any order, and again after a new connection.
			for name, replicas := range map[string][]*roster.Roster{
				"announcement first": {&announced, &signedOff, &announced},
				"sign-off first":     {&signedOff, &announced, &signedOff},
			} {
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					var gateway roster.Roster
					for _, r := range replicas {
						for _, record := range r.ChangedSince(0) {
							gateway.Announce(record.Heard, record.Announcement)
						}
					}
					record, ok := gateway.Get("t")
					is.True(ok)
					is.Equal(record.Condition, roster.Left)
					gateway.Announce(start.Add(10*time.Second), newAnnouncement("t", 8, 1, roster.Ready))
					record, _ = gateway.Get("t")
					is.Equal(record.Condition, roster.Ready) // a new run is not affected
				})
			}
		})
	}
}

// ChangedSince must return all changes and no unchanged records; otherwise each change
// sends the whole roster or a change is missed.
func TestChangedSince(t *testing.T) {
	is := is.New(t)
	var r roster.Roster
	is.Equal(r.Announce(start, newAnnouncement("t", 1, 1, roster.Ready)), roster.Changed)
	v := r.Version()
	is.Equal(r.Announce(start.Add(time.Second), newAnnouncement("t", 1, 2, roster.Ready)), roster.Refreshed)
	is.Equal(len(r.ChangedSince(v)), 0)
	is.Equal(len(r.HeardSince(start)), 1)
	is.Equal(r.Announce(start.Add(2*time.Second), newAnnouncement("t", 1, 3, roster.Draining)), roster.Changed)
	is.Equal(len(r.ChangedSince(v)), 1)
	r.Expire(start.Add(3 * time.Second))
	is.Equal(len(r.ChangedSince(0)), 0)
	is.Equal(r.Announce(start, newAnnouncement("u", 1, 1, roster.Ready)), roster.Changed) // the address is free again
}

func ExampleRoster() {
	var r roster.Roster
	a := roster.Announcement{Target: "grades-1", Started: time.Unix(10, 0), Sequence: 1, Address: netip.MustParseAddrPort("10.0.0.7:80")}
	fmt.Println(r.Announce(time.Unix(11, 0), a))
	a.Condition, a.Sequence = roster.Draining, 2
	fmt.Println(r.Announce(time.Unix(12, 0), a))
	// Output:
	// changed
	// changed
}
