package plan

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	fastTime    = 10 * time.Second
	slowTime    = 3 * time.Minute
	historyStep = 10 * time.Second
	historySize = 90 // 15 min
	speedWeight = 0.1
)

// load is an offered load in tokens/s.
type load struct {
	prefill, decode float64
	requests        float64 // requests/s
	urgent          float64 // share of the work, 0 to 1
}

func (l load) toward(to load, weight float64) load {
	return load{
		prefill:  l.prefill + weight*(to.prefill-l.prefill),
		decode:   l.decode + weight*(to.decode-l.decode),
		requests: l.requests + weight*(to.requests-l.requests),
		urgent:   l.urgent + weight*(to.urgent-l.urgent),
	}
}

// estimate follows the load of one group: fast, slow, and as a sampled history.
type estimate struct {
	fast, slow load
	history    [historySize]load
	n, next    int
	sampled    time.Time
	updated    time.Time
}

func (e *estimate) add(now time.Time, l load) {
	if e.updated.IsZero() {
		e.fast, e.slow = l, l
	} else {
		d := float64(now.Sub(e.updated))
		e.fast = e.fast.toward(l, 1-math.Exp(-d/float64(fastTime)))
		e.slow = e.slow.toward(l, 1-math.Exp(-d/float64(slowTime)))
	}
	e.updated = now
	if now.Sub(e.sampled) < historyStep {
		return
	}
	e.sampled = now
	e.history[e.next] = e.fast
	e.next = (e.next + 1) % historySize
	e.n = min(e.n+1, historySize)
}

// speeds are learned per pool.
type speeds struct {
	prefill, decode float64 // of engines with that one role
	mixed           float64 // efficiency of a mixed engine against those
	first           float64 // promise of the first token in seconds
}

// learn follows a speed, given which roles report. Without an engine of one
// role, the speed of that role follows from mixed engines at the assumed
// efficiency: the defaults would stay for ever in a pool of mixed engines.
func (s *speeds) learn(v Speed, known [3]bool) {
	move := func(x *float64, to float64) {
		if to > 0 {
			*x += speedWeight * (to - *x)
		}
	}
	switch v.Role {
	case fleet.Prefill:
		move(&s.prefill, v.Prefill)
	case fleet.Decode:
		move(&s.decode, v.Decode)
	case fleet.Mixed:
		if v.Prefill > 0 && v.Decode > 0 {
			if !known[fleet.Prefill] {
				move(&s.prefill, v.Prefill/s.mixed)
			}
			if !known[fleet.Decode] {
				move(&s.decode, v.Decode/s.mixed)
			}
			if !known[fleet.Prefill] && !known[fleet.Decode] {
				return
			}
			move(&s.mixed, math.Min(1, (v.Prefill/s.prefill+v.Decode/s.decode)/2))
		}
	}
}

// split counts engines by role, indexed by fleet.Role.
type split [3]float64

// served returns the share of a load that engines of a split can serve, at
// most 1.
func (s speeds) served(n split, l load) float64 {
	p, d := l.prefill/s.prefill, l.decode/s.decode // engines that the load needs
	if p+d == 0 {
		return 1
	}
	mixed := n[fleet.Mixed] * s.mixed
	np, nd := n[fleet.Prefill], n[fleet.Decode]
	// The share x is bound by max(0, x*p-np) + max(0, x*d-nd) <= mixed. The
	// left side is piecewise linear, so the bound is the least of three.
	x := 1.0
	if p > 0 {
		x = math.Min(x, (np+mixed)/p)
	}
	if d > 0 {
		x = math.Min(x, (nd+mixed)/d)
	}
	return math.Min(x, (np+nd+mixed)/(p+d))
}

// mixedPrompt is the speed of a mixed engine on one prompt, against that of a
// prefill engine: the prompt shares its batches with decoding requests.
const mixedPrompt = 0.5

// comparedEngines is the number of engines that a router compares.
const comparedEngines = 4

// late estimates the share of first tokens that miss the promise, as the tail
// of the waiting time of a queue with several servers (Sakasegawa's
// approximation of the probability of waiting).
func (s speeds) late(n split, l load) float64 {
	c := n[fleet.Prefill] + n[fleet.Mixed]
	rate := s.prefill * (n[fleet.Prefill] + mixedPrompt*n[fleet.Mixed])
	if l.requests == 0 || l.prefill == 0 {
		return 0
	}
	if rate <= l.prefill {
		return 1
	}
	busy := l.prefill / rate
	one := l.prefill / l.requests / (rate / c) // seconds per prompt
	left := math.Max(0, s.first-one)
	// A router compares a few engines, so that many engines with a queue each
	// don't act as one queue with as many servers.
	c = math.Min(c, comparedEngines)
	waits := math.Pow(busy, math.Sqrt(2*(c+1))-1) * math.Exp(-c*(1-busy)*left/one)
	long := math.Exp(-s.first / one) // prompts that take too long by themselves, if their length is exponential
	return math.Min(1, waits+long)
}

// value is the work within the promise per second. Urgent work is served
// first and counts more than patient work.
func (s speeds) value(n split, l load) float64 {
	const patientValue = 0.5
	total := l.prefill/s.prefill + l.decode/s.decode
	grown := l
	grown.prefill *= headroom
	grown.decode *= headroom
	done := s.served(n, grown) * total
	urgent := math.Min(done, total*l.urgent)
	return urgent*(1-s.late(n, l)) + patientValue*(done-urgent)
}
