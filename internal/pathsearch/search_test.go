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
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seedCount = flag.Uint64("runs", defaultSeedCount, "number of seeds")
)

// seedsPerBubble is the number of seeds that run in one synctest bubble. They share
// the cost of the two garbage collections before and after a bubble.
const seedsPerBubble = 10

// counts shows how much the seeds have covered.
type counts struct {
	processFaults, linkFaults, replays                 atomic.Int64 // faults injected, connections replayed
	runs, responses, billingChecks, unsettledClaims    atomic.Int64 // runs, responses and billing checked, claims never settled
	notRunTrue, notRunFalse, notRunUnknown, finalSends atomic.Int64 // refusals by not-run value, orders answered after the faults
}

func (c *counts) String() string {
	return fmt.Sprintf("process faults %d, link faults %d, replayed connections %d, runs %d, responses %d, billing checks %d, unsettled claims %d, not-run true %d false %d unknown %d, final sends answered %d",
		c.processFaults.Load(), c.linkFaults.Load(), c.replays.Load(), c.runs.Load(), c.responses.Load(), c.billingChecks.Load(), c.unsettledClaims.Load(),
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
	steps        atomic.Int64 // number of steps; selects the next of plan.faultsAtStep
	dials        atomic.Int64 // number of links dialled; selects the next of plan.linkFaults
	requests     atomic.Int64 // number of requests at services; selects the next of plan.behaviours
	admissions   atomic.Int64 // number of admissions; selects the next of plan.admissions
	faultsEnded  atomic.Bool  // no further fault is injected
	activeFaults atomic.Int64 // process faults in progress

	// mu guards the fields below. Checks lock it before control.mu.
	mu             sync.Mutex
	violations     []string
	sends          []*send
	runs           []*run
	agentInstances []*instance // instances of agents, current and past
	linkFaults     []*memlink.Fault
}

// failf records a violation. A variant that must cause a certain violation ignores
// all others, because it may cause them, too.
func (sim *simulation) failf(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failLockedf(format, args...)
}

// failLockedf is failf for code that holds sim.mu.
func (sim *simulation) failLockedf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if strings.Contains(text, sim.variant.violation) {
		sim.violations = append(sim.violations, text)
	}
}

// step counts one step and injects the process fault planned for it. A step is a
// link frame, a submission of a command, its application, or a stage of a request at
// a service.
func (sim *simulation) step() {
	if f, ok := sim.plan.faultsAtStep[sim.steps.Add(1)-1]; ok && !sim.faultsEnded.Load() {
		sim.startProcessFault(f)
	}
}

// startProcessFault injects a process fault in the background.
func (sim *simulation) startProcessFault(f processFault) {
	sim.activeFaults.Add(1)
	go func() {
		defer sim.activeFaults.Add(-1)
		sim.injectProcessFault(f)
	}()
}

// target returns the target of the i-th agent. The port of its address encodes i.
func (sim *simulation) target(i int) fleet.Target {
	return fleet.Target{
		Name: fleet.TargetName(fmt.Sprintf("t%d", i)), Host: fleet.Host(fmt.Sprintf("h%d", i)), Pool: "app", Phase: fleet.Ready,
		Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
	}
}

// snapshot returns the configuration of the entries.
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
				sim.startProcessFault(f)
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
	// One more request per idempotency key covers the claims that the faults left
	// behind.
	for n, o := range sim.plan.orders {
		if o.kind == keyed {
			if s := sim.sendRequest(n, o, sendPlan{timeout: time.Minute}); s.err == nil && !s.refused() {
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
	time.Sleep(10 * time.Minute) // lets running requests reach their deadlines, so that their goroutines end
	return sim.violations
}

// endFaults disables further faults, waits until the active ones have ended and
// their processes are restarted, and prevents faults of links that have not taken
// effect.
func (sim *simulation) endFaults() {
	sim.faultsEnded.Store(true)
	for sim.activeFaults.Load() > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	sim.mu.Lock()
	for _, f := range sim.linkFaults {
		f.FramesLeft.Store(1 << 40) // more than any connection sends
	}
	sim.mu.Unlock()
	time.Sleep(10 * time.Second) // stalled links are replaced and delayed commands applied in this time
}

// Guards against an order that runs twice, a refusal whose not-run value misstates
// whether the order has run, a truncated response or one to another order, and usage
// that is lost or billed twice. They may come about when messages are lost, delayed
// or repeated, and when processes are killed or paused.
func TestSearch(t *testing.T) {
	t.Logf("first seed %d, %d seeds", *firstSeed, *seedCount)
	var c counts
	for from := *firstSeed; from < *firstSeed+*seedCount; from += seedsPerBubble {
		until := min(from+seedsPerBubble, *firstSeed+*seedCount)
		t.Run(fmt.Sprintf("seeds %d to %d", from, until-1), func(t *testing.T) {
			memlink.RunInBubble(t, func(t *testing.T) {
				log := hclog.NewNullLogger()
				if *seedCount == 1 {
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
	const minSeeds = 100 // with fewer seeds the coverage is not checked
	for name, n := range map[string]int64{
		"process faults": c.processFaults.Load(), "link faults": c.linkFaults.Load(), "replayed connections": c.replays.Load(),
		"answers": c.responses.Load(), "billing checks": c.billingChecks.Load(),
		"refusals with not-run true": c.notRunTrue.Load(), "refusals with not-run false": c.notRunFalse.Load(),
	} {
		if *seedCount >= minSeeds && uint64(n) < *seedCount/4 {
			t.Errorf("coverage: %d %s in %d seeds, want at least one in four seeds", n, name, *seedCount)
		}
	}
}
