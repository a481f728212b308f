package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
	"papayarock/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check documents of the platform",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "list the findings in a document and its differences from the one in force",
			ArgsUsage: "FILE",
			Description: `Lists errors, entries that can never match, and values that contradict each
other. Exits with 0 if there are none, with 1 if there are, and with 2 if the
check could not run. Notices and differences do not change the exit code.

Examples:
  papayarock config check document.json
  papayarock config check --against in-force.json document.json
  papayarock config check --against 10.0.0.4:8407 --json document.json`,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "compare with the document in `FILE|ADDRESS`: a file, or HOST:PORT of a registry's operator address"},
				&cli.BoolFlag{Name: "json", Usage: "write the result as JSON, as --output json does"},
			},
			Action: checkDocument,
			OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
				return errors.Wrap(command.ErrNotChecked, err.Error())
			},
		}},
	}
}

func checkDocument(ctx context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "FILE")
	if err != nil {
		return errors.Wrap(command.ErrNotChecked, err.Error())
	}
	out := newOutput(c, c.Root().Writer).Output
	out.JSON = out.JSON || c.Bool("json")
	return command.CheckDocument(ctx, out, platform.New(), args[0], c.String("against"))
}
