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

// Guards against figures that are mixed up between gateways or customers, in
// commands and in snapshots, and against entries that grow large at the size of
// large deployments.
func TestProgress(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	figures := make(map[source]uint64)
	for g := range 33 {
		for c := range 86 {
			if random.IntN(3) > 0 {
				figures[source{gateway{fmt.Sprint("edge-", g), uint64(g)}, fleet.Customer(fmt.Sprint("customer-", c))}] = 1 + random.Uint64N(200)
			}
		}
	}
	b, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_Progress{Progress: encodeProgress(7, figures)}})
	is.NoErr(err)
	is.True(len(b) < 8<<10)
	m := newMachine()
	is.Equal(m.Apply(1, 1, b), nil)
	is.Equal(m.progressOf(7), figures)
	image, err := m.Snapshot()
	is.NoErr(err)
	restored := newMachine()
	is.NoErr(restored.Restore(image))
	is.Equal(restored.progressOf(7), figures)
	closing, err := proto.Marshal(&wire.RegistryCommand{Command: &wire.RegistryCommand_Close{Close: &wire.WindowClose{Window: 7}}})
	is.NoErr(err)
	is.Equal(m.Apply(2, 1, closing), nil)
	is.Equal(m.counting(), 0)
	is.Equal(m.Apply(3, 1, b), nil) // too late: the window is fixed
	is.Equal(m.counting(), 0)
}
