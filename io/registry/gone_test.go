package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

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
