package main

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"papayarock/internal/command"
	"papayarock/internal/tomlfile"
)

// Guards against a renamed field of the JSON list of faults, which programs of
// operators read.
func TestFaultListNames(t *testing.T) {
	tests := map[string]struct {
		faults tomlfile.Faults
		want   string
	}{
		"none": {tomlfile.Faults{}, `{
  "file": "a.toml",
  "faults": []
}
`},
		"one": {tomlfile.Faults{{Key: "k", Line: 2, Problem: "p", Fix: "m"}}, `{
  "file": "a.toml",
  "faults": [
    {
      "key": "k",
      "line": 2,
      "problem": "p",
      "mend": "m"
    }
  ]
}
`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			is.NoErr(output{command.Output{W: &b, JSON: true}}.showFaults("a.toml", tt.faults))
			is.Equal(b.String(), tt.want)
		})
	}
}
