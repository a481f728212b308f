package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/examples"
	"papayarock/internal/command"
	"papayarock/internal/scenario"
	"papayarock/io/identity"
	"papayarock/io/operator"
)

// rig is a control replica and a session with it.
type fixture struct {
	t       *testing.T
	control *scenario.Control
	session *command.Session
	out     bytes.Buffer
	err     bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	c, err := scenario.StartControl(t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &fixture{t: t, control: c}
	r.session = &command.Session{Client: r.client(0), Out: command.Output{W: &r.out}, Err: &r.err, Wait: 30 * time.Second}
	return r
}

// client returns a client; with a pause of an hour between attempts it makes only
// one.
func (r *fixture) client(pause time.Duration) *operator.Client {
	c, err := operator.New(operator.Options{Addresses: []string{r.control.Address}, RetryInterval: pause})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	return c
}

// answers writes an answers file and returns its path.
func (r *fixture) answers(text []byte) string {
	path := filepath.Join(r.t.TempDir(), "answers.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// run runs a command, checks its exit code and returns its standard output. The
// text of an error is appended to r.err.
func (r *fixture) run(want int, act func(ctx context.Context, s *command.Session) error) string {
	r.t.Helper()
	r.out.Reset()
	r.err.Reset()
	err := act(r.t.Context(), r.session)
	if code := command.ExitCode(err); code != want {
		r.t.Fatalf("exit code %d, want %d: %v\n%s%s", code, want, err, &r.out, &r.err)
	}
	if err != nil {
		r.err.WriteString(err.Error())
	}
	return r.out.String()
}

func (r *fixture) apply(want int, path string, confirm bool) string {
	r.t.Helper()
	return r.run(want, func(ctx context.Context, s *command.Session) error {
		return s.ApplyAnswers(ctx, command.Change{}, path, confirm)
	})
}

func (r *fixture) audit() []operator.AuditEntry {
	r.t.Helper()
	l, err := r.session.Client.Audit(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return l.Items
}

// Guards against answers that are applied without showing the changes, or without
// a confirmation that is required.
func TestApplyAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	path := r.answers(examples.Terengganu)
	is.True(strings.Contains(r.apply(command.ExitDone, path, false), `customer "besut"`))
	is.True(strings.Contains(r.err.String(), "in force everywhere"))
	r.apply(command.ExitDone, path, false)
	is.True(strings.Contains(r.err.String(), "has these answers already"))
	is.Equal(len(r.audit()), 1)

	is.NoErr(os.WriteFile(path, examples.Association, 0o600))
	is.True(strings.Contains(r.apply(command.ExitConfirm, path, false), "removes a served customer"))
	r.session.In = strings.NewReader("n\n")
	r.apply(command.ExitConfirm, path, false)
	is.Equal(len(r.audit()), 1)
	r.session.In = strings.NewReader("y\n")
	r.apply(command.ExitDone, path, false)
	is.Equal(len(r.audit()), 2)
	r.session.In = nil
	is.NoErr(os.WriteFile(path, examples.Terengganu, 0o600))
	r.session.Out.JSON = true
	var got command.Applied
	is.NoErr(json.Unmarshal([]byte(r.apply(command.ExitDone, path, true)), &got))
	is.True(len(got.Changes) > 0)
	is.Equal(len(r.audit()), 3)

	r.apply(command.ExitInvalidInput, r.answers([]byte("team = 3\n")), true)
	r.apply(command.ExitInvalidInput, filepath.Join(t.TempDir(), "none.toml"), true)
}

// Guards against answers that are applied twice, or under another ID, when the
// command is run again after the response of control was lost.
func TestApplyAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	path := r.answers(examples.Terengganu)
	r.control.LoseResponses.Store(1)
	retryingClient := r.session.Client
	r.session.Client = r.client(time.Hour)
	r.apply(command.ExitNotCommitted, path, false)
	is.True(strings.Contains(r.err.String(), "run the command again"))
	_, err := os.Stat(path + ".change")
	is.NoErr(err)
	r.session.Client = retryingClient
	r.apply(command.ExitDone, path, false)
	is.True(strings.Contains(r.err.String(), "sending change answers-"))
	_, err = os.Stat(path + ".change")
	is.True(os.IsNotExist(err))
	is.Equal(len(r.audit()), 1)

	r.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { // by ID, without the stored change
		return s.ApplyAnswers(ctx, command.Change{ID: r.audit()[0].Change}, path, false)
	})
	is.Equal(len(r.audit()), 1)

	r.control.LoseResponses.Store(1) // the client resends within one run
	is.NoErr(os.WriteFile(path, examples.Association, 0o600))
	r.apply(command.ExitDone, path, true)
	is.Equal(len(r.audit()), 2)
}

// Guards against a key that control stores in clear, that is shown a second time,
// or that is shown without being accepted.
func TestKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	r.apply(command.ExitDone, r.answers(examples.Terengganu), true)
	r.session.Out.JSON = true
	issue := func(id, customer string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.IssueKey(ctx, command.Change{}, id, customer)
		}
	}
	var k command.IssuedKey
	is.NoErr(json.Unmarshal([]byte(r.run(command.ExitDone, issue("k1", "besut"))), &k))
	is.Equal(len(k.Key), 43) // 256 bits in base64
	list := r.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return s.Keys(ctx) })
	is.True(strings.Contains(list, `"k1"`))
	is.True(!strings.Contains(list, k.Key))
	dump := r.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return s.Dump(ctx) })
	is.True(!strings.Contains(dump, k.Key))
	is.Equal(r.run(command.ExitInvalidInput, issue("k1", "besut")), "") // the ID is in use
	is.Equal(r.run(command.ExitInvalidInput, issue("k2", "nobody")), "")
	is.Equal(r.run(command.ExitInvalidInput, issue("k2", "")), "")

	r.session.Client = r.client(time.Hour)
	r.control.LoseResponses.Store(1)
	is.Equal(r.run(command.ExitNotCommitted, issue("k3", "besut")), "")
	is.True(strings.Contains(r.err.String(), `if "keys list" shows "k3"`))
	withdraw := func(id string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.WithdrawKey(ctx, command.Change{}, id, true)
		}
	}
	r.run(command.ExitDone, withdraw("k3"))
	r.run(command.ExitInvalidInput, withdraw("k3"))
}

