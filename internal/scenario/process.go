package scenario

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/core/fleet"
	"papayarock/io/daemon"
	"papayarock/io/settings"
)

// startTimeout bounds the wait until a process listens, and each request of a
// script.
const (
	startTimeout      = 20 * time.Second
	startPollInterval = 5 * time.Millisecond
)

// process is a papayarock process that runs inside the test process or was spawned
// as an operating system process.
type process struct {
	settingsFile string
	osProcess    *os.Process        // nil for a process inside the test process
	cancel       context.CancelFunc // starts a graceful shutdown of a process inside the test process
	done         chan struct{}
	err          error // set before done is closed
}

// kill ends a spawned process at once. One inside the test process can only be shut
// down. It does not wait for the end.
func (p *process) kill() {
	if p.osProcess != nil {
		_ = p.osProcess.Kill() // fails if the process has exited
		return
	}
	p.cancel()
}

// terminate starts a graceful shutdown and does not wait for its end.
func (p *process) terminate() {
	if p.osProcess != nil {
		_ = p.osProcess.Signal(syscall.SIGTERM) // fails if the process has exited
		return
	}
	p.cancel()
}

// start implements "start NAME SETTINGS": it runs a process inside the test process.
func start(ts *testscript.TestScript, neg bool, args []string) {
	startProcess(ts, neg, args, runInTest)
}

// spawn implements "spawn NAME SETTINGS": it runs a process as an operating system
// process.
func spawn(ts *testscript.TestScript, neg bool, args []string) {
	startProcess(ts, neg, args, runBinary)
}

// startProcess starts a process with run, which is runInTest or runBinary, and waits
// until it accepts connections. With neg the process must not start.
func startProcess(ts *testscript.TestScript, neg bool, args []string, run func(*testscript.TestScript, string, settings.Settings, *process) error) {
	checkUsage(ts, false, args, 2, "start | spawn NAME SETTINGS")
	st, name := stateOf(ts), args[0]
	if _, ok := st.processes[name]; ok {
		ts.Fatalf("process %q is already running", name)
	}
	if st.logs[name] == nil {
		st.logs[name] = &logBuffer{}
	}
	p := &process{settingsFile: args[1], done: make(chan struct{})}
	err := p.start(ts, name, run)
	switch {
	case err == nil && neg:
		p.kill()
		<-p.done
		ts.Fatalf("process %q started", name)
	case err == nil:
		st.processes[name] = p
	case neg:
		_, _ = io.WriteString(ts.Stderr(), err.Error()+"\n")
	default:
		ts.Fatalf("process %q: %v", name, err)
	}
}

func (p *process) start(ts *testscript.TestScript, name string, run func(*testscript.TestScript, string, settings.Settings, *process) error) error {
	s, err := settings.Load(ts.MkAbs(p.settingsFile))
	if err != nil {
		return err
	}
	if err := run(ts, name, s, p); err != nil {
		return err
	}
	for _, addr := range listenAddresses(s) {
		if err := p.awaitListening(addr); err != nil {
			p.kill()
			<-p.done
			return err
		}
	}
	return nil
}

// runInTest runs a process inside the test process until its context is cancelled.
func runInTest(ts *testscript.TestScript, name string, s settings.Settings, p *process) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: s.LogLevel, Output: stateOf(ts).logs[name]})
	go func() {
		defer close(p.done)
		p.err = daemon.Run(ctx, s, log)
	}()
	return nil
}

// runBinary runs an operating system process from the papayarock binary in the
// script's PATH.
func runBinary(ts *testscript.TestScript, name string, _ settings.Settings, p *process) error {
	st := stateOf(ts)
	binary, err := lookUpPath(ts.Getenv("PATH"), "papayarock")
	if err != nil {
		return err
	}
	c := exec.Command(binary, "run", "--settings", ts.MkAbs(p.settingsFile)) //nolint:noctx // killed at the end of the script
	c.Env, c.Dir, c.Stderr, c.Stdout = st.vars, ts.MkAbs("."), st.logs[name], st.logs[name]
	if err := c.Start(); err != nil {
		return err
	}
	p.osProcess = c.Process
	go func() {
		defer close(p.done)
		p.err = c.Wait()
	}()
	return nil
}

