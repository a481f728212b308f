package wire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/state"
)

// Guards against a team that the configuration allows and that the log or the
// bound of staged pieces refuses: the largest, with the longest names, that
// replaces another of the same size.
func TestLargestTeam(t *testing.T) {
	is := is.New(t)
	m := state.New()
	for _, team := range []string{"a", "b"} {
		d := sampleDocument()
		d.Customers = nil
		for i := range config.MaxCustomers {
			name := fmt.Sprintf("%s%06d", team, i)
			name += strings.Repeat("x", config.MaxNameBytes-len(name))
			d.Customers = append(d.Customers, config.Customer{Name: fleet.Customer(name), Weight: 1, TokensPerSecond: 1, RequestsPerSec: 1, Large: true})
		}
		a, err := state.EditAction(m.Config(), d)
		is.NoErr(err)
		base, total, largest := m.Config().Revision, 0, 0
		var last state.ChangeResult
		parts := a.(state.EditDocument).Split(config.MaxPieceItems)
		for _, p := range parts {
			c := state.Change{ID: team, Base: base, Operator: "op", Time: at, Action: p}
			b, err := EncodeCommand(c)
			is.NoErr(err)
			is.True(len(b) <= log.MaxCommandBytes)
			total, largest = total+len(b), max(largest, len(b))
			last = m.Apply(1, c).(state.ChangeResult)
		}
		t.Logf("%d pieces, %d bytes, the largest %d", len(parts), total, largest)
		is.Equal(last.Outcome, state.ChangeAccepted)
		is.Equal(m.Config().CustomerCount(), config.MaxCustomers)
	}
}
