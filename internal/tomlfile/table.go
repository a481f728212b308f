package tomlfile

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	minYear = 1970
	maxYear = 2200
)

// Table reads one table of a file. A getter returns the zero value and reports
// a fault if the value has another type or range; a missing key is a fault
// only after Need.
type Table struct {
	Path   string // "" for the top level
	file   *File
	values map[string]any
	line   int
	known  []string
}

// Key returns the path of a key of the table.
func (t *Table) Key(key string) string { return join(t.Path, key) }

// Line returns the line of a key, or of the table if the key is missing.
func (t *Table) Line(key string) int {
	if line, ok := t.file.Lines[t.Key(key)]; ok {
		return line
	}
	return t.line
}

// Fault reports a fault of a key. An empty key means the table itself.
func (t *Table) Fault(key, problem, mend string) {
	path := t.Path
	if key != "" {
		path = t.Key(key)
	}
	t.file.faults = append(t.file.faults, Fault{Key: path, Line: t.Line(key), Problem: problem, Mend: mend})
}

// Has reports whether a key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Need reports a fault for a missing key and returns whether it is present.
func (t *Table) Need(key, mend string) bool {
	t.know(key)
	if t.Has(key) {
		return true
	}
	t.Fault(key, "is missing", mend)
	return false
}

func (t *Table) know(key string) { t.known = append(t.known, key) }

// get returns the value of a key if it has type V.
func get[V any](t *Table, key, want string) (V, bool) {
	t.know(key)
	var none V
	raw, ok := t.values[key]
	if !ok {
		return none, false
	}
	v, ok := raw.(V)
	if !ok {
		t.Fault(key, fmt.Sprintf("has the value %s", shown(raw)), "write "+want)
	}
	return v, ok
}

// shown is a value as a fault cites it.
func shown(v any) string {
	const maxShown = 80
	s := fmt.Sprintf("%v", v)
	if text, ok := v.(string); ok {
		s = fmt.Sprintf("%q", text)
	}
	if len(s) > maxShown {
		s = strings.ToValidUTF8(s[:maxShown], "") + "…"
	}
	return s
}

// String returns a text.
func (t *Table) String(key string) string {
	s, _ := t.Text(key)
	return s
}

// Text returns a text, and false if the key is missing or no text.
func (t *Table) Text(key string) (string, bool) {
	return get[string](t, key, `a text in quotes, such as "klang"`)
}

// Bool returns true or false.
func (t *Table) Bool(key string) bool {
	b, _ := get[bool](t, key, "true or false")
	return b
}

// Int returns a whole number from low to high, or otherwise if the key is
// missing.
func (t *Table) Int(key string, low, high, otherwise int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := get[int64](t, key, want)
	if !ok {
		return otherwise
	}
	if v < low || v > high {
		t.Fault(key, fmt.Sprintf("has the value %d", v), "write "+want)
		return otherwise
	}
	return v
}

// Float returns a number from low to high, or otherwise if the key is missing.
func (t *Table) Float(key string, low, high, otherwise float64) float64 {
	want := fmt.Sprintf("a number from %v to %v", low, high)
	if i, ok := t.values[key].(int64); ok {
		t.know(key)
		return t.floatRange(key, want, float64(i), low, high, otherwise)
	}
	v, ok := get[float64](t, key, want)
	if !ok {
		return otherwise
	}
	return t.floatRange(key, want, v, low, high, otherwise)
}

func (t *Table) floatRange(key, want string, v, low, high, otherwise float64) float64 {
	if math.IsNaN(v) || v < low || v > high {
		t.Fault(key, fmt.Sprintf("has the value %v", v), "write "+want)
		return otherwise
	}
	return v
}

// Duration returns a duration from low to high written as text, such as "1.5s",
// or otherwise if the key is missing.
func (t *Table) Duration(key string, low, high, otherwise time.Duration) time.Duration {
	want := fmt.Sprintf(`a duration from %s to %s in quotes, such as "1.5s"`, low, high)
	s, ok := get[string](t, key, want)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		t.Fault(key, "has the value "+shown(s), "write "+want)
		return otherwise
	}
	return d
}