// Guards against two accepted changes with the same base, and against a refusal
// that does not name the change that was accepted first.
func TestConflict(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	r.apply(command.ExitDone, r.answers(examples.Terengganu), true)
	issue := func(change, id string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.IssueKey(ctx, command.Change{ID: change, Base: 1}, id, "besut")
		}
	}
	r.run(command.ExitDone, issue("first", "k1"))
	r.run(command.ExitConflict, issue("second", "k2"))
	is.True(strings.Contains(r.err.String(), `conflicts with change "first"`))
	r.run(command.ExitConflict, issue("first", "k1")) // another key under the same change ID
	is.True(strings.Contains(r.err.String(), "was used"))
}

// Guards against commands on targets that submit another action than they are
// named for, or have another result when they are repeated.
func TestTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	r.apply(command.ExitDone, r.answers(examples.Terengganu), true)
	now := time.Now()
	_, err := r.control.Propose(t.Context(), state.Announce{Target: fleet.Target{
		Name: "e1", Host: "h1", Incarnation: 1, Kind: fleet.Engine, Pool: "language", DataCentre: "klang",
		Agent: netip.MustParseAddrPort("127.0.0.1:7200"), Slots: 1,
	}, Until: now.Add(time.Hour), Time: now})
	is.NoErr(err)
	list := func(ctx context.Context, s *command.Session) error { return s.Targets(ctx) }
	is.True(strings.Contains(r.run(command.ExitDone, list), "e1"))
	base := r.control.Status().Revision
	drain := func(ctx context.Context, s *command.Session) error {
		return s.DrainTarget(ctx, command.Change{ID: "d1", Base: base}, "e1", time.Minute, false)
	}
	first := r.run(command.ExitDone, drain)
	time.Sleep(time.Millisecond) // a deadline computed from the current time would differ
	is.Equal(r.run(command.ExitDone, drain), first)
	tests := map[string]struct {
		act  func(ctx context.Context, s *command.Session) error
		code int
	}{
		"cancel": {func(ctx context.Context, s *command.Session) error {
			return s.CancelDrain(ctx, command.Change{}, "e1")
		}, command.ExitDone},
		"unknown target": {func(ctx context.Context, s *command.Session) error {
			return s.DrainTarget(ctx, command.Change{}, "e9", time.Minute, true)
		}, command.ExitInvalidInput},
		"no time": {func(ctx context.Context, s *command.Session) error {
			return s.ReplaceTarget(ctx, command.Change{}, "e1", time.Millisecond)
		}, command.ExitInvalidInput},
		"unknown role": {func(ctx context.Context, s *command.Session) error {
			return s.SetRole(ctx, command.Change{}, "e1", "baker", time.Minute)
		}, command.ExitInvalidInput},
	}
	for _, name := range []string{"cancel", "unknown target", "no time", "unknown role"} {
		t.Log(name)
		r.run(tests[name].code, tests[name].act)
	}
	wantActions := []string{"drain", "cancel"}
	for i, a := range r.audit()[1:] {
		is.True(strings.HasPrefix(a.What, wantActions[i]))
	}
	is.Equal(len(r.audit()), 3)
}

