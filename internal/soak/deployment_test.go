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
	dir                 string      // data directory of a registry replica
	proxy               *fake.Proxy // in front of the link port of a registry replica
	joinSettings        string      // settings of a registry replica with form = false

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	paused bool
}

// deployment is a deployment of the product with stand-ins for the platform.
type deployment struct {
	t                 *testing.T
	dir               string
	binary            string
	gateways          []*process
	replicas          []*process
	registryAddresses []string // registry addresses for targets and operators
	gatewayAddresses  []string
	ledger            standin.RunLog
	sink              standin.Sink
	ctx               context.Context

	mu      sync.Mutex
	targets []*proxiedTarget
	next    int
}

// proxiedTarget is a target behind its proxy.
type proxiedTarget struct {
	*standin.Target
	proxy *fake.Proxy
	stop  context.CancelFunc
}

func (d *deployment) port() int {
	a, err := ports.Reserve()
	if err != nil {
		d.t.Fatal(err)
	}
	return int(a.Port())
}

func newDeployment(t *testing.T, binary string, randomPercent func() int) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), binary: binary}
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sink, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: &d.sink, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(sink) }()
	link, inner, operator, gatewayPort, ready := d.port(), d.port(), d.port(), d.port(), d.port()
	var seeds []string
	for i := range registries {
		seeds = append(seeds, fmt.Sprintf(`"127.0.0.%d:%d"`, 10+i, operator))
	}
	common := "region = \"r\"\ndata-centre = \"z\"\nshutdown-deadline = \"6s\"\n"
	peers := fmt.Sprintf("[links]\nplain = true\n[peers]\nseeds = [%s]\nlink-port = %d\n", strings.Join(seeds, ", "), link)
	for i := range registries {
		ip := fmt.Sprintf("127.0.0.%d", 10+i)
		p := d.process(fmt.Sprintf("registry-%d", i))
		p.dir = filepath.Join(d.dir, p.name, "data")
		text := func(form bool) string {
			return fmt.Sprintf("host = %q\naddresses = [%q]\n%s%s[registry]\nlink = \"%s:%d\"\nlisten = \"%s:%d\"\n"+
				"operator = \"%s:%d\"\ndata = %q\nform = %v\nlosses = 1\nusage = %q\nusage-window = \"1s\"\nusage-due = \"4s\"\n",
				p.name, ip, common, peers, ip, link, ip, inner, ip, operator, p.dir, form, sink.Addr().String())
		}
		d.write(p, text(true))
		p.joinSettings = text(false)
		p.proxy = &fake.Proxy{Target: fmt.Sprintf("%s:%d", ip, inner)}
		l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", fmt.Sprintf("%s:%d", ip, link))
		if err != nil {
			t.Fatal(err)
		}
		go p.proxy.Serve(d.ctx, l)
		d.replicas = append(d.replicas, p)
		d.registryAddresses = append(d.registryAddresses, fmt.Sprintf("%s:%d", ip, operator))
	}
	for i := range *gateways {
		ip := fmt.Sprintf("127.0.%d.%d", 1+i/200, 20+i%200)
		p := d.process(fmt.Sprintf("gateway-%d", i))
		d.write(p, fmt.Sprintf("host = %q\naddresses = [%q]\n%s%s[gateway]\nlisten = \"%s:%d\"\nready = \"%s:%d\"\nretry-share = 0.2\n"+
			"retry-slack = 60\nusage-window = \"1s\"\n[[gateway.data-centres]]\nname = \"z\"\nregion = \"r\"\n",
			p.name, ip, common, peers, ip, gatewayPort, ip, ready))
		d.gateways = append(d.gateways, p)
		d.gatewayAddresses = append(d.gatewayAddresses, fmt.Sprintf("%s:%d", ip, gatewayPort))
	}
	for _, p := range append(append([]*process(nil), d.replicas...), d.gateways...) {
		d.start(p)
		t.Cleanup(func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL); p.wait() })
	}
	for range targets {
		d.addTarget(randomPercent)
	}
	return d
}

func (d *deployment) process(name string) *process {
	return &process{name: name, settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log")}
}

func (d *deployment) write(p *process, text string) {
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts a process that is not running.
func (d *deployment) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	cmd := exec.Command(d.binary, "run", "--settings", p.settings) //nolint:noctx // ended by signals, as on the platform
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
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

// signal sends a signal to the process that start started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if it has ended
	}
}

// peakMemory returns the peak resident set size of the process in KiB, or zero if
// it has ended.
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

// appendTornWrite simulates a torn write: it appends tail to the newest log file
// of a process that is not running, after the last synced record.
func (p *process) appendTornWrite(tail []byte) error {
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
func (d *deployment) addTarget(randomPercent func() int) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Error(err)
		return
	}
	before, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	m := &proxiedTarget{proxy: &fake.Proxy{Target: l.Addr().String()}, stop: cancel}
	d.mu.Lock()
	d.next++
	m.Target = &standin.Target{
		Name: fmt.Sprintf("t-%d", d.next), Pool: pool, DataCentre: "z", Address: before.Addr().String(), Listener: l,
		Ledger: &d.ledger, Control: d.registryAddresses, RandomPercent: randomPercent,
	}
	d.targets = append(d.targets, m)
	d.mu.Unlock()
	m.SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond})
	go m.proxy.Serve(ctx, before)
	go m.Serve(ctx)
}

// pick returns a target that is not draining, or nil if there are fewer than
// least of them.
func (d *deployment) pick(n, least int) *proxiedTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.targets) < least {
		return nil
	}
	return d.targets[n%len(d.targets)]
}

// drain makes a target drain and stops it after drainTime.
func (d *deployment) drain(m *proxiedTarget) {
	d.mu.Lock()
	for i, x := range d.targets {
		if x == m {
			d.targets = append(d.targets[:i:i], d.targets[i+1:]...)
		}
	}
	d.mu.Unlock()
	m.Drain()
	time.AfterFunc(drainTime+time.Second, m.stop)
}

// drainTime is how long a draining target continues to serve.
const drainTime = 4 * time.Second
