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

// settingsEnv is the environment variable that makes the test binary run as a
// replica. It holds the path of the settings file.
const settingsEnv = "PAPAYAROCK_TEST_SETTINGS"

// fileLimitEnv is the environment variable that limits the size in bytes of
// each file that a spawned replica writes. Writes beyond it fail, which simulates a
// full disk.
const fileLimitEnv = "PAPAYAROCK_TEST_FILE_LIMIT"

// waitTimeout bounds each wait for an expected condition.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		if err := serveChild(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveChild runs a replica with a settings file until the standard input is closed.
// This also happens when the test ends, so the process never outlives it.
func serveChild(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(os.Getenv(fileLimitEnv), 10, 64); err == nil {
		signal.Ignore(syscall.SIGXFSZ) // a write beyond the limit must fail, not end the process
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

// cluster is a group of control replicas and the fake platform that they call.
type cluster struct {
	t                 testing.TB
	dir               string
	hosts             []fleet.Host                  // the voters at the start
	linkAddresses     map[fleet.Host]netip.AddrPort // link addresses
	operatorAddresses map[fleet.Host]netip.AddrPort // addresses for operators
	platform          *fake.Platform
	processes         map[fleet.Host]*process // running or unexpectedly ended
	operatorClient    *operator.Client
}

// process is a spawned replica.
type process struct {
	*exec.Cmd
	stdin io.Closer     // closing it makes the process shut down
	done  chan struct{} // closed when the process has ended
	log   *os.File
}

// newCluster prepares a cluster and starts its three voters.
func newCluster(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *cluster {
	t.Helper()
	cl := prepareCluster(t, usageWindow, further...)
	for _, h := range cl.hosts {
		cl.start(h)
	}
	return cl
}

// prepareCluster reserves addresses and writes settings for three voters and for
// further hosts, which are learners that may be added later. It starts no process.
func prepareCluster(t testing.TB, usageWindow time.Duration, further ...fleet.Host) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, dir: t.TempDir(), hosts: []fleet.Host{"c1", "c2", "c3"}, linkAddresses: make(map[fleet.Host]netip.AddrPort),
		operatorAddresses: make(map[fleet.Host]netip.AddrPort), platform: &fake.Platform{}, processes: make(map[fleet.Host]*process),
	}
	server := httptest.NewServer(cl.platform)
	t.Cleanup(server.Close)
	all := append(append([]fleet.Host(nil), cl.hosts...), further...)
	reserved := reserveAddresses(t, 2*len(all))
	var addresses []string
	for i, h := range all {
		cl.linkAddresses[h], cl.operatorAddresses[h] = reserved[2*i], reserved[2*i+1]
		addresses = append(addresses, cl.operatorAddresses[h].String())
	}
	var err error
	if cl.operatorClient, err = operator.New(operator.Options{Addresses: addresses}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.operatorClient.Close)
	t.Cleanup(cl.killAll)
	for i, h := range all {
		cl.writeSettings(h, server.URL, usageWindow, further, i >= len(cl.hosts))
	}
	return cl
}

// reserveAddresses reserves n loopback addresses, each with a port that no other test
// process uses.
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

// dataDir returns the data directory of a replica. The names of its settings and log
// files are this path with a suffix.
func (cl *cluster) dataDir(h fleet.Host) string { return filepath.Join(cl.dir, string(h)) }

// writeSettings writes the settings file of a replica. Its relays are the hosts
// outside the first group of voters.
func (cl *cluster) writeSettings(h fleet.Host, platform string, window time.Duration, relays []fleet.Host, learner bool) {
	list := func(hosts []fleet.Host) string {
		var items []string
		for _, x := range hosts {
			items = append(items, fmt.Sprintf("{host = %q, address = %q, operator = %q}", x, cl.linkAddresses[x], cl.operatorAddresses[x]))
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
`, h, list(cl.hosts), list(relays), cl.dataDir(h), cl.linkAddresses[h], cl.operatorAddresses[h], platform, platform, window, learner)
	if err := os.WriteFile(cl.dataDir(h)+".toml", []byte(text), 0o600); err != nil {
		cl.t.Fatal(err)
	}
}

// start spawns the process of a replica with additional environment variables.
func (cl *cluster) start(h fleet.Host, environment ...string) {
	cl.t.Helper()
	log, err := os.OpenFile(cl.dataDir(h)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cl.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0]), done: make(chan struct{}), log: log}
	p.Env = append(os.Environ(), settingsEnv+"="+cl.dataDir(h)+".toml")
	p.Env = append(p.Env, environment...)
	p.Stdout, p.Stderr = log, log
	if p.stdin, err = p.StdinPipe(); err != nil {
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

// kill sends SIGKILL to the process of a replica, if there is one, and waits until it
// has ended.
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

// stop shuts a replica down gracefully and waits until its process has ended.
func (cl *cluster) stop(h fleet.Host) {
	p := cl.processes[h]
	_ = p.stdin.Close()
	<-p.done
	_ = p.log.Close()
	delete(cl.processes, h)
}

// killAll kills all replicas. If the test has failed, it logs the end of their log
// output.
func (cl *cluster) killAll() {
	for h := range cl.processes {
		cl.kill(h)
	}
	if cl.t.Failed() {
		for h := range cl.linkAddresses {
			text, _ := os.ReadFile(cl.dataDir(h) + ".log")
			cl.t.Logf("log of %s:\n%s", h, text[max(0, len(text)-8000):])
		}
	}
}

// logContains reports whether the log output of a replica's processes contains
// text.
func (cl *cluster) logContains(h fleet.Host, text string) bool {
	b, err := os.ReadFile(cl.dataDir(h) + ".log")
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
		s, err := cl.operatorClient.StatusOf(ctx, cl.operatorAddresses[h].String())
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

// await waits until condition holds. It fails the test after waitTimeout, or when a
// process has exited unexpectedly. what names the condition in the failure.
func (cl *cluster) await(what string, condition func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		cl.checkRunning()
		if time.Now().After(end) {
			cl.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
	}
}

// client starts the control client of a node. It polls the replicas on hosts, by
// default the voters, and begins with the one at index first.
func (cl *cluster) client(host fleet.Host, first int, hosts ...fleet.Host) *subscribe.Client {
	if len(hosts) == 0 {
		hosts = cl.hosts
	}
	pool := &link.Pool{}
	o := subscribe.Options{Links: pool, Host: host, Log: hclog.NewNullLogger()}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		o.Addresses = append(o.Addresses, link.Address{Host: h, AddrPort: cl.linkAddresses[h]})
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