func lookUpPath(path, name string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		file := filepath.Join(dir, name)
		if info, err := os.Stat(file); err == nil && !info.IsDir() {
			return file, nil
		}
	}
	return "", errors.Errorf("no command %q in the script's PATH", name)
}

// sendSignal implements "signal NAME KILL | STOP | CONT": it sends a signal to a
// spawned process. After KILL it waits until the process has exited, so that a
// process with this name can be spawned again.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 2, "signal NAME KILL | STOP | CONT")
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	sig, ok := signals[args[1]]
	p := stateOf(ts).processes[args[0]]
	if !ok || p == nil || p.osProcess == nil {
		ts.Fatalf("cannot send signal %q to %q: unknown signal or not a spawned process", args[1], args[0])
	}
	ts.Check(p.osProcess.Signal(sig))
	if sig == syscall.SIGKILL {
		<-p.done
		delete(stateOf(ts).processes, args[0])
	}
}

// logBuffer holds the log of a process over all its runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// showLog implements "log NAME": it prints the log of a process, over all its runs,
// or of the whole deployment.
func showLog(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "log NAME")
	b, ok := stateOf(ts).logs[args[0]]
	if d := stateOf(ts).deployment; d != nil && args[0] == "deployment" {
		b, ok = d.log, true
	}
	if !ok {
		ts.Fatalf("process %q was not started", args[0])
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = ts.Stdout().Write(b.text.Bytes())
}

// listenAddresses returns the addresses on which a process with these settings
// listens.
func listenAddresses(s settings.Settings) []netip.AddrPort {
	var all []netip.AddrPort
	if s.Entry != nil {
		all = append(all, s.Entry.Listen)
	}
	if s.Agent != nil {
		all = append(all, s.Agent.Listen)
	}
	if s.Control != nil {
		all = append(all, s.Control.Listen, s.Control.Operator)
	}
	return all
}

// awaitListening waits until a connection to addr succeeds. It returns an error if
// the process exits first or startTimeout passes.
func (p *process) awaitListening(addr netip.AddrPort) error {
	end := time.Now().Add(startTimeout)
	for {
		c, err := (&net.Dialer{Timeout: time.Until(end)}).Dial("tcp", addr.String()) //nolint:noctx // bounded by Timeout
		if err == nil {
			return c.Close()
		}
		select {
		case <-p.done:
			return errors.Errorf("exited before it listened on %s: %v", addr, p.err)
		case <-time.After(startPollInterval):
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "not listening on %s after %v", addr, startTimeout)
		}
	}
}

// shutDown implements "shutdown NAME": it shuts a process or the process of a host
// of the deployment down gracefully and waits for its end.
func shutDown(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "shutdown NAME")
	st := stateOf(ts)
	if d := st.deployment; d != nil && d.HasProcess(fleet.Host(args[0])) {
		d.stopHost(ts, args[0])
		return
	}
	p, ok := st.processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	p.terminate()
	<-p.done
	delete(st.processes, args[0])
	if p.err != nil {
		ts.Fatalf("process %q exited with an error: %v", args[0], p.err)
	}
}

// restart implements "restart NAME": it shuts a process or the process of a host of
// the deployment down gracefully and starts it again in the way it was started.
func restart(ts *testscript.TestScript, neg bool, args []string) {
	checkUsage(ts, neg, args, 1, "restart NAME")
	if d := stateOf(ts).deployment; d != nil && d.HasProcess(fleet.Host(args[0])) {
		d.stopHost(ts, args[0])
		startHostAgain(ts, false, args)
		return
	}
	p, ok := stateOf(ts).processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	shutDown(ts, false, args)
	startAgain := start
	if p.osProcess != nil {
		startAgain = spawn
	}
	startAgain(ts, false, []string{args[0], p.settingsFile})
}
