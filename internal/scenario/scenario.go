package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rogpeppe/go-internal/txtar"

	freeport "papayarock/internal/ports"
)

// Command implements a script command. neg is set if the script negates it with
// "!"; a command that does not support this passes neg to checkUsage, which then
// fails the script.
type Command = func(ts *testscript.TestScript, neg bool, args []string)

// Run runs the scripts in dir. extra adds commands to those of the package; it may
// be nil. The other files of dir are copied into the working directory of each
// script.
func Run(t *testing.T, dir string, extra map[string]Command) {
	commands := map[string]Command{
		"ports": ports, "digest": digest, "expand": expand, "exits": exits, "until": until,
		"fake": startFake, "fault": fault, "crash": crash, "recover": recoverEngine, "count": count, "await": await,
		"start": start, "spawn": spawn, "shutdown": shutDown, "restart": restart, "signal": sendSignal,
		"request": request, "log": showLog, "proxy": startProxy, "drop": drop, "hold-open": holdOpen,
		"control": startControl, "deploy": startDeployment, "key": issueKey, "leader": leader, "phase": phase, "role": role, "ordered": ordered,
		"isolate": isolate, "rejoin": rejoin, "again": startHostAgain, "pause": pause, "lose-answer": loseAnswer, "seen": seen,
		"send": send, "answer": answer, "keep": keep,
		"mark": mark, "completion": completion, "keys": issueKeys,
	}
	for name, c := range extra {
		commands[name] = c
	}
	rejectEarlyExit(t, dir)
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		Cmds:                commands,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			if err := copySharedFiles(dir, env.WorkDir); err != nil {
				return err
			}
			return setup(env)
		},
	})
}

// earlyExit matches the testscript commands that end a script as passed. They take
// precedence over commands of the same name in Params.Cmds.
var earlyExit = regexp.MustCompile(`(?m)^\s*(\[[^\]]*\]\s*)*(stop|skip)\b`)

// rejectEarlyExit fails the test for scripts that could end early as passed, with
// their remaining steps not run.
func rejectEarlyExit(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		a, err := txtar.ParseFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if found := earlyExit.Find(a.Comment); found != nil {
			t.Fatalf("%s: the command %q ends the script as passed", f, found)
		}
	}
}

// copySharedFiles copies the files of dir that are not scripts to the working
// directory of a script.
func copySharedFiles(dir, work string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		if f.IsDir() || filepath.Ext(f.Name()) == ".txtar" {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(work, f.Name()), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// scriptState holds what one script has started.
type scriptState struct {
	fakes      map[string]fakeServer
	processes  map[string]*process
	logs       map[string]*logBuffer
	proxies    map[string]*proxy
	vars       []string // environment of spawned processes
	client     *http.Client
	pending    map[string]*pendingRequest // requests sent in the background, by name
	deployment *deployment
}

// stateKey is the key of the scriptState in the values of a script.
type stateKey struct{}

// setup prepares a script. What the script starts is stopped at its end.
func setup(env *testscript.Env) error {
	transport := &http.Transport{}
	st := &scriptState{
		fakes: make(map[string]fakeServer), processes: make(map[string]*process), logs: make(map[string]*logBuffer),
		proxies: make(map[string]*proxy), client: &http.Client{Transport: transport},
		pending: make(map[string]*pendingRequest),
	}
	env.Values[stateKey{}] = st
	// A process built with -race sleeps for 1 s on exit by default, which would be
	// most of the run time of a script.
	env.Setenv("GORACE", "atexit_sleep_ms=50")
	st.vars = env.Vars
	env.Defer(func() {
		if st.deployment != nil {
			st.deployment.stop()
		}
		for _, p := range st.processes {
			p.kill()
			<-p.done
		}
		for _, p := range st.proxies {
			p.cancel()
			<-p.done
		}
		for _, f := range st.fakes {
			f.server.CloseClientConnections()
			f.server.Close()
		}
		transport.CloseIdleConnections()
	})
	return nil
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(stateKey{}).(*scriptState)
}

// checkUsage fails the script if a command is negated or has fewer than n
// arguments.
func checkUsage(ts *testscript.TestScript, neg bool, args []string, n int, usage string) {
	if neg || len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// ports implements "ports NAME...": it sets each variable to a free loopback
// HOST:PORT.
func ports(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "ports NAME...")
	for _, name := range args {
		addr, err := freeport.Reserve()
		ts.Check(err)
		ts.Setenv(name, addr.String())
	}
}

// digest implements "digest NAME SECRET": it sets a variable to the hex SHA-256 of
// a key.
func digest(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "digest NAME SECRET")
	sum := sha256.Sum256([]byte(args[1]))
	ts.Setenv(args[0], hex.EncodeToString(sum[:]))
}

// expand implements "expand FILE...": it expands $NAME in files from the script's
// variables.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "expand FILE...")
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// exits implements "exits CODE COMMAND...": it runs a command and asserts its exit
// code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "exits CODE COMMAND...")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%s: %v", args[1], err)
		}
		code = exit.ExitCode()
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// until implements "until EXPRESSION COMMAND...": it repeats a command until its
// stdout matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "until EXPRESSION COMMAND...")
	re, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitPollInterval) {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		if re.MatchString(out) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: no match for %q: %v\n%s", strings.Join(args[1:], " "), args[0], err, out)
		}
	}
}

// keep implements "keep NAME EXPRESSION FILE": it sets a variable to the first group
// of a regular expression matched in a file, such as stdout.
func keep(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 3, "keep NAME EXPRESSION FILE")
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	found := re.FindStringSubmatch(ts.ReadFile(args[2]))
	if len(found) < 2 {
		ts.Fatalf("no match for %q with a group in %s", args[1], args[2])
	}
	ts.Setenv(args[0], found[1])
}
