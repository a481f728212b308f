package pathsearch

import (
	"math/rand/v2"
	"time"
)

const (
	nEntries  = 2
	nAgents   = 2
	maxSteps  = 500 // steps at which faults of processes may be drawn
	nDials    = 12  // link connections for which faults are drawn
	nCommands = 150 // command submissions for which faults are drawn
	nRuns     = 40  // requests for which the behaviour of the service is drawn
	nAdmitted = 40  // requests for which the admission is drawn
)

// plan is everything that is drawn from a seed.
type plan struct {
	faultsAtStep map[int64]processFault
	faultsAtTime map[time.Duration]processFault
	links        [nDials]linkFault
	commands     [nCommands]commandFault
	runs         [nRuns]behaviour
	admitted     [nAdmitted]admission
	orders       []order
}

type processKind int

const (
	entryProcess processKind = iota
	agentProcess
	serviceProcess
	controlProcess
)

// processOp is the kind of fault of a process.
type processOp int

const (
	opKill      processOp = iota
	opPause               // blocks, then resumes
	opStop                // shuts down gracefully, then restarts
	opCancelKey           // entry only: cancels the requests of one customer's key
)

// processFault is a fault of a process, with its duration.
type processFault struct {
	kind     processKind
	i        int
	op       processOp
	duration time.Duration
}

type linkFault struct {
	frames int64 // frames before the fault; negative for no fault
	close  bool
	pause  time.Duration
	replay time.Duration // time of the replay after the dial; 0 for none
}

type commandFaultKind int

const (
	noCommandFault commandFaultKind = iota
	lostCommand
	lostResult
	lateCommand
	repeatedCommand
)

// commandFault is the fault of one submission of a command.
type commandFault struct {
	kind  commandFaultKind
	delay time.Duration
}

// admission is the decision of an entry's admitter on one request.
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
	crashStatus // responds with status 500 after running the request
)

// behaviour is how the service handles one request.
type behaviour struct {
	delayBefore, delayAfter time.Duration
	crash                   crash
	size                    int
}

type orderKind int

const (
	keyed orderKind = iota
	unkeyed
	read
)

// order is one operation that a caller requests, with its planned sends.
type order struct {
	kind       orderKind
	customer   int
	start      time.Duration
	concurrent bool // a second caller sends the same requests with the same key concurrently
	bodySize   int  // bytes; a large body is handed over to the agent in parts
	sends      []sendPlan
}

type sendPlan struct {
	entry     int
	otherBody bool
	timeout   time.Duration
	pause     time.Duration // before the next send
}

// seededRand is a random source with a given seed.
type seededRand struct{ *rand.Rand }

func (r seededRand) chance(percent int) bool { return r.IntN(100) < percent }

func (r seededRand) durationUpTo(limit time.Duration) time.Duration {
	return time.Millisecond + time.Duration(r.Int64N(int64(limit)))
}

// skewedDuration draws a duration, short ones more often than long ones.
func (r seededRand) skewedDuration() time.Duration {
	return r.durationUpTo([]time.Duration{20 * time.Millisecond, time.Second, 8 * time.Second}[r.IntN(3)])
}

func newPlan(seed uint64) *plan {
	r := seededRand{rand.New(rand.NewPCG(seed, 0))}
	p := &plan{faultsAtStep: make(map[int64]processFault), faultsAtTime: make(map[time.Duration]processFault)}
	for range r.IntN(4) {
		at := r.Int64N([]int64{40, 120, maxSteps}[r.IntN(3)])
		p.faultsAtStep[at] = r.processFault()
	}
	for range r.IntN(2) {
		p.faultsAtTime[r.durationUpTo(15*time.Second)] = r.processFault()
	}
	noLinkFaults := r.chance(15)
	for i := range p.links {
		p.links[i] = linkFault{frames: -1}
		if !noLinkFaults && r.chance(45) {
			p.links[i] = linkFault{frames: r.Int64N(30), close: r.chance(35)}
			if !p.links[i].close && r.chance(35) {
				p.links[i].pause = r.skewedDuration()
			}
		}
		if !noLinkFaults && r.chance(40) {
			p.links[i].replay = r.durationUpTo(12 * time.Second)
		}
	}
	withCommandFaults := r.chance(70)
	for i := range p.commands {
		if withCommandFaults && r.chance(15) {
			p.commands[i] = commandFault{commandFaultKind(1 + r.IntN(4)), r.skewedDuration()}
		}
	}
	for i := range p.runs {
		p.runs[i] = r.behaviour()
	}
	for i := range p.admitted {
		if r.chance(25) {
			p.admitted[i] = admission{refuse: r.chance(60), wait: r.skewedDuration()}
		}
	}
	for range 2 + r.IntN(4) {
		p.orders = append(p.orders, r.order())
	}
	return p
}

func (r seededRand) processFault() processFault {
	ops := []processOp{opKill, opKill, opKill, opKill, opPause, opPause, opPause, opStop, opStop, opCancelKey}
	return processFault{kind: processKind(r.IntN(4)), i: r.IntN(2), op: ops[r.IntN(len(ops))], duration: r.skewedDuration()}
}

func (r seededRand) behaviour() behaviour {
	b := behaviour{size: []int{100, 3000, 20 << 10}[r.IntN(3)]}
	if r.chance(50) {
		b.delayBefore = r.durationUpTo(2 * time.Second)
	}
	if r.chance(50) {
		b.delayAfter = r.durationUpTo(4 * time.Second)
	}
	if r.chance(25) {
		b.crash = crash(1 + r.IntN(4))
	}
	return b
}

func (r seededRand) order() order {
	o := order{kind: keyed, customer: r.IntN(2), start: r.durationUpTo(3 * time.Second), concurrent: r.chance(20)}
	switch n := r.IntN(100); {
	case n < 30:
		o.kind = unkeyed
	case n < 45:
		o.kind = read
	}
	if r.chance(15) {
		o.bodySize = 150 << 10
	}
	preferredEntry := r.IntN(nEntries)
	for range 2 + r.IntN(3) {
		s := sendPlan{entry: preferredEntry, timeout: 30 * time.Second, pause: r.skewedDuration()}
		if r.chance(30) {
			s.entry = r.IntN(nEntries)
		}
		if r.chance(30) {
			s.timeout = r.durationUpTo(5 * time.Second)
		}
		s.otherBody = r.chance(10)
		o.sends = append(o.sends, s)
	}
	return o
}
