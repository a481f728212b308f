package main

import (
	"context"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"papayarock/examples"
	"papayarock/internal/command"
	"papayarock/io/answers"
)

func answersCommand() *cli.Command {
	return &cli.Command{
		Name:  "answers",
		Usage: "fill in and check a questionnaire, generate the configuration",
		Commands: []*cli.Command{{
			Name:  "new",
			Usage: "print a questionnaire with comments and sample answers",
			Description: `Examples:
  papayarock answers new > answers.toml
  papayarock answers new --example association`,
			Flags:  []cli.Flag{&cli.StringFlag{Name: "example", Usage: "print the answers of `USER`: terengganu or association"}},
			Action: newAnswers,
		}, {
			Name:      "check",
			Usage:     "list all faults of a questionnaire",
			ArgsUsage: "FILE",
			Description: `Exits with 2 if there are faults.

Example:
  papayarock answers check answers.toml`,
			Action: checkAnswers,
		}, {
			Name:      "generate",
			Usage:     "print the configuration generated from a questionnaire",
			ArgsUsage: "FILE",
			Description: `Each value names the answer it came from.

Example:
  papayarock answers generate answers.toml > configuration.toml`,
			Action: generateConfiguration,
		}, {
			Name:      "diff",
			Usage:     "list what a revised questionnaire changes, and for whom",
			ArgsUsage: "OLD NEW",
			Description: `Exits with 3 if a change must be confirmed.

Example:
  papayarock answers diff answers.toml revised.toml`,
			Action: diffAnswers,
		}, {
			Name:      "apply",
			Usage:     "put a questionnaire in force",
			ArgsUsage: "FILE",
			Description: `Shows the differences from the configuration in force, asks where one must be
confirmed, and waits until the change is in force everywhere. If the answer of
control is lost, run the same command again: FILE.change keeps the change until
it is known what became of it.

Examples:
  papayarock answers apply --operator operator.toml answers.toml
  papayarock answers apply --operator operator.toml --confirm answers.toml`,
			Flags:  append(changeFlags(), &cli.BoolFlag{Name: "confirm", Usage: "confirm all changes beforehand"}),
			Action: applyAnswers,
		}},
	}
}

func newAnswers(_ context.Context, c *cli.Command) error {
	texts := map[string][]byte{"": answers.Template, "terengganu": examples.Terengganu, "association": examples.Association}
	text, ok := texts[c.String("example")]
	if !ok {
		return errors.Errorf("example %q does not exist; write terengganu or association", c.String("example"))
	}
	_, err := c.Root().Writer.Write(text)
	return errors.Wrap(err, "write result")
}

func checkAnswers(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "FILE")
	if err != nil {
		return err
	}
	if _, err := answers.Load(args[0]); err != nil {
		return err
	}
	return newOutput(c, c.Root().Writer).showNoFaults(args[0])
}

func generateConfiguration(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "FILE")
	if err != nil {
		return err
	}
	a, err := answers.Load(args[0])
	if err != nil {
		return err
	}
	g := answers.Generate(a)
	o := newOutput(c, c.Root().Writer)
	if !o.JSON {
		_, err = o.W.Write(g.TOML)
		return errors.Wrap(err, "write result")
	}
	var tables map[string]any
	if err := toml.Unmarshal(g.TOML, &tables); err != nil {
		return errors.Wrap(err, "parse generated configuration")
	}
	return o.Show(tables, nil, nil)
}

func diffAnswers(_ context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "OLD", "NEW")
	if err != nil {
		return err
	}
	before, err := answers.Load(args[0])
	if err != nil {
		return err
	}
	after, err := answers.Load(args[1])
	if err != nil {
		return err
	}
	changes := answers.Diff(answers.Generate(before).Document, answers.Generate(after).Document)
	if err := command.ShowChanges(newOutput(c, c.Root().Writer).Output, changes); err != nil {
		return err
	}
	return command.CheckConfirmation(changes)
}

func applyAnswers(ctx context.Context, c *cli.Command) error {
	args, err := exactArguments(c, "FILE")
	if err != nil {
		return err
	}
	return withSession(c, func(s *command.Session) error {
		return s.ApplyAnswers(ctx, changeOptions(c), args[0], c.Bool("confirm"))
	})
}
