package plan

import (
	"math"
	"time"

	"papayarock/core/fleet"
)

const (
	fastTimeConstant = 10 * time.Second
	slowTimeConstant = 3 * time.Minute
	historyInterval  = 10 * time.Second
	historySize      = 90  // 15 min
	speedSmoothing   = 0.1 // weight of a new measurement
)

// load is an offered load. Prefill and decode are in tokens/s.
type load struct {
	prefill, decode float64
	requests        float64 // requests/s
	urgent          float64 // fraction of the work that is urgent, 0 to 1
}

// interpolate returns the load between l (weight 0) and to (weight 1).
func (l load) interpolate(to load, weight float64) load {
	return load{
		prefill:  l.prefill + weight*(to.prefill-l.prefill),
		decode:   l.decode + weight*(to.decode-l.decode),
		requests: l.requests + weight*(to.requests-l.requests),
		urgent:   l.urgent + weight*(to.urgent-l.urgent),
	}
}

// estimate tracks the load of one group with two exponential moving averages,
// a fast and a slow one, and a history of samples of the fast one.
type estimate struct {
	fast, slow    load
	history       [historySize]load
	samples, next int
	sampledAt     time.Time
	updatedAt     time.Time
}

func (e *estimate) update(now time.Time, l load) {
	if e.updatedAt.IsZero() {
		e.fast, e.slow = l, l
	} else {
		elapsed := float64(now.Sub(e.updatedAt))
		e.fast = e.fast.interpolate(l, 1-math.Exp(-elapsed/float64(fastTimeConstant)))
		e.slow = e.slow.interpolate(l, 1-math.Exp(-elapsed/float64(slowTimeConstant)))
	}
	e.updatedAt = now
	if now.Sub(e.sampledAt) < historyInterval {
		return
	}
	e.sampledAt = now
	e.history[e.next] = e.fast
	e.next = (e.next + 1) % historySize
	e.samples = min(e.samples+1, historySize)
}

// speeds holds what the planner assumes about the engines of one pool. The speeds
// start with configured values and follow the measurements.
type speeds struct {
	prefill, decode     float64 // tokens/s of an engine dedicated to that phase
	mixed               float64 // efficiency of a mixed engine relative to dedicated ones
	firstTokenObjective float64 // time-to-first-token objective in seconds
}

// update adjusts the speeds to a measurement, given which roles have reported.
//
// If no dedicated engine of a role reports, the speed of that role is derived
// from the mixed engines at the assumed efficiency. Otherwise a pool of mixed
// engines would keep the default speeds for ever. The efficiency itself is
// adjusted only while engines of a dedicated role report.
func (s *speeds) update(v Speed, reported [3]bool) {
	adjust := func(x *float64, to float64) {
		if to > 0 {
			*x += speedSmoothing * (to - *x)
		}
	}
	switch v.Role {
	case fleet.Prefill:
		adjust(&s.prefill, v.Prefill)
	case fleet.Decode:
		adjust(&s.decode, v.Decode)
	case fleet.Mixed:
		if v.Prefill > 0 && v.Decode > 0 {
			if !reported[fleet.Prefill] {
				adjust(&s.prefill, v.Prefill/s.mixed)
			}
			if !reported[fleet.Decode] {
				adjust(&s.decode, v.Decode/s.mixed)
			}
			if !reported[fleet.Prefill] && !reported[fleet.Decode] {
				return
			}
			adjust(&s.mixed, math.Min(1, (v.Prefill/s.prefill+v.Decode/s.decode)/2))
		}
	}
}

// roleCounts is the number of engines per role, indexed by fleet.Role.
type roleCounts [3]float64

// servedShare returns the fraction of a load that the engines can serve, at
// most 1.
func (s speeds) servedShare(n roleCounts, l load) float64 {
	p, d := l.prefill/s.prefill, l.decode/s.decode // dedicated engines needed per phase
	if p+d == 0 {
		return 1
	}
	mixed := n[fleet.Mixed] * s.mixed
	np, nd := n[fleet.Prefill], n[fleet.Decode]
	// Mixed engines must do the work that the dedicated ones cannot, so
	// max(0, share*p-np) + max(0, share*d-nd) <= mixed. The left side is piecewise
	// linear in the share, so the largest share is the minimum of three terms.
	share := 1.0
	if p > 0 {
		share = math.Min(share, (np+mixed)/p)
	}
	if d > 0 {
		share = math.Min(share, (nd+mixed)/d)
	}
	return math.Min(share, (np+nd+mixed)/(p+d))
}

// mixedPrefillSpeed is the speed at which a mixed engine processes one prompt,
// relative to a prefill engine. It determines how long a request waits for its
// first token, whereas speeds.mixed determines the total throughput. It is low
// because the prompt shares its batches with decoding requests.
const mixedPrefillSpeed = 0.5

// maxComparedEngines is the number of engines that the router of an entry compares
// for one request.
const maxComparedEngines = 4

// missedShare estimates the fraction of requests that miss the first-token
// objective. It uses the tail of the waiting time of a multi-server queue, with
// Sakasegawa's approximation of the probability of waiting.
func (s speeds) missedShare(n roleCounts, l load) float64 {
	servers := n[fleet.Prefill] + n[fleet.Mixed]
	rate := s.prefill * (n[fleet.Prefill] + mixedPrefillSpeed*n[fleet.Mixed])
	if l.requests == 0 || l.prefill == 0 {
		return 0
	}
	if rate <= l.prefill {
		return 1
	}
	utilisation := l.prefill / rate
	promptTime := l.prefill / l.requests / (rate / servers) // seconds per prompt
	slack := math.Max(0, s.firstTokenObjective-promptTime)
	// An entry compares only a few engines per request, so many engines with
	// one queue each do not perform like a single queue with as many servers.
	servers = math.Min(servers, maxComparedEngines)
	waitMisses := math.Pow(utilisation, math.Sqrt(2*(servers+1))-1) * math.Exp(-servers*(1-utilisation)*slack/promptTime)
	// Some prompts take too long even without queueing. Their lengths are assumed
	// to be exponentially distributed.
	lengthMisses := math.Exp(-s.firstTokenObjective / promptTime)
	return math.Min(1, waitMisses+lengthMisses)
}

// goodput returns the weighted work per second that meets its objective, in seconds
// of engine work. Urgent work is served first and has a higher weight than patient
// work. The served share is computed for the load plus headroom.
func (s speeds) goodput(n roleCounts, l load) float64 {
	const patientWeight = 0.5
	total := l.prefill/s.prefill + l.decode/s.decode
	scaled := l
	scaled.prefill *= headroom
	scaled.decode *= headroom
	served := s.servedShare(n, scaled) * total
	urgent := math.Min(served, total*l.urgent)
	return urgent*(1-s.missedShare(n, l)) + patientWeight*(served-urgent)
}
