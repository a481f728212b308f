package answers_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/examples"
	"papayarock/io/answers"
)

func questionnaires() map[string][]byte {
	return map[string][]byte{"template": answers.Template, "terengganu": examples.Terengganu, "association": examples.Association}
}

func mustCheck(t *testing.T, text string) answers.Answers {
	t.Helper()
	a, faults := answers.Check([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return a
}

// Guards against faults in the template and the example questionnaires, and against
// generated TOML that differs from the generated document when it is read back.
func TestGenerateReadsBack(t *testing.T) {
	for name, text := range questionnaires() {
		t.Run(name, func(t *testing.T) {
			g := answers.Generate(mustCheck(t, string(text)))
			d, faults := answers.ParseDocument(g.TOML)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			if !reflect.DeepEqual(d, g.Document) {
				t.Errorf("read back %+v, want %+v", d, g.Document)
			}
			d, faults = answers.ParseDocument(answers.EncodeDocument(g.Document))
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			if !reflect.DeepEqual(d, g.Document) {
				t.Errorf("wrote %+v, want %+v", d, g.Document)
			}
		})
	}
}

// Guards against an EncodeDocument whose TOML for the empty configuration, with which a
// new Raft group starts, cannot be read back.
func TestWriteEmptyDocument(t *testing.T) {
	is := is.New(t)
	d, faults := answers.ParseDocument(answers.EncodeDocument(config.Document{}))
	is.Equal(len(faults), 0)
	is.Equal(len(answers.Diff(config.Document{}, d)), 0)
}

// Guards against example questionnaires whose numbers of data centres, customers or
// targets differ from those of the deployments that they describe.
func TestExampleSizes(t *testing.T) {
	tests := map[string]struct {
		text              []byte
		language, service int
		pool              string
	}{
		"terengganu":  {examples.Terengganu, 8, 3, "repair-log"},
		"association": {examples.Association, 6, 3, "booking"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := mustCheck(t, string(tt.text))
			is.Equal(len(a.DataCentres), 3)
			is.Equal(len(a.Customers), 8)
			is.Equal(a.Pools[0].Total(), tt.language)
			is.Equal(a.Pools[1].Name, tt.pool)
			is.Equal(a.Pools[1].Total(), tt.service)
		})
	}
}

// Guards against a value in the generated TOML whose comment is missing or names a wrong
// source.
func TestGenerateNamesSources(t *testing.T) {
	g := answers.Generate(mustCheck(t, string(examples.Terengganu)))
	text := string(g.TOML)
	for _, want := range []string{
		"weight = 4 # customer[0].weight, line 19\n",
		"weight = 1 # default\n",
		"safe-reads = true # work[4].idempotent, line ",
		"minimum = 3 # pool[1].targets, line ",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
	for line := range strings.Lines(text) {
		if strings.Contains(line, " = ") && !strings.Contains(line, " # ") {
			t.Errorf("no source: %s", line)
		}
	}
}

// Guards against occurrences of a window with wrong names or times, and against routes
// or pool minimums that differ from the answers.
func TestGenerateDocument(t *testing.T) {
	is := is.New(t)
	d := answers.Generate(mustCheck(t, string(examples.Terengganu))).Document
	is.Equal(len(d.Windows), 58)
	is.Equal(d.Windows[57].Name, "low tide 58")
	is.Equal(d.Windows[57].Opens.Sub(d.Windows[0].Opens), 57*(12*time.Hour+25*time.Minute))
	is.Equal(d.Windows[57].Closes.Sub(d.Windows[57].Opens), 2*time.Hour+15*time.Minute)
	orders, log := d.Routes[3], d.Routes[4]
	is.Equal([]bool{orders.Idempotent, orders.SafeReads}, []bool{false, false})
	is.Equal([]bool{log.Idempotent, log.SafeReads}, []bool{false, true})
	is.Equal(d.Routes[0].Class, fleet.Urgent)
	is.Equal(d.Routes[0].Protocol, config.Language)
	is.Equal(d.Budget.MinimumPerPool["repair-log"], 3)
}

// Guards against a fault that Check does not report, or reports for a wrong key or
// without a line or fix.
func TestCheckFaults(t *testing.T) {
	valid := string(examples.Association)
	tests := map[string]struct{ old, replacement, key, problem string }{
		"not TOML":                      {`team = "N`, `team = N`, "", "expected"},
		"unknown key":                   {`application = `, `application-name = `, "application-name", "not a known key"},
		"missing team":                  {`team = "Northeastern Brazilian association of roof snow removers"`, ``, "team", "missing"},
		"duplicate customer":            {`name = "olinda"`, `name = "caruaru"`, "customer[4].name", "used twice"},
		"customer name":                 {`name = "olinda"`, "name = \"olinda\\r\\nx\"", "customer[3].name", "has the value"},
		"weight":                        {`weight = 4`, `weight = 0`, "customer[0].weight", "has the value 0"},
		"callers":                       {`callers = ["salvador"]`, `callers = ["belem"]`, "customer[2].callers[0]", "no data centre"},
		"unknown data centre":           {`{recife = 1,`, `{belem = 1,`, "pool[1].targets.belem", "no data centre"},
		"unknown pool":                  {`pool = "booking"`, `pool = "bookings"`, "work[2].pool", "no pool is named"},
		"unknown model":                 {`model = "roof-safety"`, `model = "roof"`, "pool[0].model", "no model is named"},
		"missing idempotent":            {`idempotent = "never"`, ``, "work[2].idempotent", "missing"},
		"open but not idempotent":       {`idempotent = "never"`, "idempotent = \"never\"\nopen = true", "work[2].open", "open work has no customer"},
		"first token after promise":     {`first-token = "1s"`, `first-token = "6s"`, "work[0].first-token", "longer than promise"},
		"duplicate path":                {`path = "/schedule"`, `path = "/bookings"`, "work[3].path", "used twice"},
		"invalid path":                  {`path = "/schedule"`, `path = "schedule/"`, "work[3].path", "has the value"},
		"window closes before it opens": {`2026-09-01`, `2026-05-01`, "window[0].closes", "not after"},
		"overlapping occurrences":       {`reserved = 0.4`, "reserved = 0.4\nevery = \"1h\"\ntimes = 9", "window[0].every", "before it closes"},
		"occurrence of two windows": {"[[window]]\n", "[[window]]\nname = \"storm\"\nopens = 2026-06-01T00:00:00Z\ncloses = 2026-06-02T00:00:00Z\nreserved = 0\nevery = \"48h\"\ntimes = 2\n" +
			"[[window]]\nname = \"storm 2\"\nopens = 2026-06-01T00:00:00Z\ncloses = 2026-06-02T00:00:00Z\nreserved = 0\n[[window]]\n", "window[1].name", "same name as an occurrence of window"},
		"over the cap":     {`hourly-cap = 22.0`, `hourly-cap = 9.0`, "spending.hourly-cap", "more than the cap"},
		"too many targets": {`most = 6`, `most = 5`, "pool[0].most", "at most 5"},
		"unused pool":      {`name = "language"`, "name = \"idle\"\nkind = \"service\"\ntargets = {}\n[[pool]]\nname = \"language\"", "pool[0].name", "no work uses"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, tt.old, tt.replacement, 1)
			is.True(text != valid)
			_, faults := answers.Check([]byte(text))
			if len(faults) != 1 {
				t.Fatalf("%d faults:\n%v", len(faults), faults)
			}
			is.Equal(faults[0].Key, tt.key)
			is.True(strings.Contains(faults[0].Problem, tt.problem))
			is.True(faults[0].Fix != "")
			is.True(faults[0].Line >= 1)
		})
	}
}

