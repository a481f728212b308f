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

// Guards against a document that the configuration allows but that exceeds the size
// limit of log entries or of staged pieces. The worst case is a document with the
// most customers and the longest names that replaces another one of the same size.
func TestLargestDocument(t *testing.T) {
	is := is.New(t)
	m := state.New()
	for _, prefix := range []string{"a", "b"} {
		d := sampleDocument()
		d.Customers = nil
		for i := range config.MaxCustomers {
			name := fmt.Sprintf("%s%06d", prefix, i)
			name += strings.Repeat("x", config.MaxNameBytes-len(name))
			d.Customers = append(d.Customers, config.Customer{Name: fleet.Customer(name), Weight: 1, TokensPerSecond: 1, RequestsPerSec: 1, Large: true})
		}
		a, err := state.EditAction(m.Config(), d)
		is.NoErr(err)
		base, total, largest := m.Config().Revision, 0, 0
		var last state.ChangeResult
		pieces := a.(state.EditDocument).Split(config.MaxPieceItems)
		for _, p := range pieces {
			c := state.Change{ID: prefix, Base: base, Operator: "op", Time: testTime, Action: p}
			b, err := EncodeCommand(c)
			is.NoErr(err)
			is.True(len(b) <= log.MaxCommandBytes)
			total, largest = total+len(b), max(largest, len(b))
			last = m.Apply(1, c).(state.ChangeResult)
		}
		t.Logf("%d pieces, %d bytes in total, %d in the largest piece", len(pieces), total, largest)
		is.Equal(last.Outcome, state.ChangeAccepted)
		is.Equal(m.Config().CustomerCount(), config.MaxCustomers)
	}
}
