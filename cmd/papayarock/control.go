package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"papayarock/internal/command"
)

// Default durations of commands that send requests to control replicas.
const (
	defaultRequestTimeout = 30 * time.Second
	defaultInForceTimeout = 30 * time.Second
	defaultDrainTimeout   = 5 * time.Minute
)

// controlFlags returns the flags for the addresses of the control replicas and the
// operator's credentials.
func controlFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "TOML `FILE` with control, certificate, key and authority", Sources: cli.EnvVars("PAPAYAROCK_OPERATOR")},
		&cli.StringSliceFlag{Name: "control", Usage: "operator `ADDRESS` of a control replica; may be repeated"},
		&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` of the operator's certificate"},
		&cli.StringFlag{Name: "key", Usage: "PEM `FILE` of the certificate's key"},
		&cli.StringFlag{Name: "authority", Usage: "PEM `FILE` of the authority's certificate"},
		&cli.BoolFlag{Name: "plain", Usage: "use plain HTTP, for control with plain links"},
		&cli.DurationFlag{Name: "timeout", Value: defaultRequestTimeout, Usage: "`TIME` after which a request is given up"},
	}
}

// changeFlags returns the flags of commands that change the configuration.
func changeFlags() []cli.Flag {
	return append(controlFlags(),
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change, to repeat it"},
		&cli.Uint64Flag{Name: "base", Usage: "`REVISION` the change is based on, to repeat it; 0 means the present one"},
		&cli.DurationFlag{Name: "wait", Value: defaultInForceTimeout, Usage: "`TIME` to wait until the change is in force everywhere; 0 means not to wait"},
	)
}

func changeOptions(c *cli.Command) command.ChangeOptions {
	return command.ChangeOptions{ID: c.String("change-id"), Base: c.Uint64("base")}
}

// operatorSettings returns the settings in the file that --operator names. Each
// value that is set by a flag of its own overrides that of the file.
func operatorSettings(c *cli.Command) (command.Settings, error) {
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

// withSession runs f with a session that sends requests to control replicas. Without
// a flag wait the command does not wait for changes.
func withSession(c *cli.Command, f func(s *command.Session) error) error {
	settings, err := operatorSettings(c)
	if err != nil {
		return err
	}
	client, err := settings.Client(c.Duration("timeout"))
	if err != nil {
		return err
	}
	defer client.Close()
	return f(&command.Session{
		Client: client, Out: newOutput(c, c.Root().Writer).Output, Err: c.Root().ErrWriter, In: terminalInput(), Wait: c.Duration("wait"),
	})
}

// terminalInput returns standard input if it is a terminal, and nil otherwise.
func terminalInput() io.Reader {
	if i, err := os.Stdin.Stat(); err != nil || i.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stdin
}

// listCommand returns a command without arguments that reads a list or a status from
// control replicas and shows it. The full name includes the parent commands.
func listCommand(name, usage, fullName string, show func(*command.Session, context.Context) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: controlFlags(),
		Description: "Example:\n  papayarock " + fullName + " --operator operator.toml",
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := exactArguments(c); err != nil {
				return err
			}
			return withSession(c, func(s *command.Session) error { return show(s, ctx) })
		},
	}
}

// nameAction returns the action of a command with one argument, the name of the
// object that act changes.
func nameAction(argument string, act func(ctx context.Context, c *cli.Command, s *command.Session, name string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args, err := exactArguments(c, argument)
		if err != nil {
			return err
		}
		return withSession(c, func(s *command.Session) error { return act(ctx, c, s, args[0]) })
	}
}
