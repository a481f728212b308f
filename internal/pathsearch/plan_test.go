package pathsearch

import (
	"math/rand/v2"
	"time"
)

const (
	nEntries    = 2
	nAgents     = 2
	maxSteps    = 500 // process faults are drawn for steps below it
	nDials      = 12  // link connections for which faults are drawn
	nCommands   = 150 // command submissions for which faults are drawn
	nRequests   = 40  // requests at services for which the behaviour is drawn
	nAdmissions = 40  // requests at entries for which the admission is drawn
)

// plan is everything that is drawn from a seed. The arrays are used in the order in
// which the simulation dials links, submits commands, and so on.
type plan struct {
	faultsAtStep  map[int64]processFault
	faultsAtTime  map[time.Duration]processFault
	linkFaults    [nDials]linkFault
	commandFaults [nCommands]commandFault
	behaviours    [nRequests]behaviour
	admissions    [nAdmissions]admission
	orders        []order
}

type processKind int

const (
	entryProcess processKind = iota
	agentProcess
	serviceProcess
	controlProcess
)

// processOp is the kind of fault of a process. A controlProcess loses its quorum
// instead, unless it is paused.
type processOp int

const (
	opKill      processOp = iota // killed, then restarted
	opPause                      // blocks, then resumes
	opStop                       // shuts down gracefully, then restarts; for a service as opKill
	opCancelKey                  // an entry cancels the requests of one customer's key; for other processes as opKill
)

// processFault is a fault of the i-th process of a kind, with its duration.
type processFault struct {
	kind     processKind
	index    int
	op       processOp
	duration time.Duration
}

// linkFault is a memlink.Fault of one link connection, and the time of a replay of
// what the entry has sent on it.
type linkFault struct {
	frames int64         // frames before the fault; negative for no fault
	close  bool          // close the connection
	pause  time.Duration // duration of a temporary stall; 0 for a permanent fault
	replay time.Duration // time from the dial to the replay; 0 for no replay
}

type commandFaultKind int

const (
	noCommandFault  commandFaultKind = iota
	lostCommand                      // never applied
	lostResult                       // applied, but the submitter gets no result
	lateCommand                      // applied after the delay, without a result
	repeatedCommand                  // applied at once and again after the delay
)

// commandFault is the fault of one submission of a command.
type commandFault struct {
	kind  commandFaultKind
	delay time.Duration
}

// admission is the decision of an entry's admitter on one request.
type admission struct {
	refuse bool
	wait   time.Duration // before the decision
}

// serviceFault is how a service fails while it handles a request. Except for errorStatus,
// it resets the connection.
type serviceFault int

const (
	noServiceFault  serviceFault = iota
	resetBeforeRun               // before it runs the request
	resetAfterRun                // after the run, before the response
	resetInResponse              // in the middle of the response
	errorStatus                  // responds with status 500 after running the request
)

// behaviour is how the service handles one request.
type behaviour struct {
	delayBefore, delayAfter time.Duration // before and after the run
	fault                   serviceFault
	paddingBytes            int // in the response
}

// orderKind says whether an order may run more than once, and with which safeguard.
type orderKind int

const (
	keyed   orderKind = iota // runs at most once; its sends have the same idempotency key
	unkeyed                  // runs at most once; has no idempotency key, so its caller must not repeat it
	read                     // idempotent
)

// order is one operation that a caller wants to be run, with the requests for it.
type order struct {
	kind       orderKind
	customer   int // index in customers
	start      time.Duration
	concurrent bool // a second caller sends the same requests with the same key concurrently
	bodySize   int  // bytes; the entry sends a large body to the agent in parts
	sends      []sendPlan
}

// sendPlan is one request for an order.
type sendPlan struct {
	entry     int
	otherBody bool // keyed only: uses the key with another body than before
	timeout   time.Duration
	pause     time.Duration // before the next send
}

// seededRand is a random source with a given seed.
type seededRand struct{ *rand.Rand }

func (r seededRand) chance(percent int) bool { return r.IntN(100) < percent }

// durationUpTo draws a duration from 1 ms to less than limit + 1 ms.
func (r seededRand) durationUpTo(limit time.Duration) time.Duration {
	return time.Millisecond + time.Duration(r.Int64N(int64(limit)))
}

// skewedDuration draws a duration, short ones more often than long ones.
func (r seededRand) skewedDuration() time.Duration {
	return r.durationUpTo([]time.Duration{20 * time.Millisecond, time.Second, 8 * time.Second}[r.IntN(3)])
}

// newPlan draws the plan of a seed. A change in the order of the draws changes the
// meaning of all seeds.
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
	for i := range p.linkFaults {
		p.linkFaults[i] = linkFault{frames: -1}
		if !noLinkFaults && r.chance(45) {
			p.linkFaults[i] = linkFault{frames: r.Int64N(30), close: r.chance(35)}
			if !p.linkFaults[i].close && r.chance(35) {
				p.linkFaults[i].pause = r.skewedDuration()
			}
		}
		if !noLinkFaults && r.chance(40) {
			p.linkFaults[i].replay = r.durationUpTo(12 * time.Second)
		}
	}
	withCommandFaults := r.chance(70)
	for i := range p.commandFaults {
		if withCommandFaults && r.chance(15) {
			p.commandFaults[i] = commandFault{commandFaultKind(1 + r.IntN(4)), r.skewedDuration()}
		}
	}
	for i := range p.behaviours {
		p.behaviours[i] = r.behaviour()
	}
	for i := range p.admissions {
		if r.chance(25) {
			p.admissions[i] = admission{refuse: r.chance(60), wait: r.skewedDuration()}
		}
	}
	for range 2 + r.IntN(4) {
		p.orders = append(p.orders, r.order())
	}
	return p
}

func (r seededRand) processFault() processFault {
	ops := []processOp{opKill, opKill, opKill, opKill, opPause, opPause, opPause, opStop, opStop, opCancelKey}
	return processFault{kind: processKind(r.IntN(4)), index: r.IntN(2), op: ops[r.IntN(len(ops))], duration: r.skewedDuration()}
}

func (r seededRand) behaviour() behaviour {
	b := behaviour{paddingBytes: []int{100, 3000, 20 << 10}[r.IntN(3)]}
	if r.chance(50) {
		b.delayBefore = r.durationUpTo(2 * time.Second)
	}
	if r.chance(50) {
		b.delayAfter = r.durationUpTo(4 * time.Second)
	}
	if r.chance(25) {
		b.fault = serviceFault(1 + r.IntN(4))
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
