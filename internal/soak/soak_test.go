package soak_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"papayarock/internal/fake"
	"papayarock/platform/standin"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	length    = flag.Duration("length", 8*time.Second, "how long faults are injected")
	gateways  = flag.Int("gateways", 3, "gateway processes")
	keepLogs  = flag.String("logs", "", "directory that keeps the logs of failed seeds")
)

const (
	// inForce bounds how long after its acknowledgement a document is in force
	// at gateways that are in touch.
	inForce = 2500 * time.Millisecond
	// contact is how long a fault excuses what depends on the process it hit.
	contact = 4 * time.Second
	// recovery bounds how long after the last fault the deployment serves again.
	recovery = 12 * time.Second
	// usageDue bounds how long after the faults a usage window is reported: its
	// length and the time until it is due, from the settings.
	usageDue = 5 * time.Second
	callers  = 6
	// retryShare, retrySlack and retryWindow bound the extra runs of requests, as the
	// settings of the gateways do.
	retryShare  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
	// catchUp is how long a replica that has lost its disk counts as lost after it
	// is back; no other disk may be lost until then.
	catchUp = 4 * time.Second
	// tornBytes is the longest torn write.
	tornBytes = 300
)

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	12: "no usage window by the end: the check did not wait until one was due",
	13: "as seed 12",
	34: "as seed 12",
}

// Guards against the faults of docs/platform.md that only show with real
// processes: see the checks below.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "papayarock")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "papayarock/cmd/papayarock")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := make([]uint64, 0, *seeds+len(regressions))
	for i := range *seeds {
		list = append(list, *firstSeed+uint64(i))
	}
	list = append(list, slices.Sorted(maps.Keys(regressions))...)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

// run is one play of a seed.
type run struct {
	*world
	t    *testing.T
	roll func() int

	mu       sync.Mutex
	outcomes []standin.Outcome
	sent     map[uint64][]byte // documents by version
	acked    uint64            // highest version that was acknowledged
	gone     bool              // key-2 is not in the newest document
	drains   []drained
	faults   []string
	hits     []time.Time // faults of processes
	wipeable time.Time   // when the next disk may be lost
	reads    int
}

type drained struct{ m *member }

func play(t *testing.T, binary string, seed uint64) {
	var rolling sync.Mutex
	answers := rand.New(rand.NewPCG(seed, 1))
	roll := func() int {
		rolling.Lock()
		defer rolling.Unlock()
		return answers.IntN(100)
	}
	w := newWorld(t, binary, roll)
	r := &run{world: w, t: t, roll: roll, sent: make(map[uint64][]byte)}
	t.Cleanup(func() { r.keep(seed) })
	random := rand.New(rand.NewPCG(seed, 0))
	r.put(1, true)
	ctx, stop := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { r.call(ctx, seed, i) })
	}
	calling.Go(func() { r.readBack(ctx) })
	var pending sync.WaitGroup
	for end := time.Now().Add(*length); time.Now().Before(end); {
		r.fault(random, &pending)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	pending.Wait()
	w.mu.Lock()
	for _, m := range w.targets {
		m.SetBehaviour(standin.Behaviour{Work: 10 * time.Millisecond})
		m.proxy.UpdateFaults(func(f *fake.ProxyFaults) { *f = fake.ProxyFaults{} })
	}
	w.mu.Unlock()
	for _, p := range w.replicas {
		r.clearLinks(p)
	}
	r.heal()
	stop()
	calling.Wait()
	r.judge(t.Errorf)
	windows, broken := w.sink.Reports()
	for end := time.Now().Add(usageDue); windows == 0 && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		windows, broken = w.sink.Reports()
	}
	for _, b := range broken {
		t.Errorf("usage: %s", b)
	}
	if windows == 0 {
		t.Error("no usage window was reported")
	}
	peak := 0
	for _, p := range slices.Concat(w.replicas, w.gateways) {
		peak += p.peakMemory()
	}
	t.Logf("seed %d: %d processes, %d MiB at their peaks", seed, len(w.replicas)+len(w.gateways), peak>>10)
	t.Logf("seed %d: %d faults, %d requests, %d reads, %d usage windows", seed, len(r.faults), len(r.outcomes), r.reads, windows)
}

// keep copies the logs of a failed seed.
func (r *run) keep(seed uint64) {
	if !r.t.Failed() {
		return
	}
	r.t.Logf("faults:\n%s", strings.Join(r.faults, "\n"))
	if *keepLogs == "" {
		return
	}
	to := filepath.Join(*keepLogs, fmt.Sprint("seed-", seed))
	if err := os.CopyFS(to, os.DirFS(r.dir)); err != nil {
		r.t.Logf("logs not kept: %v", err)
	}
}

// put sends a document and notes that it was acknowledged.
func (r *run) put(version uint64, withKey2 bool) {
	d := standin.Document(version, pool, withKey2)
	r.mu.Lock()
	r.sent[version] = d
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, 2*recovery)
	defer cancel()
	o := &standin.Operator{Control: r.control}
	if err := o.Put(ctx, d); err != nil {
		r.t.Errorf("document %d: %v", version, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.acked {
		r.acked, r.gone = version, !withKey2
	}
}

// call sends requests until ctx ends. A caller keeps its connections.
func (r *run) call(ctx context.Context, seed uint64, caller int) {
	random := rand.New(rand.NewPCG(seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4,
	}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"/read/", "/order/", "/order/", "/stream/"}[random.IntN(4)]
		id := fmt.Sprintf("s%d-%d-%d", seed, caller, n)
		o := standin.SendRequest(context.Background(), client, r.fronts[random.IntN(len(r.fronts))], id, path, "key-1")
		r.mu.Lock()
		r.outcomes = append(r.outcomes, o)
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// readBack reads the document from all replicas: a clear answer is never older
// than what was acknowledged before the read, and is what was sent.
func (r *run) readBack(ctx context.Context) {
	o := &standin.Operator{Control: r.control}
	for ctx.Err() == nil {
		r.mu.Lock()
		acked := r.acked
		r.mu.Unlock()
		version, text, ok := o.Show(ctx)
		if ok {
			r.mu.Lock()
			r.reads++
			if version < acked {
				r.t.Errorf("read of version %d after %d was acknowledged", version, acked)
			}
			if string(text) != string(r.sent[version]) {
				r.t.Errorf("version %d reads otherwise than it was sent", version)
			}
			r.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heal requires that each gateway serves by the newest document again.
func (r *run) heal() {
	r.mu.Lock()
	acked, gone := r.acked, r.gone
	r.mu.Unlock()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(recovery)
	for i, g := range r.fronts {
		for n := 0; ; n++ {
			id := fmt.Sprintf("heal-%d-%d", i, n)
			newest := standin.SendRequest(r.ctx, client, g, id+"-v", fmt.Sprintf("/v%d/", acked), "key-1")
			key2 := standin.SendRequest(r.ctx, client, g, id+"-k", "/read/", "key-2")
			if newest.Status == http.StatusOK && (key2.Status == http.StatusUnauthorized) == gone && key2.Status != 0 && key2.Status < 500 {
				break
			}
			if time.Now().After(deadline) {
				r.t.Errorf("%s after the faults: newest document %d gives %d, key-2 (withdrawn %v) gives %d",
					g, acked, newest.Status, gone, key2.Status)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
