package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	Key     string `json:"key"`  // dotted path with indexes, such as customer[2].weight
	Line    int    `json:"line"` // from 1
	Problem string `json:"problem"`
	Mend    string `json:"mend"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	s := fmt.Sprintf("line %d: ", f.Line)
	if f.Key != "" {
		s += f.Key + ": "
	}
	s += f.Problem
	if f.Mend != "" {
		s += "; " + f.Mend
	}
	return s
}

// Faults is the error that lists all faults of a file, by line.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// FileError reports a file with faults.
type FileError struct {
	Kind   error // of the layer that read the file, matched by errors.Is
	Path   string
	Faults Faults
}

// Error lists the faults, one a line.
func (e *FileError) Error() string {
	return e.Path + ": " + e.Kind.Error() + ":\n" + e.Faults.Error()
}

// Unwrap returns the kind.
func (e *FileError) Unwrap() error { return e.Kind }
