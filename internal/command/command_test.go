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

// fixture is a control replica and a session with it. The session writes its result
// to out, and progress and questions to err.
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
	f := &fixture{t: t, control: c}
	f.session = &command.Session{Client: f.client(0), Out: command.Output{W: &f.out}, Err: &f.err, Wait: 30 * time.Second}
	return f
}

// client returns a client. With a retry interval of an hour it sends each request
// only once.
func (f *fixture) client(retryInterval time.Duration) *operator.Client {
	c, err := operator.New(operator.Options{Addresses: []string{f.control.Address}, RetryInterval: retryInterval})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

// answers writes an answers file and returns its path.
func (f *fixture) answers(text []byte) string {
	path := filepath.Join(f.t.TempDir(), "answers.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run runs a command, checks its exit code and returns its standard output. The
// text of an error is appended to f.err.
func (f *fixture) run(want int, act func(ctx context.Context, s *command.Session) error) string {
	f.t.Helper()
	f.out.Reset()
	f.err.Reset()
	err := act(f.t.Context(), f.session)
	if code := command.ExitCode(err); code != want {
		f.t.Fatalf("exit code %d, want %d: %v\n%s%s", code, want, err, &f.out, &f.err)
	}
	if err != nil {
		f.err.WriteString(err.Error())
	}
	return f.out.String()
}

func (f *fixture) apply(want int, path string, confirm bool) string {
	f.t.Helper()
	return f.run(want, func(ctx context.Context, s *command.Session) error {
		return s.ApplyAnswers(ctx, command.ChangeOptions{}, path, confirm)
	})
}

func (f *fixture) audit() []operator.AuditEntry {
	f.t.Helper()
	l, err := f.session.Client.Audit(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return l.Items
}

// Guards against answers that are applied without showing the changes, or without
// a confirmation that is required.
func TestApplyAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	path := f.answers(examples.Terengganu)
	is.True(strings.Contains(f.apply(command.ExitDone, path, false), `customer "besut"`))
	is.True(strings.Contains(f.err.String(), "in force everywhere"))
	f.apply(command.ExitDone, path, false)
	is.True(strings.Contains(f.err.String(), "has these answers already"))
	is.Equal(len(f.audit()), 1)

	is.NoErr(os.WriteFile(path, examples.Association, 0o600))
	is.True(strings.Contains(f.apply(command.ExitConfirmationRequired, path, false), "removes a served customer"))
	f.session.In = strings.NewReader("n\n")
	f.apply(command.ExitConfirmationRequired, path, false)
	is.Equal(len(f.audit()), 1)
	f.session.In = strings.NewReader("y\n")
	f.apply(command.ExitDone, path, false)
	is.Equal(len(f.audit()), 2)
	f.session.In = nil
	is.NoErr(os.WriteFile(path, examples.Terengganu, 0o600))
	f.session.Out.JSON = true
	var got command.AppliedAnswers
	is.NoErr(json.Unmarshal([]byte(f.apply(command.ExitDone, path, true)), &got))
	is.True(len(got.Changes) > 0)
	is.Equal(len(f.audit()), 3)

	f.apply(command.ExitInvalidInput, f.answers([]byte("team = 3\n")), true)
	f.apply(command.ExitInvalidInput, filepath.Join(t.TempDir(), "none.toml"), true)
}

// Guards against a second change for the same answers when the command is run again
// after the response of control was lost, and when the client resends the request
// by itself.
func TestApplyAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	path := f.answers(examples.Terengganu)
	f.control.LoseResponses.Store(1)
	retryingClient := f.session.Client
	f.session.Client = f.client(time.Hour)
	f.apply(command.ExitNotCommitted, path, false)
	is.True(strings.Contains(f.err.String(), "run the command again"))
	_, err := os.Stat(path + ".change")
	is.NoErr(err)
	f.session.Client = retryingClient
	f.apply(command.ExitDone, path, false)
	is.True(strings.Contains(f.err.String(), "sending change answers-"))
	_, err = os.Stat(path + ".change")
	is.True(os.IsNotExist(err))
	is.Equal(len(f.audit()), 1)

	f.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { // by ID, without the stored change
		return s.ApplyAnswers(ctx, command.ChangeOptions{ID: f.audit()[0].ChangeID}, path, false)
	})
	is.Equal(len(f.audit()), 1)

	f.control.LoseResponses.Store(1) // the client resends within one run
	is.NoErr(os.WriteFile(path, examples.Association, 0o600))
	f.apply(command.ExitDone, path, true)
	is.Equal(len(f.audit()), 2)
}

// Guards against a key that control stores in clear, that is shown a second time,
// or that is shown without being accepted.
func TestKeys(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	f.apply(command.ExitDone, f.answers(examples.Terengganu), true)
	f.session.Out.JSON = true
	issue := func(id, customer string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.IssueKey(ctx, command.ChangeOptions{}, id, customer)
		}
	}
	var k command.IssuedKey
	is.NoErr(json.Unmarshal([]byte(f.run(command.ExitDone, issue("k1", "besut"))), &k))
	is.Equal(len(k.Key), 43) // 256 bits in base64
	list := f.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return s.Keys(ctx) })
	is.True(strings.Contains(list, `"k1"`))
	is.True(!strings.Contains(list, k.Key))
	dump := f.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return s.Dump(ctx) })
	is.True(!strings.Contains(dump, k.Key))
	is.Equal(f.run(command.ExitInvalidInput, issue("k1", "besut")), "") // the ID is in use
	is.Equal(f.run(command.ExitInvalidInput, issue("k2", "nobody")), "")
	is.Equal(f.run(command.ExitInvalidInput, issue("k2", "")), "")

	f.session.Client = f.client(time.Hour)
	f.control.LoseResponses.Store(1)
	is.Equal(f.run(command.ExitNotCommitted, issue("k3", "besut")), "")
	is.True(strings.Contains(f.err.String(), `if "keys list" shows "k3"`))
	withdraw := func(id string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.WithdrawKey(ctx, command.ChangeOptions{}, id, true)
		}
	}
	f.run(command.ExitDone, withdraw("k3"))
	f.run(command.ExitInvalidInput, withdraw("k3"))
}

