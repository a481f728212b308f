package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"papayarock/io/daemon"
	"papayarock/io/logsink"
	"papayarock/io/settings"
	"papayarock/platform"
)

// logCloseTimeout bounds how long a process that ends waits until its queued log
// lines are written. A reader of its output that has stopped reading would otherwise
// keep it running.
const logCloseTimeout = 200 * time.Millisecond

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the roles named in a settings file",
		Description: `Runs until SIGINT or SIGTERM, then shuts down gracefully. SIGHUP or a change of
the file reads the settings again.

Example:
  papayarock run --settings /etc/papayarock/entry.toml`,
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "TOML `FILE`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			sink := logsink.New(c.Root().Writer)
			defer sink.Close(logCloseTimeout)
			log := hclog.New(&hclog.LoggerOptions{Name: "papayarock", Level: s.LogLevel, Output: sink})
			log.Info("starting", "host", s.Host, "region", s.Region, "data-centre", s.DataCentre, "settings", path)
			defer log.Info("ended", "host", s.Host)
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGHUP)
			defer signal.Stop(signals)
			changed := make(chan settings.Settings)
			watchCtx, stop := context.WithCancel(ctx)
			defer stop()
			go settings.Watch(watchCtx, path, signals, log.Named("settings"), changed)
			return daemon.RunWithAdapter(ctx, s, log, platform.New(), changed)
		},
	}
}
