package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

// Default validity of certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	hostValidity      = 365 * 24 * time.Hour
)

func identityCommand() *cli.Command {
	return &cli.Command{
		Name:  "identity",
		Usage: "make the certificate authority, issue certificates of hosts and operators",
		Commands: []*cli.Command{{
			Name:      "authority",
			Usage:     "make a certificate authority",
			ArgsUsage: "DIRECTORY",
			Description: `Writes authority.pem and authority-key.pem and never replaces them. Keep the key
off the hosts.

Example:
  papayarock identity authority authority`,
			Flags:  []cli.Flag{validityFlag(authorityValidity)},
			Action: newAuthority,
		}, {
			Name:      "issue",
			Usage:     "issue a certificate of a host or operator",
			ArgsUsage: "NAME DIRECTORY",
			Description: `Writes host.pem, host-key.pem and authority.pem to the directory.

Examples:
  papayarock identity issue --authority authority --role entry entry-klang certificates/entry-klang
  papayarock identity issue --authority authority --role operator ana certificates/ana`,
			Flags: []cli.Flag{
				validityFlag(hostValidity),
				&cli.StringFlag{Name: "authority", Required: true, Usage: "`DIRECTORY` of the authority"},
				&cli.StringSliceFlag{Name: "role", Required: true, Usage: "`ROLE` entry, agent, control or operator; may be repeated"},
			},
			Action: issueIdentity,
		}},
	}
}

func validityFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: "valid", Value: value, Usage: "`TIME` until the certificate expires"}
}

func newAuthority(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "DIRECTORY")
	if err != nil {
		return err
	}
	return command.NewAuthority(newOutput(c, c.Root().Writer).Output, args[0], time.Now(), c.Duration("valid"))
}

func issueIdentity(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "NAME", "DIRECTORY")
	if err != nil {
		return err
	}
	o := newOutput(c, c.Root().Writer).Output
	return command.IssueIdentity(o, c.String("authority"), args[1], args[0], c.StringSlice("role"), time.Now(), c.Duration("valid"))
}
