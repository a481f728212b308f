package faulttest_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/internal/fake"
	"papayarock/internal/ports"
	"papayarock/io/daemon"
	"papayarock/io/link"
	"papayarock/io/operator"
	"papayarock/io/settings"
	"papayarock/io/subscribe"
)

// settingsVariable is the environment variable with the settings file of a
// process that a test spawns from the test binary.
const settingsVariable = "PAPAYAROCK_TEST_SETTINGS"

// fileLimitVariable is the environment variable with the maximum size in bytes of
// a file that a spawned process may write. Beyond it, writes fail as on a full
// disk.
const fileLimitVariable = "PAPAYAROCK_TEST_FILE_LIMIT"

// waitTimeout bounds each wait for an expected condition.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		if err := serveChild(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveChild runs the program with a settings file until its standard input is
// closed, so that the process never outlives the test.
func serveChild(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(os.Getenv(fileLimitVariable), 10, 64); err == nil {
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return daemon.Run(ctx, s, hclog.New(&hclog.LoggerOptions{Name: string(s.Host), Level: s.LogLevel, Output: os.Stderr}))
}

// cluster is a group of control processes and the platform that they call.
type cluster struct {
	t         testing.TB
	dir       string
	hosts     []fleet.Host
	links     map[fleet.Host]netip.AddrPort
	operators map[fleet.Host]netip.AddrPort
	platform  *fake.Platform
	processes map[fleet.Host]*process
	status    *operator.Client
}

type process struct {
	*exec.Cmd
	input io.Closer
	done  chan struct{}
	log   *os.File
}

// newCluster reserves addresses for three voters and the further replicas, and
// starts the voters.
func newCluster(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *cluster {
	t.Helper()
	cl := prepareCluster(t, usageWindow, further...)
	for _, h := range cl.hosts {
		cl.start(h)
	}
	return cl
}

// prepareCluster is like newCluster, but starts no process.
func prepareCluster(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, dir: t.TempDir(), hosts: []fleet.Host{"c1", "c2", "c3"}, links: make(map[fleet.Host]netip.AddrPort),
		operators: make(map[fleet.Host]netip.AddrPort), platform: &fake.Platform{}, processes: make(map[fleet.Host]*process),
	}
	server := httptest.NewServer(cl.platform)
	t.Cleanup(server.Close)
	all := append(append([]fleet.Host(nil), cl.hosts...), further...)
	reserved := reserveAddresses(t, 2*len(all))
	var addresses []string
	for i, h := range all {
		cl.links[h], cl.operators[h] = reserved[2*i], reserved[2*i+1]
		addresses = append(addresses, cl.operators[h].String())
	}
	var err error
	if cl.status, err = operator.New(operator.Options{Addresses: addresses}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.status.Close)
	t.Cleanup(cl.killAll)
	for i, h := range all {
		cl.writeSettings(h, server.URL, usageWindow, further, i >= len(cl.hosts))
	}
	return cl
}

// reserveAddresses reserves loopback ports that no other test program uses.
func reserveAddresses(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	reserved := make([]netip.AddrPort, n)
	for i := range reserved {
		var err error
		if reserved[i], err = ports.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	return reserved
}

func (cl *cluster) data(h fleet.Host) string { return filepath.Join(cl.dir, string(h)) }

func (cl *cluster) writeSettings(h fleet.Host, platform string, window time.Duration, relays []fleet.Host, learner bool) {
	list := func(hosts []fleet.Host) string {
		var items []string
		for _, x := range hosts {
			items = append(items, fmt.Sprintf("{host = %q, address = %q, operator = %q}", x, cl.links[x], cl.operators[x]))
		}
		return strings.Join(items, ", ")
	}
	text := fmt.Sprintf(`host = %q
region = "klang"
data-centre = "klang"
addresses = ["127.0.0.1"]
log-level = "info"
control-hosts = [%s]
relays = [%s]
[links]
plain = true
[control]
data = %q
listen = %q
operator = %q
platform = %q
usage = %q
usage-window = %q
learner = %v
`, h, list(cl.hosts), list(relays), cl.data(h), cl.links[h], cl.operators[h], platform, platform, window, learner)
	if err := os.WriteFile(cl.data(h)+".toml", []byte(text), 0o600); err != nil {
		cl.t.Fatal(err)
	}
}

// start spawns the process of a replica with additional environment variables.
func (cl *cluster) start(h fleet.Host, environment ...string) {
	cl.t.Helper()
	log, err := os.OpenFile(cl.data(h)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cl.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0]), done: make(chan struct{}), log: log}
	p.Env = append(os.Environ(), settingsVariable+"="+cl.data(h)+".toml")
	p.Env = append(p.Env, environment...)
	p.Stdout, p.Stderr = log, log
	if p.input, err = p.StdinPipe(); err != nil {
		cl.t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		cl.t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.Wait() // returns an error if the process was killed
	}()
	cl.processes[h] = p
}

