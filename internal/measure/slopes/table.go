package slopes

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table holds the results of one measurement. The first column is the size that
// varies.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]float64
}

// Line is a straight line fitted to measured points by least squares.
type Line struct {
	Base  float64 // at size 0
	Slope float64 // per unit of size
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the line fitted to a column of the table as a function of the first
// column.
func (t Table) Fit(column int) Line {
	var n, sx, sy, sxx, sxy float64
	for _, r := range t.Rows {
		x, y := r[0], r[column]
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if n == 0 || d == 0 {
		return Line{}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

func (t *Table) add(values ...float64) { t.Rows = append(t.Rows, values) }

// Print writes the table and the line fitted to each column.
func (t Table) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintf(w, "%s\n", t.Title)
	if err != nil {
		return errors.Wrap(err, "write table")
	}
	writeRow := func(name string, values []string) {
		_, _ = fmt.Fprint(tw, name, "\t") // Flush returns the error
		for _, v := range values {
			_, _ = fmt.Fprint(tw, v, "\t")
		}
		_, _ = fmt.Fprintln(tw)
	}
	writeRow(t.Columns[0], t.Columns[1:])
	for _, r := range t.Rows {
		writeRow(formatNumber(r[0]), formatNumbers(r[1:]))
	}
	var base, slope []float64
	for c := 1; c < len(t.Columns); c++ {
		f := t.Fit(c)
		base, slope = append(base, f.Base), append(slope, f.Slope)
	}
	writeRow("fit at 0", formatNumbers(base))
	writeRow("slope", formatNumbers(slope))
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err = fmt.Fprintln(w)
	return errors.Wrap(err, "write table")
}

func formatNumbers(values []float64) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = formatNumber(v)
	}
	return out
}

// formatNumber formats a value with at least three significant digits.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100 || a == math.Trunc(a):
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
