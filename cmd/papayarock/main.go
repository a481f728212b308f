// Command papayarock runs and operates the processes of papayarock.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/internal/tomlfile"
	"papayarock/io/answers"
	"papayarock/io/settings"
)

// Exit codes.
const (
	exitFailure = 1
	exitFaulty  = 2 // a file has faults
	exitConfirm = 3 // a revision has changes that need confirmation
)

// errConfirm reports a revision with changes that need confirmation.
var errConfirm = errors.New("must be confirmed")

const rootDescription = `Results go to standard output, as tables or with --output json as JSON. Faults
of a file are listed on standard error, or as JSON on standard output.

Exit codes:
  0  done
  1  failed, or used with wrong arguments
  2  settings or answers have faults, or cannot be read
  3  a revision has changes that an operator must confirm

Examples:
  papayarock settings example entry > entry.toml
  papayarock settings check entry.toml
  papayarock run --settings entry.toml
  papayarock completion bash > /etc/bash_completion.d/papayarock`

func main() {
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "papayarock",
		Usage:                 "serve language models and plain services on a limited fleet",
		Description:           rootDescription,
		Writer:                stdout,
		ErrWriter:             stderr,
		Flags:                 []cli.Flag{outputFlag()},
		Commands:              []*cli.Command{runCommand(), settingsCommand(), answersCommand()},
		EnableShellCompletion: true,
		Suggest:               true,
		// Errors are printed below, once.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print the completion script of a shell"
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	report(root, stdout, stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errConfirm):
		return exitConfirm
	case errors.Is(err, settings.ErrSettings), errors.Is(err, answers.ErrAnswers):
		return exitFaulty
	}
	return exitFailure
}

// report prints an error to stderr, and faults as JSON to stdout if JSON was
// asked for.
func report(root *cli.Command, stdout, stderr io.Writer, err error) {
	var file *tomlfile.FileError
	if !errors.As(err, &file) {
		if err.Error() != "" {
			_, _ = fmt.Fprintln(stderr, "papayarock:", err)
		}
		return
	}
	o := newOutput(root, stderr)
	if o.json {
		o.w = stdout
	} else {
		_, _ = fmt.Fprintf(stderr, "papayarock: %s: %v\n", file.Path, file.Kind)
	}
	_ = o.faults(file.Path, file.Faults)
}
