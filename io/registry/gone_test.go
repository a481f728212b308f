package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/roles"
	"papayarock/internal/memlink"
)

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7660)
}

// Guards against a replica that has been told of many leaders and ignores the present one: it
// could not join the log again once all that it remembered were gone.
func TestNewLeaderIsRemembered(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		r := &Registry{knownPeers: make(map[netip.AddrPort]time.Time)}
		for i := range 1000 {
			r.addPeer(peerAddress(i))
			time.Sleep(time.Second)
			r.addPeer(peerAddress(0)) // one that is named again and again stays
			is.True(!r.knownPeers[peerAddress(i)].IsZero())
			is.True(!r.knownPeers[peerAddress(0)].IsZero())
			is.True(len(r.knownPeers) <= 16)
		}
	})
}

// Guards against a replica that does not lead and keeps the reports of each gateway process
// that it ever had a feed to.
func TestGatewaysThatAreGone(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	r := &Registry{
		options:        Options{Now: func() time.Time { return now }},
		reportStatuses: make(map[gatewayRun]reportStatus), backlogs: make(map[gatewayRun]reportedBacklog),
		meters: map[string]*roles.Meter[gatewayRun]{"pool": {}},
	}
	for i := range 1000 {
		run := gatewayRun{"gateway", uint64(i)}
		r.recordReport(run, true)
		r.recordReport(run, false)
		r.backlogs[run] = reportedBacklog{received: now}
		r.meters["pool"].Add(now, run, roles.Counters{Streams: 1})
		now = now.Add(time.Second)
		r.expire(now)
	}
	is.True(len(r.reportStatuses) <= int(gatewayTimeout/time.Second))
	is.True(len(r.backlogs) <= 2)
	is.True(r.meters["pool"].Load(now).Streams <= 3) // those of the last 3 s
	r.recordSuperseded(7)
	is.True(r.supersededTerm == 7)
	r.recordSuperseded(3) // a call of an earlier term that ends late
	is.True(r.supersededTerm == 7)
}
