package pathsearch

import (
	"math/rand/v2"
	"time"
)

const (
	nEntries  = 2
	nAgents   = 2
	maxSteps  = 500 // steps in which kills and pauses are drawn
	nDials    = 12  // connections with drawn faults
	nCommands = 150 // commands with drawn faults
	nRuns     = 40  // requests with a drawn behaviour of the service
	nAdmitted = 40  // requests with a drawn admission
)

// plan is all that a seed draws.
type plan struct {
	actions  map[int64]action // by step
	timed    map[time.Duration]action
	links    [nDials]linkFault
	commands [nCommands]fate
	runs     [nRuns]behaviour
	admitted [nAdmitted]admission
	orders   []order
}

type processKind int

const (
	entryProcess processKind = iota
	agentProcess
	serviceProcess
	controlProcess
)

// verb is what happens to a process.
type verb int

const (
	kill  verb = iota
	pause      // stands still and goes on
	stop       // ends in order, and starts again
	cut        // of an entry: the requests of one customer's key are interrupted
)

// action does something to a process, for a time.
type action struct {
	kind processKind
	i    int
	verb verb
	down time.Duration
}

type linkFault struct {
	frames int64 // before the fault; negative for none
	close  bool
	pause  time.Duration
	replay time.Duration // after the dial; 0 for none
}

type fateKind int

const (
	fine fateKind = iota
	lostCommand
	lostAnswer
	lateCommand
	repeated
)

// fate is what becomes of one submission of a command.
type fate struct {
	kind  fateKind
	delay time.Duration
}

// admission is what an entry's queue does with one request.
type admission struct {
	refuse bool
	wait   time.Duration
}

type crash int

const (
	noCrash crash = iota
	crashBefore
	crashAfter
	crashHalfway
	crashStatus // answers 500 after it ran
)

// behaviour is how the service treats one request.
type behaviour struct {
	before, after time.Duration
	crash         crash
	size          int
}

type orderKind int

const (
	keyed orderKind = iota
	unkeyed
	read
)

// order is what a caller wants done, and how it goes about it.
type order struct {
	kind     orderKind
	customer int
	start    time.Duration
	twin     bool // a second caller sends under the same key at the same time
	body     int  // bytes; a large one is handed over in parts
	sends    []sendPlan
}

type sendPlan struct {
	entry     int
	otherBody bool
	patience  time.Duration
	pause     time.Duration // after it
}

// drawer draws from a seed.
type drawer struct{ *rand.Rand }

func (d drawer) chance(percent int) bool { return d.IntN(100) < percent }

func (d drawer) upTo(limit time.Duration) time.Duration {
	return time.Millisecond + time.Duration(d.Int64N(int64(limit)))
}

// span draws short times more often than long ones.
func (d drawer) span() time.Duration {
	return d.upTo([]time.Duration{20 * time.Millisecond, time.Second, 8 * time.Second}[d.IntN(3)])
}

func newPlan(seed uint64) *plan {
	d := drawer{rand.New(rand.NewPCG(seed, 0))}
	p := &plan{actions: make(map[int64]action), timed: make(map[time.Duration]action)}
	for range d.IntN(4) {
		at := d.Int64N([]int64{40, 120, maxSteps}[d.IntN(3)])
		p.actions[at] = d.action()
	}
	for range d.IntN(2) {
		p.timed[d.upTo(15*time.Second)] = d.action()
	}
	quiet := d.chance(15) // no faults of links
	for i := range p.links {
		p.links[i] = linkFault{frames: -1}
		if !quiet && d.chance(45) {
			p.links[i] = linkFault{frames: d.Int64N(30), close: d.chance(35)}
			if !p.links[i].close && d.chance(35) {
				p.links[i].pause = d.span()
			}
		}
		if !quiet && d.chance(40) {
			p.links[i].replay = d.upTo(12 * time.Second)
		}
	}
	unsafeControl := d.chance(70)
	for i := range p.commands {
		if unsafeControl && d.chance(15) {
			p.commands[i] = fate{fateKind(1 + d.IntN(4)), d.span()}
		}
	}
	for i := range p.runs {
		p.runs[i] = d.behaviour()
	}
	for i := range p.admitted {
		if d.chance(25) {
			p.admitted[i] = admission{refuse: d.chance(60), wait: d.span()}
		}
	}
	for range 2 + d.IntN(4) {
		p.orders = append(p.orders, d.order())
	}
	return p
}

func (d drawer) action() action {
	verbs := []verb{kill, kill, kill, kill, pause, pause, pause, stop, stop, cut}
	return action{kind: processKind(d.IntN(4)), i: d.IntN(2), verb: verbs[d.IntN(len(verbs))], down: d.span()}
}

func (d drawer) behaviour() behaviour {
	b := behaviour{size: []int{100, 3000, 20 << 10}[d.IntN(3)]}
	if d.chance(50) {
		b.before = d.upTo(2 * time.Second)
	}
	if d.chance(50) {
		b.after = d.upTo(4 * time.Second)
	}
	if d.chance(25) {
		b.crash = crash(1 + d.IntN(4))
	}
	return b
}

func (d drawer) order() order {
	o := order{kind: keyed, customer: d.IntN(2), start: d.upTo(3 * time.Second), twin: d.chance(20)}
	switch n := d.IntN(100); {
	case n < 30:
		o.kind = unkeyed
	case n < 45:
		o.kind = read
	}
	if d.chance(15) {
		o.body = 150 << 10
	}
	home := d.IntN(nEntries)
	for range 2 + d.IntN(3) {
		s := sendPlan{entry: home, patience: 30 * time.Second, pause: d.span()}
		if d.chance(30) {
			s.entry = d.IntN(nEntries)
		}
		if d.chance(30) {
			s.patience = d.upTo(5 * time.Second)
		}
		s.otherBody = d.chance(10)
		o.sends = append(o.sends, s)
	}
	return o
}
