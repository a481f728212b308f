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

// Table gives access to a table of a file. Its getters mark their key as known.
// For a value of the wrong type or out of range they report a fault and return
// the fallback, or the zero value if the getter has none. A missing key is
// reported only by Require.
type Table struct {
	Path   string // "" for the top level
	file   *File
	values map[string]any
	line   int      // of the table itself
	known  []string // keys that ReportUnknownKeys does not report
}

// KeyPath returns the path of a key of the table from the top level.
func (t *Table) KeyPath(key string) string { return joinPath(t.Path, key) }

// Line returns the line of a key, or of the table if the key is missing.
func (t *Table) Line(key string) int {
	if line, ok := t.file.Lines[t.KeyPath(key)]; ok {
		return line
	}
	return t.line
}

// AddFault reports a fault of a key, or of the table itself if key is empty. fix
// says how to fix it; it may be empty.
func (t *Table) AddFault(key, problem, fix string) {
	path := t.Path
	if key != "" {
		path = t.KeyPath(key)
	}
	t.file.faults = append(t.file.faults, Fault{Key: path, Line: t.Line(key), Problem: problem, Fix: fix})
}

// Has reports whether a key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Require marks a key as known. If the key is missing, Require reports a fault and
// returns false.
func (t *Table) Require(key, fix string) bool {
	t.markKnown(key)
	if t.Has(key) {
		return true
	}
	t.AddFault(key, "is missing", fix)
	return false
}

func (t *Table) markKnown(key string) { t.known = append(t.known, key) }

// get returns the value of a key. It returns false if the key is missing or the
// value does not have type V. In the latter case it also reports a fault, whose
// advice is to write what want describes.
func get[V any](t *Table, key, want string) (V, bool) {
	t.markKnown(key)
	var zero V
	raw, ok := t.values[key]
	if !ok {
		return zero, false
	}
	v, ok := raw.(V)
	if !ok {
		t.AddFault(key, fmt.Sprintf("has the value %s", formatValue(raw)), "write "+want)
	}
	return v, ok
}

// formatValue formats a value for Fault.Problem and truncates it to maxBytes.
func formatValue(v any) string {
	const maxBytes = 80
	s := fmt.Sprintf("%v", v)
	if text, ok := v.(string); ok {
		s = fmt.Sprintf("%q", text)
	}
	if len(s) > maxBytes {
		s = strings.ToValidUTF8(s[:maxBytes], "") + "…"
	}
	return s
}

// String returns the string at key.
func (t *Table) String(key string) string {
	s, _ := t.LookupString(key)
	return s
}

// LookupString returns the string at key. It returns false if the key is missing or
// its value is not a string.
func (t *Table) LookupString(key string) (string, bool) {
	return get[string](t, key, `a text in quotes, such as "klang"`)
}

// Bool returns the Boolean at key.
func (t *Table) Bool(key string) bool {
	b, _ := get[bool](t, key, "true or false")
	return b
}

// Int returns the integer at key, which must be from low to high. It returns
// fallback if the key is missing or its value is invalid.
func (t *Table) Int(key string, low, high, fallback int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := get[int64](t, key, want)
	if !ok {
		return fallback
	}
	if v < low || v > high {
		t.AddFault(key, fmt.Sprintf("has the value %d", v), "write "+want)
		return fallback
	}
	return v
}

// Float returns the number at key, which must be from low to high. It returns
// fallback if the key is missing or its value is invalid.
func (t *Table) Float(key string, low, high, fallback float64) float64 {
	want := fmt.Sprintf("a number from %v to %v", low, high)
	if i, ok := t.values[key].(int64); ok {
		t.markKnown(key)
		return t.checkFloat(key, want, float64(i), low, high, fallback)
	}
	v, ok := get[float64](t, key, want)
	if !ok {
		return fallback
	}
	return t.checkFloat(key, want, v, low, high, fallback)
}

func (t *Table) checkFloat(key, want string, v, low, high, fallback float64) float64 {
	if math.IsNaN(v) || v < low || v > high {
		t.AddFault(key, fmt.Sprintf("has the value %v", v), "write "+want)
		return fallback
	}
	return v
}

// Duration returns the duration at key, a string such as "1.5s", which must be from
// low to high. It returns fallback if the key is missing or its value is invalid.
func (t *Table) Duration(key string, low, high, fallback time.Duration) time.Duration {
	want := fmt.Sprintf(`a duration from %s to %s in quotes, such as "1.5s"`, low, high)
	s, ok := get[string](t, key, want)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		t.AddFault(key, "has the value "+formatValue(s), "write "+want)
		return fallback
	}
	return d
}

