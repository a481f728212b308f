package registry_test

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/io/registry"
	"papayarock/io/replica"
)

// Guards against Dump returning values of other types than Dump and replica.Dump.
// The test of JSON names in internal/command checks only these two types.
func TestDumpTypes(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	d, ok := g.nodes[0].Dump().(registry.Dump)
	is.True(ok)
	_, ok = d.Log.(replica.Dump)
	is.True(ok)
}
