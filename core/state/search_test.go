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

// The search runs seeded schedules of would-be leaders, agents, entries and
// operators around one state machine. Messages between them are delivered in
// any order, lost or repeated; what may not happen is checked as it happens.

var (
	searchSeed      = flag.Uint64("seed", 1, "seed of the first schedule")
	searchSchedules = flag.Int("schedules", 2000, "number of schedules")
)

const (
	scheduleSteps = 400
	leaseLength   = 2 * time.Second
	maxQueue      = 200
)

// world is one schedule.
type world struct {
	*rand.Rand
	v     variant
	fault string // first violation
	now   time.Time

	m       *Machine
	index   uint64
	term    uint64
	lease   time.Time // end of the lease as the voters promised it
	queue   []func()
	leaders [3]*leader
	agents  []*agent
	acts    []span
	checks  checks
	entries *entries
	usage   *meters
	seen    *config.Index // of an earlier command; an operator may make an edit from it
}

type span struct {
	term        uint64
	from, until time.Time
}

// leader is a process that has or had authority. Its work list was made while
// it led and is carried out whenever it next runs.
type leader struct {
	gate authority.Gate
	todo []func()
}

func newWorld(seed uint64, v variant) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 0)), v: v, now: start, m: New(), checks: newChecks()}
	w.m.limits.above, w.m.limits.sealed, w.m.limits.acknowledged = 3, 2, 2
	for i := range w.leaders {
		w.leaders[i] = &leader{}
	}
	w.usage = newMeters(w)
	w.entries = newEntries(w)
	for i := range 2 {
		w.agents = append(w.agents, newAgent(w, fleet.TargetName(fmt.Sprintf("e%d", i))))
	}
	return w
}

func (w *world) failf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if w.fault == "" && strings.Contains(text, w.v.finds) { // a variant may break more than it is to show
		w.fault = text
	}
}

func (w *world) chance(percent int) bool { return w.IntN(100) < percent }

// send queues a message. It may be delivered late, twice or never.
func (w *world) send(f func()) {
	if len(w.queue) < maxQueue {
		w.queue = append(w.queue, f)
	}
}

func (w *world) deliver() {
	if len(w.queue) == 0 {
		return
	}
	i := w.IntN(len(w.queue))
	f := w.queue[i]
	if !w.chance(15) { // otherwise it arrives again later
		w.queue[i] = w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
	}
	if w.chance(90) {
		f()
	}
}

// apply commits a command and checks the result.
func (w *world) apply(c Command) Result {
	if w.v.before != nil {
		w.v.before(w, c)
	}
	w.index++
	w.m.EnterTerm(w.term)
	r := w.m.Apply(w.index, c)
	w.check(c, r)
	return r
}

// propose sends a command to the log on behalf of a leader. It is committed
// only if no later leader was elected.
func (w *world) propose(term uint64, c Command, answer func(Result)) {
	w.send(func() {
		if term != w.term {
			return
		}
		r := w.apply(c)
		if answer != nil {
			w.send(func() { answer(r) })
		}
	})
}

// forward sends a command to whoever leads when it arrives.
func (w *world) forward(c Command, answer func(Result)) {
	w.send(func() {
		r := w.apply(c)
		if answer != nil {
			w.send(func() { answer(r) })
		}
	})
}

// act begins an external action of a leader if its gate allows.
func (w *world) act(l *leader, f func()) {
	deadline := w.now.Add(time.Duration(100+w.IntN(700)) * time.Millisecond)
	if l.gate.Begin(w.now, deadline) != nil && !w.v.ignoreGate {
		return
	}
	s := span{l.gate.Term, w.now, deadline}
	for _, o := range w.acts {
		if o.term != s.term && o.from.Before(s.until) && s.from.Before(o.until) {
			w.failf("terms %d and %d act at once", o.term, s.term)
		}
	}
	w.acts = append(w.acts, s)
	w.send(f)
}

func (w *world) elect() {
	if w.now.Before(w.lease) && !w.v.electEarly {
		return
	}
	l := w.leaders[w.IntN(len(w.leaders))]
	w.term++
	l.gate = authority.Gate{Held: true, Term: w.term, NotBefore: w.lease}
	if w.v.electEarly {
		l.gate.NotBefore = w.now
	}
	l.todo = nil
	w.renew(l)
}

func (w *world) renew(l *leader) {
	if l.gate.Term != w.term {
		return
	}
	w.lease = w.now.Add(leaseLength)
	l.gate.Expires = w.now.Add(leaseLength - leaseLength/100)
}

func (w *world) step() {
	l := w.leaders[w.IntN(len(w.leaders))]
	switch n := w.IntN(100); {
	case n < 42:
		w.deliver()
	case n < 48:
		w.now = w.now.Add(time.Duration(w.IntN(300)) * time.Millisecond)
	case n < 50:
		w.elect()
	case n < 56:
		w.renew(l)
	case n < 68:
		w.lead(l)
	case n < 78:
		l.work()
	case n < 86:
		w.agents[w.IntN(len(w.agents))].step()
	case n < 90:
		w.entries.step()
	case n < 94:
		w.usage.step()
	case n < 97:
		w.operate()
	case n < 99:
		w.forward(Tick{Now: w.now}, nil)
	default:
		w.m.Restore(w.m.Image()) // a replica that restarts and goes on
	}
}

// work carries out one thing that was decided earlier.
func (l *leader) work() {
	if len(l.todo) > 0 {
		f := l.todo[0]
		l.todo = l.todo[1:]
		f()
	}
}

func (w *world) run() string {
	w.elect()
	for range scheduleSteps {
		w.step()
		if w.fault != "" {
			return w.fault
		}
	}
	w.usage.settle()
	return w.fault
}

// Guards against any schedule of lost, late and repeated messages that breaks
// a promise of the design page.
func TestSearch(t *testing.T) {
	t.Logf("seed %d, %d schedules", *searchSeed, *searchSchedules)
	var total checks
	for i := range *searchSchedules {
		seed := *searchSeed + uint64(i)
		w := newWorld(seed, variant{})
		if fault := w.run(); fault != "" {
			t.Fatalf("-seed %d -schedules 1: %s", seed, fault)
		}
		total.reached(w.checks)
	}
	t.Logf("reached: %+v", total.counts)
	for name, n := range map[string]int{
		"orders": total.counts.effects, "reads": total.counts.reads, "grants": total.counts.grants,
		"windows": total.counts.windows, "starts": total.counts.starts, "changes": total.counts.changes,
		"adaptations": total.counts.adapts,
	} {
		if n < *searchSchedules/20 {
			t.Errorf("the schedules reach too few %s to mean anything: %d", name, n)
		}
	}
}

// Guards against a search that would not notice a broken rule.
func TestSearchFindsBrokenRules(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				if fault := newWorld(seed+1, v).run(); fault != "" {
					t.Logf("schedule %d: %s", seed+1, fault)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
