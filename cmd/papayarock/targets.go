package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "list, drain and replace targets, set their roles",
		Commands: []*cli.Command{
			listCommand("list", "list the targets with their phase", "targets list", (*command.Session).Targets),
			drainCommand(), replaceCommand(), roleCommand(), cancelDrainCommand(),
		},
	}
}

func withinFlag() cli.Flag {
	return &cli.DurationFlag{Name: "within", Value: defaultDrainTimeout, Usage: "`TIME` that running requests may take, in whole seconds"}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "keep new requests from a target",
		ArgsUsage: "TARGET",
		Description: `The target stays drained until cancel-drain; with --leave it then goes.

Examples:
  papayarock targets drain --operator operator.toml engine-klang-1
  papayarock targets drain --operator operator.toml --leave --within 10m engine-klang-1`,
		Flags: append(changeFlags(), withinFlag(), &cli.BoolFlag{Name: "leave", Usage: "let the target go once it is drained"}),
		Action: nameAction("TARGET", func(ctx context.Context, c *cli.Command, s *command.Session, name string) error {
			return s.DrainTarget(ctx, changeOptions(c), name, c.Duration("within"), c.Bool("leave"))
		}),
	}
}

func replaceCommand() *cli.Command {
	return &cli.Command{
		Name:      "replace",
		Usage:     "order a new target, then drain the old one",
		ArgsUsage: "TARGET",
		Description: `Example:
  papayarock targets replace --operator operator.toml engine-klang-1`,
		Flags: append(changeFlags(), withinFlag()),
		Action: nameAction("TARGET", func(ctx context.Context, c *cli.Command, s *command.Session, name string) error {
			return s.ReplaceTarget(ctx, changeOptions(c), name, c.Duration("within"))
		}),
	}
}

func roleCommand() *cli.Command {
	return &cli.Command{
		Name:      "role",
		Usage:     "drain an engine and set its role: mixed, prefill or decode",
		ArgsUsage: "TARGET ROLE",
		Description: `Example:
  papayarock targets role --operator operator.toml engine-klang-1 prefill`,
		Flags: append(changeFlags(), withinFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := exactArguments(c, "TARGET", "ROLE")
			if err != nil {
				return err
			}
			return withSession(c, func(s *command.Session) error {
				return s.SetRole(ctx, changeOptions(c), args[0], args[1], c.Duration("within"))
			})
		},
		ShellComplete: func(_ context.Context, c *cli.Command) {
			for _, role := range []string{"mixed", "prefill", "decode"} {
				_, _ = fmt.Fprintln(c.Root().Writer, role)
			}
		},
	}
}

func cancelDrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel-drain",
		Usage:     "return a draining target to service",
		ArgsUsage: "TARGET",
		Description: `Example:
  papayarock targets cancel-drain --operator operator.toml engine-klang-1`,
		Flags: changeFlags(),
		Action: nameAction("TARGET", func(ctx context.Context, c *cli.Command, s *command.Session, name string) error {
			return s.CancelDrain(ctx, changeOptions(c), name)
		}),
	}
}
