package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "issue, withdraw and list the keys of customers",
		Commands: []*cli.Command{{
			Name:      "issue",
			Usage:     "issue a key and show it once",
			ArgsUsage: "CUSTOMER",
			Description: `The key has 256 random bits. Control receives only its SHA-256 digest, so the
key cannot be shown again.

Example:
  papayarock keys issue --operator operator.toml --id klang-2027 klang`,
			Flags: append(changeFlags(), &cli.StringFlag{Name: "id", Usage: "public `ID` of the key; drawn if empty"}),
			Action: nameAction("CUSTOMER", func(ctx context.Context, c *cli.Command, s *command.Session, name string) error {
				return s.IssueKey(ctx, changeOptions(c), c.String("id"), name)
			}),
		}, {
			Name:      "withdraw",
			Usage:     "withdraw a key",
			ArgsUsage: "ID",
			Description: `New and queued requests with the key are refused as soon as the change is in
force. Running ones end normally unless --cut is given.

Example:
  papayarock keys withdraw --operator operator.toml --cut klang-2027`,
			Flags: append(changeFlags(), &cli.BoolFlag{Name: "cut", Usage: "interrupt running requests too"}),
			Action: nameAction("ID", func(ctx context.Context, c *cli.Command, s *command.Session, name string) error {
				return s.WithdrawKey(ctx, changeOptions(c), name, c.Bool("cut"))
			}),
		}, listCommand("list", "list the keys, without the keys themselves", "keys list", (*command.Session).Keys)},
	}
}
