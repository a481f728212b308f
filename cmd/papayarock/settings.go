package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/io/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check or print settings of a process",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "list all faults of a settings file",
			ArgsUsage: "FILE",
			Description: `Exits with 2 if there are faults.

Examples:
  papayarock settings check entry.toml
  papayarock --output json settings check entry.toml`,
			Action: checkSettings,
		}, {
			Name:      "example",
			Usage:     "print commented settings of a role",
			ArgsUsage: "ROLE",
			Description: `Roles are entry, agent and control.

Example:
  papayarock settings example agent > agent.toml`,
			Action:        exampleSettings,
			ShellComplete: completeRoles,
		}},
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "FILE")
	if err != nil {
		return err
	}
	if _, err := settings.Load(args[0]); err != nil {
		return err
	}
	return newOutput(c, c.Root().Writer).showNoFaults(args[0])
}

func exampleSettings(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "ROLE")
	if err != nil {
		return err
	}
	text, err := settings.Example(args[0])
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(text)
	return errors.Wrap(err, "write result")
}

func completeRoles(_ context.Context, c *cli.Command) {
	for _, role := range settings.Roles() {
		_, _ = fmt.Fprintln(c.Root().Writer, role)
	}
}
