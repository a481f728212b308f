package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/examples"
	"papayarock/io/answers"
	"papayarock/io/settings"
)

const static = `
[entry.static]
configuration = "configuration.toml"
[[entry.static.key]]
id = "k1"
customer = "klang-port"
digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
[[entry.static.target]]
name = "t1"
agent = "127.0.0.1:7300"
pool = "repair-log"
`

func exampleText(t *testing.T, role string) string {
	t.Helper()
	text, err := settings.Example(role)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// An example that users copy must not fail the validation, and each kind of value
// in it must be read into its field.
func TestExamples(t *testing.T) {
	is := is.New(t)
	byRole := make(map[string]settings.Settings)
	for _, role := range settings.Roles() {
		s, faults := settings.Check([]byte(exampleText(t, role)))
		is.Equal(len(faults), 0)
		byRole[role] = s
	}
	e, a, c := byRole["entry"], byRole["agent"], byRole["control"]
	is.Equal(e.Entry.Listen.String(), "0.0.0.0:8080")
	is.Equal(e.Entry.Limits, settings.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 8388608, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxConnections: 4096, MaxStreamsPerConnection: 256})
	is.Equal(e.Links.Authority, "authority.pem")
	is.Equal(e.LogLevel, hclog.Info)
	is.Equal(e.ShutdownTimeout, 30*time.Second)
	is.Equal(len(e.ControlHosts), 3)
	is.Equal(a.Agent.Target.String(), "http://127.0.0.1:9000")
	is.Equal(a.Agent.Kind, fleet.Engine)
	is.Equal(a.Agent.Slots, uint32(8))
	is.Equal(c.Control.Data, "/var/lib/papayarock")
	is.Equal(c.Control.Operator.String(), "127.0.0.1:7400")
	is.Equal(c.Control.Usage.String(), "http://10.1.0.2:9200")
	_, err := settings.Example("baker")
	is.True(err != nil)
}

// The operator address of a voter must be stored, and a voter without one must not
// be reported.
func TestOperatorAddresses(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(exampleText(t, "control"), `"10.0.0.21:7100"`, `"10.0.0.21:7100", operator = "10.0.0.21:7400"`, 1)
	s, faults := settings.Check([]byte(text))
	is.Equal(len(faults), 0)
	is.Equal(s.ControlHosts[0].Operator.String(), "10.0.0.21:7400")
	is.True(!s.ControlHosts[1].Operator.IsValid())
}

// A control host that joins later and is listed as a relay must not count as a
// voter, because the number of voters would then be reported as a fault.
func TestRelays(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(exampleText(t, "control"), "[links]", "[[relays]]\nhost = \"c4\"\naddress = \"10.1.0.22:7100\"\n[links]", 1)
	s, faults := settings.Check([]byte(text))
	is.Equal(len(faults), 0)
	is.Equal(len(s.ControlHosts), 3)
	is.Equal(len(s.Relays), 1)
	is.Equal(s.Relays[0].Host, fleet.Host("c4"))
}