// Guards against lists without their main content, and against a watch that does
// not end after its count.
func TestLists(t *testing.T) {
	t.Parallel()
	r := newFixture(t)
	r.apply(command.ExitDone, r.answers(examples.Terengganu), true)
	tests := map[string]struct {
		show func(*command.Session, context.Context) error
		want string
	}{
		"audit":  {(*command.Session).Audit, "replace document: 8 customers"},
		"hosts":  {(*command.Session).Hosts, "voter"},
		"usage":  {(*command.Session).Usage, "open"},
		"orders": {(*command.Session).Orders, "DEADLINE"},
		"plan":   {(*command.Session).Plan, "PROMPT TOKENS/S"},
		"status": {(*command.Session).Status, "c1"},
		"dump":   {(*command.Session).Dump, `"leading": true`},
		"watch": {func(s *command.Session, ctx context.Context) error {
			return s.Watch(ctx, time.Millisecond, 2)
		}, "c1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out := r.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return tt.show(s, ctx) })
			if !strings.Contains(out, tt.want) {
				t.Errorf("got %s", out)
			}
			if name == "watch" && strings.Count(out, "ADDRESS") != 2 {
				t.Errorf("shown %d times", strings.Count(out, "ADDRESS"))
			}
		})
	}
}

// Guards against a removal that reports success for a mistyped host, and against a
// learner that is not listed.
func TestHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newFixture(t)
	change := func(action, host string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error { return s.ChangeHosts(ctx, action, host) }
	}
	r.run(command.ExitInvalidInput, change(operator.Remove, "c9"))
	is.True(strings.Contains(r.run(command.ExitDone, change(operator.AddLearner, "c2")), "learner"))
	is.True(!strings.Contains(r.run(command.ExitDone, change(operator.Remove, "c2")), "c2"))
	r.run(command.ExitInvalidInput, change(operator.Remove, "c1")) // the last voter
	replace := func(old, next string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error { return s.ReplaceHost(ctx, old, next, time.Second) }
	}
	r.run(command.ExitInvalidInput, replace("c9", "c8"))
	r.run(command.ExitInvalidInput, replace("c1", "c1"))
}

// Guards against issued certificates that control does not accept, and against a
// command that replaces an existing authority.
func TestIdentity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	o := command.Output{W: &bytes.Buffer{}}
	authority, ana := filepath.Join(dir, "authority"), filepath.Join(dir, "ana")
	is.NoErr(command.NewAuthority(o, authority, time.Now(), time.Hour))
	is.True(command.NewAuthority(o, authority, time.Now(), time.Hour) != nil)
	issue := func(to, host, role string) error {
		return command.IssueIdentity(o, authority, to, host, []string{role}, time.Now(), time.Hour)
	}
	is.NoErr(issue(ana, "ana", "operator"))
	is.NoErr(issue(filepath.Join(dir, "c1"), "c1", "control"))
	is.Equal(command.ExitCode(issue(filepath.Join(dir, "x"), "x", "baker")), command.ExitInvalidInput)
	host, err := identity.Load(filepath.Join(dir, "c1"))
	is.NoErr(err)
	c, err := scenario.StartControl(t.TempDir(), host)
	is.NoErr(err)
	defer c.Stop()
	file := filepath.Join(dir, "operator.toml")
	is.NoErr(os.WriteFile(file, []byte(`control = ["`+c.Address+`"]
certificate = "ana/host.pem"
key = "ana/host-key.pem"
authority = "ana/authority.pem"
`), 0o600))
	s, err := command.LoadSettings(file)
	is.NoErr(err)
	client, err := s.Client(time.Minute)
	is.NoErr(err)
	defer client.Close()
	answer, err := client.Change(t.Context(), operator.Change{ID: "x", Action: operator.ApplyAnswers, Answers: string(examples.Terengganu)})
	is.NoErr(err)
	is.Equal(answer.Outcome, operator.Accepted)
	l, err := client.Audit(t.Context())
	is.NoErr(err)
	is.Equal(l.Items[0].Operator, "ana") // the name in the certificate
}

// Guards against invalid settings of an operator that are ignored, or that fail
// only when a request is sent.
func TestSettings(t *testing.T) {
	t.Parallel()
	full := command.Settings{Control: []string{"127.0.0.1:1"}, Certificate: "c", Key: "k", Authority: "a"}
	tests := map[string]struct {
		settings command.Settings
		code     int
	}{
		"plain":             {command.Settings{Control: []string{"127.0.0.1:1"}, Plain: true}, command.ExitDone},
		"no control":        {command.Settings{Plain: true}, command.ExitInvalidInput},
		"no certificate":    {command.Settings{Control: []string{"127.0.0.1:1"}}, command.ExitInvalidInput},
		"plain with files":  {command.Settings{Control: []string{"127.0.0.1:1"}, Plain: true, Key: "k"}, command.ExitInvalidInput},
		"plain over a file": {full.Override(command.Settings{Plain: true}), command.ExitDone},
		"other control":     {full.Override(command.Settings{Plain: true, Control: []string{"nowhere"}}), command.ExitInvalidInput},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := tt.settings.Client(time.Minute)
			is.New(t).Equal(command.ExitCode(err), tt.code)
		})
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte("colour = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := command.LoadSettings(path)
	is.New(t).Equal(command.ExitCode(err), command.ExitInvalidInput)
}
