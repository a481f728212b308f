package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the bounds of a deployment.
type bounds struct {
	losses      int // machines with a disk that may be lost at the same time
	contact     time.Duration
	drain       time.Duration
	configApply time.Duration
	catchUp     time.Duration
}

// Bounds of the deployment groyne-logs, and of anrnt-escala-grown and kiskadee-place-grown.
var (
	small = bounds{1, 4 * time.Second, 2500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second}
	grown = bounds{2, 5 * time.Second, 3 * time.Second, 3 * time.Second, 6 * time.Second}
)

const (
	grace       = 8 * time.Second
	usageWindow = 5 * time.Second
)

//go:embed wire.json
var wireText []byte

// wire holds the names of the platform's interface.
var wire = map[string]string{}

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	start time.Time
}

// linef writes one line with the time since the start of the case.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one role on one machine.
type process struct {
	name, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// machine is a host with a gateway, and with a registry replica if it has a disk.
type machine struct {
	name, ip  string
	gateway   *process
	registry  *process // nil without a disk
	startedAt time.Time
}

// processes returns the processes of the machine.
func (m *machine) processes() []*process {
	if m.registry == nil {
		return []*process{m.gateway}
	}
	return []*process{m.gateway, m.registry}
}

// deployment is a small deployment: a machine with a disk in each data centre and two without.
type deployment struct {
	bounds
	record   *record
	dir      string // temporary
	net      string // the first two parts of all addresses
	core     []*machine
	outer    []*machine
	platform *platform
	ctx      context.Context
	cancel   context.CancelFunc

	front, ready, control, link int
	proxied                     int      // port on which registry replicas listen if there is a network
	network                     *network // nil without proxies

	mu      sync.Mutex
	started []*process
	closed  bool // no process is started any more
}

func newDeployment(recordFile string, zones int, b bounds) (*deployment, error) {
	if err := json.Unmarshal(wireText, &wire); err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{bounds: b, record: &record{file: f, start: time.Now()}, dir: dir}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
	for _, port := range []*int{&d.front, &d.ready, &d.control, &d.link} {
		if *port, err = d.freePort(); err != nil {
			return nil, err
		}
	}
	if d.platform, err = newPlatform(d); err != nil {
		return nil, err
	}
	for i := range zones {
		d.core = append(d.core, d.newMachine(fmt.Sprintf("edge-%c-1", 'a'+i), 10+i, true))
	}
	for i := range 2 {
		d.outer = append(d.outer, d.newMachine(fmt.Sprintf("edge-%c-2", 'a'+i), 20+i, false))
	}
	return d, nil
}

// freePort returns a port that is free on the first address of the deployment. No other process
// uses the addresses of its random network.
func (d *deployment) freePort() (int, error) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", d.net+".10:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (d *deployment) newMachine(name string, host int, disk bool) *machine {
	m := &machine{name: name, ip: fmt.Sprintf("%s.%d", d.net, host)}
	m.gateway = &process{name: name + " gateway", settings: filepath.Join(d.dir, name+"-gateway.toml")}
	if disk {
		m.registry = &process{name: name + " registry", settings: filepath.Join(d.dir, name+"-registry.toml")}
	}
	return m
}

// writeSettings makes the settings files of a machine from the templates of the deploy file.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	seeds := []string{}
	d.mu.Lock()
	for _, c := range d.core[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, d.control))
	}
	d.mu.Unlock()
	zones := map[string]any{}
	for z := 'a'; z <= 'f'; z++ {
		zones["zone-"+string(z)] = "region-" + string(z)
	}
	fields := map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": "zone-" + m.name[5:6], "region": "region-" + m.name[5:6],
		"zones":               zones,
		"listen_addresses":    map[string]any{"frontend": fmt.Sprintf("%s:%d", m.ip, d.front), "ready_address": fmt.Sprintf("%s:%d", m.ip, d.ready), "control_plane": fmt.Sprintf("%s:%d", m.ip, d.control)},
		"internal_port_range": []int{d.link, d.link + 1},
		"seed_nodes":          seeds, "bootstrap": bootstrap, "data_dir": filepath.Join(d.dir, m.name+"-data"),
		"limits":          map[string]any{"memory_mb": 284},
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader"},
		"fault_tolerance": map[string]any{"machines": d.losses},
		"cloud_api":       map[string]any{"address": d.platformAddress(m)},
		"bounds": map[string]any{
			"grace_s": grace.Seconds(), "retry_budget_ratio": 0.2, "budget_slack": 62, "retry_window_s": 10,
			"usage_window_s": usageWindow.Seconds(), "usage_late_s": 10,
		},
	}
	for template, p := range map[string]*process{"deploy/gateway.toml": m.gateway, "deploy/registry.toml": m.registry} {
		if p == nil {
			continue
		}
		text, err := os.ReadFile(template)
		if err != nil {
			return err
		}
		rendered := render(string(text), fields)
		if d.network != nil {
			rendered = strings.Replace(rendered, "[registry]\n", fmt.Sprintf("[registry]\nlisten = \"%s:%d\"\n", m.ip, d.proxied), 1)
		}
		if err := os.WriteFile(p.settings, []byte(rendered), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the processes of machines.
func (d *deployment) start(bootstrap bool, machines ...*machine) error {
	for _, m := range machines {
		if err := d.writeSettings(m, bootstrap); err != nil {
			return err
		}
		for _, p := range m.processes() {
			if err := d.startProcess(p); err != nil {
				return err
			}
		}
		m.startedAt = time.Now()
	}
	return nil
}

func (d *deployment) startProcess(p *process) error {
	log, err := os.OpenFile(p.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/papayarock", "run", "--settings", p.settings) //nolint:noctx // ended by signals, as on the platform
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = log.Close()
		return errNoRun
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	d.started = append(d.started, p)
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	d.record.linef("started %s, process %d", p.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
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

// kill kills all processes of machines at the same moment.
func (d *deployment) kill(machines ...*machine) {
	for _, m := range machines {
		for _, p := range m.processes() {
			p.signal(syscall.SIGKILL)
		}
	}
	for _, m := range machines {
		for _, p := range m.processes() {
			p.wait()
			d.record.linef("killed %s", p.name)
		}
	}
}

// machines returns all machines.
func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.core...), d.outer...)
}

// close ends all processes.
func (d *deployment) close() {
	d.cancel()
	d.mu.Lock()
	d.closed = true
	started := d.started
	d.mu.Unlock()
	for _, p := range started {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.record.file.Close()
}

// readyStatus returns the status of the readiness probe of a machine, or 0.
func (d *deployment) readyStatus(m *machine) int {
	q, err := http.NewRequestWithContext(d.ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", m.ip, d.ready), http.NoBody)
	if err != nil {
		return 0
	}
	r, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// until polls a condition for at most limit.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// setCore replaces a machine with a disk.
func (d *deployment) setCore(i int, m *machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core[i] = m
}

// learner returns the index in core of the machine whose registry replica does not vote, or -1. The
// first three form the log, and the leader logs which others it promotes.
func (d *deployment) learner() int {
	var logs strings.Builder
	for _, m := range d.core {
		text, err := os.ReadFile(m.registry.settings + ".log")
		if err != nil {
			return -1
		}
		logs.Write(text)
	}
	for i, m := range d.core[3:] {
		if !strings.Contains(logs.String(), fmt.Sprintf("change=promote host=%s:%d", m.ip, d.link)) {
			return i + 3
		}
	}
	return -1
}

// metric returns the value of a metric of the registry replica on a machine, for the record.
func (d *deployment) metric(m *machine, name string) string {
	q, err := http.NewRequestWithContext(d.ctx, http.MethodGet, fmt.Sprintf("http://%s:9465/metrics", m.ip), http.NoBody)
	if err != nil {
		return "unknown"
	}
	r, err := (&http.Client{Timeout: time.Second}).Do(q)
	if err != nil {
		return "unknown"
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(r.Body)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// platformAddress returns the address at which a machine reaches the platform.
func (d *deployment) platformAddress(m *machine) string {
	if d.network == nil {
		return d.platform.address
	}
	return fmt.Sprintf("%s:%d", m.ip, d.proxied+1)
}

// addNetwork puts proxies in front of the registry replicas and of the platform.
func (d *deployment) addNetwork() error {
	d.network = &network{d: d}
	d.proxied = d.link + 2
	for _, m := range d.core {
		if err := d.network.listen(fmt.Sprintf("%s:%d", m.ip, d.link), fmt.Sprintf("%s:%d", m.ip, d.proxied), nil, m); err != nil {
			return err
		}
		if err := d.network.listen(d.platformAddress(m), d.platform.address, m, nil); err != nil {
			return err
		}
	}
	return nil
}
