package soak_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayarock/internal/fake"
	"papayarock/internal/ports"
	"papayarock/platform/standin"
)

const (
	registries = 3
	targets    = 3
	pool       = "orders"
)

// process is one program of the product.
type process struct {
	name, settings, log string
	dir                 string      // data directory of a registry
	proxy               *fake.Proxy // before the links of a registry
	formed              string      // settings of a registry whose log exists

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	paused bool
}

// world is a deployment of the product beside stand-ins of the platform.
type world struct {
	t        *testing.T
	dir      string
	binary   string
	gateways []*process
	replicas []*process
	control  []string // addresses of the registry for targets and operators
	fronts   []string
	ledger   standin.RunLog
	sink     standin.Sink
	ctx      context.Context

	mu      sync.Mutex
	targets []*member
	next    int
}

// member is a target behind its proxy.
type member struct {
	*standin.Target
	proxy *fake.Proxy
	stop  context.CancelFunc
}

func (w *world) port() int {
	a, err := ports.Reserve()
	if err != nil {
		w.t.Fatal(err)
	}
	return int(a.Port())
}

func newWorld(t *testing.T, binary string, roll func() int) *world {
	w := &world{t: t, dir: t.TempDir(), binary: binary}
	var cancel context.CancelFunc
	w.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sink, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: &w.sink, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(sink) }()
	link, inner, operator, front, ready := w.port(), w.port(), w.port(), w.port(), w.port()
	var seeds []string
	for i := range registries {
		seeds = append(seeds, fmt.Sprintf(`"127.0.0.%d:%d"`, 10+i, operator))
	}
	common := "region = \"r\"\ndata-centre = \"z\"\nshutdown-deadline = \"6s\"\n"
	peers := fmt.Sprintf("[links]\nplain = true\n[peers]\nseeds = [%s]\nlink-port = %d\n", strings.Join(seeds, ", "), link)
	for i := range registries {
		ip := fmt.Sprintf("127.0.0.%d", 10+i)
		p := w.process(fmt.Sprintf("registry-%d", i))
		p.dir = filepath.Join(w.dir, p.name, "data")
		text := func(form bool) string {
			return fmt.Sprintf("host = %q\naddresses = [%q]\n%s%s[registry]\nlink = \"%s:%d\"\nlisten = \"%s:%d\"\n"+
				"operator = \"%s:%d\"\ndata = %q\nform = %v\nlosses = 1\nusage = %q\nusage-window = \"1s\"\nusage-due = \"4s\"\n",
				p.name, ip, common, peers, ip, link, ip, inner, ip, operator, p.dir, form, sink.Addr().String())
		}
		w.write(p, text(true))
		p.formed = text(false)
		p.proxy = &fake.Proxy{Target: fmt.Sprintf("%s:%d", ip, inner)}
		l, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", fmt.Sprintf("%s:%d", ip, link))
		if err != nil {
			t.Fatal(err)
		}
		go p.proxy.Serve(w.ctx, l)
		w.replicas = append(w.replicas, p)
		w.control = append(w.control, fmt.Sprintf("%s:%d", ip, operator))
	}
	for i := range *gateways {
		ip := fmt.Sprintf("127.0.%d.%d", 1+i/200, 20+i%200)
		p := w.process(fmt.Sprintf("gateway-%d", i))
		w.write(p, fmt.Sprintf("host = %q\naddresses = [%q]\n%s%s[gateway]\nlisten = \"%s:%d\"\nready = \"%s:%d\"\nretry-share = 0.2\n"+
			"retry-slack = 60\nusage-window = \"1s\"\n[[gateway.data-centres]]\nname = \"z\"\nregion = \"r\"\n",
			p.name, ip, common, peers, ip, front, ip, ready))
		w.gateways = append(w.gateways, p)
		w.fronts = append(w.fronts, fmt.Sprintf("%s:%d", ip, front))
	}
	for _, p := range append(append([]*process(nil), w.replicas...), w.gateways...) {
		w.start(p)
		t.Cleanup(func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL); p.wait() })
	}
	for range targets {
		w.addTarget(roll)
	}
	return w
}

func (w *world) process(name string) *process {
	return &process{name: name, settings: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log")}
}

func (w *world) write(p *process, text string) {
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// start starts a process that is not running.
func (w *world) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Error(err)
		return
	}
	cmd := exec.Command(w.binary, "run", "--settings", p.settings) //nolint:noctx // ended by signals, as the platform does
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	done := make(chan struct{})
	p.cmd, p.done, p.paused = cmd, done, false
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// signal sends a signal to the process, by the id that the soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if it has ended
	}
}

// peakMemory returns the most memory that the process has used, in KiB; zero if it
// has ended.
func (p *process) peakMemory() (kib int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	_, _ = fmt.Sscan(rest, &kib)
	return kib
}

// tear appends what a torn write leaves behind the last synced record of the log
// of a process that is not running.
func (p *process) tear(tail []byte) error {
	names, err := filepath.Glob(filepath.Join(p.dir, "log-*"))
	if err != nil || len(names) == 0 {
		return err
	}
	f, err := os.OpenFile(slices.Max(names), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, err = f.Write(tail)
	return err
}

func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// addTarget starts a target behind a proxy.
func (w *world) addTarget(roll func() int) {
	l, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Error(err)
		return
	}
	before, err := (&net.ListenConfig{}).Listen(w.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	m := &member{proxy: &fake.Proxy{Target: l.Addr().String()}, stop: cancel}
	w.mu.Lock()
	w.next++
	m.Target = &standin.Target{
		Name: fmt.Sprintf("t-%d", w.next), Pool: pool, DataCentre: "z", Address: before.Addr().String(), Listener: l,
		Ledger: &w.ledger, Control: w.control, RandomPercent: roll,
	}
	w.targets = append(w.targets, m)
	w.mu.Unlock()
	m.SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond})
	go m.proxy.Serve(ctx, before)
	go m.Serve(ctx)
}

// pick returns a target that has not been told to drain; nil if there are fewer
// than least.
func (w *world) pick(n, least int) *member {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.targets) < least {
		return nil
	}
	return w.targets[n%len(w.targets)]
}

// drain has a target drain and end.
func (w *world) drain(m *member) {
	w.mu.Lock()
	for i, x := range w.targets {
		if x == m {
			w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
		}
	}
	w.mu.Unlock()
	m.Drain()
	time.AfterFunc(drainTime+time.Second, m.stop)
}

// drainTime is how long a draining target serves on.
const drainTime = 4 * time.Second
