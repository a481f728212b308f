package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"papayarock/core/fleet"
)

// Load model.
const (
	engineRate           = 7.0                    // requests/s of mean length that a mixed engine can serve
	promptFloor          = 200                    // tokens; lengths above the floor are exponentially distributed
	promptMean           = 800                    // tokens above the floor
	outputFloor          = 20                     // tokens
	outputMean           = 130                    // tokens above the floor
	sharedShare          = 0.6                    // fraction of requests with one of their customer's shared prefixes
	sharedPrefixes       = 4                      // per customer
	prefixBlocks         = 2                      // blocks in a shared prefix
	homeShare            = 0.8                    // fraction of a customer's requests that come from its home region
	serviceRate          = 2.0                    // requests/s per plain service
	bytesPerToken        = 4                      // of a prompt or response on the network
	kvBytes              = 100e3                  // KV cache bytes per prompt token
	urgentFirstToken     = 330 * time.Millisecond // promised time to the first token
	patientFirstToken    = 10 * time.Second
	urgentTokenInterval  = 61 * time.Millisecond // promised mean time between tokens
	patientTokenInterval = 200 * time.Millisecond
	servicePromise       = time.Second // promised response time of a plain service
)

// request is a request of a caller. Its fields up to service are generated with it
// and are the same for every policy.
type request struct {
	id           fleet.RequestID
	customer     int
	site         int
	class        fleet.Class
	promptTokens float64
	outputTokens int
	prefix       []uint64 // hashes of the blocks of the shared prefix
	arrived      time.Duration
	service      bool // to a plain service

	outputEstimate float64 // estimated output tokens; no decision uses outputTokens before the end
	attempts       int
	tried          []fleet.TargetName
	firstTokenAt   time.Duration // arrival of the first token at the caller; 0 means not yet
	ended          bool
}

// promise returns the promised time to the first token and the promised mean interval
// between tokens. A response of a plain service is complete with its first token.
func (r *request) promise() (first, interval time.Duration) {
	switch {
	case r.service:
		return servicePromise, servicePromise
	case r.class == fleet.Urgent:
		return urgentFirstToken, urgentTokenInterval
	}
	return patientFirstToken, patientTokenInterval
}

// scenario describes the load and the faults of a run.
type scenario struct {
	name      string
	load      float64       // offered load relative to the capacity of mixed engines
	swing     bool          // mean prompt and output lengths swing in opposite directions
	burst     bool          // the rate of burstCustomer rises by burstFactor from eventFrom to eventTo
	loss      bool          // a data centre, or a tenth of the engines of a single one, fails at eventFrom
	lag       time.Duration // delay of load reports
	cacheLoss float64       // fraction of cache events that are lost
	slow      bool          // one engine is slower by slowFactor from eventFrom to 2*eventFrom
	window    bool          // capacity is reserved for urgent requests from windowFrom to windowTo
}

const (
	runTime     = 10 * time.Minute
	eventFrom   = 200 * time.Second // start of a burst, a loss or a slow engine
	eventTo     = 320 * time.Second // end of a burst
	windowFrom  = 300 * time.Second
	windowTo    = 480 * time.Second
	swingPeriod = 4 * time.Minute
	usualLag    = 200 * time.Millisecond // delay of load reports in most scenarios
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

// source generates the requests of one customer.
type source struct {
	sim      *simulation
	rng      *rand.Rand
	customer int
	share    float64 // fraction of all requests
	homeSite int
	drawn    uint64 // number of requests generated so far
}

// scheduleNext schedules the customer's next request.
func (s *source) scheduleNext() {
	rate := s.rate(s.sim.clock.now)
	interval := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.sim.clock.after(interval, func() {
		if s.sim.clock.now >= runTime {
			return
		}
		s.sim.arrive(s.draw())
		s.scheduleNext()
	})
}

// rate returns the requests/s of the customer at a time.
func (s *source) rate(now time.Duration) float64 {
	sc := s.sim.scenario
	rate := s.share * sc.load * engineRate * float64(s.sim.size.totalEngines())
	if sc.burst && s.customer == burstCustomer && now >= eventFrom && now < eventTo {
		rate *= burstFactor
	}
	if sc.window {
		// Patient requests alone exceed the capacity. In the window urgent requests come
		// on top of them; see draw.
		if now >= windowFrom && now < windowTo {
			rate *= 1.4
		}
	}
	return rate
}

// draw generates a request at random. Its id holds the number of the request and the
// customer.
func (s *source) draw() *request {
	now, sc := s.sim.clock.now, s.sim.scenario
	s.drawn++
	r := &request{customer: s.customer, arrived: now, site: s.homeSite}
	for i := range 8 {
		r.id[i] = byte(s.drawn >> (8 * i))
	}
	r.id[8], r.id[9] = byte(s.customer), byte(s.customer>>8)
	if s.rng.Float64() > homeShare {
		r.site = s.rng.IntN(len(s.sim.size.engines))
	}
	mix := 0.0
	if sc.swing {
		mix = 0.5 * math.Sin(2*math.Pi*float64(now)/float64(swingPeriod))
	}
	r.promptTokens = promptFloor + s.rng.ExpFloat64()*promptMean*(1+mix)
	r.outputTokens = int(outputFloor + s.rng.ExpFloat64()*outputMean*(1-mix))
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
			r.prefix = append(r.prefix, (base+b)*0x9e3779b97f4a7c15) // spreads block numbers over 64 bits
		}
		// A prompt is longer than its shared prefix, by at least 50 tokens.
		r.promptTokens = max(r.promptTokens, prefixBlocks*blockTokens+50)
	}
	return r
}

// scheduleServiceRequests generates the requests to the plain services of a data
// centre. Their ids hold the number of the request and the site, with a mark that
// keeps them apart from those of draw.
func (sim *simulation) scheduleServiceRequests(rng *rand.Rand, site int) {
	rate := serviceRate * float64(sim.size.services[site])
	if rate == 0 {
		return
	}
	n := uint64(0)
	var next func()
	next = func() {
		sim.clock.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
			if sim.clock.now >= runTime {
				return
			}
			n++
			r := &request{customer: rng.IntN(sim.size.customers), arrived: sim.clock.now, site: site, service: true, outputTokens: 1, promptTokens: 0}
			for i := range 8 {
				r.id[i] = byte(n >> (8 * i))
			}
			r.id[10], r.id[11] = byte(site+1), 1
			sim.arrive(r)
			next()
		})
	}
	next()
}
