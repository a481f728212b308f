package command

import (
	"encoding/json"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/state"
	"papayarock/io/agent"
	"papayarock/io/answers"
	"papayarock/io/controller"
	"papayarock/io/entry"
	"papayarock/io/gateway"
	"papayarock/io/operator"
	"papayarock/io/registry"
	"papayarock/io/replica"
	"papayarock/io/serving"
	"papayarock/io/subscribe"
)

// filler sets every field that encoding/json writes to a non-zero value, so that
// omitempty leaves out no field.
type filler struct {
	t        *testing.T
	label    string
	concrete map[string]any  // for fields of interface type: a value of the concrete type, by the path of the field
	used     map[string]bool // paths of concrete that fill has looked up
}

// fill sets v to a non-zero value. The path consists of the Go names of the fields
// that lead to v. A map gets the key "*".
func (f *filler) fill(path string, v reflect.Value) {
	switch p := v.Addr().Interface().(type) {
	case *time.Time:
		*p = time.Unix(1, 0).UTC()
		return
	case *netip.AddrPort:
		*p = netip.MustParseAddrPort("127.0.0.1:1")
		return
	case *json.RawMessage:
		*p = json.RawMessage("1")
		return
	case json.Unmarshaler:
		f.t.Fatalf("%s %s: fill has no sample value for type %s", f.label, path, v.Type())
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("*")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(path, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(path, v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(path, v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(path, key)
		f.fill(path+".*", value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Interface:
		concrete, ok := f.concrete[path]
		if !ok {
			f.t.Fatalf("%s %s: no concrete type is listed for the interface %s", f.label, path, v.Type())
		}
		f.used[path] = true
		value := reflect.New(reflect.TypeOf(concrete)).Elem()
		f.fill(path, value)
		v.Set(value)
	case reflect.Struct:
		f.fields(path, v)
	default:
		f.t.Fatalf("%s %s: fill has no sample value for type %s", f.label, path, v.Type())
	}
}

// fields fills the fields of a struct that encoding/json writes.
func (f *filler) fields(path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch tag := field.Tag.Get("json"); {
		case field.Anonymous && tag == "":
			f.fill(path, v.Field(i))
		case !field.IsExported() || tag == "-":
		default:
			f.fill(strings.TrimPrefix(path+"."+field.Name, "."), v.Field(i))
		}
	}
}

// jsonKeys returns a line "LABEL PATH" for each JSON key in the encoding of v's
// type. PATH contains the keys down to it, separated by dots; the elements of an
// array have the path of the array.
func jsonKeys(t *testing.T, label string, v any, concrete map[string]any) []string {
	t.Helper()
	f := &filler{t: t, label: label, concrete: concrete, used: make(map[string]bool)}
	full := reflect.New(reflect.TypeOf(v)).Elem()
	f.fill("", full)
	if len(f.used) != len(concrete) {
		t.Fatalf("%s: concrete types are listed for %v, but needed for %v", label, slices.Sorted(maps.Keys(concrete)), slices.Sorted(maps.Keys(f.used)))
	}
	text, err := json.Marshal(full.Interface())
	if err != nil {
		t.Fatal(err)
	}
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		t.Fatal(err)
	}
	return jsonPaths(label+" ", tree)
}

// jsonPaths returns the sorted paths of all keys below tree, with a prefix.
func jsonPaths(prefix string, tree any) []string {
	var lines []string
	switch tree := tree.(type) {
	case []any:
		for _, v := range tree {
			lines = append(lines, jsonPaths(prefix, v)...)
		}
	case map[string]any:
		for k, v := range tree {
			lines = append(lines, prefix+k)
			lines = append(lines, jsonPaths(prefix+k+".", v)...)
		}
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}

// compareWithGolden compares lines with a sorted file in testdata and reports those
// that differ. The file is edited by hand for an intended change.
func compareWithGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	slices.Sort(lines)
	for _, l := range want {
		if !slices.Contains(lines, l) {
			t.Errorf("%s: missing %q", path, l)
		}
	}
	for _, l := range lines {
		if !slices.Contains(want, l) {
			t.Errorf("%s: not expected %q", path, l)
		}
	}
	if !t.Failed() && !slices.Equal(lines, want) {
		t.Errorf("%s: lines are repeated or not sorted", path)
	}
}

// Guards against a renamed field of a state dump. Its JSON keys are mostly the Go
// names, so a rename would break programs of operators that read them.
func TestDumpNames(t *testing.T) {
	tests := map[string]struct {
		dump     any
		concrete map[string]any // concrete values of fields of type any, by Go path
	}{
		"io/controller.Dump": {controller.Dump{}, map[string]any{"Log": replica.Dump{}, "State": state.Dump{}}},
		"core/state.Dump":    {dump: state.Dump{}},
		"io/agent.Dump":      {dump: agent.Dump{}},
		"io/entry.Dump":      {dump: entry.Dump{}},
		"io/serving.Dump":    {dump: serving.Dump{}},
		"io/gateway.Dump":    {dump: gateway.Dump{}},
		"io/registry.Dump":   {registry.Dump{}, map[string]any{"Log": replica.Dump{}}},
		"io/replica.Dump":    {dump: replica.Dump{}},
		"io/subscribe.Dump":  {dump: subscribe.Dump{}},
	}
	var lines []string
	for name, tt := range tests {
		lines = append(lines, jsonKeys(t, name, tt.dump, tt.concrete)...)
	}
	compareWithGolden(t, "dump-names.txt", lines)
}

// Guards against a renamed field in the JSON that commands write, that control and
// its clients exchange, or that a command stores for its next run. A rename would
// break programs of operators, and clients and replicas of different builds. The
// names in the table are those in the golden file; they need not follow a renamed
// Go type.
func TestOutputNames(t *testing.T) {
	tests := map[string]struct{ value any }{
		"internal/command.Result":        {AcceptedChange{}},
		"internal/command.IssuedKey":     {IssuedKey{}},
		"internal/command.Applied":       {AppliedAnswers{}},
		"internal/command.DocumentCheck": {DocumentCheck{}},
		"internal/command.Issued":        {IssuedCertificate{}},
		"internal/command.ReplicaStatus": {[]ReplicaStatus{}},
		"internal/command.pending":       {pending{}},
		"io/answers.Change":              {[]answers.Change{}},
		"io/operator.Change":             {operator.Change{}},
		"io/operator.ChangeAnswer":       {operator.ChangeResult{}},
		"io/operator.Progress":           {operator.Progress{}},
		"io/operator.Configuration":      {operator.Configuration{}},
		"io/operator.HostChange":         {operator.MemberChange{}},
		"io/operator.HostAnswer":         {operator.MemberChangeResult{}},
		"io/operator.Status":             {operator.Status{}},
		"io/operator.Plan":               {operator.Plan{}},
		"io/operator.Problem":            {operator.Problem{}},
		"io/operator.List of Target":     {operator.List[operator.Target]{}},
		"io/operator.List of Key":        {operator.List[operator.Key]{}},
		"io/operator.List of Usage":      {operator.List[operator.Usage]{}},
		"io/operator.List of Order":      {operator.List[operator.Order]{}},
		"io/operator.List of Audit":      {operator.List[operator.AuditEntry]{}},
		"io/operator.List of Host":       {operator.List[operator.Host]{}},
		"io/operator.List of Revocation": {operator.List[operator.Revocation]{}},
	}
	var lines []string
	for name, tt := range tests {
		lines = append(lines, jsonKeys(t, name, tt.value, nil)...)
	}
	compareWithGolden(t, "output-names.txt", lines)
}

// Guards against a stored change that the next build cannot read: answers with an
// unknown outcome would be submitted again as another change.
func TestPendingFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "answers.toml")
	p := pending{ID: "answers-1", Base: 7, Digest: "d1"}
	is.NoErr(p.write(path))
	text, err := os.ReadFile(path + ".change")
	is.NoErr(err)
	is.Equal(string(text), `{"id":"answers-1","base":7,"digest":"d1"}`)
	stored, ok := readPending(path)
	is.True(ok)
	is.Equal(stored, p)
}