// Guards against a Check that returns the first fault only.
func TestCheckListsAll(t *testing.T) {
	is := is.New(t)
	_, faults := answers.Check([]byte("team = 1\n[[customer]]\nweight = 0\n[[work]]\nname = \"a\"\n"))
	keys := make([]string, 0, len(faults))
	for _, f := range faults {
		keys = append(keys, fmt.Sprintf("%d %s", f.Line, f.Key))
	}
	is.Equal(strings.Join(keys, ", "), "1 data-centre, 1 pool, 1 spending, 1 team, 2 customer[0].name, "+
		"3 customer[0].weight, 4 work[0].idempotent, 4 work[0].path, 4 work[0].pool, 4 work[0].promise, 4 work[0].urgency")
}

// Guards against a configuration that removes a customer, an open route or the last
// targets of a route without confirmation, and against changes that need no
// confirmation but ask for it.
func TestDiffConfirm(t *testing.T) {
	valid := string(examples.Terengganu)
	tests := map[string]struct{ old, replacement, change, confirm string }{
		"customer removed": {"[[customer]]\nname = \"setiu\"\ntokens-per-second = 2000\ncallers = [\"kuala-terengganu\"]\n", "",
			`customer "setiu"  present>`, "removes a served customer"},
		"customer renamed":        {`name = "setiu"`, `name = "setiu-2"`, `customer "setiu"  present>`, "removes a served customer"},
		"open route requires key": {"open = true", "open = false", `route "tide-table" open true>false`, "removes an open route"},
		"open route removed": {"[[work]]\nname = \"tide-table\"\npath = \"/tides\"\npool = \"repair-log\"\nurgency = \"patient\"\npromise = \"20s\"\nidempotent = \"always\"\nopen = true\n", "",
			`route "tide-table"  present>`, "removes an open route"},
		"route prefix changed": {`path = "/log"`, `path = "/logs"`, `route "repair-log" prefix /log>/logs`, "lose this route"},
		"last targets removed": {"targets = {kuala-terengganu = 1, klang = 1, kota-kinabalu = 1}", "targets = {}",
			`route "work-orders" targets present>`, "removes the last target pool"},
		"weight changed":         {"weight = 3", "weight = 2", `customer "sabah-west-coast" weight 3>2`, ""},
		"customer added":         {"[[work]]", "[[customer]]\nname = \"paka\"\n[[work]]", `customer "paka"  >present`, ""},
		"hourly cap removed":     {"hourly-cap = 34.0", "hourly-cap = 0", "budget hourly-cap 34>no limit", ""},
		"window reserve changed": {"reserved = 0.6", "reserved = 0.5", `window "low tide 1" reserved 0.6>0.5`, ""},
	}
	before := answers.Generate(mustCheck(t, valid)).Document
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			after := strings.Replace(valid, tt.old, tt.replacement, 1)
			for _, c := range answers.Diff(before, answers.Generate(mustCheck(t, after)).Document) {
				if fmt.Sprintf("%s %s %s>%s", c.Subject, c.Field, c.Before, c.After) != tt.change {
					continue
				}
				if c.Affected == "" || (tt.confirm == "") != (c.Confirm == "") || !strings.Contains(c.Confirm, tt.confirm) {
					t.Errorf("%+v, want confirmation %q", c, tt.confirm)
				}
				return
			}
			t.Errorf("no change %q in %+v", tt.change, answers.Diff(before, answers.Generate(mustCheck(t, after)).Document))
		})
	}
	if changes := answers.Diff(before, before); len(changes) != 0 {
		t.Errorf("a configuration differs from itself: %+v", changes)
	}
}

