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

// childSettings names the settings file of a process that a test spawned from
// the test binary.
const childSettings = "PAPAYAROCK_TEST_SETTINGS"

// fileLimit names the largest size of a file that a spawned process may write,
// in bytes. Beyond it, writes fail as on a full disk.
const fileLimit = "PAPAYAROCK_TEST_FILE_LIMIT"

// waitLimit bounds each wait for a state that must come about.
const waitLimit = 30 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(childSettings); file != "" {
		if err := serveChild(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveChild runs the process of a settings file until its standard input ends,
// so that it never outlives the test.
func serveChild(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(os.Getenv(fileLimit), 10, 64); err == nil {
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

// rig is a group of control processes.
type rig struct {
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

// newRig draws addresses for three voters and, by name, further replicas, and
// starts the voters.
func newRig(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *rig {
	t.Helper()
	r := prepareRig(t, usageWindow, further...)
	for _, h := range r.hosts {
		r.start(h)
	}
	return r
}

// prepareRig is newRig without the start.
func prepareRig(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *rig {
	t.Helper()
	r := &rig{
		t: t, dir: t.TempDir(), hosts: []fleet.Host{"c1", "c2", "c3"}, links: make(map[fleet.Host]netip.AddrPort),
		operators: make(map[fleet.Host]netip.AddrPort), platform: &fake.Platform{}, processes: make(map[fleet.Host]*process),
	}
	server := httptest.NewServer(r.platform)
	t.Cleanup(server.Close)
	all := append(append([]fleet.Host(nil), r.hosts...), further...)
	drawn := freePorts(t, 2*len(all))
	var addresses []string
	for i, h := range all {
		r.links[h], r.operators[h] = drawn[2*i], drawn[2*i+1]
		addresses = append(addresses, r.operators[h].String())
	}
	var err error
	if r.status, err = operator.New(operator.Options{Addresses: addresses}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.status.Close)
	t.Cleanup(r.killAll)
	for i, h := range all {
		r.writeSettings(h, server.URL, usageWindow, further, i >= len(r.hosts))
	}
	return r
}

// freePorts draws loopback ports that no other test program uses.
func freePorts(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	drawn := make([]netip.AddrPort, n)
	for i := range drawn {
		var err error
		if drawn[i], err = ports.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	return drawn
}

func (r *rig) data(h fleet.Host) string { return filepath.Join(r.dir, string(h)) }

func (r *rig) writeSettings(h fleet.Host, platform string, window time.Duration, relays []fleet.Host, learner bool) {
	list := func(hosts []fleet.Host) string {
		var items []string
		for _, x := range hosts {
			items = append(items, fmt.Sprintf("{host = %q, address = %q, operator = %q}", x, r.links[x], r.operators[x]))
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
`, h, list(r.hosts), list(relays), r.data(h), r.links[h], r.operators[h], platform, platform, window, learner)
	if err := os.WriteFile(r.data(h)+".toml", []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// start spawns the process of a replica, with further variables of its
// environment.
func (r *rig) start(h fleet.Host, environment ...string) {
	r.t.Helper()
	log, err := os.OpenFile(r.data(h)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0]), done: make(chan struct{}), log: log}
	p.Env = append(os.Environ(), childSettings+"="+r.data(h)+".toml")
	p.Env = append(p.Env, environment...)
	p.Stdout, p.Stderr = log, log
	if p.input, err = p.StdinPipe(); err != nil {
		r.t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.Wait() // reports the kill
	}()
	r.processes[h] = p
}

// kill ends a replica by SIGKILL.
func (r *rig) kill(h fleet.Host) {
	p := r.processes[h]
	if p == nil {
		return
	}
	_ = p.Process.Kill() // fails if it has ended
	<-p.done
	_ = p.log.Close()
	delete(r.processes, h)
}

// stop ends a replica in order.
func (r *rig) stop(h fleet.Host) {
	p := r.processes[h]
	_ = p.input.Close()
	<-p.done
	_ = p.log.Close()
	delete(r.processes, h)
}

func (r *rig) killAll() {
	for h := range r.processes {
		r.kill(h)
	}
	if r.t.Failed() {
		for h := range r.links {
			text, _ := os.ReadFile(r.data(h) + ".log")
			r.t.Logf("log of %s:\n%s", h, text[max(0, len(text)-8000):])
		}
	}
}

// logged says whether the log of a replica's processes holds a text.
func (r *rig) logged(h fleet.Host, text string) bool {
	b, err := os.ReadFile(r.data(h) + ".log")
	return err == nil && strings.Contains(string(b), text)
}

// leader asks the replicas other than the given one which leads; it is empty
// if none does.
func (r *rig) leader(except fleet.Host) operator.Status {
	for h := range r.processes {
		if h == except {
			continue
		}
		ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
		s, err := r.status.StatusOf(ctx, r.operators[h].String())
		cancel()
		if err == nil && s.Leading {
			return s
		}
	}
	return operator.Status{}
}

// awaitLeader waits for a leader other than the given host.
func (r *rig) awaitLeader(except fleet.Host) operator.Status {
	r.t.Helper()
	var s operator.Status
	r.await("a leader", func() bool {
		s = r.leader(except)
		return s.Leading
	})
	return s
}

// checkRunning fails the test if a process has ended by itself.
func (r *rig) checkRunning() {
	r.t.Helper()
	for h, p := range r.processes {
		select {
		case <-p.done:
			r.t.Fatalf("the process of %s has ended", h)
		default:
		}
	}
}

func (r *rig) await(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(10 * time.Millisecond) {
		r.checkRunning()
		if time.Now().After(end) {
			r.t.Fatalf("after %v still without %s", waitLimit, what)
		}
	}
}

// client returns a node that polls the replicas, beginning with the given one.
func (r *rig) client(host fleet.Host, first int, hosts ...fleet.Host) *subscribe.Client {
	if len(hosts) == 0 {
		hosts = r.hosts
	}
	pool := &link.Pool{}
	o := subscribe.Options{Links: pool, Host: host, Log: hclog.NewNullLogger()}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		o.Addresses = append(o.Addresses, link.Address{Host: h, AddrPort: r.links[h]})
	}
	c := subscribe.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx) })
	r.t.Cleanup(func() {
		cancel()
		pool.Close()
		wg.Wait()
	})
	return c
}
