package tomlfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of a file. A questionnaire of package answers with
// 11,000 customers takes less than 1 MiB.
const MaxBytes = 4 << 20

// File is a parsed file.
type File struct {
	Lines  map[string]int // line of each key and array element, by path, such as customer[2].weight
	root   map[string]any
	faults Faults
}

// Parse parses the content of a file. If it is too large or not valid TOML, the
// File has one fault and no keys.
func Parse(text []byte) *File {
	f := &File{Lines: make(map[string]int), root: make(map[string]any)}
	if len(text) > MaxBytes {
		f.faults = Faults{{Line: 1, Problem: fmt.Sprintf("the file has %d bytes", len(text)), Fix: fmt.Sprintf("reduce it to at most %d bytes", MaxBytes)}}
		return f
	}
	if err := toml.Unmarshal(text, &f.root); err != nil {
		f.root = make(map[string]any)
		f.faults = Faults{syntaxFault(err)}
		return f
	}
	l := &lineIndexer{file: f, arrayLengths: make(map[string]int)}
	l.indexFile(text)
	return f
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Problem: strings.TrimPrefix(err.Error(), "toml: "), Fix: "correct the TOML syntax"}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, column := d.Position()
		fault.Line = max(line, 1)
		fault.Key = strings.Join(d.Key(), ".")
		fault.Problem += fmt.Sprintf(" (column %d)", column)
	}
	return fault
}

// Root returns the top-level table.
func (f *File) Root() *Table {
	return &Table{file: f, values: f.root, line: 1}
}

// Faults returns the faults reported so far, sorted by line; nil if there are
// none.
func (f *File) Faults() Faults {
	f.faults.sort()
	return f.faults
}

// lineIndexer fills File.Lines.
type lineIndexer struct {
	file         *File
	parser       unstable.Parser
	newlines     []int          // byte offset of each line break
	arrayLengths map[string]int // number of elements seen so far of each array of tables, by path
}

func (l *lineIndexer) indexFile(text []byte) {
	for i, b := range text {
		if b == '\n' {
			l.newlines = append(l.newlines, i)
		}
	}
	l.parser.Reset(text)
	table := ""
	for l.parser.NextExpression() {
		n := l.parser.Expression()
		switch n.Kind {
		case unstable.Table:
			table = l.resolve("", n.Key())
		case unstable.ArrayTable:
			table = l.resolve("", n.Key())
			i := l.arrayLengths[table]
			l.arrayLengths[table]++
			l.record(table, l.file.Lines[table])
			table = fmt.Sprintf("%s[%d]", table, i)
			l.record(table, l.keyLine(n.Key()))
		case unstable.KeyValue:
			l.indexKeyValue(table, n)
		}
	}
}

func (l *lineIndexer) indexKeyValue(table string, n *unstable.Node) {
	l.indexValue(l.resolve(table, n.Key()), n.Value(), l.keyLine(n.Key()))
}

// indexValue records the lines of a value and of the values in it. line is the line
// of its key or, in an array, of the element; 0 means the line of v itself.
func (l *lineIndexer) indexValue(path string, v *unstable.Node, line int) {
	if v.Raw.Length > 0 && line == 0 {
		line = l.lineOf(v.Raw)
	}
	l.record(path, line)
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				l.indexKeyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			elementLine := line
			if raw := it.Node().Raw; raw.Length > 0 {
				elementLine = l.lineOf(raw)
			}
			l.indexValue(fmt.Sprintf("%s[%d]", path, i), it.Node(), elementLine)
			i++
		}
	}
}

// resolve appends the parts of a dotted key to path and records the line of each.
// As in TOML, the path of an array of tables refers to its last element so far,
// unless it is the last part of the key.
func (l *lineIndexer) resolve(path string, key unstable.Iterator) string {
	for key.Next() {
		if n := l.arrayLengths[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path = joinPath(path, string(key.Node().Data))
		l.record(path, l.lineOf(key.Node().Raw))
	}
	return path
}

// keyLine returns the line of the last part of a dotted key.
func (l *lineIndexer) keyLine(key unstable.Iterator) int {
	line := 0
	for key.Next() {
		line = l.lineOf(key.Node().Raw)
	}
	return line
}

// record sets the line of a path, unless it was recorded before.
func (l *lineIndexer) record(path string, line int) {
	if _, ok := l.file.Lines[path]; !ok && line > 0 {
		l.file.Lines[path] = line
	}
}

// lineOf returns the line on which r begins.
func (l *lineIndexer) lineOf(r unstable.Range) int {
	i, _ := slices.BinarySearch(l.newlines, int(r.Offset))
	return i + 1
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