// Each mistake must be reported as exactly one fault, at its key, with the problem
// and a correction. Each case replaces a text of the example of a role; a few
// replace a second one below.
func TestCheckFaults(t *testing.T) {
	tests := map[string]struct{ role, old, replacement, key, problem string }{
		"not TOML":           {"entry", `host =`, `host`, "", "expected"},
		"unknown key":        {"entry", `log-level`, `loglevel`, "loglevel", "not a known key"},
		"unknown limit":      {"entry", `idle =`, `idles =`, "entry.limits.idles", "not a known key"},
		"host":               {"agent", `host = "engine-klang-1"`, `host = "a b"`, "host", "has the value"},
		"region missing":     {"agent", `region = "klang"`, ``, "region", "missing"},
		"address":            {"agent", `["10.1.0.31"]`, `["klang"]`, "addresses[0]", "has the value"},
		"any address":        {"agent", `["10.1.0.31"]`, `["0.0.0.0"]`, "addresses[0]", "has the value"},
		"level":              {"agent", `"info"`, `"loud"`, "log-level", "has the value"},
		"deadline":           {"agent", `"30s"`, `"0s"`, "shutdown-deadline", "has the value"},
		"plain and file":     {"agent", `key = "engine-klang-1.key"`, "plain = true\n#", "links.certificate", "not used"},
		"no certificate":     {"agent", `certificate = "engine-klang-1.pem"`, ``, "links.certificate", "missing"},
		"port":               {"entry", `0.0.0.0:8080`, `0.0.0.0`, "entry.listen", "has the value"},
		"port 0":             {"entry", `0.0.0.0:8080`, `0.0.0.0:0`, "entry.listen", "port 0"},
		"port taken":         {"entry", `0.0.0.0:8080`, `0.0.0.0:7200`, "entry.link", "taken by entry.listen"},
		"remote target":      {"agent", `127.0.0.1:9000`, `10.1.0.31:9000`, "agent.target", "not on a loopback"},
		"target scheme":      {"agent", `http://127`, `https://127`, "agent.target", "has the value"},
		"kind missing":       {"agent", `kind = "engine"`, ``, "agent.kind", "missing"},
		"role of service":    {"agent", `role = "mixed"`, `role = "decode"`, "agent.role", "a plain service has no role"},
		"slots":              {"agent", `slots = 8`, `slots = 0`, "agent.slots", "has the value 0"},
		"fencing missing":    {"agent", `checks-fencing = false`, ``, "agent.checks-fencing", "missing"},
		"two voters":         {"entry", `{host = "control-klang", address = "10.1.0.21:7100"},`, ``, "control-hosts", "there are 2"},
		"voter twice":        {"entry", `"control-klang"`, `"control-kota-kinabalu"`, "control-hosts[2]", "repeats"},
		"no voter":           {"control", `host = "control-klang"`, `host = "control-melaka"`, "host", "not among"},
		"learner and voter":  {"control", `learner = false`, `learner = true`, "host", "set to be a learner"},
		"operator address":   {"control", `"10.0.0.21:7100"`, `"10.0.0.21:7100", operator = "10.0.0.21"`, "control-hosts[0].operator", "has the value"},
		"learner is a voter": {"control", `[links]`, "[[relays]]\nhost = \"control-klang\"\naddress = \"10.1.0.22:7100\"\n[links]", "relays[0]", "repeats"},
		"voter port":         {"control", `listen = "10.1.0.21:7100"`, `listen = "10.1.0.21:7101"`, "control-hosts[1]", "port 7101"},
		"data missing":       {"control", `data = "/var/lib/papayarock"`, ``, "control.data", "missing"},
		"platform":           {"control", `platform = "http://10.1.0.2:9100"`, `platform = "10.1.0.2"`, "control.platform", "has the value"},
		"no role":            {"entry", `[entry]`, `[entry]`, "", "no role is set"},
		"two sources":        {"entry", `[entry.limits]`, static + "[entry.limits]", "control-hosts", "exactly one source"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			example := exampleText(t, tt.role)
			text := strings.Replace(example, tt.old, tt.replacement, 1)
			switch name {
			case "role of service":
				text = strings.Replace(text, `"engine"`, `"service"`, 1)
			case "plain and file":
				text = strings.Replace(text, `authority =`, `#`, 1)
			case "no role":
				text, _, _ = strings.Cut(example, "[entry]")
			}
			is.True(text != example)
			_, faults := settings.Check([]byte(text))
			if len(faults) != 1 {
				t.Fatalf("%d faults:\n%v", len(faults), faults)
			}
			is.Equal(faults[0].Key, tt.key)
			is.True(strings.Contains(faults[0].Problem, tt.problem))
			is.True(faults[0].Fix != "")
		})
	}
}

// Loading a static configuration must fail if the generated file is missing, or if
// a key or target refers to a customer or pool that is not in it. Otherwise an entry
// would start with keys or targets that it cannot use.
func TestLoadStatic(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, faults := answers.Check(examples.Terengganu)
	is.Equal(len(faults), 0)
	is.NoErr(os.WriteFile(filepath.Join(dir, "configuration.toml"), answers.Generate(a).TOML, 0o600))
	text := `host = "e"
region = "klang"
data-centre = "klang"
addresses = ["127.0.0.1"]
links = {plain = true}
[entry]
listen = "127.0.0.1:8080"
` + static
	load := func(text string) (settings.Settings, error) {
		path := filepath.Join(dir, "settings.toml")
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return settings.Load(path)
	}
	s, err := load(text)
	is.NoErr(err)
	snapshot, err := settings.LoadStatic(s.Entry.Static)
	is.NoErr(err)
	is.Equal(len(snapshot.Document.Routes), 6)
	is.Equal(string(snapshot.Keys[0].Customer), "klang-port")
	is.Equal(snapshot.Targets[0].Phase, fleet.Ready)

	for _, change := range [][2]string{{"klang-port", "melaka"}, {"repair-log", "idle"}, {"configuration.toml", "none.toml"}} {
		s, err := load(strings.Replace(text, change[0], change[1], 1))
		is.NoErr(err)
		_, err = settings.LoadStatic(s.Entry.Static)
		is.True(errors.Is(err, settings.ErrSettings))
	}
	_, err = load(strings.Replace(text, "2bb80d", "2bb8", 1))
	is.True(errors.Is(err, settings.ErrSettings))
	is.True(strings.Contains(err.Error(), "entry.static.key[0].digest: has 62 characters"))
}

// Arbitrary input must not cause a panic, and accepted settings must have a host
// and a role.
func FuzzCheck(f *testing.F) {
	for _, role := range settings.Roles() {
		text, err := settings.Example(role)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := settings.Check(text)
		if len(faults) > 0 {
			_ = faults.Error()
			return
		}
		if s.Host == "" || (s.Entry == nil && s.Agent == nil && s.Control == nil) {
			t.Fatalf("accepted %+v", s)
		}
		if s.Agent != nil && (s.Agent.Target == nil || s.Agent.Slots == 0) {
			t.Fatalf("accepted agent %+v", s.Agent)
		}
	})
}
