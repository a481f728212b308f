package slopes

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testLimit only stops a run that hangs. A quick run takes 20 s on an idle machine, but
// with the race detector on a busy one it can exceed quickTimeout.
const testLimit = 8 * time.Minute

// Guards against a measurement that fails, hangs, divides by zero or adds a row of the
// wrong length. It does not check performance.
func TestQuick(t *testing.T) {
	tables := 0
	err := Measure(context.Background(), Options{Quick: true, Limit: testLimit}, func(x Table) error {
		tables++
		if len(x.Rows) < 3 {
			t.Errorf("%s: %d rows, want at least 3", x.Title, len(x.Rows))
		}
		for _, r := range x.Rows {
			if len(r) != len(x.Columns) {
				t.Errorf("%s: row of %d figures for %d columns", x.Title, len(r), len(x.Columns))
			}
			for i, v := range r {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					t.Errorf("%s: %s is %v at %v", x.Title, x.Columns[i], v, r[0])
				}
			}
		}
		return x.Print(t.Output())
	})
	if err != nil {
		t.Fatal(err)
	}
	if tables == 0 {
		t.Error("no table was shown")
	}
}

// Guards against a fit that does not return the line on which all points lie.
func TestFit(t *testing.T) {
	is := is.New(t)
	x := Table{Columns: []string{"size", "cost"}, Rows: [][]float64{{1, 5}, {3, 9}, {10, 23}}}
	line := x.Fit(1)
	is.True(math.Abs(line.Base-3) < 1e-9)
	is.True(math.Abs(line.Slope-2) < 1e-9)
	is.True(math.Abs(line.At(100)-203) < 1e-6)
}