// kill ends a replica by SIGKILL and waits for its end.
func (cl *cluster) kill(h fleet.Host) {
	p := cl.processes[h]
	if p == nil {
		return
	}
	_ = p.Process.Kill() // fails if it has ended
	<-p.done
	_ = p.log.Close()
	delete(cl.processes, h)
}

// stop shuts a replica down gracefully.
func (cl *cluster) stop(h fleet.Host) {
	p := cl.processes[h]
	_ = p.input.Close()
	<-p.done
	_ = p.log.Close()
	delete(cl.processes, h)
}

func (cl *cluster) killAll() {
	for h := range cl.processes {
		cl.kill(h)
	}
	if cl.t.Failed() {
		for h := range cl.links {
			text, _ := os.ReadFile(cl.data(h) + ".log")
			cl.t.Logf("log of %s:\n%s", h, text[max(0, len(text)-8000):])
		}
	}
}

// logContains reports whether the log output of a replica's processes contains
// text.
func (cl *cluster) logContains(h fleet.Host, text string) bool {
	b, err := os.ReadFile(cl.data(h) + ".log")
	return err == nil && strings.Contains(string(b), text)
}

// leader returns the status of the leading replica other than except, or an empty
// status if none leads.
func (cl *cluster) leader(except fleet.Host) operator.Status {
	for h := range cl.processes {
		if h == except {
			continue
		}
		ctx, cancel := context.WithTimeout(cl.t.Context(), time.Second)
		s, err := cl.status.StatusOf(ctx, cl.operators[h].String())
		cancel()
		if err == nil && s.Leading {
			return s
		}
	}
	return operator.Status{}
}

// awaitLeader waits for a leader other than the given host.
func (cl *cluster) awaitLeader(except fleet.Host) operator.Status {
	cl.t.Helper()
	var s operator.Status
	cl.await("a leader", func() bool {
		s = cl.leader(except)
		return s.Leading
	})
	return s
}

// checkRunning fails the test if a process has exited unexpectedly.
func (cl *cluster) checkRunning() {
	cl.t.Helper()
	for h, p := range cl.processes {
		select {
		case <-p.done:
			cl.t.Fatalf("process of %s has exited unexpectedly", h)
		default:
		}
	}
}

func (cl *cluster) await(what string, ok func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		cl.checkRunning()
		if time.Now().After(end) {
			cl.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
	}
}

// client returns a node that polls the replicas, beginning with the one at index
// first.
func (cl *cluster) client(host fleet.Host, first int, hosts ...fleet.Host) *subscribe.Client {
	if len(hosts) == 0 {
		hosts = cl.hosts
	}
	pool := &link.Pool{}
	o := subscribe.Options{Links: pool, Host: host, Log: hclog.NewNullLogger()}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		o.Addresses = append(o.Addresses, link.Address{Host: h, AddrPort: cl.links[h]})
	}
	c := subscribe.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx) })
	cl.t.Cleanup(func() {
		cancel()
		pool.Close()
		wg.Wait()
	})
	return c
}
