package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"papayarock": main})
}

// Guards against commands and processes that do not do together what their
// packages do alone; each script says more.
func TestScenarios(t *testing.T) {
	t.Parallel()
	scenario.Run(t, "../../internal/scenario/testdata", nil)
}

// Guards against a promise of docs/design.md that the whole system breaks
// although its parts keep it; docs/promises.md lists the scripts.
func TestPromises(t *testing.T) {
	t.Parallel()
	scenario.Run(t, "../../internal/scenario/testdata/promises", nil)
}
