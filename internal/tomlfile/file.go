package tomlfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// MaxBytes bounds a file. A questionnaire with 11,000 customers is below 1 MiB.
const MaxBytes = 4 << 20

// File is a parsed file.
type File struct {
	Lines  map[string]int // line of each key
	root   map[string]any
	faults Faults
}

// Parse reads text. A file that is not TOML has one fault and no keys.
func Parse(text []byte) *File {
	f := &File{Lines: make(map[string]int), root: make(map[string]any)}
	if len(text) > MaxBytes {
		f.faults = Faults{{Line: 1, Problem: fmt.Sprintf("the file has %d bytes", len(text)), Mend: fmt.Sprintf("keep it below %d bytes", MaxBytes)}}
		return f
	}
	if err := toml.Unmarshal(text, &f.root); err != nil {
		f.root = make(map[string]any)
		f.faults = Faults{syntaxFault(err)}
		return f
	}
	l := &liner{file: f, lengths: make(map[string]int)}
	l.index(text)
	return f
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Problem: strings.TrimPrefix(err.Error(), "toml: "), Mend: "write valid TOML"}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, column := d.Position()
		fault.Line = max(row, 1)
		fault.Key = strings.Join(d.Key(), ".")
		fault.Problem += fmt.Sprintf(" (column %d)", column)
	}
	return fault
}

// Root returns the top-level table.
func (f *File) Root() *Table {
	return &Table{file: f, values: f.root, line: 1}
}

// Faults returns all faults so far by line; nil if there are none.
func (f *File) Faults() Faults {
	f.faults.sort()
	return f.faults
}

// liner finds the line of each key.
type liner struct {
	file    *File
	parser  unstable.Parser
	breaks  []int          // offsets of line breaks
	lengths map[string]int // elements of each array of tables
}

func (l *liner) index(text []byte) {
	for i, b := range text {
		if b == '\n' {
			l.breaks = append(l.breaks, i)
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
			i := l.lengths[table]
			l.lengths[table]++
			l.note(table, l.file.Lines[table])
			table = fmt.Sprintf("%s[%d]", table, i)
			l.note(table, l.keyLine(n.Key()))
		case unstable.KeyValue:
			l.keyValue(table, n)
		}
	}
}

func (l *liner) keyValue(table string, n *unstable.Node) {
	l.value(l.resolve(table, n.Key()), n.Value(), l.keyLine(n.Key()))
}

func (l *liner) value(path string, v *unstable.Node, line int) {
	if v.Raw.Length > 0 && line == 0 {
		line = l.line(v.Raw)
	}
	l.note(path, line)
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				l.keyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			own := line
			if raw := it.Node().Raw; raw.Length > 0 {
				own = l.line(raw)
			}
			l.value(fmt.Sprintf("%s[%d]", path, i), it.Node(), own)
			i++
		}
	}
}

// resolve joins a key to a path. A part that names an array of tables means
// its last element, except as the last part.
func (l *liner) resolve(path string, key unstable.Iterator) string {
	for key.Next() {
		if n := l.lengths[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path = join(path, string(key.Node().Data))
		l.note(path, l.line(key.Node().Raw))
	}
	return path
}

func (l *liner) keyLine(key unstable.Iterator) int {
	line := 0
	for key.Next() {
		line = l.line(key.Node().Raw)
	}
	return line
}

// note keeps the first line of a path.
func (l *liner) note(path string, line int) {
	if _, ok := l.file.Lines[path]; !ok && line > 0 {
		l.file.Lines[path] = line
	}
}

func (l *liner) line(r unstable.Range) int {
	i, _ := slices.BinarySearch(l.breaks, int(r.Offset))
	return i + 1
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
