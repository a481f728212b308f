package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"papayarock/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback ports and check its behaviour",
		Description: `Starts three control replicas, two entries, agents and stand-ins for engines,
services and the platform from a shipped questionnaire, sends requests through
them while targets, keys and the leader change, and prints what the stand-ins
counted. Exit code 1 if a promise was broken.

Example:
  papayarock demo --association`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "association", Usage: "the association's questionnaire instead of the department's"},
			&cli.BoolFlag{Name: "stay", Usage: "keep the deployment up and print requests to try"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of the requests"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the processes do"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			level := hclog.Off
			if c.Bool("verbose") {
				level = hclog.Debug
			}
			return demo.Run(ctx, demo.Options{
				Association: c.Bool("association"), Stay: c.Bool("stay"), Seed: c.Uint64("seed"), Out: c.Root().Writer,
				Log: hclog.New(&hclog.LoggerOptions{Level: level, Output: c.Root().ErrWriter}),
			})
		},
	}
}
