package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"papayarock/internal/measure"
	"papayarock/internal/measure/slopes"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "compare the routing, admission and planning decisions with simpler policies on simulated engines",
		Description: `Runs in simulated time on one machine and prints the raw figures and a table for
each fleet size. The same seed gives the same figures.

Examples:
  papayarock measure
  papayarock measure --seed 7 --scenario swing`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of load and decisions"},
			&cli.StringSliceFlag{Name: "size", Usage: "fleet `NAME`, repeatable; default all"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenario `NAME`, repeatable; default all"},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "`RUNS` at once"},
		},
		Commands: []*cli.Command{slopesCommand()},
		Action: func(_ context.Context, c *cli.Command) error {
			return measure.Run(c.Root().Writer, measure.Options{
				Seed: c.Uint64("seed"), Sizes: c.StringSlice("size"),
				Scenarios: c.StringSlice("scenario"), Parallel: c.Int("parallel"),
			})
		},
	}
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how costs grow with the number of nodes, customers, targets and tokens",
		Description: `Measures this machine in one process over loopback links, and prints the raw
figures and a fitted line for each. It takes less than 3 minutes and 8 GiB, with
--quick less than 30 s.

Examples:
  papayarock measure slopes
  papayarock measure slopes --quick`,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "quick", Usage: "smaller sizes and shorter windows"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return slopes.Run(ctx, c.Root().Writer, slopes.Options{Quick: c.Bool("quick")})
		},
	}
}
