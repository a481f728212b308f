package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
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

// output is a command.Output that can also write the faults of a file.
type output struct{ command.Output }

func newOutput(c *cli.Command, w io.Writer) output {
	return output{command.Output{W: w, JSON: c.String("output") == outputJSON}}
}

// faultList is the JSON document with the faults of a file.
type faultList struct {
	File   string          `json:"file"`
	Faults tomlfile.Faults `json:"faults"`
}

func (o output) showFaults(path string, faults tomlfile.Faults) error {
	rows := make([][]string, len(faults))
	for i, f := range faults {
		rows[i] = []string{strconv.Itoa(f.Line), f.Key, f.Problem, f.Fix}
	}
	return o.Show(faultList{path, faults}, []string{"LINE", "KEY", "PROBLEM", "MEND"}, rows)
}

// showNoFaults reports a file without faults.
func (o output) showNoFaults(path string) error {
	if o.JSON {
		return o.showFaults(path, tomlfile.Faults{})
	}
	_, err := fmt.Fprintf(o.W, "%s: no faults\n", path)
	return errors.Wrap(err, "write result")
}

// exactArguments returns the arguments of a command. It fails unless there is exactly
// one for each of the names, which are those in the help.
func exactArguments(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, errors.Errorf("%s takes %s, but got %d arguments", c.FullName(), strings.Join(names, " "), c.Args().Len())
	}
	return c.Args().Slice(), nil
}