// Guards against an error for a missing file that is not an ErrAnswers, and against
// faults without the path of the file.
func TestLoad(t *testing.T) {
	is := is.New(t)
	_, err := answers.Load(filepath.Join(t.TempDir(), "none.toml"))
	is.True(errors.Is(err, answers.ErrAnswers))
	path := filepath.Join(t.TempDir(), "answers.toml")
	is.NoErr(os.WriteFile(path, []byte("team = 1"), 0o600))
	_, err = answers.Load(path)
	is.True(errors.Is(err, answers.ErrAnswers))
	is.True(strings.HasPrefix(err.Error(), path+": "))
}

// Guards against input that makes Check or Generate panic, and against valid answers
// whose generated TOML cannot be read back.
func FuzzCheck(f *testing.F) {
	for _, text := range questionnaires() {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, faults := answers.Check(text)
		if len(faults) > 0 {
			_ = faults.Error()
			return
		}
		g := answers.Generate(a)
		d, faults := answers.ParseDocument(g.TOML)
		if len(faults) > 0 || !reflect.DeepEqual(d, g.Document) {
			t.Fatalf("read back %v\n%+v, want\n%+v", faults, d, g.Document)
		}
		if changes := answers.Diff(d, g.Document); len(changes) > 0 {
			t.Fatalf("differs from itself: %+v", changes)
		}
	})
}
