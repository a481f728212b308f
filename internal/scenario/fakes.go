package scenario

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
)

// awaitTimeout bounds each wait for an expected state, such as a counter value. A
// script that reaches it fails.
const (
	awaitTimeout      = 20 * time.Second
	awaitPollInterval = 5 * time.Millisecond
)

// fakeServer is a fake and the HTTP server in front of it.
type fakeServer struct {
	handler http.Handler
	server  *httptest.Server
}

// startFake implements "fake KIND NAME [FIELD=VALUE...]": it starts a fake and sets
// the variable NAME to its URL.
func startFake(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "fake KIND NAME [FIELD=VALUE...]")
	kinds := map[string]http.Handler{
		"engine": &fake.Engine{}, "service": &fake.Service{}, "platform": &fake.Platform{}, "weights": &fake.WeightStore{},
	}
	h, ok := kinds[args[0]]
	if !ok {
		ts.Fatalf("fake %q: kind %q does not exist", args[1], args[0])
	}
	ts.Check(setFields(reflect.ValueOf(h).Elem(), args[2:]))
	st := stateOf(ts)
	if _, ok := st.fakes[args[1]]; ok {
		ts.Fatalf("fake %q already exists", args[1])
	}
	server := httptest.NewServer(h)
	st.fakes[args[1]] = fakeServer{handler: h, server: server}
	ts.Setenv(args[1], server.URL)
}

// findFake returns a fake of the deployment, which may be a group, or one started
// by the command fake.
func findFake(ts *testscript.TestScript, name string) http.Handler {
	if h := stateOf(ts).deployment.fakeByName(name); h != nil {
		return h
	}
	f, ok := stateOf(ts).fakes[name]
	if !ok {
		ts.Fatalf("fake %q does not exist", name)
	}
	return f.handler
}

// fault implements "fault NAME FIELD=VALUE...": it sets the faults of a proxy, of a
// fake or of all fakes in a group.
func fault(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "fault NAME FIELD=VALUE...")
	if p := proxyByName(ts, args[0]); p != nil {
		var err error
		p.UpdateFaults(func(faults *fake.ProxyFaults) { err = setFields(reflect.ValueOf(faults).Elem(), args[1:]) })
		ts.Check(err)
		return
	}
	members := group{findFake(ts, args[0])}
	if g, ok := members[0].(group); ok {
		members = g
	}
	for _, h := range members {
		setFaults(ts, h, args)
	}
}

func setFaults(ts *testscript.TestScript, h http.Handler, args []string) {
	var err error
	switch f := h.(type) {
	case *fake.Engine:
		f.UpdateFaults(func(faults *fake.EngineFaults) { err = setFields(reflect.ValueOf(faults).Elem(), args[1:]) })
	case *fake.Service:
		f.UpdateFaults(func(faults *fake.ServiceFaults) { err = setFields(reflect.ValueOf(faults).Elem(), args[1:]) })
	case *fake.Platform:
		f.UpdateFaults(func(faults *fake.PlatformFaults) { err = setFields(reflect.ValueOf(faults).Elem(), args[1:]) })
	default:
		ts.Fatalf("fake %q has no faults", args[0])
	}
	ts.Check(err)
}

// findEngine returns the fake engine named by the first argument of a command.
func findEngine(ts *testscript.TestScript, neg bool, args []string, usage string) *fake.Engine {
	checkUsage(ts, neg, args, 1, usage)
	e, ok := findFake(ts, args[0]).(*fake.Engine)
	if !ok {
		ts.Fatalf("fake %q is not an engine", args[0])
	}
	return e
}

func crash(ts *testscript.TestScript, neg bool, args []string) {
	findEngine(ts, neg, args, "crash NAME").Crash()
}

func recoverEngine(ts *testscript.TestScript, neg bool, args []string) {
	findEngine(ts, neg, args, "recover NAME").Restart()
}

// count implements "count NAME FIELD=VALUE...": it asserts the counters of a fake;
// "! count" that they differ.
func count(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, false, args, 2, "count NAME FIELD=VALUE...")
	err := checkCounts(findFake(ts, args[0]), args[1:])
	if (err == nil) == neg {
		ts.Fatalf("fake %q: counts match %q: %t, want %t: %v", args[0], args[1:], err == nil, !neg, err)
	}
}

// await implements "await NAME FIELD=VALUE...": it waits until the counters of a
// fake have these values.
func await(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "await NAME FIELD=VALUE...")
	h, end := findFake(ts, args[0]), time.Now().Add(awaitTimeout)
	for {
		err := checkCounts(h, args[1:])
		if err == nil {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("fake %q: %v", args[0], err)
		}
		time.Sleep(awaitPollInterval)
	}
}

// mark implements "mark FAKE FIELD VARIABLE": it sets a variable to the value of a
// fake's counter.
func mark(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 3, "mark FAKE FIELD VARIABLE")
	h := findFake(ts, args[0])
	n, err := countValue(h, reflect.ValueOf(counts(h)), args[1])
	ts.Check(err)
	ts.Setenv(args[2], n)
}

