// Command papayarock runs the processes of a deployment. It also contains the
// commands with which operators set up, inspect and change a deployment.
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

	"papayarock/internal/command"
	"papayarock/internal/tomlfile"
)

const rootDescription = `Results go to standard output, as tables or with --output json as JSON. Faults
of a file are listed on standard error, or as JSON on standard output.

Exit codes:
  0  done
  1  failed, or used with wrong arguments; config check: the document has findings
  2  settings, answers or a value have faults, or cannot be read; config check:
     the check could not run
  3  a revision has changes that an operator must confirm
  4  not accepted: another change was accepted first; the message names it
  5  not committed, or uncertain; the message says how to repeat it

Examples:
  papayarock settings example entry > entry.toml
  papayarock settings check entry.toml
  papayarock run --settings entry.toml
  papayarock status --operator operator.toml
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
		Commands:              commands(),
		EnableShellCompletion: true,
		Suggest:               true,
		// report prints errors; the library must not print them too.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print the completion script of a shell"
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return command.ExitDone
	}
	report(root, stdout, stderr, err)
	return command.ExitCode(err)
}

func commands() []*cli.Command {
	return []*cli.Command{
		runCommand(), settingsCommand(), configCommand(), answersCommand(), identityCommand(), keysCommand(), targetsCommand(),
		hostsCommand(), usageCommand(), ordersCommand(), planCommand(), statusCommand(), dumpCommand(), watchCommand(),
		auditCommand(), measureCommand(), demoCommand(),
	}
}

// report prints an error to stderr. With JSON output the faults of a file go to
// stdout instead.
func report(root *cli.Command, stdout, stderr io.Writer, err error) {
	var file *tomlfile.FileError
	if !errors.As(err, &file) {
		if err.Error() != "" {
			_, _ = fmt.Fprintln(stderr, "papayarock:", err)
		}
		return
	}
	o := newOutput(root, stderr)
	if o.JSON {
		o.W = stdout
	} else {
		_, _ = fmt.Fprintf(stderr, "papayarock: %s: %v\n", file.Path, file.Kind)
	}
	_ = o.showFaults(file.Path, file.Faults)
}
