package tomlfile_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/internal/tomlfile"
)

// Reads the keys of a file that the program knows, and prints all faults.
func ExampleParse() {
	f := tomlfile.Parse([]byte(`team = 3
[[customer]]
name = "klang"
wieght = 2
[[customer]]
weight = 0
inline = {a = 1}
`))
	root := f.Root()
	root.String("team")
	for _, c := range root.Subtables("customer") {
		c.Require("name", "name the customer")
		c.Int("weight", 1, 1000, 1)
		c.ReportUnknownKeys()
	}
	root.ReportUnknownKeys()
	for _, fault := range f.Faults() {
		fmt.Println(fault)
	}
	// Output:
	// line 1: team: has the value 3; write a text in quotes, such as "klang"
	// line 4: customer[0].wieght: is not a known key; remove it; known keys are name, weight
	// line 5: customer[1].name: is missing; name the customer
	// line 6: customer[1].weight: has the value 0; write a whole number from 1 to 1000
	// line 7: customer[1].inline: is not a known key; remove it; known keys are name, weight
}

// Guards against wrong lines in faults: the line of a key in nested arrays, inline
// tables and arrays of tables is derived from its path.
func TestLines(t *testing.T) {
	is := is.New(t)
	f := tomlfile.Parse([]byte(`a.b = 1
list = [
  1,
  # two
  2,
  {x = 1,
   y = 2},
]
[t.u]
"quoted key" = true
[[t.v]]
[[t.v]]
w = {z = 3}
[[t.v.deep]]
k = 1
[t.v.table]
m = 2
`))
	is.Equal(len(f.Faults()), 0)
	want := map[string]int{
		"a.b": 1, "list": 2, "list[0]": 3, "list[1]": 5, "list[2]": 6, "list[2].y": 7, "t.u": 9, "t.u.quoted key": 10,
		"t.v[0]": 11, "t.v[1]": 12, "t.v[1].w.z": 13, "t.v[1].deep[0].k": 15, "t.v[1].table.m": 17,
	}
	for path, line := range want {
		if f.Lines[path] != line {
			t.Errorf("%s: line %d, want %d", path, f.Lines[path], line)
		}
	}
}

// Guards against a getter that accepts a value of the wrong type or out of range,
// or panics on one.
func TestFaultOfEachType(t *testing.T) {
	getters := map[string]func(t *tomlfile.Table){
		"text":     func(t *tomlfile.Table) { t.String("k") },
		"bool":     func(t *tomlfile.Table) { t.Bool("k") },
		"int":      func(t *tomlfile.Table) { t.Int("k", 1, 2, 1) },
		"float":    func(t *tomlfile.Table) { t.Float("k", 0, 1, 1) },
		"duration": func(t *tomlfile.Table) { t.Duration("k", 0, time.Hour, 0) },
		"time":     func(t *tomlfile.Table) { t.Time("k") },
		"choice":   func(t *tomlfile.Table) { tomlfile.Choice(t, "k", 1, map[string]int{"a": 1}) },
		"list":     func(t *tomlfile.Table) { t.Strings("k") },
		"address":  func(t *tomlfile.Table) { t.AddrPort("k") },
		"table":    func(t *tomlfile.Table) { t.Subtable("k") },
		"tables":   func(t *tomlfile.Table) { t.Subtables("k") },
	}
	for name, get := range getters {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			values := []string{"[3]", "nan", "-4", "2026-01-01"}
			if name != "text" {
				values = append(values, `"b"`)
			}
			for _, v := range values {
				file := tomlfile.Parse([]byte("\nk = " + v))
				get(file.Root())
				is.Equal(len(file.Faults()), 1)
				is.Equal(file.Faults()[0].Line, 2)
			}
			get(tomlfile.Parse(nil).Root()) // must not panic for a missing key
		})
	}
}

// Guards against a syntax error whose fault has the wrong line, or that causes a
// panic.
func TestSyntaxFault(t *testing.T) {
	for name, text := range map[string]string{"unterminated string": "a = 1\nb = \"x\n", "duplicate key": "a = 1\na = 2", "missing value": "\na ="} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faults := tomlfile.Parse([]byte(text)).Faults()
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Line, 2)
		})
	}
}

// Guards against input that causes a panic, and against faults with a line outside
// the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("a = [{b = 1}, {c.d = 2}]\n[[x]]\n[x.y]\nz = 1979-05-27"))
	f.Add([]byte("a.\"b.c\" = '''\n'''\n[\"\"]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file := tomlfile.Parse(text)
		root := file.Root()
		root.ReportUnknownKeys()
		for _, fault := range file.Faults() {
			if fault.Line < 1 || fault.Line > len(text)+1 {
				t.Fatalf("%+v", fault)
			}
		}
	})
}
