package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Output writes results as tables for people or as JSON for programs.
type Output struct {
	W    io.Writer
	JSON bool
}

// Show writes v as JSON, or a table of the rows below the header.
func (o Output) Show(v any, header []string, rows [][]string) error {
	if o.JSON {
		e := json.NewEncoder(o.W)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return errors.Wrap(e.Encode(v), "write result")
	}
	t := tabwriter.NewWriter(o.W, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.Join(header, "\t")) // Flush returns write errors
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return errors.Wrap(t.Flush(), "write result")
}

// column is one column of a table of T.
type column[T any] struct {
	header string
	cell   func(T) any
}

// showTable writes v as JSON, or a table with one row for each item.
func showTable[T any](o Output, v any, items []T, columns ...column[T]) error {
	header := make([]string, len(columns))
	rows := make([][]string, len(items))
	for i, c := range columns {
		header[i] = c.header
		for j, item := range items {
			rows[j] = append(rows[j], formatCell(c.cell(item)))
		}
	}
	return o.Show(v, header, rows)
}

// formatCell formats the value of a cell. Times are written in UTC; the cell of a
// zero time is empty.
func formatCell(v any) string {
	t, ok := v.(time.Time)
	switch {
	case !ok:
		return fmt.Sprint(v)
	case t.IsZero():
		return ""
	}
	return t.UTC().Format("2006-01-02T15:04:05Z")
}
