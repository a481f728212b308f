package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error at one place of a file, such as a missing or unknown key.
type Fault struct {
	Key     string `json:"key"`     // dotted path with indexes, such as customer[2].weight; may be empty
	Line    int    `json:"line"`    // from 1
	Problem string `json:"problem"` // what is wrong; String puts the key before it
	Fix     string `json:"mend"`    // how to fix it; may be empty
}

// String formats the fault on one line.
func (f Fault) String() string {
	s := fmt.Sprintf("line %d: ", f.Line)
	if f.Key != "" {
		s += f.Key + ": "
	}
	s += f.Problem
	if f.Fix != "" {
		s += "; " + f.Fix
	}
	return s
}

// Faults is an error that lists the faults of a file.
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

// FileError reports the faults of one file.
type FileError struct {
	Kind   error // sentinel error of the package that reads the file, for errors.Is
	Path   string
	Faults Faults
}

// Error returns the path and the kind, followed by one line for each fault.
func (e *FileError) Error() string {
	return e.Path + ": " + e.Kind.Error() + ":\n" + e.Faults.Error()
}

// Unwrap returns Kind.
func (e *FileError) Unwrap() error { return e.Kind }