// Time returns the time at key in UTC. Its year must be from minYear to maxYear, so
// that times derived from it can be written in RFC 3339.
func (t *Table) Time(key string) time.Time {
	const want = "a date and time with an offset, such as 2026-12-05T04:30:00+08:00"
	v, ok := get[time.Time](t, key, want)
	if !ok {
		return time.Time{}
	}
	v = v.UTC()
	if v.Year() < minYear || v.Year() > maxYear {
		t.AddFault(key, "has the value "+formatValue(v), fmt.Sprintf("write a year from %d to %d", minYear, maxYear))
		return time.Time{}
	}
	return v
}

// Choice reads the string at key and returns its value in choices. It returns
// fallback if the key is missing or its value is not a key of choices.
func Choice[V any](t *Table, key string, fallback V, choices map[string]V) V {
	names := make([]string, 0, len(choices))
	for name := range choices {
		names = append(names, fmt.Sprintf("%q", name))
	}
	slices.Sort(names)
	want := "one of " + strings.Join(names, ", ")
	s, ok := get[string](t, key, want)
	if !ok {
		return fallback
	}
	v, ok := choices[s]
	if !ok {
		t.AddFault(key, "has the value "+formatValue(s), "write "+want)
		return fallback
	}
	return v
}

// Strings returns the strings of the array at key. Elements of other types are
// reported as faults and left out.
func (t *Table) Strings(key string) []string {
	list, _ := get[[]any](t, key, `a list of texts, such as ["klang", "kota-kinabalu"]`)
	var all []string
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.AddFault(fmt.Sprintf("%s[%d]", key, i), "has the value "+formatValue(v), "write a text in quotes")
			continue
		}
		all = append(all, s)
	}
	return all
}

// AddrPort returns the IP address and port at key.
func (t *Table) AddrPort(key string) netip.AddrPort {
	const want = `an IP address and a port, such as "127.0.0.1:7100" or "[::1]:7100"`
	s, ok := get[string](t, key, want)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		t.AddFault(key, "has the value "+formatValue(s), "write "+want)
		return netip.AddrPort{}
	}
	return a
}

// Subtable returns the table at key. If the key is missing or its value is not a
// table, Subtable returns an empty table and false.
func (t *Table) Subtable(key string) (*Table, bool) {
	v, ok := get[map[string]any](t, key, fmt.Sprintf("a table [%s]", t.KeyPath(key)))
	return &Table{Path: t.KeyPath(key), file: t.file, values: v, line: t.Line(key)}, ok
}

// Subtables returns the elements of the array of tables at key. Elements that are
// not tables are reported as faults and left out.
func (t *Table) Subtables(key string) []*Table {
	want := fmt.Sprintf("tables [[%s]]", t.KeyPath(key))
	list, _ := get[[]any](t, key, want)
	var all []*Table
	for i, v := range list {
		element := fmt.Sprintf("%s[%d]", key, i)
		values, ok := v.(map[string]any)
		if !ok {
			t.AddFault(element, "has the value "+formatValue(v), "write "+want)
			continue
		}
		all = append(all, &Table{Path: t.KeyPath(element), file: t.file, values: values, line: t.Line(element)})
	}
	return all
}

// AllKeys returns all keys of the table in sorted order and marks them as known.
// Use it for tables whose keys are names that the author of the file chooses.
func (t *Table) AllKeys() []string {
	names := make([]string, 0, len(t.values))
	for name := range t.values {
		names = append(names, name)
	}
	slices.Sort(names)
	t.known = append(t.known, names...)
	return names
}

// ReportUnknownKeys reports a fault for each key that no call has marked as known.
func (t *Table) ReportUnknownKeys() {
	for key := range t.values {
		if slices.Contains(t.known, key) {
			continue
		}
		t.AddFault(key, "is not a known key", t.suggest(key))
	}
}

// suggest returns the fix for an unknown key. It names a similar known key if there
// is one, otherwise all known keys.
func (t *Table) suggest(key string) string {
	slices.Sort(t.known)
	known := slices.Compact(t.known)
	for _, k := range known {
		if similar(key, k) {
			return fmt.Sprintf("write %q or remove it", k)
		}
	}
	return "remove it; known keys are " + strings.Join(known, ", ")
}

// similar reports whether two keys differ by at most one inserted, omitted or
// replaced byte. It ignores case and takes "_" for "-".
func similar(a, b string) bool {
	normalise := func(s string) string { return strings.ToLower(strings.ReplaceAll(s, "_", "-")) }
	a, b = normalise(a), normalise(b)
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
