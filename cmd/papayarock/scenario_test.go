package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/internal/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"papayarock": main})
}

// Guards against commands and processes that do not work with each other although
// the tests of their packages pass. The head of each script names the fault.
func TestScenarios(t *testing.T) {
	t.Parallel()
	scenario.Run(t, "../../internal/scenario/testdata", nil)
}

// Guards against a promise of docs/design.md that the complete system breaks
// although the tests of its packages pass; docs/promises.md lists the scripts.
func TestPromises(t *testing.T) {
	t.Parallel()
	scenario.Run(t, "../../internal/scenario/testdata/promises", nil)
}
