package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

// Defaults of commands that talk to control.
const (
	defaultTimeout = 30 * time.Second
	defaultWait    = 30 * time.Second
	defaultDrain   = 5 * time.Minute
)

// controlFlags say where control is and who the operator is.
func controlFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "TOML `FILE` with control, certificate, key and authority", Sources: cli.EnvVars("PAPAYAROCK_OPERATOR")},
		&cli.StringSliceFlag{Name: "control", Usage: "operator `ADDRESS` of a control replica; may be repeated"},
		&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` of the operator's certificate"},
		&cli.StringFlag{Name: "key", Usage: "PEM `FILE` of the certificate's key"},
		&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` of the authority's certificate"},
		&cli.BoolFlag{Name: "plain", Usage: "use plain HTTP, for control with plain links"},
		&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "`TIME` after which a request is given up"},
	}
}

// changeFlags are those of commands that change the configuration.
func changeFlags() []cli.Flag {
	return append(controlFlags(),
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change, to repeat it"},
		&cli.Uint64Flag{Name: "base", Usage: "`REVISION` the change is based on, to repeat it; 0 means the present one"},
		&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "`TIME` to wait until the change is in force everywhere; 0 means not to wait"},
	)
}

func changeOf(c *cli.Command) command.Change {
	return command.Change{ID: c.String("change-id"), Base: c.Uint64("base")}
}

func settingsOf(c *cli.Command) (command.Settings, error) {
	var s command.Settings
	if path := c.String("operator"); path != "" {
		var err error
		if s, err = command.LoadSettings(path); err != nil {
			return s, err
		}
	}
	return s.Override(command.Settings{
		Control: c.StringSlice("control"), Plain: c.Bool("plain"),
		Certificate: c.String("certificate"), Key: c.String("key"), Authority: c.String("authority"),
	}), nil
}

// withSession runs f with a connection to control.
func withSession(c *cli.Command, f func(s *command.Session) error) error {
	settings, err := settingsOf(c)
	if err != nil {
		return err
	}
	client, err := settings.Client(c.Duration("timeout"))
	if err != nil {
		return err
	}
	defer client.Close()
	return f(&command.Session{
		Client: client, Out: newOutput(c, c.Root().Writer).Output, Err: c.Root().ErrWriter, In: terminal(), Wait: c.Duration("wait"),
	})
}

// terminal returns standard input if a person may answer there.
func terminal() io.Reader {
	if i, err := os.Stdin.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stdin
}

// listCommand is a command without arguments that shows something.
func listCommand(name, usage, example string, show func(*command.Session, context.Context) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: controlFlags(),
		Description: "Example:\n  papayarock " + example + " --operator operator.toml",
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := fileArguments(c); err != nil {
				return err
			}
			return withSession(c, func(s *command.Session) error { return show(s, ctx) })
		},
	}
}

// onName is an action with one argument, the name of what it changes.
func onName(what string, act func(ctx context.Context, c *cli.Command, s *command.Session, name string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args, err := fileArguments(c, what)
		if err != nil {
			return err
		}
		return withSession(c, func(s *command.Session) error { return act(ctx, c, s, args[0]) })
	}
}
