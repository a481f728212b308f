package measure

import (
	"io"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Guards against tables that differ between runs of the same seed, and against
// requests that are lost by the model itself.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	sz := size{name: "small", engines: []int{1, 1}, services: []int{1, 0}, customers: 3, entries: 1, client: 1}
	sc := scenario{name: "swing", load: 0.5, swing: true, lag: usualLag}
	p := policies()[0]
	a, b := run(3, sc, p, sz), run(3, sc, p, sz)
	is.Equal(a.kept, b.kept)
	is.True(reflect.DeepEqual(a.customers, b.customers))
	is.True(a.goodput() > 80)
}

// Guards against a misspelt name that silently measures nothing.
func TestUnknownName(t *testing.T) {
	is := is.New(t)
	is.True(Run(io.Discard, Options{Seed: 1, Scenarios: []string{"no-such"}}) != nil)
}
