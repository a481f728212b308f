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
	registryReplicas = 3 // replicas of the registry
	targets          = 3 // targets at the start
	pool             = "orders"
)

// process is a gateway or a replica of the registry, which can be restarted.
type process struct {
	name, settings, log string // name, settings file and log file

	// Only for a replica of the registry:
	dir          string      // data directory
	proxy        *fake.Proxy // in front of the link port
	joinSettings string      // content of settings that joins the group instead of creating one
	metrics      string      // address

	mu     sync.Mutex
	cmd    *exec.Cmd     // the last one started; nil before the first start
	done   chan struct{} // closed when cmd has ended
	paused bool
}

// deployment is the product's processes, the targets and the usage sink.
type deployment struct {
	t                 *testing.T
	dir               string
	binary            string
	gateways          []*process
	replicas          []*process
	registryAddresses []string // where targets and operators reach the replicas
	gatewayAddresses  []string
	runLog            standin.ExecutionLog // the runs at all targets
	sink              standin.UsageSink
	sinkAddress       string
	// Ports of all replicas of the registry. They listen on proxiedLink, their proxies on
	// link.
	link, proxiedLink, operator, metrics int
	commonSettings, peerSettings         string // parts of the settings of all processes
	ctx                                  context.Context

	mu             sync.Mutex
	targets        []*proxiedTarget // without those that drain
	targetsStarted int              // number of targets started so far
}

// proxiedTarget is a target behind a proxy that injects connection faults.
type proxiedTarget struct {
	*standin.Target
	proxy *fake.Proxy
	stop  context.CancelFunc
}

// port reserves a port.
func (d *deployment) port() int {
	a, err := ports.Reserve()
	if err != nil {
		d.t.Fatal(err)
	}
	return int(a.Port())
}

// newDeployment starts the processes and the targets without waiting until they are
// ready. The targets draw their behaviour with randomPercent.
func newDeployment(t *testing.T, binary string, randomPercent func() int) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), binary: binary}
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sinkListener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: &d.sink, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(sinkListener) }()
	d.sinkAddress = sinkListener.Addr().String()
	gatewayPort, ready := d.port(), d.port()
	d.link, d.proxiedLink, d.operator, d.metrics = d.port(), d.port(), d.port(), d.port()
	var seeds []string
	for i := range registryReplicas {
		seeds = append(seeds, fmt.Sprintf(`"127.0.0.%d:%d"`, 10+i, d.operator))
	}
	common := "region = \"r\"\ndata-centre = \"z\"\nshutdown-deadline = \"6s\"\n"
	peers := fmt.Sprintf("[links]\nplain = true\n[peers]\nseeds = [%s]\nlink-port = %d\n", strings.Join(seeds, ", "), d.link)
	d.commonSettings, d.peerSettings = common, peers
	for range registryReplicas {
		p, settings := d.addReplica()
		d.writeSettings(p, settings(true))
	}
	for i := range *gateways {
		ip := fmt.Sprintf("127.0.%d.%d", 1+i/200, 20+i%200)
		p := d.newProcess(fmt.Sprintf("gateway-%d", i))
		d.writeSettings(p, fmt.Sprintf("host = %q\naddresses = [%q]\n%s%s[gateway]\nlisten = \"%s:%d\"\nready = \"%s:%d\"\nretry-share = 0.2\n"+
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

// addReplica adds a replica of the registry with an address of its own, which is not
// started yet. settings returns its settings, with which it forms a log if form is true
// and joins one otherwise.
func (d *deployment) addReplica() (p *process, settings func(form bool) string) {
	i := len(d.replicas)
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	p = d.newProcess(fmt.Sprintf("registry-%d", i))
	p.dir = filepath.Join(d.dir, p.name, "data")
	settings = func(form bool) string {
		return fmt.Sprintf("host = %q\naddresses = [%q]\nmetrics = \"%s:%d\"\n%s%s[registry]\nlink = \"%s:%d\"\nlisten = \"%s:%d\"\n"+
			"operator = \"%s:%d\"\ndata = %q\nform = %v\nlosses = 1\nusage = %q\nusage-window = \"1s\"\nusage-due = \"4s\"\n",
			p.name, ip, ip, d.metrics, d.commonSettings, d.peerSettings, ip, d.link, ip, d.proxiedLink, ip, d.operator, p.dir, form, d.sinkAddress)
	}
	p.joinSettings = settings(false)
	p.metrics = fmt.Sprintf("%s:%d", ip, d.metrics)
	p.proxy = &fake.Proxy{Target: fmt.Sprintf("%s:%d", ip, d.proxiedLink)}
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", fmt.Sprintf("%s:%d", ip, d.link))
	if err != nil {
		d.t.Fatal(err)
	}
	go p.proxy.Serve(d.ctx, l)
	d.replicas = append(d.replicas, p)
	d.registryAddresses = append(d.registryAddresses, fmt.Sprintf("%s:%d", ip, d.operator))
	return p, settings
}

func (d *deployment) newProcess(name string) *process {
	return &process{name: name, settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log")}
}

// writeSettings replaces the settings file of a process.
func (d *deployment) writeSettings(p *process, text string) {
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

// signal sends a signal to the process if it was ever started.
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

// appendTornWrite appends tail to the newest log file of a replica that is not
// running, as if the replica had been killed while it wrote a record.
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

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// addTarget starts a target behind a proxy. The target announces the address of
// the proxy.
func (d *deployment) addTarget(randomPercent func() int) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Error(err)
		return
	}
	proxyListener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	target := &proxiedTarget{proxy: &fake.Proxy{Target: l.Addr().String()}, stop: cancel}
	d.mu.Lock()
	d.targetsStarted++
	target.Target = &standin.Target{
		Name: fmt.Sprintf("t-%d", d.targetsStarted), Pool: pool, DataCentre: "z", Address: proxyListener.Addr().String(), Listener: l,
		ExecutionLog: &d.runLog, RegistryAddresses: d.registryAddresses, RandomPercent: randomPercent,
	}
	d.targets = append(d.targets, target)
	d.mu.Unlock()
	target.SetBehaviour(standin.Behaviour{Duration: 10 * time.Millisecond})
	go target.proxy.Serve(ctx, proxyListener)
	go target.Serve(ctx)
}

// pickTarget returns the target numbered n, modulo their number, of those that are
// not draining, or nil if there are fewer than minTargets.
func (d *deployment) pickTarget(n, minTargets int) *proxiedTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.targets) < minTargets {
		return nil
	}
	return d.targets[n%len(d.targets)]
}

// drain makes a target drain and stops it a second after drainTime. If it leaves quietly, it
// serves until the end of the deployment.
func (d *deployment) drain(target *proxiedTarget, quietly bool) {
	d.mu.Lock()
	for i, x := range d.targets {
		if x == target {
			d.targets = append(d.targets[:i:i], d.targets[i+1:]...)
		}
	}
	d.mu.Unlock()
	if quietly {
		target.LeaveQuietly()
		return
	}
	target.Drain()
	time.AfterFunc(drainTime+time.Second, target.stop)
}

// drainTime is how long the requests that run at a draining target have to end. It
// equals the timeout of the routes.
const drainTime = 4 * time.Second
