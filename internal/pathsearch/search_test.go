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

// runsPerBubble is the number of runs in one bubble. They share the cost of the
// garbage collections before and after it.
const runsPerBubble = 10

// counts holds the coverage of the runs.
type counts struct {
	processFaults, linkFaults, replays                 atomic.Int64
	runs, answered, billed, unsettled                  atomic.Int64
	notRunTrue, notRunFalse, notRunUnknown, finalSends atomic.Int64
}

func (c *counts) String() string {
	return fmt.Sprintf("process faults %d, link faults %d, replayed connections %d, runs %d, responses %d, billing checks %d, unsettled claims %d, not-run true %d false %d unknown %d, final sends answered %d",
		c.processFaults.Load(), c.linkFaults.Load(), c.replays.Load(), c.runs.Load(), c.answered.Load(), c.billed.Load(), c.unsettled.Load(),
		c.notRunTrue.Load(), c.notRunFalse.Load(), c.notRunUnknown.Load(), c.finalSends.Load())
}

// simulation is the simulated deployment of one seed.
type simulation struct {
	plan         *plan
	variant      variant
	counts       *counts
	log          hclog.Logger
	config       atomic.Pointer[config.Index]
	control      *control
	entries      []*process
	agents       []*process
	services     []*process
	steps        atomic.Int64
	dials        atomic.Int64
	requests     atomic.Int64
	admissions   atomic.Int64
	faultsEnded  atomic.Bool
	activeFaults atomic.Int64 // process faults in progress

	mu             sync.Mutex
	violations     []string
	sends          []*send
	runs           []*run
	agentInstances []*instance // instances of agents, current and past
	linkFaults     []*memlink.Fault
}

func (sim *simulation) failf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failLockedf(format, args...)
}

// failLockedf is failf for callers that hold sim.mu.
func (sim *simulation) failLockedf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if strings.Contains(text, sim.variant.violation) { // a variant may cause other violations, too
		sim.violations = append(sim.violations, text)
	}
}

// step counts one step, such as a message or a stage of a service, and injects
// the fault that is planned for it.
func (sim *simulation) step() {
	if f, ok := sim.plan.faultsAtStep[sim.steps.Add(1)-1]; ok && !sim.faultsEnded.Load() {
		sim.beginProcessFault(f)
	}
}

func (sim *simulation) beginProcessFault(f processFault) {
	sim.activeFaults.Add(1)
	go func() {
		defer sim.activeFaults.Add(-1)
		sim.runProcessFault(f)
	}()
}

func (sim *simulation) target(i int) fleet.Target {
	return fleet.Target{
		Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Host: fleet.Host(fmt.Sprintf("h%d", i)), Pool: "app", Phase: fleet.Ready,
		Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
	}
}

func (sim *simulation) snapshot() config.Snapshot {
	const promise = 20 * time.Second
	s := config.Snapshot{Revision: 1, Document: config.Document{Routes: []config.Route{
		{Name: "orders", Prefix: "/orders", Pool: "app", Promise: promise, Idempotent: sim.variant.idempotent},
		{Name: "reads", Prefix: "/reads", Pool: "app", Promise: promise, Idempotent: true},
	}}}
	for i, c := range customers {
		s.Keys = append(s.Keys, config.Key{ID: c, Digest: sha256.Sum256([]byte(secrets[i])), Customer: fleet.Customer(c)})
	}
	for i := range nAgents {
		s.Targets = append(s.Targets, sim.target(i))
	}
	return s
}

// runSeed runs one seed and returns the violations that it finds.
func runSeed(seed uint64, v variant, c *counts, log hclog.Logger) []string {
	sim := &simulation{plan: newPlan(seed), variant: v, counts: c, log: log}
	sim.control = newControl(sim)
	sim.config.Store(config.NewIndex(sim.snapshot()))
	for i := range nAgents {
		sim.services, sim.agents = append(sim.services, &process{}), append(sim.agents, &process{})
		sim.startService(i)
		sim.startAgent(i)
	}
	for i := range nEntries {
		sim.entries = append(sim.entries, &process{})
		sim.startEntry(i)
	}
	for at, f := range sim.plan.faultsAtTime {
		time.AfterFunc(at, func() {
			if !sim.faultsEnded.Load() {
				sim.beginProcessFault(f)
			}
		})
	}
	var callers sync.WaitGroup
	for n, o := range sim.plan.orders {
		callers.Go(func() { sim.call(n, o) })
		if o.concurrent && o.kind == keyed {
			callers.Go(func() { sim.call(n, o) })
		}
	}
	callers.Wait()
	sim.endFaults()
	for n, o := range sim.plan.orders {
		if o.kind == keyed {
			if s := sim.send(n, o, sendPlan{timeout: time.Minute}); s.err == nil && !s.refused() {
				c.finalSends.Add(1)
			}
		}
	}
	sim.checkIdle()
	sim.check()
	c.runs.Add(int64(len(sim.runs)))
	for _, f := range sim.linkFaults {
		if f.Triggered.Load() {
			c.linkFaults.Add(1)
		}
	}
	for _, ps := range [][]*process{sim.entries, sim.agents, sim.services} {
		for _, p := range ps {
			p.current().terminate()
		}
	}
	time.Sleep(10 * time.Minute) // lets running requests reach their deadlines
	return sim.violations
}

// endFaults disables further faults, waits until the active ones have ended and
// their processes are restarted, and lifts the faults of all links.
func (sim *simulation) endFaults() {
	sim.faultsEnded.Store(true)
	for sim.activeFaults.Load() > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	sim.mu.Lock()
	for _, f := range sim.linkFaults {
		f.FramesLeft.Store(1 << 40)
	}
	sim.mu.Unlock()
	time.Sleep(10 * time.Second) // time to replace stalled links and for delayed commands to arrive
}

// Guards against an order that runs twice, a refusal with a wrong not-run value, a
// truncated or misdirected response, and usage that is lost or billed twice, under
// lost, delayed and repeated messages and killed and paused processes.
func TestSearch(t *testing.T) {
	t.Logf("seed %d, %d runs", *searchSeed, *searchRuns)
	var c counts
	for from := *searchSeed; from < *searchSeed+*searchRuns; from += runsPerBubble {
		until := min(from+runsPerBubble, *searchSeed+*searchRuns)
		t.Run(fmt.Sprintf("seeds %d to %d", from, until-1), func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				log := hclog.NewNullLogger()
				if *searchRuns == 1 {
					log = hclog.New(&hclog.LoggerOptions{Output: t.Output(), Level: hclog.Debug})
				}
				for seed := from; seed < until; seed++ {
					for _, violation := range runSeed(seed, variant{}, &c, log) {
						t.Errorf("-seed %d -runs 1: %s", seed, violation)
					}
				}
			})
		})
	}
	t.Logf("coverage: %s", &c)
	const minRuns = 100 // number of runs from which on the coverage is checked
	for name, n := range map[string]int64{
		"process faults": c.processFaults.Load(), "link faults": c.linkFaults.Load(), "replayed connections": c.replays.Load(),
		"answers": c.answered.Load(), "billing checks": c.billed.Load(),
		"refusals with not-run true": c.notRunTrue.Load(), "refusals with not-run false": c.notRunFalse.Load(),
	} {
		if *searchRuns >= minRuns && uint64(n) < *searchRuns/4 {
			t.Errorf("too few %s for a meaningful search: %d", name, n)
		}
	}
}
