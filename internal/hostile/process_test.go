package hostile_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"papayarock/internal/ports"
	"papayarock/platform/standin"
)

const (
	// memoryMB is the memory limit in the settings of the processes.
	memoryMB = 96
	// maxMemoryKB is the bound of the resident memory of a process, half of its limit.
	maxMemoryKB = memoryMB * 1024 / 2
	// descriptorLimit is the limit of descriptors of the processes, and
	// reservedDescriptors the number of them that clients must leave free.
	descriptorLimit     = 700
	reservedDescriptors = 200
	pool                = "orders"
	// readyTimeout bounds the time until a process that has been started responds. It is
	// long because other tests may use the machine.
	readyTimeout = 30 * time.Second
)

// process is a gateway or a registry replica. The addresses are those of its HTTP ports.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended
	ports map[string]netip.AddrPort
}

// deployment is a registry replica, a gateway and a target.
type deployment struct {
	registry, gateway *process
}

func reserve(t *testing.T) netip.AddrPort {
	a, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "papayarock")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "papayarock/cmd/papayarock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// newDeployment starts all processes and waits until the gateway serves requests.
func newDeployment(t *testing.T, binary string) deployment {
	dir := t.TempDir()
	link, operator, usage := reserve(t), reserve(t), reserve(t)
	common := func(name string, metrics, status netip.AddrPort) string {
		return fmt.Sprintf("host = %q\naddresses = [\"127.0.0.1\"]\nregion = \"r\"\ndata-centre = \"z\"\nmetrics = %q\nstatus = %q\n[links]\nplain = true\n"+
			"[peers]\nseeds = [%q]\nlink-port = %d\n", name, metrics, status, operator, link.Port())
	}
	d := deployment{}
	metrics := reserve(t)
	d.registry = start(t, binary, filepath.Join(dir, "registry"), common("registry", metrics, reserve(t))+
		fmt.Sprintf("[registry]\nlink = %q\noperator = %q\ndata = \"data\"\nform = true\nlosses = 0\nusage = %q\nmemory-mb = %d\n", link, operator, usage, memoryMB))
	d.registry.ports = map[string]netip.AddrPort{"operator": operator, "metrics": metrics}
	metrics = reserve(t)
	callers, ready, status := reserve(t), reserve(t), reserve(t)
	d.gateway = start(t, binary, filepath.Join(dir, "gateway"), common("gateway", metrics, status)+
		fmt.Sprintf("[gateway]\nlisten = %q\nready = %q\nmemory-mb = %d\n[[gateway.data-centres]]\nname = \"z\"\nregion = \"r\"\n", callers, ready, memoryMB))
	d.gateway.ports = map[string]netip.AddrPort{"callers": callers, "ready": ready, "metrics": metrics, "status": status}

	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	o := &standin.Operator{RegistryAddresses: []string{operator.String()}}
	if err := o.Put(ctx, standin.Document(1, pool, false)); err != nil {
		t.Fatal(err)
	}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &standin.Target{
		Name: "t-1", Pool: pool, DataCentre: "z", Address: l.Addr().String(), Listener: l, ExecutionLog: &standin.ExecutionLog{},
		RegistryAddresses: []string{operator.String()}, RandomPercent: func() int { return 0 },
	}
	go target.Serve(t.Context())
	d.requireAnswers()
	return d
}

// start starts a process with its settings in dir. The shell sets the limit of descriptors.
func start(t *testing.T, binary, dir, settings string) *process {
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, ended: make(chan struct{})}
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q run --settings %q", descriptorLimit, binary, path))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
		<-p.ended
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	return p
}

// requireAnswers waits until each port responds to an ordinary request on a new connection.
func (d deployment) requireAnswers() {
	for name, port := range d.ports() {
		var err error
		answered := false
		for end := time.Now().Add(readyTimeout); !answered && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			answered, err = port.answers()
		}
		if !answered {
			port.process.t.Errorf("%s: no response to an ordinary request: %v", name, err)
		}
	}
}

// port is one HTTP port of a process and an ordinary request for it.
type port struct {
	process *process
	address netip.AddrPort
	method  string
	path    string
	headers string // lines that end with CRLF
}

// ports returns all HTTP ports of the deployment by name.
func (d deployment) ports() map[string]port {
	caller := "X-Request-Id: r-1\r\nAuthorization: Bearer key-1\r\n"
	return map[string]port{
		"gateway-callers":   {d.gateway, d.gateway.ports["callers"], http.MethodGet, "/read/a", caller},
		"gateway-ready":     {d.gateway, d.gateway.ports["ready"], http.MethodGet, "/readyz", ""},
		"gateway-metrics":   {d.gateway, d.gateway.ports["metrics"], http.MethodGet, "/metrics", ""},
		"gateway-status":    {d.gateway, d.gateway.ports["status"], http.MethodGet, "/live", ""},
		"registry-operator": {d.registry, d.registry.ports["operator"], http.MethodGet, standin.ShowPath, ""},
		"registry-metrics":  {d.registry, d.registry.ports["metrics"], http.MethodGet, "/metrics", ""},
	}
}

// request returns the ordinary request of the port as text.
func (p port) request() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: "+standin.Host+"\r\n%s\r\n", p.method, p.path, p.headers)
}

// answers sends the ordinary request on a new connection and reports whether the status of
// the response is 200.
func (p port) answers() (bool, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", p.address.String())
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return false, err
	}
	if _, err := c.Write([]byte(p.request())); err != nil {
		return false, err
	}
	line := make([]byte, len("HTTP/1.1 200"))
	n, err := c.Read(line)
	if err == nil && string(line[:n]) != "HTTP/1.1 200" {
		err = fmt.Errorf("response %q", line[:n])
	}
	return err == nil, err
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// memoryKB returns the resident memory of the process and its maximum so far, in KiB, or
// zeros if it has ended.
func (p *process) memoryKB() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for key, value := range map[string]*int{"VmRSS:": &now, "VmHWM:": &peak} {
		_, rest, _ := strings.Cut(string(text), key)
		_, _ = fmt.Sscan(rest, value)
	}
	return now, peak
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