// Time returns a point in time in UTC between minYear and maxYear, so that
// times derived from it can be written in RFC 3339.
func (t *Table) Time(key string) time.Time {
	const want = "a date and time with an offset, such as 2026-12-05T04:30:00+08:00"
	v, ok := get[time.Time](t, key, want)
	if !ok {
		return time.Time{}
	}
	v = v.UTC()
	if v.Year() < minYear || v.Year() > maxYear {
		t.Fault(key, "has the value "+shown(v), fmt.Sprintf("write a year from %d to %d", minYear, maxYear))
		return time.Time{}
	}
	return v
}

// Choice returns the value named by a text, or otherwise if the key is
// missing.
func Choice[V any](t *Table, key string, otherwise V, choices map[string]V) V {
	names := make([]string, 0, len(choices))
	for name := range choices {
		names = append(names, fmt.Sprintf("%q", name))
	}
	slices.Sort(names)
	want := "one of " + strings.Join(names, ", ")
	s, ok := get[string](t, key, want)
	if !ok {
		return otherwise
	}
	v, ok := choices[s]
	if !ok {
		t.Fault(key, "has the value "+shown(s), "write "+want)
		return otherwise
	}
	return v
}

// Strings returns a list of texts.
func (t *Table) Strings(key string) []string {
	list, _ := get[[]any](t, key, `a list of texts, such as ["klang", "kota-kinabalu"]`)
	var all []string
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.Fault(fmt.Sprintf("%s[%d]", key, i), "has the value "+shown(v), "write a text in quotes")
			continue
		}
		all = append(all, s)
	}
	return all
}

// AddrPort returns an IP address with a port.
func (t *Table) AddrPort(key string) netip.AddrPort {
	const want = `an IP address and a port, such as "127.0.0.1:7100" or "[::1]:7100"`
	s, ok := get[string](t, key, want)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		t.Fault(key, "has the value "+shown(s), "write "+want)
		return netip.AddrPort{}
	}
	return a
}

// Sub returns the table at key, and false if it is missing.
func (t *Table) Sub(key string) (*Table, bool) {
	v, ok := get[map[string]any](t, key, fmt.Sprintf("a table [%s]", t.Key(key)))
	return &Table{Path: t.Key(key), file: t.file, values: v, line: t.Line(key)}, ok
}

// Subs returns the tables of the array at key.
func (t *Table) Subs(key string) []*Table {
	want := fmt.Sprintf("tables [[%s]]", t.Key(key))
	list, _ := get[[]any](t, key, want)
	var all []*Table
	for i, v := range list {
		at := fmt.Sprintf("%s[%d]", key, i)
		values, ok := v.(map[string]any)
		if !ok {
			t.Fault(at, "has the value "+shown(v), "write "+want)
			continue
		}
		all = append(all, &Table{Path: t.Key(at), file: t.file, values: values, line: t.Line(at)})
	}
	return all
}

// Names returns the keys of a table whose keys are names, in order, and makes
// them known.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.values))
	for name := range t.values {
		names = append(names, name)
	}
	slices.Sort(names)
	t.known = append(t.known, names...)
	return names
}

// Close reports the keys that were not asked for.
func (t *Table) Close() {
	for key := range t.values {
		if slices.Contains(t.known, key) {
			continue
		}
		t.Fault(key, "is not a known key", t.suggest(key))
	}
}

// suggest names the most similar known key.
func (t *Table) suggest(key string) string {
	slices.Sort(t.known)
	known := slices.Compact(t.known)
	for _, k := range known {
		if near(key, k) {
			return fmt.Sprintf("write %q or remove it", k)
		}
	}
	return "remove it; known keys are " + strings.Join(known, ", ")
}

// near reports whether two keys differ in case, in the kind of dash or by one
// letter.
func near(a, b string) bool {
	fold := func(s string) string { return strings.ToLower(strings.ReplaceAll(s, "_", "-")) }
	a, b = fold(a), fold(b)
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(b)-len(a) > 1 {
		return false
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	return a[i:] == b[i:] || a[i:] == b[min(i+1, len(b)):] || (len(a) == len(b) && a[min(i+1, len(a)):] == b[min(i+1, len(b)):])
}
