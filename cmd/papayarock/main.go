// Command papayarock runs and operates the processes of papayarock.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"papayarock/io/daemon"
	"papayarock/io/settings"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "papayarock:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "papayarock",
		Usage:    "serve language models and plain services on a limited fleet",
		Commands: []*cli.Command{runCommand(), measureCommand()},
	}
	return root.Run(ctx, os.Args)
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the roles named in a settings file",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "TOML `FILE`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return cli.Exit(err, 2)
			}
			return daemon.Run(ctx, s, hclog.New(&hclog.LoggerOptions{Name: "papayarock"}))
		},
	}
}
