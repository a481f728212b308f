package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"papayarock/core/fleet"
)

// Load model.
const (
	engineRate      = 7.0 // requests/s that a mixed engine serves of the mean mix
	promptFloor     = 200 // tokens; the rest is exponential
	promptMean      = 800 // tokens above the floor
	outputFloor     = 20  // tokens
	outputMean      = 130 // tokens above the floor
	sharedShare     = 0.6 // of requests begin with one of their customer's prefixes
	sharedPrefixes  = 4   // per customer
	prefixBlocks    = 2   // blocks of a shared prefix
	homeShare       = 0.8 // of a customer's requests come from its home region
	serviceRate     = 2.0 // requests/s per plain service
	bytesPerToken   = 4
	kvBytes         = 100e3 // KV cache per prompt token moved between data centres
	urgentFirst     = 330 * time.Millisecond
	patientFirst    = 10 * time.Second
	urgentInterval  = 61 * time.Millisecond // between tokens
	patientInterval = 200 * time.Millisecond
	servicePromise  = time.Second
)

// request is one caller's request. Its fields up to service are drawn before
// any policy sees it.
type request struct {
	id       fleet.RequestID
	customer int
	site     int
	class    fleet.Class
	prompt   float64
	output   int
	prefix   []uint64
	arrived  time.Duration
	service  bool

	estimate float64 // of output tokens; no decision sees output before the end
	attempts int
	tried    []fleet.TargetName
	first    time.Duration // 0 until the first token reached the caller
	ended    bool
}

func (r *request) promise() (first, interval time.Duration) {
	switch {
	case r.service:
		return servicePromise, servicePromise
	case r.class == fleet.Urgent:
		return urgentFirst, urgentInterval
	}
	return patientFirst, patientInterval
}

// scenario is what happens during a run of runTime.
type scenario struct {
	name      string
	load      float64 // offered work over the capacity of mixed engines
	swing     bool
	burst     bool
	loss      bool
	lag       time.Duration // of load reports
	cacheLoss float64       // share of cache events that are lost
	slow      bool
	window    bool
}

const (
	runTime     = 10 * time.Minute
	eventFrom   = 200 * time.Second // of a burst, a loss, a slow engine
	eventTo     = 320 * time.Second
	windowFrom  = 300 * time.Second
	windowTo    = 480 * time.Second
	swingPeriod = 4 * time.Minute
	usualLag    = 200 * time.Millisecond
	burstFactor = 10
	slowFactor  = 4
)

func scenarios() []scenario {
	return []scenario{
		{name: "swing", load: 0.8, swing: true, lag: usualLag},
		{name: "burst", load: 0.65, burst: true, lag: usualLag},
		{name: "loss", load: 0.6, loss: true, lag: usualLag},
		{name: "late-load", load: 0.8, lag: 5 * time.Second},
		{name: "cache-loss", load: 0.8, lag: usualLag, cacheLoss: 0.5},
		{name: "slow-engine", load: 0.7, lag: usualLag, slow: true},
		{name: "window", load: 1.3, window: true, lag: usualLag},
	}
}

// source draws the requests of one customer.
type source struct {
	w        *world
	rng      *rand.Rand
	customer int
	share    float64 // of all requests
	home     int
	n        uint64
}

// next schedules the customer's next request.
func (s *source) next() {
	rate := s.rate(s.w.clock.now)
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.w.clock.in(gap, func() {
		if s.w.clock.now >= runTime {
			return
		}
		s.w.arrive(s.draw())
		s.next()
	})
}

func (s *source) rate(now time.Duration) float64 {
	sc := s.w.scenario
	rate := s.share * sc.load * engineRate * float64(s.w.size.total())
	if sc.burst && s.customer == burstCustomer && now >= eventFrom && now < eventTo {
		rate *= burstFactor
	}
	if sc.window {
		// Patient work alone exceeds the capacity; the window adds urgent work.
		if now >= windowFrom && now < windowTo {
			rate *= 1.4
		}
	}
	return rate
}

func (s *source) draw() *request {
	now, sc := s.w.clock.now, s.w.scenario
	s.n++
	r := &request{customer: s.customer, arrived: now, site: s.home}
	for i := range 8 {
		r.id[i] = byte(s.n >> (8 * i))
	}
	r.id[8], r.id[9] = byte(s.customer), byte(s.customer>>8)
	if s.rng.Float64() > homeShare {
		r.site = s.rng.IntN(len(s.w.size.engines))
	}
	mix := 0.0
	if sc.swing {
		mix = 0.5 * math.Sin(2*math.Pi*float64(now)/float64(swingPeriod))
	}
	r.prompt = promptFloor + s.rng.ExpFloat64()*promptMean*(1+mix)
	r.output = int(outputFloor + s.rng.ExpFloat64()*outputMean*(1-mix))
	urgent := 0.5
	if sc.window {
		urgent = 0.05
		if now >= windowFrom && now < windowTo {
			urgent = 0.35
		}
	}
	if s.rng.Float64() < urgent {
		r.class = fleet.Urgent
	}
	if s.rng.Float64() < sharedShare {
		base := uint64(s.customer*sharedPrefixes+s.rng.IntN(sharedPrefixes))*prefixBlocks + 1
		for b := range uint64(prefixBlocks) {
			r.prefix = append(r.prefix, (base+b)*0x9e3779b97f4a7c15)
		}
		r.prompt = max(r.prompt, prefixBlocks*blockTokens+50)
	}
	return r
}

// services schedules the requests to the plain services of a site.
func (w *world) services(rng *rand.Rand, site int) {
	rate := serviceRate * float64(w.size.services[site])
	if rate == 0 {
		return
	}
	n := uint64(0)
	var next func()
	next = func() {
		w.clock.in(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
			if w.clock.now >= runTime {
				return
			}
			n++
			r := &request{customer: rng.IntN(w.size.customers), arrived: w.clock.now, site: site, service: true, output: 1, prompt: 0}
			for i := range 8 {
				r.id[i] = byte(n >> (8 * i))
			}
			r.id[10], r.id[11] = byte(site+1), 1
			w.arrive(r)
			next()
		})
	}
	next()
}
