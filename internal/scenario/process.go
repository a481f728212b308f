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

const (
	startLimit    = 20 * time.Second
	startInterval = 5 * time.Millisecond
)

// process is a process of papayarock, inside the test or beside it.
type process struct {
	file string
	own  *os.Process        // nil inside the test
	end  context.CancelFunc // begins a graceful shutdown inside the test
	done chan struct{}
	err  error // set before done is closed
}

// kill ends a process at once. Inside the test it can only be shut down.
func (p *process) kill() {
	if p.own != nil {
		_ = p.own.Kill() // fails if it has ended
		return
	}
	p.end()
}

func (p *process) shutDown() {
	if p.own != nil {
		_ = p.own.Signal(syscall.SIGTERM) // fails if it has ended
		return
	}
	p.end()
}

func start(ts *testscript.TestScript, neg bool, args []string) { begin(ts, neg, args, launch) }

func spawn(ts *testscript.TestScript, neg bool, args []string) { begin(ts, neg, args, execute) }

// begin starts a process by run and waits until it accepts connections.
func begin(ts *testscript.TestScript, neg bool, args []string, run func(*testscript.TestScript, string, settings.Settings, *process) error) {
	positive(ts, false, args, 2, "start | spawn NAME SETTINGS")
	w, name := of(ts), args[0]
	if _, ok := w.processes[name]; ok {
		ts.Fatalf("process %q runs", name)
	}
	if w.logs[name] == nil {
		w.logs[name] = &record{}
	}
	p := &process{file: args[1], done: make(chan struct{})}
	err := p.begin(ts, name, run)
	switch {
	case err == nil && neg:
		p.kill()
		<-p.done
		ts.Fatalf("process %q started", name)
	case err == nil:
		w.processes[name] = p
	case neg:
		_, _ = io.WriteString(ts.Stderr(), err.Error()+"\n")
	default:
		ts.Fatalf("process %q: %v", name, err)
	}
}

func (p *process) begin(ts *testscript.TestScript, name string, run func(*testscript.TestScript, string, settings.Settings, *process) error) error {
	s, err := settings.Load(ts.MkAbs(p.file))
	if err != nil {
		return err
	}
	if err := run(ts, name, s, p); err != nil {
		return err
	}
	for _, addr := range listeners(s) {
		if err := p.reachable(addr); err != nil {
			p.kill()
			<-p.done
			return err
		}
	}
	return nil
}

// launch runs a process inside the test.
func launch(ts *testscript.TestScript, name string, s settings.Settings, p *process) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.end = cancel
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: s.LogLevel, Output: of(ts).logs[name]})
	go func() {
		defer close(p.done)
		p.err = daemon.Run(ctx, s, log)
	}()
	return nil
}

// execute runs a process of its own.
func execute(ts *testscript.TestScript, name string, _ settings.Settings, p *process) error {
	w := of(ts)
	binary, err := lookUpPath(ts.Getenv("PATH"), "papayarock")
	if err != nil {
		return err
	}
	c := exec.Command(binary, "run", "--settings", ts.MkAbs(p.file)) //nolint:noctx // killed at the end of the script
	c.Env, c.Dir, c.Stderr, c.Stdout = w.vars, ts.MkAbs("."), w.logs[name], w.logs[name]
	if err := c.Start(); err != nil {
		return err
	}
	p.own = c.Process
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
	return "", errors.Errorf("no command %q in the script's path", name)
}

// sendSignal sends a signal to a spawned process. After KILL it waits for the
// end of the process, which can then be spawned again under its name.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 2, "signal NAME KILL | STOP | CONT")
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	sig, ok := signals[args[1]]
	p := of(ts).processes[args[0]]
	if !ok || p == nil || p.own == nil {
		ts.Fatalf("signal %q cannot be sent to %q: unknown signal, or no spawned process", args[1], args[0])
	}
	ts.Check(p.own.Signal(sig))
	if sig == syscall.SIGKILL {
		<-p.done
		delete(of(ts).processes, args[0])
	}
}

// record is the log of a process over all its runs.
type record struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (r *record) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func showLog(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "log NAME")
	r, ok := of(ts).logs[args[0]]
	if d := of(ts).deployment; d != nil && args[0] == "deployment" {
		r, ok = d.log, true
	}
	if !ok {
		ts.Fatalf("process %q was not started", args[0])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = ts.Stdout().Write(r.text.Bytes())
}

func listeners(s settings.Settings) []netip.AddrPort {
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

func (p *process) reachable(addr netip.AddrPort) error {
	end := time.Now().Add(startLimit)
	for {
		c, err := (&net.Dialer{Timeout: time.Until(end)}).Dial("tcp", addr.String()) //nolint:noctx // bounded by Timeout
		if err == nil {
			return c.Close()
		}
		select {
		case <-p.done:
			return errors.Errorf("ended before it listened on %s: %v", addr, p.err)
		case <-time.After(startInterval):
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "does not listen on %s", addr)
		}
	}
}

func shutDown(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "shutdown NAME")
	w := of(ts)
	if d := w.deployment; d != nil && d.Has(fleet.Host(args[0])) {
		d.stopHost(ts, args[0])
		return
	}
	p, ok := w.processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	p.shutDown()
	<-p.done
	delete(w.processes, args[0])
	if p.err != nil {
		ts.Fatalf("process %q ended with: %v", args[0], p.err)
	}
}

func restart(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "restart NAME")
	if d := of(ts).deployment; d != nil && d.Has(fleet.Host(args[0])) {
		d.stopHost(ts, args[0])
		restartHost(ts, false, args)
		return
	}
	p, ok := of(ts).processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	shutDown(ts, false, args)
	again := start
	if p.own != nil {
		again = spawn
	}
	again(ts, false, []string{args[0], p.file})
}
