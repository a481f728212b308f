package scenario

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayarock/io/daemon"
	"papayarock/io/settings"
)

const (
	startLimit    = 20 * time.Second
	startInterval = 5 * time.Millisecond
)

// process is a process of papayarock that runs inside the test.
type process struct {
	file   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error // set before done is closed
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, false, args, 2, "start NAME SETTINGS")
	w := of(ts)
	if _, ok := w.processes[args[0]]; ok {
		ts.Fatalf("process %q runs", args[0])
	}
	p, err := launch(ts, args[0], args[1])
	switch {
	case err == nil && neg:
		p.cancel()
		<-p.done
		ts.Fatalf("process %q started", args[0])
	case err == nil:
		w.processes[args[0]] = p
	case neg:
		_, _ = io.WriteString(ts.Stderr(), err.Error()+"\n")
	default:
		ts.Fatalf("process %q: %v", args[0], err)
	}
}

// launch runs a process and returns once it accepts connections.
func launch(ts *testscript.TestScript, name, file string) (*process, error) {
	s, err := settings.Load(ts.MkAbs(file))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{file: file, cancel: cancel, done: make(chan struct{})}
	w := of(ts)
	if w.logs[name] == nil {
		w.logs[name] = &record{}
	}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: s.LogLevel, Output: w.logs[name]})
	go func() {
		defer close(p.done)
		p.err = daemon.Run(ctx, s, log)
	}()
	for _, addr := range listeners(s) {
		if err := p.reachable(addr); err != nil {
			cancel()
			<-p.done
			return nil, err
		}
	}
	return p, nil
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

func stop(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "stop NAME")
	w := of(ts)
	p, ok := w.processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	p.cancel()
	<-p.done
	delete(w.processes, args[0])
	if p.err != nil {
		ts.Fatalf("process %q ended with: %v", args[0], p.err)
	}
}

func restart(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg, args, 1, "restart NAME")
	p, ok := of(ts).processes[args[0]]
	if !ok {
		ts.Fatalf("process %q does not run", args[0])
	}
	stop(ts, false, args)
	start(ts, false, []string{args[0], p.file})
}

// call is one request of a script.
type call struct {
	status int
	header http.Header
	method string
	url    string
	body   string
}

func readCall(ts *testscript.TestScript, args []string) call {
	const usage = "request [-key K] [-header H:V] [-status N] METHOD URL [BODY | @FILE]"
	c := call{status: http.StatusOK, header: make(http.Header)}
	for len(args) >= 2 && strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-key":
			c.header.Set("Authorization", "Bearer "+args[1])
		case "-header":
			name, value, _ := strings.Cut(args[1], ":")
			c.header.Add(name, strings.TrimSpace(value))
		case "-status":
			n, err := strconv.Atoi(args[1])
			ts.Check(err)
			c.status = n
		default:
			ts.Fatalf("usage: %s", usage)
		}
		args = args[2:]
	}
	positive(ts, false, args, 2, usage)
	c.method, c.url = args[0], args[1]
	if len(args) > 2 {
		c.body = args[2]
		if file, ok := strings.CutPrefix(c.body, "@"); ok {
			c.body = ts.ReadFile(file)
		}
	}
	return c
}

func request(ts *testscript.TestScript, neg bool, args []string) {
	c := readCall(ts, args)
	status, body, err := c.send(of(ts).client)
	_, _ = ts.Stdout().Write(body)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s %s: whole answer with status %d", c.method, c.url, status)
	case neg:
	case err != nil:
		ts.Fatalf("%s %s: %v", c.method, c.url, err)
	case status != c.status:
		ts.Fatalf("%s %s: status %d, want %d: %s", c.method, c.url, status, c.status, body)
	}
}

func (c call) send(client *http.Client) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, strings.NewReader(c.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header = c.header
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
