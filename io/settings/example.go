package settings

import (
	"embed"
	"strings"

	"github.com/pkg/errors"
)

//go:embed example-*.toml
var examples embed.FS

// Roles returns the names of the roles that have example settings.
func Roles() []string { return []string{"entry", "agent", "control"} }

// Example returns commented example settings for a process that runs one role.
func Example(role string) ([]byte, error) {
	text, err := examples.ReadFile("example-" + role + ".toml")
	if err != nil {
		return nil, errors.Errorf("role %q does not exist; write %s", role, strings.Join(Roles(), ", "))
	}
	return text, nil
}
