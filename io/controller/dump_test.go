package controller_test

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/controller"
	"papayarock/io/replica"
)

// Guards against a dump of a type other than controller.Dump with a replica.Dump and
// a state.Dump. A test of internal/command checks the JSON names of these types only.
func TestDumpTypes(t *testing.T) {
	memlink.RunInBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		defer c.stop()
		d, ok := c.replicas["c1"].Dump().(controller.Dump)
		is.True(ok)
		_, ok = d.Log.(replica.Dump)
		is.True(ok)
		_, ok = d.State.(state.Dump)
		is.True(ok)
	})
}
