package main

import (
	"context"
	"time"

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
			{
				Name:      "replace",
				Usage:     "put a new host in the place of a voter",
				ArgsUsage: "OLD NEW",
				Description: `The new host must run with an empty data directory and learner = true. It joins,
the old host leaves, and the new one becomes a voter once it has caught up. The
command may be repeated.

Example:
  papayarock hosts replace --operator operator.toml control-klang control-melaka`,
				Flags:  append(controlFlags(), &cli.DurationFlag{Name: "within", Value: defaultCatchUpTimeout, Usage: "`TIME` for the new host to catch up"}),
				Action: replaceHost,
			},
			{
				Name:      "revoke",
				Usage:     "revoke the certificates that a host was issued so far",
				ArgsUsage: "HOST",
				Description: `Every process refuses the host as soon as the change is in force, and closes its
sessions. A certificate that is issued to the host afterwards is valid. Revoking
an operator's certificate works the same way, by the name it was issued to.

Example:
  papayarock hosts revoke --operator operator.toml agent-7`,
				Flags: changeFlags(),
				Action: nameAction("HOST", func(ctx context.Context, c *cli.Command, s *command.Session, host string) error {
					return s.RevokeHost(ctx, changeOptions(c), host)
				}),
			},
			listCommand("revoked", "list the hosts with revoked certificates", "hosts revoked", (*command.Session).Revocations),
		},
	}
}

// defaultCatchUpTimeout is the default time for a new host to catch up with the log.
const defaultCatchUpTimeout = 10 * time.Minute

func replaceHost(ctx context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "OLD", "NEW")
	if err != nil {
		return err
	}
	return withSession(c, func(s *command.Session) error {
		return s.ReplaceHost(ctx, args[0], args[1], c.Duration("within"))
	})
}

func hostCommand(name, usage, action string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "HOST", Flags: controlFlags(),
		Description: "One change is made at a time, through the leader. The command may be repeated.\n\nExample:\n  papayarock hosts " +
			name + " --operator operator.toml control-klang",
		Action: nameAction("HOST", func(ctx context.Context, _ *cli.Command, s *command.Session, host string) error {
			return s.ChangeMembers(ctx, action, host)
		}),
	}
}
