package main

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// leafCommands returns the commands that have an action or no subcommands, by their
// full name.
func leafCommands(prefix string, all []*cli.Command) map[string]*cli.Command {
	found := make(map[string]*cli.Command)
	for _, c := range all {
		fullName := strings.TrimSpace(prefix + " " + c.Name)
		if len(c.Commands) == 0 || c.Action != nil {
			found[fullName] = c
		}
		for name, leaf := range leafCommands(fullName, c.Commands) {
			found[name] = leaf
		}
	}
	return found
}

// Guards against a command without an example in its help or in
// docs/OPERATIONS.md, and against examples with flags that do not exist.
func TestExamplesOfCommands(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	flag := regexp.MustCompile(`\s--([a-z-]+)`)
	for name, c := range leafCommands("", commands()) {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(c.Description, "papayarock "+name) {
				t.Errorf("the help has no example")
			}
			example := regexp.MustCompile("papayarock (--output json )?" + name + `[^\n|]*`)
			lines := withoutSubcommands(c, name, example.FindAllString(string(text), -1))
			if len(lines) == 0 {
				t.Errorf("docs/OPERATIONS.md has no example")
			}
			for _, line := range append(lines, withoutSubcommands(c, name, example.FindAllString(c.Description, -1))...) {
				for _, m := range flag.FindAllStringSubmatch(line, -1) {
					exists := m[1] == "output"
					for _, f := range c.Flags {
						exists = exists || f.Names()[0] == m[1]
					}
					if !exists {
						t.Errorf("%q: flag %q does not exist", line, m[1])
					}
				}
			}
		})
	}
}

// withoutSubcommands removes the examples of c's subcommands, which have other
// flags, from the examples of c.
func withoutSubcommands(c *cli.Command, name string, lines []string) []string {
	return slices.DeleteFunc(lines, func(line string) bool {
		return slices.ContainsFunc(c.Commands, func(sub *cli.Command) bool {
			return strings.Contains(line, name+" "+sub.Name)
		})
	})
}
