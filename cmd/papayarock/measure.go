package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"papayarock/internal/measure"
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
		Action: func(_ context.Context, c *cli.Command) error {
			return measure.Run(c.Root().Writer, measure.Options{
				Seed: c.Uint64("seed"), Sizes: c.StringSlice("size"),
				Scenarios: c.StringSlice("scenario"), Parallel: c.Int("parallel"),
			})
		},
	}
}
