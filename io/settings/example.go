package settings

import (
	"embed"
	"strings"

	"github.com/pkg/errors"
)

//go:embed example-*.toml
var examples embed.FS

// Roles lists the roles a process can run.
func Roles() []string { return []string{"entry", "agent", "control"} }

// Example returns commented settings of a process with one role.
func Example(role string) ([]byte, error) {
	text, err := examples.ReadFile("example-" + role + ".toml")
	if err != nil {
		return nil, errors.Errorf("role %q does not exist; write %s", role, strings.Join(Roles(), ", "))
	}
	return text, nil
}