// Guards against two accepted changes with the same base, and against a refusal
// that does not name the change that was accepted first.
func TestConflict(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	f.apply(command.ExitDone, f.answers(examples.Terengganu), true)
	issue := func(change, id string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error {
			return s.IssueKey(ctx, command.ChangeOptions{ID: change, Base: 1}, id, "besut")
		}
	}
	f.run(command.ExitDone, issue("first", "k1"))
	f.run(command.ExitConflict, issue("second", "k2"))
	is.True(strings.Contains(f.err.String(), `conflicts with change "first"`))
	f.run(command.ExitConflict, issue("first", "k1")) // another key under the same change ID
	is.True(strings.Contains(f.err.String(), "was used"))
}

// Guards against commands on targets that submit another action than they are
// named for, have another result when they are repeated under the same ID, or
// accept an unknown target, a drain time below a second or an unknown role.
func TestTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	f.apply(command.ExitDone, f.answers(examples.Terengganu), true)
	now := time.Now()
	_, err := f.control.Propose(t.Context(), state.Announce{Target: fleet.Target{
		Name: "e1", Host: "h1", Incarnation: 1, Kind: fleet.Engine, Pool: "language", DataCentre: "klang",
		Agent: netip.MustParseAddrPort("127.0.0.1:7200"), Slots: 1,
	}, Until: now.Add(time.Hour), Time: now})
	is.NoErr(err)
	list := func(ctx context.Context, s *command.Session) error { return s.Targets(ctx) }
	is.True(strings.Contains(f.run(command.ExitDone, list), "e1"))
	base := f.control.Status().Revision
	drain := func(ctx context.Context, s *command.Session) error {
		return s.DrainTarget(ctx, command.ChangeOptions{ID: "d1", Base: base}, "e1", time.Minute, false)
	}
	first := f.run(command.ExitDone, drain)
	time.Sleep(time.Millisecond) // a deadline computed from the current time would differ
	is.Equal(f.run(command.ExitDone, drain), first)
	tests := map[string]struct {
		act  func(ctx context.Context, s *command.Session) error
		code int
	}{
		"cancel": {func(ctx context.Context, s *command.Session) error {
			return s.CancelDrain(ctx, command.ChangeOptions{}, "e1")
		}, command.ExitDone},
		"unknown target": {func(ctx context.Context, s *command.Session) error {
			return s.DrainTarget(ctx, command.ChangeOptions{}, "e9", time.Minute, true)
		}, command.ExitInvalidInput},
		"no time": {func(ctx context.Context, s *command.Session) error {
			return s.ReplaceTarget(ctx, command.ChangeOptions{}, "e1", time.Millisecond)
		}, command.ExitInvalidInput},
		"unknown role": {func(ctx context.Context, s *command.Session) error {
			return s.SetRole(ctx, command.ChangeOptions{}, "e1", "baker", time.Minute)
		}, command.ExitInvalidInput},
	}
	for _, name := range []string{"cancel", "unknown target", "no time", "unknown role"} {
		t.Log(name)
		f.run(tests[name].code, tests[name].act)
	}
	wantActions := []string{"drain", "cancel"}
	for i, a := range f.audit()[1:] {
		is.True(strings.HasPrefix(a.Description, wantActions[i]))
	}
	is.Equal(len(f.audit()), 3)
}

// Guards against lists without their main content, and against a watch that does
// not end after its count.
func TestLists(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.apply(command.ExitDone, f.answers(examples.Terengganu), true)
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
			out := f.run(command.ExitDone, func(ctx context.Context, s *command.Session) error { return tt.show(s, ctx) })
			if !strings.Contains(out, tt.want) {
				t.Errorf("got %s", out)
			}
			if name == "watch" && strings.Count(out, "ADDRESS") != 2 {
				t.Errorf("shown %d times", strings.Count(out, "ADDRESS"))
			}
		})
	}
}

// Guards against a removal that reports success for a mistyped host or removes the
// last voter, against a result that does not list an added learner or still lists a
// removed one, and against a replacement of an unknown host or of a host by itself.
func TestHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	change := func(action, host string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error { return s.ChangeMembers(ctx, action, host) }
	}
	f.run(command.ExitInvalidInput, change(operator.Remove, "c9"))
	is.True(strings.Contains(f.run(command.ExitDone, change(operator.AddLearner, "c2")), "learner"))
	is.True(!strings.Contains(f.run(command.ExitDone, change(operator.Remove, "c2")), "c2"))
	f.run(command.ExitInvalidInput, change(operator.Remove, "c1")) // the last voter
	replace := func(old, next string) func(context.Context, *command.Session) error {
		return func(ctx context.Context, s *command.Session) error { return s.ReplaceHost(ctx, old, next, time.Second) }
	}
	f.run(command.ExitInvalidInput, replace("c9", "c8"))
	f.run(command.ExitInvalidInput, replace("c1", "c1"))
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
	result, err := client.Change(t.Context(), operator.Change{ID: "x", Action: operator.ApplyAnswers, Answers: string(examples.Terengganu)})
	is.NoErr(err)
	is.Equal(result.Outcome, operator.Accepted)
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
