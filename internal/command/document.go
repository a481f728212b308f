package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"papayarock/core/catalog"
)

var (
	// ErrFindings reports a document with findings.
	ErrFindings = errors.New("the document has findings")
	// ErrNotChecked reports a check that could not run.
	ErrNotChecked = errors.New("the document was not checked")
)

// maxDocumentFileBytes limits what is read of a file. Registries accept less.
const maxDocumentFileBytes = 4 << 20

// DocumentFormat is the format of the documents of a platform.
type DocumentFormat interface {
	// Examine returns the findings in a document, sorted by line. If it can't be decoded, ok
	// is false. If inForce is not nil, text is to replace that document.
	Examine(text []byte, inForce *catalog.Document) (d catalog.Document, list []catalog.Located, ok bool)
	// Decode decodes and validates a document.
	Decode(text []byte) (catalog.Document, error)
	// DifferenceKey returns the path of the value that differs.
	DifferenceKey(d catalog.Difference) string
	// ReadDocument reads the document in force from a registry at the address HOST:PORT.
	ReadDocument(ctx context.Context, address string) ([]byte, error)
}

// DocumentCheck is the result of the check of a document.
type DocumentCheck struct {
	File        string               `json:"file"`
	Findings    []DocumentFinding    `json:"findings"`
	Against     string               `json:"against"`  // empty if there is nothing to compare with
	Compared    bool                 `json:"compared"` // false also for a document that can't be decoded
	Differences []DocumentDifference `json:"differences"`
}

// DocumentFinding is a finding in a document.
type DocumentFinding struct {
	Line int    `json:"line"`
	Key  string `json:"key"`
	Kind string `json:"kind"` // error, never-matches, contradiction or notice
	Text string `json:"text"`
}

// DocumentDifference is a difference from the document in force.
type DocumentDifference struct {
	Change string `json:"change"` // added, removed or changed
	Key    string `json:"key"`
	Before string `json:"before"` // empty unless the value has changed, like After
	After  string `json:"after"`
}

// CheckDocument checks the document in the file path and compares it with against, which is
// empty, a file or the address of a registry. It returns ErrFindings if there are findings
// other than notices, and ErrNotChecked if the check could not run.
func CheckDocument(ctx context.Context, out Output, f DocumentFormat, path, against string) error {
	text, err := readDocumentFile(path)
	if err != nil {
		return err
	}
	inForce, err := readInForce(ctx, f, against)
	if err != nil {
		return err
	}
	d, found, ok := f.Examine(text, inForce)
	result := DocumentCheck{File: path, Findings: []DocumentFinding{}, Against: against, Compared: ok && inForce != nil, Differences: []DocumentDifference{}}
	counted := 0
	for _, x := range found {
		result.Findings = append(result.Findings, DocumentFinding{x.Line, x.Key, x.Class.String(), x.Text})
		if x.Class != catalog.Notice {
			counted++
		}
	}
	if result.Compared {
		for _, x := range catalog.Compare(*inForce, d) {
			result.Differences = append(result.Differences, DocumentDifference{x.Change.String(), f.DifferenceKey(x), x.Before, x.After})
		}
	}
	if err := showDocumentCheck(out, result); err != nil {
		return errors.Wrap(ErrNotChecked, err.Error())
	}
	if counted > 0 {
		return errors.Wrapf(ErrFindings, "%s: %d besides notices", path, counted)
	}
	return nil
}

func showDocumentCheck(out Output, r DocumentCheck) error {
	if out.JSON {
		return out.Show(r, nil, nil)
	}
	if err := showFindings(out, r); err != nil || r.Against == "" {
		return err
	}
	if _, err := fmt.Fprintln(out.W); err != nil {
		return errors.Wrap(err, "write result")
	}
	return showDifferences(out, r)
}

func showFindings(out Output, r DocumentCheck) error {
	if len(r.Findings) == 0 {
		_, err := fmt.Fprintf(out.W, "%s: no findings\n", r.File)
		return errors.Wrap(err, "write result")
	}
	type f = DocumentFinding
	return showTable(out, r, r.Findings,
		column[f]{"LINE", func(f f) any { return f.Line }},
		column[f]{"KEY", func(f f) any { return f.Key }},
		column[f]{"KIND", func(f f) any { return f.Kind }},
		column[f]{"FINDING", func(f f) any { return f.Text }})
}

func showDifferences(out Output, r DocumentCheck) error {
	text := ""
	switch {
	case !r.Compared:
		text = "not compared with"
	case len(r.Differences) == 0:
		text = "no differences from"
	}
	if text != "" {
		_, err := fmt.Fprintf(out.W, "%s: %s %s\n", r.File, text, r.Against)
		return errors.Wrap(err, "write result")
	}
	type d = DocumentDifference
	return showTable(out, r, r.Differences,
		column[d]{"CHANGE", func(d d) any { return d.Change }},
		column[d]{"KEY", func(d d) any { return d.Key }},
		column[d]{"BEFORE", func(d d) any { return d.Before }},
		column[d]{"AFTER", func(d d) any { return d.After }})
}

// readInForce reads and decodes the document in force. It returns nil if against is empty.
func readInForce(ctx context.Context, f DocumentFormat, against string) (*catalog.Document, error) {
	if against == "" {
		return nil, nil
	}
	read := func() ([]byte, error) { return readDocumentFile(against) }
	if isAddress(against) {
		read = func() ([]byte, error) {
			text, err := f.ReadDocument(ctx, against)
			if err != nil {
				return nil, errors.Wrap(ErrNotChecked, err.Error())
			}
			return text, nil
		}
	}
	text, err := read()
	if err != nil {
		return nil, err
	}
	d, err := f.Decode(text)
	if err != nil {
		return nil, errors.Wrapf(ErrNotChecked, "%s: %v", against, err)
	}
	return &d, nil
}

// isAddress reports whether s is an address HOST:PORT and not the path of a file.
func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func readDocumentFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(ErrNotChecked, err.Error())
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxDocumentFileBytes))
	if err != nil {
		return nil, errors.Wrap(ErrNotChecked, err.Error())
	}
	return text, nil
}
