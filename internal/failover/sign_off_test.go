package failover_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/roster"
	"papayarock/internal/memlink"
	"papayarock/io/registry"
)

func announcement(sequence uint64, c roster.Condition) roster.Announcement {
	return roster.Announcement{
		Target: "t", Started: time.UnixMilli(1000), Sequence: sequence, Pool: "orders",
		Address: netip.MustParseAddrPort("10.0.1.1:80"), Condition: c,
	}
}

// condition returns the condition of target "t" at a replica.
func (f *replicaFleet) condition(a netip.AddrPort) roster.Condition {
	f.t.Helper()
	for _, record := range f.replicas[a].Dump().(registry.Dump).Targets {
		if record.Target == "t" {
			return record.Condition
		}
	}
	f.t.Fatalf("replica %v does not know the target", a)
	return 0
}

// Guards against a sign-off that is acknowledged and known to one replica only, which forgets
// it when it restarts: the others still call the target ready.
func TestSignOffOutlivesReplica(t *testing.T) {
	left := roster.Announcement{Target: "t", Condition: roster.Left}
	leftRun := roster.Announcement{Target: "t", Started: time.UnixMilli(1000), Sequence: 1, Condition: roster.Left}
	for name, test := range map[string]struct {
		signOff roster.Announcement
		knows   bool                                               // the replica that is asked knows the target
		before  func(f *replicaFleet, asked, other netip.AddrPort) // before the sign-off
		fails   bool
	}{
		"without a run":                {signOff: left, knows: true},
		"unknown target":               {signOff: left},
		"with a run":                   {signOff: leftRun, knows: true},
		"with a run, unknown target":   {signOff: leftRun},
		"another replica is lost":      {signOff: left, knows: true, before: func(f *replicaFleet, _, other netip.AddrPort) { f.lose(other) }},
		"the asked one is cut off":     {signOff: left, knows: true, fails: true, before: func(f *replicaFleet, asked, _ netip.AddrPort) { f.setCut(asked, true) }},
		"another replica was replaced": {signOff: left, knows: true, before: func(f *replicaFleet, _, other netip.AddrPort) { f.replace(other) }},
	} {
		t.Run(name, func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newReplicaFleet(t, 3, 1)
				asked, other, third := f.running[0], f.running[1], f.running[2]
				if test.before != nil {
					test.before(f, asked, other)
				}
				for _, a := range f.running {
					if a != asked || test.knows {
						f.replicas[a].Announce(announcement(1, roster.Ready))
					}
				}
				start := time.Now()
				err := f.replicas[asked].SignOff(t.Context(), test.signOff)
				is.Equal(errors.Is(err, registry.ErrSignOffUnconfirmed), test.fails)
				is.True(time.Since(start) < time.Second) // targets wait for 1 s
				is.Equal(f.condition(asked), roster.Left)
				if test.fails {
					return
				}
				time.Sleep(100 * time.Millisecond)
				f.lose(asked)
				is.Equal(f.condition(third), roster.Left)
				is.Equal(f.replicas[third].Announce(announcement(2, roster.Ready)), roster.Stale) // sent before the sign-off
				later := announcement(1, roster.Ready)
				later.Started = time.Now().Add(time.Second)
				is.Equal(f.replicas[third].Announce(later), roster.Changed) // the target has started again
				is.Equal(f.condition(third), roster.Ready)
			})
		})
	}
}
