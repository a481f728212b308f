package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// Bounds and settings of the site groyne-logs.
const (
	memoryMB    = 284
	grace       = 8 * time.Second
	drainTime   = 2500 * time.Millisecond
	contactTime = 4 * time.Second
	beatPeriod  = 1200 * time.Millisecond
)

// process is one of the project's programs, started by the command of the deploy file.
type process struct {
	name, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	killed bool // by this program
}

// deployment is a small deployment: three registry replicas and some gateways, each on a
// loopback address of its own.
type deployment struct {
	dir, binary string
	record      *record
	registries  []*process
	gateways    []*process
	controls    []string // addresses for the operator and the targets
	fronts      []string // addresses for callers
	readies     []string
}

// options describe a deployment.
type options struct {
	gateways int    // on hosts of their own
	beside   bool   // a gateway also beside each registry replica, as in the deploy file
	usage    string // address of the platform
}

func newDeployment(r *record, dir, binary string, o options) (*deployment, error) {
	d := &deployment{dir: dir, binary: binary, record: r}
	const base = "127.0.50."
	hosts := 3 + o.gateways
	var ports []int
	for port := 20000 + os.Getpid()%1500*6; len(ports) < 6; port++ {
		if portFree(base, hosts, port) {
			ports = append(ports, port)
		}
	}
	link, control, front, ready, metrics, metricsBeside := ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	var seeds []string
	for i := range 3 {
		d.controls = append(d.controls, fmt.Sprintf("%s%d:%d", base, 1+i, control))
		seeds = append(seeds, fmt.Sprintf("%q", d.controls[i]))
	}
	common := func(name, ip string, metrics int) string {
		return fmt.Sprintf(`host = %q
region = "r"
data-centre = "z"
addresses = [%q]
metrics = "%s:%d"
shutdown-deadline = "8s"

[links]
plain = true

[peers]
seeds = [%s]
link-port = %d
`, name, ip, ip, metrics, strings.Join(seeds, ", "), link)
	}
	for i := range hosts {
		ip := fmt.Sprintf("%s%d", base, 1+i)
		name := fmt.Sprintf("edge-z-%d", 1+i)
		if i < 3 {
			p, err := d.add(name+"-registry", common(name, ip, metrics)+fmt.Sprintf(`
[registry]
link = "%s:%d"
operator = "%s:%d"
data = %q
form = true
losses = 1
usage = %q
usage-window = "5s"
usage-due = "10s"
memory-mb = %d
[[registry.data-centres]]
name = "z"
region = "r"
`, ip, link, ip, control, d.data(i), o.usage, memoryMB))
			if err != nil {
				return nil, err
			}
			d.registries = append(d.registries, p)
		}
		if i >= 3 || o.beside {
			p, err := d.add(name+"-gateway", common(name, ip, metricsBeside)+fmt.Sprintf(`
[gateway]
listen = "%s:%d"
ready = "%s:%d"
retry-share = 0.2
retry-slack = 62
usage-window = "5s"
memory-mb = %d
[[gateway.data-centres]]
name = "z"
region = "r"
`, ip, front, ip, ready, memoryMB))
			if err != nil {
				return nil, err
			}
			d.gateways = append(d.gateways, p)
			d.fronts = append(d.fronts, fmt.Sprintf("%s:%d", ip, front))
			d.readies = append(d.readies, fmt.Sprintf("%s:%d", ip, ready))
		}
	}
	for _, p := range d.all() {
		if err := d.start(p); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// data returns the data directory of a registry replica.
func (d *deployment) data(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("data-%d", 1+i))
}

// add writes the settings of a process.
func (d *deployment) add(name, text string) (*process, error) {
	p := &process{name: name, settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

func portFree(base string, hosts, port int) bool {
	for i := range hosts {
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", base, 1+i, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) all() []*process {
	return append(append([]*process(nil), d.registries...), d.gateways...)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.binary, "run", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.killed = cmd, done, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		killed := p.killed
		p.mu.Unlock()
		if !killed {
			d.record.line("process %s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range d.all() {
		if p.cmd != nil {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// ready waits until all gateways are ready.
func (d *deployment) ready(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, a := range d.readies {
			r, err := http.Get("http://" + a + "/readyz")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(d.readies) {
			return true
		}
	}
	return false
}

// put sends a configuration document to the replicas in turn until one acknowledges it.
func (d *deployment) put(document []byte, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for i, end := 0, time.Now().Add(timeout); time.Now().Before(end); i++ {
		r, err := client.Post("http://"+d.controls[i%3]+names["replace"], "application/json", bytes.NewReader(document))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
			if r.StatusCode >= 400 && r.StatusCode < 500 {
				return fmt.Errorf("document refused with status %d", r.StatusCode)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the document within %v", timeout)
}

// route is a route of the configuration document.
type route struct {
	Name, Prefix, Kind string
	TimeoutMS          int
	Attempts           int
}

const (
	pool      = "orders"
	routeHost = "h.example"
	key       = "key-of-c1-0123456789"
)

func document(version int, routes []route) []byte {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "hostname": routeHost, "path_prefix": r.Prefix, "type": r.Kind, "timeout_ms": r.TimeoutMS,
			"target_latency_ms": 250, "priority": 0, "service": pool, "attempts": r.Attempts, "public": false,
			"session_affinity": false, "resumable": false, "target_itl_ms": 250,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": pool, "health_check_path": "/healthz", "max_connections": 640, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "c1", "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// servePlatform serves the platform's address for usage reports.
func servePlatform(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}
