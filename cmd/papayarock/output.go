package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/internal/tomlfile"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputTable,
		Usage: "`FORMAT` of results: table or json",
		Validator: func(s string) error {
			if s != outputTable && s != outputJSON {
				return errors.Errorf("output format %q does not exist; write table or json", s)
			}
			return nil
		},
	}
}

// output writes results as a table for people or as JSON for programs.
type output struct {
	w    io.Writer
	json bool
}

func newOutput(c *cli.Command, w io.Writer) output {
	return output{w: w, json: c.String("output") == outputJSON}
}

// show writes v as JSON, or the rows below the header.
func (o output) show(v any, header []string, rows [][]string) error {
	if o.json {
		e := json.NewEncoder(o.w)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return errors.Wrap(e.Encode(v), "write result")
	}
	t := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.Join(header, "\t")) // Flush returns write errors
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return errors.Wrap(t.Flush(), "write result")
}

type faultList struct {
	File   string          `json:"file"`
	Faults tomlfile.Faults `json:"faults"`
}

func (o output) faults(path string, faults tomlfile.Faults) error {
	rows := make([][]string, len(faults))
	for i, f := range faults {
		rows[i] = []string{strconv.Itoa(f.Line), f.Key, f.Problem, f.Mend}
	}
	return o.show(faultList{path, faults}, []string{"LINE", "KEY", "PROBLEM", "MEND"}, rows)
}

// valid reports a file without faults.
func (o output) valid(path string) error {
	if o.json {
		return o.faults(path, tomlfile.Faults{})
	}
	_, err := fmt.Fprintf(o.w, "%s: no faults\n", path)
	return errors.Wrap(err, "write result")
}

// fileArguments returns exactly the named arguments.
func fileArguments(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, errors.Errorf("%s takes %s, but got %d arguments", c.FullName(), strings.Join(names, " "), c.Args().Len())
	}
	return c.Args().Slice(), nil
}
