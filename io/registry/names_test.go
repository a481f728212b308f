package registry_test

import (
	"testing"

	"github.com/matryer/is"

	"papayarock/io/registry"
	"papayarock/io/replica"
)

// Guards against a dump of another type than the one whose JSON names are checked
// in internal/command, which would leave the actual names unchecked.
func TestDumpTypes(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	d, ok := g.nodes[0].Dump().(registry.Dump)
	is.True(ok)
	_, ok = d.Log.(replica.Dump)
	is.True(ok)
}
