package state

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"papayarock/core/authority"
	"papayarock/core/config"
	"papayarock/core/fleet"
)

// The tests in this file run random schedules, reproducible by seed, of
// competing leaders, agents, entries and operators around one state
// machine. Messages between them are delayed, reordered, lost or repeated, and
// the invariants are checked at each step.

var (
	searchSeed      = flag.Uint64("seed", 1, "seed of the first schedule")
	searchSchedules = flag.Int("schedules", 2000, "number of schedules")
)

const (
	scheduleSteps = 400
	leaseLength   = 2 * time.Second
	maxQueue      = 200
)

// simulation is the state of one schedule.
type simulation struct {
	*rand.Rand
	variant   variant
	violation string // first violation found
	now       time.Time

	m           *Machine
	index       uint64
	term        uint64
	lease       time.Time // end of the lease that the voters promised
	queue       []func()
	leaders     [3]*leader
	agents      []*agent
	actions     []actionSpan
	checks      checks
	entries     *entryNodes
	usage       *usageReporter
	staleConfig *config.Index // earlier configuration that an operator may compute an edit from
}

type actionSpan struct {
	term        uint64
	from, until time.Time
}

// leader is a process that holds or held the lease. The work in pending was
// decided on while it led and is carried out whenever it next runs.
type leader struct {
	gate    authority.Gate
	pending []func()
}

func newSimulation(seed uint64, v variant) *simulation {
	sim := &simulation{Rand: rand.New(rand.NewPCG(seed, 0)), variant: v, now: start, m: New(), checks: newChecks()}
	sim.m.limits.outOfOrder, sim.m.limits.unacknowledged, sim.m.limits.acknowledged = 3, 2, 2
	for i := range sim.leaders {
		sim.leaders[i] = &leader{}
	}
	sim.usage = newUsageReporter(sim)
	sim.entries = newEntryNodes(sim)
	for i := range 2 {
		sim.agents = append(sim.agents, newAgent(sim, fleet.TargetName(fmt.Sprintf("e%d", i))))
	}
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if sim.violation == "" && strings.Contains(text, sim.variant.expected) { // a variant may break other rules than the one tested
		sim.violation = text
	}
}

func (sim *simulation) chance(percent int) bool { return sim.IntN(100) < percent }

// send queues a message, which may be delivered late, more than once, or never.
func (sim *simulation) send(f func()) {
	if len(sim.queue) < maxQueue {
		sim.queue = append(sim.queue, f)
	}
}

func (sim *simulation) deliver() {
	if len(sim.queue) == 0 {
		return
	}
	i := sim.IntN(len(sim.queue))
	f := sim.queue[i]
	if !sim.chance(15) { // otherwise it is delivered again later
		sim.queue[i] = sim.queue[len(sim.queue)-1]
		sim.queue = sim.queue[:len(sim.queue)-1]
	}
	if sim.chance(90) {
		f()
	}
}

// apply commits a command and checks the result.
func (sim *simulation) apply(c Command) Result {
	if sim.variant.before != nil {
		sim.variant.before(sim, c)
	}
	sim.index++
	sim.m.EnterTerm(sim.term)
	r := sim.m.Apply(sim.index, c)
	sim.check(c, r)
	return r
}

// propose sends a command to the log on behalf of a leader. It is committed
// only if no later leader has been elected.
func (sim *simulation) propose(term uint64, c Command, onResult func(Result)) {
	sim.send(func() {
		if term != sim.term {
			return
		}
		r := sim.apply(c)
		if onResult != nil {
			sim.send(func() { onResult(r) })
		}
	})
}

// forward sends a command to the leader at the time of its arrival.
func (sim *simulation) forward(c Command, onResult func(Result)) {
	sim.send(func() {
		r := sim.apply(c)
		if onResult != nil {
			sim.send(func() { onResult(r) })
		}
	})
}