// completion implements "completion NAME TOKENS PROMPT": it sets a variable to the
// text that a fake engine generates for a prompt.
func completion(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 3, "completion NAME TOKENS PROMPT")
	tokens, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Setenv(args[0], fake.Completion(args[2], tokens))
}

// serviceCounts, platformCounts and weightCounts are the counters that scripts can
// assert, besides fake.EngineCounts. Repeated counts the runs of a request body that
// had run before.
type serviceCounts struct{ Runs, Repeated int }

// platformCounts counts orders, targets by state, usage reports and, as Billed, the
// requests in these reports.
type platformCounts struct {
	Orders, Starting, Running, Stopped, DuplicateStarts, UsageReports, ConflictingUsage, Billed int
}

// weightCounts counts the downloads of all models. Peak is the largest number of
// them at the same time.
type weightCounts struct {
	Downloads, Peak int
	Bytes           int64
}

// counts returns the counters of a fake as a struct, which is empty for a fake
// without counters.
func counts(h http.Handler) any {
	switch f := h.(type) {
	case *fake.Engine:
		return f.Counts()
	case *fake.Service:
		runs, repeated := f.Total()
		return serviceCounts{Runs: runs, Repeated: repeated}
	case *fake.Platform:
		return countPlatform(f)
	case group:
		return f.counts()
	case *fake.WeightStore:
		c := f.Counts()
		n := 0
		for _, d := range c.Downloads {
			n += d
		}
		return weightCounts{Downloads: n, Peak: c.Peak, Bytes: c.Bytes}
	}
	return struct{}{}
}

func countPlatform(p *fake.Platform) platformCounts {
	c := platformCounts{
		Orders: len(p.Orders()), DuplicateStarts: p.DuplicateStarts(),
		UsageReports: len(p.UsageReports()), ConflictingUsage: len(p.ConflictingUsage()),
		Billed: billedRequests(p),
	}
	for _, t := range p.Targets() {
		switch t.State {
		case "starting":
			c.Starting++
		case "running":
			c.Running++
		case "stopped":
			c.Stopped++
		}
	}
	return c
}

// checkCounts compares counters with FIELD=VALUE pairs. The field runs:KEY is the
// number of times that the request with this body or request id has run.
func checkCounts(h http.Handler, pairs []string) error {
	all := reflect.ValueOf(counts(h))
	for _, pair := range pairs {
		key, want, ok := strings.Cut(pair, "=")
		if !ok {
			return errors.Errorf("%q is not FIELD=VALUE", pair)
		}
		got, err := countValue(h, all, key)
		if err != nil {
			return err
		}
		if got != want {
			return errors.Errorf("%s is %s, want %s", key, got, want)
		}
	}
	return nil
}

// countValue returns one counter as text. all is the struct of the fake's counters.
func countValue(h http.Handler, all reflect.Value, key string) (string, error) {
	if body, ok := strings.CutPrefix(key, "runs:"); ok {
		if f, ok := h.(interface{ Runs(string) int }); ok {
			return strconv.Itoa(f.Runs(body)), nil
		}
	}
	v := fieldByKebabName(all, key)
	if !v.IsValid() {
		return "", errors.Errorf("count %q does not exist", key)
	}
	return fmt.Sprint(v), nil
}

// fieldByKebabName returns the exported field whose name in kebab case is kebab, or
// the zero Value.
func fieldByKebabName(v reflect.Value, kebab string) reflect.Value {
	name := strings.ReplaceAll(kebab, "-", "")
	f, ok := v.Type().FieldByNameFunc(func(s string) bool { return strings.EqualFold(s, name) })
	if !ok || !f.IsExported() {
		return reflect.Value{}
	}
	return v.FieldByIndex(f.Index)
}

// setFields sets struct fields from FIELD=VALUE pairs.
func setFields(v reflect.Value, pairs []string) error {
	for _, pair := range pairs {
		key, value, ok := strings.Cut(pair, "=")
		f := fieldByKebabName(v, key)
		if !ok || !f.IsValid() {
			return errors.Errorf("%q is not FIELD=VALUE with a field of %s", pair, v.Type())
		}
		if err := parseField(f, value); err != nil {
			return errors.Wrapf(err, "field %q", key)
		}
	}
	return nil
}

// parseField sets the addressable field f to the value of text.
func parseField(f reflect.Value, text string) error {
	var err error
	switch p := f.Addr().Interface().(type) {
	case *bool:
		*p, err = strconv.ParseBool(text)
	case *int:
		*p, err = strconv.Atoi(text)
	case *float64:
		*p, err = strconv.ParseFloat(text, 64)
	case *string:
		*p = text
	case *time.Duration:
		*p, err = time.ParseDuration(text)
	case *fleet.Role:
		for _, r := range []fleet.Role{fleet.Mixed, fleet.Prefill, fleet.Decode} {
			if r.String() == text {
				*p = r
				return nil
			}
		}
		return errors.Errorf("role %q does not exist", text)
	default:
		return errors.Errorf("fields of type %s cannot be set by a script", f.Type())
	}
	return err
}
