package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
	"papayarock/io/operator"
)

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "list hosts, change the members of the replicated log",
		Commands: []*cli.Command{
			listCommand("list", "list the members of the log and the nodes that poll", "hosts list", (*command.Session).Hosts),
			hostCommand("add", "add a learner, which receives the log and does not vote", operator.AddLearner),
			hostCommand("promote", "make a learner that has caught up a voter", operator.Promote),
			hostCommand("remove", "remove a voter or learner", operator.Remove),
		},
	}
}

func hostCommand(name, usage, action string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "HOST", Flags: controlFlags(),
		Description: "One change is made at a time, through the leader. The command may be repeated.\n\nExample:\n  papayarock hosts " +
			name + " --operator operator.toml control-klang",
		Action: onName("HOST", func(ctx context.Context, _ *cli.Command, s *command.Session, host string) error {
			return s.ChangeHosts(ctx, action, host)
		}),
	}
}
