package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"papayarock/core/fleet"
	"papayarock/io/wire"
)

// Guards against counts assigned to the wrong gateway or customer when they are
// encoded in commands and snapshots, against log entries above 8 KiB with 33 gateways
// and 86 customers, and against counts of a final window becoming open again.
func TestProgress(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	counts := make(map[countKey]uint64)
	for g := range 33 {
		for c := range 86 {
			if random.IntN(3) > 0 {
				counts[countKey{gatewayRun{fmt.Sprint("edge-", g), uint64(g)}, fleet.Customer(fmt.Sprint("customer-", c))}] = 1 + random.Uint64N(200)
			}
		}
	}
	b, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_Progress{Progress: encodeProgress(7, counts)}})
	is.NoErr(err)
	is.True(len(b) < 8<<10)
	m := newStateMachine()
	is.Equal(m.Apply(1, 1, b), nil)
	is.Equal(m.progressCounts(7), counts)
	snapshot, err := m.Snapshot()
	is.NoErr(err)
	restored := newStateMachine()
	is.NoErr(restored.Restore(snapshot))
	is.Equal(restored.progressCounts(7), counts)
	closing, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_Close{Close: &wire.WindowClose{Window: 7}}})
	is.NoErr(err)
	is.Equal(m.Apply(2, 1, closing), nil)
	is.Equal(m.openWindows(), 0)
	is.Equal(m.Apply(3, 1, b), nil) // ignored: the window is final
	is.Equal(m.openWindows(), 0)
}
