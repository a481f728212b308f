package pathsearch

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/memlink"
)

var (
	searchSeed = flag.Uint64("seed", 1, "seed of the first run")
	searchRuns = flag.Uint64("runs", defaultRuns, "number of runs")
)

// runsInBubble spreads the cost of the collections around a bubble.
const runsInBubble = 10

// counts says what the runs have reached.
type counts struct {
	actions, hits, replays                             atomic.Int64
	runs, answered, billed, unsettled                  atomic.Int64
	notRunTrue, notRunFalse, notRunUnknown, finalSends atomic.Int64
}

func (c *counts) String() string {
	return fmt.Sprintf("kills and pauses %d, damaged links %d, replayed links %d, runs %d, answers %d, billing checks %d, claims left running %d, not-run true %d false %d unknown %d, last sends answered %d",
		c.actions.Load(), c.hits.Load(), c.replays.Load(), c.runs.Load(), c.answered.Load(), c.billed.Load(), c.unsettled.Load(),
		c.notRunTrue.Load(), c.notRunFalse.Load(), c.notRunUnknown.Load(), c.finalSends.Load())
}

// world is one run of the search.
type world struct {
	plan       *plan
	v          variant
	counts     *counts
	log        hclog.Logger
	config     atomic.Pointer[config.Index]
	control    *control
	entries    []*process
	agents     []*process
	services   []*process
	steps      atomic.Int64
	dials      atomic.Int64
	requests   atomic.Int64
	admissions atomic.Int64
	healed     atomic.Bool
	acting     atomic.Int64 // faults of processes that have not ended

	mu      sync.Mutex
	faults  []string
	sends   []*send
	runs    []*run
	lives   []*life // of agents
	damaged []*memlink.Fault
}

func (w *world) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault(format, args...)
}

// fault is failf for callers that hold w.mu.
func (w *world) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if strings.Contains(text, w.v.finds) { // a variant may break more than it is to show
		w.faults = append(w.faults, text)
	}
}

// step counts a message or a stage of a service, and begins the fault that is
// drawn for it.
func (w *world) step() {
	if a, ok := w.plan.actions[w.steps.Add(1)-1]; ok && !w.healed.Load() {
		w.begin(a)
	}
}

func (w *world) begin(a action) {
	w.acting.Add(1)
	go func() {
		defer w.acting.Add(-1)
		w.act(a)
	}()
}

func (w *world) target(i int) fleet.Target {
	return fleet.Target{
		Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Host: fleet.Host(fmt.Sprintf("h%d", i)), Pool: "app", Phase: fleet.Ready,
		Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
	}
}

func (w *world) snapshot() config.Snapshot {
	const promise = 20 * time.Second
	s := config.Snapshot{Revision: 1, Document: config.Document{Routes: []config.Route{
		{Name: "orders", Prefix: "/orders", Pool: "app", Promise: promise, Idempotent: w.v.idempotent},
		{Name: "reads", Prefix: "/reads", Pool: "app", Promise: promise, Idempotent: true},
	}}}
	for i, c := range customers {
		s.Keys = append(s.Keys, config.Key{ID: c, Digest: sha256.Sum256([]byte(secrets[i])), Customer: fleet.Customer(c)})
	}
	for i := range nAgents {
		s.Targets = append(s.Targets, w.target(i))
	}
	return s
}

// explore makes one run and returns the faults that it finds.
func explore(seed uint64, v variant, c *counts, log hclog.Logger) []string {
	w := &world{plan: newPlan(seed), v: v, counts: c, log: log}
	w.control = newControl(w)
	w.config.Store(config.NewIndex(w.snapshot()))
	for i := range nAgents {
		w.services, w.agents = append(w.services, &process{}), append(w.agents, &process{})
		w.startService(i)
		w.startAgent(i)
	}
	for i := range nEntries {
		w.entries = append(w.entries, &process{})
		w.startEntry(i)
	}
	for at, a := range w.plan.timed {
		time.AfterFunc(at, func() {
			if !w.healed.Load() {
				w.begin(a)
			}
		})
	}
	var callers sync.WaitGroup
	for n, o := range w.plan.orders {
		callers.Go(func() { w.call(n, o) })
		if o.twin && o.kind == keyed {
			callers.Go(func() { w.call(n, o) })
		}
	}
	callers.Wait()
	w.heal()
	for n, o := range w.plan.orders {
		if o.kind == keyed {
			if s := w.send(n, o, sendPlan{patience: time.Minute}); s.err == nil && !s.refused() {
				c.finalSends.Add(1)
			}
		}
	}
	w.checkIdle()
	w.check()
	c.runs.Add(int64(len(w.runs)))
	for _, f := range w.damaged {
		if f.Triggered.Load() {
			c.hits.Add(1)
		}
	}
	for _, ps := range [][]*process{w.entries, w.agents, w.services} {
		for _, p := range ps {
			p.current().end()
		}
	}
	time.Sleep(10 * time.Minute) // running requests end by their deadlines
	return w.faults
}

// heal ends all faults and starts what is down.
func (w *world) heal() {
	w.healed.Store(true)
	for w.acting.Load() > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	w.mu.Lock()
	for _, f := range w.damaged {
		f.FramesLeft.Store(1 << 40)
	}
	w.mu.Unlock()
	time.Sleep(10 * time.Second) // silent links are replaced, late commands arrive
}

// Guards against any schedule of lost, late and repeated messages and of killed
// and paused processes in which an order runs twice, a refusal is untrue, an
// answer is cut or crossed, or usage is lost or billed twice.
func TestSearch(t *testing.T) {
	t.Logf("seed %d, %d runs", *searchSeed, *searchRuns)
	var c counts
	for from := *searchSeed; from < *searchSeed+*searchRuns; from += runsInBubble {
		until := min(from+runsInBubble, *searchSeed+*searchRuns)
		t.Run(fmt.Sprintf("seeds %d to %d", from, until-1), func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				log := hclog.NewNullLogger()
				if *searchRuns == 1 {
					log = hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Debug})
				}
				for seed := from; seed < until; seed++ {
					for _, fault := range explore(seed, variant{}, &c, log) {
						t.Errorf("-seed %d -runs 1: %s", seed, fault)
					}
				}
			})
		})
	}
	t.Logf("reached: %s", &c)
	const enough = 100 // runs that must reach everything
	for name, n := range map[string]int64{
		"kills and pauses": c.actions.Load(), "damaged links": c.hits.Load(), "replayed links": c.replays.Load(),
		"answers": c.answered.Load(), "billing checks": c.billed.Load(),
		"refusals as not run": c.notRunTrue.Load(), "refusals as run": c.notRunFalse.Load(),
	} {
		if *searchRuns >= enough && uint64(n) < *searchRuns/4 {
			t.Errorf("the runs reach too few %s to mean anything: %d", name, n)
		}
	}
}
