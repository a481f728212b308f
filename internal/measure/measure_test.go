package measure

import (
	"io"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// Guards against results that differ between runs with the same seed, and against
// requests lost by the simulation itself, which would lower the goodput.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	sz := size{name: "small", engines: []int{1, 1}, services: []int{1, 0}, customers: 3, entries: 1, callerDelayMillis: 1}
	sc := scenario{name: "swing", load: 0.5, swing: true, lag: usualLag}
	p := policies()[0]
	a, b := simulate(3, sc, p, sz), simulate(3, sc, p, sz)
	is.Equal(a.onTime, b.onTime)
	is.True(reflect.DeepEqual(a.customers, b.customers))
	is.True(a.goodput() > 80)
}

// Guards against a misspelt scenario name that prints no table without an error.
func TestUnknownScenario(t *testing.T) {
	is := is.New(t)
	is.True(Run(io.Discard, Options{Seed: 1, Scenarios: []string{"no-such"}}) != nil)
}
