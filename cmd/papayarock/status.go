package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

func usageCommand() *cli.Command {
	return listCommand("usage", "list the usage by window, customer and route", "usage", (*command.Session).Usage)
}

func ordersCommand() *cli.Command {
	return listCommand("orders", "list the orders to targets and to the platform", "orders", (*command.Session).Orders)
}

func planCommand() *cli.Command {
	return listCommand("plan", "show the planner's view: demand, engines, speeds and the last decisions", "plan", (*command.Session).Plan)
}

func auditCommand() *cli.Command {
	return listCommand("audit", "list the accepted changes", "audit", (*command.Session).Audit)
}

func statusCommand() *cli.Command {
	return listCommand("status", "show the status of each control replica", "status", (*command.Session).Status)
}

func dumpCommand() *cli.Command {
	return listCommand("dump", "print the state of each control replica as JSON", "dump", (*command.Session).Dump)
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "show the status of each control replica until interrupted",
		Description: `Examples:
  papayarock watch --operator operator.toml
  papayarock watch --operator operator.toml --count 3 --every 1s`,
		Flags: append(controlFlags(),
			&cli.IntFlag{Name: "count", Usage: "stop after `N` times; 0 means never"},
			&cli.DurationFlag{Name: "every", Value: 2 * time.Second, Usage: "`TIME` between two"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return withSession(c, func(s *command.Session) error { return s.Watch(ctx, c.Duration("every"), c.Int("count")) })
		},
	}
}