// act starts an external action of a leader if its gate allows it.
func (sim *simulation) act(l *leader, f func()) {
	deadline := sim.now.Add(time.Duration(100+sim.IntN(700)) * time.Millisecond)
	if l.gate.Begin(sim.now, deadline) != nil && !sim.variant.ignoreGate {
		return
	}
	s := actionSpan{l.gate.Term, sim.now, deadline}
	for _, o := range sim.actions {
		if o.term != s.term && o.from.Before(s.until) && s.from.Before(o.until) {
			sim.failf("terms %d and %d act at once", o.term, s.term)
		}
	}
	sim.actions = append(sim.actions, s)
	sim.send(f)
}

func (sim *simulation) elect() {
	if sim.now.Before(sim.lease) && !sim.variant.electEarly {
		return
	}
	l := sim.leaders[sim.IntN(len(sim.leaders))]
	sim.term++
	l.gate = authority.Gate{Held: true, Term: sim.term, NotBefore: sim.lease}
	if sim.variant.electEarly {
		l.gate.NotBefore = sim.now
	}
	l.pending = nil
	sim.renew(l)
}

func (sim *simulation) renew(l *leader) {
	if l.gate.Term != sim.term {
		return
	}
	sim.lease = sim.now.Add(leaseLength)
	l.gate.Expires = sim.now.Add(leaseLength - leaseLength/100) // reduced by the margin for clock drift
}

func (sim *simulation) step() {
	l := sim.leaders[sim.IntN(len(sim.leaders))]
	switch n := sim.IntN(100); {
	case n < 42:
		sim.deliver()
	case n < 48:
		sim.now = sim.now.Add(time.Duration(sim.IntN(300)) * time.Millisecond)
	case n < 50:
		sim.elect()
	case n < 56:
		sim.renew(l)
	case n < 68:
		sim.leaderStep(l)
	case n < 78:
		l.runNext()
	case n < 86:
		sim.agents[sim.IntN(len(sim.agents))].step()
	case n < 90:
		sim.entries.step()
	case n < 94:
		sim.usage.step()
	case n < 97:
		sim.operatorStep()
	case n < 99:
		sim.forward(Tick{Now: sim.now}, nil)
	default:
		sim.m.Restore(sim.m.Snapshot()) // a replica restarts from a snapshot
	}
}

// runNext carries out one action that was decided earlier.
func (l *leader) runNext() {
	if len(l.pending) > 0 {
		f := l.pending[0]
		l.pending = l.pending[1:]
		f()
	}
}

func (sim *simulation) run() string {
	sim.elect()
	for range scheduleSteps {
		sim.step()
		if sim.violation != "" {
			return sim.violation
		}
	}
	sim.usage.finish()
	return sim.violation
}

// Guards against violations of the state machine's guarantees when messages are
// lost, delayed or repeated.
func TestSearch(t *testing.T) {
	t.Logf("seed %d, %d schedules", *searchSeed, *searchSchedules)
	var total checks
	for i := range *searchSchedules {
		seed := *searchSeed + uint64(i)
		sim := newSimulation(seed, variant{})
		if violation := sim.run(); violation != "" {
			t.Fatalf("-seed %d -schedules 1: %s", seed, violation)
		}
		total.add(sim.checks)
	}
	t.Logf("reached: %+v", total.counts)
	for name, n := range map[string]int{
		"orders": total.counts.effects, "reads": total.counts.reads, "grants": total.counts.grants,
		"windows": total.counts.windows, "starts": total.counts.starts, "changes": total.counts.changes,
		"adaptations": total.counts.adapts,
	} {
		if n < *searchSchedules/20 {
			t.Errorf("too few %s in the schedules for a meaningful test: %d", name, n)
		}
	}
}

// Guards against checks that do not detect a broken rule: each variant breaks
// one, and some schedule must report it.
func TestSearchFindsBrokenRules(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				if violation := newSimulation(seed+1, v).run(); violation != "" {
					t.Logf("schedule %d: %s", seed+1, violation)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
