package quota_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/quota"
)

// Times of a deployment: gateways and the leader exchange messages at this interval by the
// size of the deployment, those on waiting requests at once, within the least interval.
const (
	feedInterval  = 310 * time.Millisecond
	leastInterval = 20 * time.Millisecond
	retryInterval = 40 * time.Millisecond
	maxDelay      = 20 * time.Millisecond
	simStep       = 5 * time.Millisecond
	maxRequestFor = 75 * time.Millisecond // a quarter of an objective of 300 ms
	window        = 8 * time.Second
)

// maxExtraLevel is by how much the levels of all gateways may exceed the burst, by grants from
// the part of the leader's bucket that the slack covers. The burst of the smallest customer
// is 60,000 and that part 14,600.
const maxExtraLevel = 0.25

var simBounds = quota.Bounds{Window: window, Overage: 0.1, Slack: 73_000}

// load is the demand of one customer.
type load struct {
	limit    quota.Limit
	demand   float64 // in multiples of the rate
	smallest float64 // size of a request; sizes are distributed evenly over their logarithm
	largest  float64
	skewed   bool // the demand of the gateways differs by a factor of up to their number
}

// mean returns the mean size of a request.
func (l load) mean() float64 {
	if l.largest <= l.smallest {
		return l.smallest
	}
	return (l.largest - l.smallest) / math.Log(l.largest/l.smallest)
}

func (l load) size(r *rand.Rand) float64 {
	return math.Round(l.smallest * math.Pow(l.largest/l.smallest, r.Float64()))
}

// run is a request that has run.
type run struct {
	at   time.Time
	cost float64
}

// pending is a request that waits for its charge or may be refused after it.
type pending struct {
	customer int
	cost     float64
	charge   quota.Charge
	endAt    time.Time
}

// simGateway is one host that runs gateways one after the other.
type simGateway struct {
	id         int // of the run
	limiter    *quota.Limiter
	joinsAt    time.Time
	cutUntil   time.Time
	pausedTill time.Time
	reportAt   time.Time
	lastReport time.Time
	updateAt   time.Time // when the leader sends the next update
	lastUpdate time.Time
	fullAt     time.Time // when the leader sends the next update with all customers
	waiting    map[uint64]pending
	documentAt time.Time // when it receives a new document; zero if there is none
	limits     []quota.Limit
}

// idealBucket is one token bucket for all gateways, with which the assignment is compared.
type idealBucket struct {
	level   float64
	at      time.Time
	used    float64 // from when usage is counted
	refused float64
}

func (b *idealBucket) offer(now time.Time, l quota.Limit, cost float64, counts bool) {
	b.level = min(l.Burst, b.level+l.Rate*now.Sub(b.at).Seconds())
	b.at = now
	admitted := b.level >= cost
	if admitted {
		b.level -= cost
	}
	switch {
	case !counts:
	case admitted:
		b.used += cost
	default:
		b.refused += cost
	}
}

// message is on its way to the leader or to a gateway.
type message struct {
	at     time.Time
	host   int
	id     int
	report *quota.Report
	update *quota.Update
}

// sim runs gateways and leaders in virtual time.
type sim struct {
	random   *rand.Rand
	arrivals *rand.Rand // for the requests
	now      time.Time
	start    time.Time
	loads    []load
	weights  [][]float64 // by load and gateway
	hosts    []*simGateway
	leader   *quota.Leader[int]
	term     uint64
	leadsAt  time.Time // of the next leader, while there is none
	messages []message
	nextRun  int
	nextID   uint64
	lateEnd  float64 // part of the requests that end without having run after they were charged

	share   float64 // largest sum of the shares in force of one customer
	level   float64 // largest sum of the levels with a share, as a part of the burst
	steps   int
	steady  bool // the limits do not change, so that level is measured
	runs    [][]run
	ideal   []idealBucket
	asked   []float64
	refused []float64
	counted time.Time // from when asked and refused are counted
}

func newSim(seed uint64, gateways int, loads ...load) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 7)), arrivals: rand.New(rand.NewPCG(seed, 8)), start: time.Unix(1000, 0), now: time.Unix(1000, 0), loads: loads,
		runs: make([][]run, len(loads)), asked: make([]float64, len(loads)), ideal: make([]idealBucket, len(loads)), refused: make([]float64, len(loads)),
	}
	for i := range s.ideal {
		s.ideal[i].at = s.now
	}
	for _, l := range loads {
		weights, sum := make([]float64, gateways), 0.0
		for i := range weights {
			weights[i] = 1
			if l.skewed {
				weights[i] = 1 / float64(1+s.random.IntN(gateways))
			}
			sum += weights[i]
		}
		for i := range weights {
			weights[i] /= sum
		}
		s.weights = append(s.weights, weights)
	}
	for range gateways {
		g := &simGateway{limits: s.limits()}
		s.hosts = append(s.hosts, g)
		s.restart(g, s.now)
	}
	s.elect()
	s.steady = true
	return s
}

func (s *sim) limits() (out []quota.Limit) {
	for _, l := range s.loads {
		out = append(out, l.limit)
	}
	return out
}

// elect starts the next leader.
func (s *sim) elect() {
	s.term++
	s.leader = quota.NewLeader[int](s.now, s.term, simBounds)
	s.leader.SetLimits(s.now, s.limits())
}

// restart replaces the gateway of a host by one that starts at the given time.
func (s *sim) restart(g *simGateway, at time.Time) {
	s.nextRun++
	*g = simGateway{
		id: s.nextRun, limiter: quota.NewLimiter(simBounds), joinsAt: at, reportAt: at, updateAt: at,
		waiting: make(map[uint64]pending), limits: g.limits, documentAt: g.documentAt,
	}
	g.limiter.SetLimits(at, g.limits)
}

func (s *sim) delay() time.Duration { return time.Duration(s.random.Int64N(int64(maxDelay))) }

// send sends a message, which is lost if the gateway is cut off. Messages of one host stay
// in order.
func (s *sim) send(m message) {
	g := s.hosts[m.host]
	if s.now.Before(g.cutUntil) {
		return
	}
	m.at, m.id = s.now.Add(s.delay()), g.id
	for _, other := range s.messages {
		if other.host == m.host && (other.report == nil) == (m.report == nil) && other.at.After(m.at) {
			m.at = other.at
		}
	}
	s.messages = append(s.messages, m)
}

// step advances the time and handles all events that are due.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if s.leader == nil && !s.now.Before(s.leadsAt) {
		s.elect()
	}
	for i, g := range s.hosts {
		s.offer(i, g)
	}
	s.deliver()
	for i, g := range s.hosts {
		s.serve(i, g)
	}
	if s.steps++; s.steps%sharesEvery == 0 {
		s.checkShares()
	}
}

// sharesEvery is the number of steps between two checks of the shares, which take much time.
const sharesEvery = 4

// checkShares records a fault if the gateways together use more than a limit, or may charge
// at once more than the burst. Paused gateways use what they use when they are woken.
func (s *sim) checkShares() {
	shares, levels := make(map[fleet.Customer]float64), make(map[fleet.Customer]float64)
	for _, g := range s.hosts {
		for _, u := range g.limiter.Usage(s.now) {
			shares[u.Customer] += u.Share
			if u.Share > 0 {
				levels[u.Customer] += u.Level
			}
		}
	}
	for _, l := range s.loads {
		name := l.limit.Customer
		if shares[name] > s.share {
			s.share = shares[name]
		}
		if r := levels[name] / l.limit.Burst; s.steady && r > s.level {
			s.level = r
		}
	}
}

// deliver handles the messages that have arrived. Those to a paused gateway stay.
func (s *sim) deliver() {
	slices.SortStableFunc(s.messages, func(a, b message) int { return a.at.Compare(b.at) })
	var kept []message
	for _, m := range s.messages {
		g := s.hosts[m.host]
		switch {
		case m.at.After(s.now), m.update != nil && s.now.Before(g.pausedTill):
			kept = append(kept, m)
		case g.id != m.id:
		case m.report != nil:
			if s.leader != nil && s.leader.Report(s.now, m.id, *m.report) && g.updateAt.After(g.lastUpdate.Add(leastInterval)) {
				g.updateAt = g.lastUpdate.Add(leastInterval)
			}
		default:
			s.decide(g, g.limiter.Apply(s.now, *m.update))
		}
	}
	s.messages = kept
}

// serve sends what is due from and to a gateway.
func (s *sim) serve(i int, g *simGateway) {
	if s.now.Before(g.joinsAt) {
		return
	}
	if s.leader != nil && !s.now.Before(g.updateAt) {
		urgent := s.now.Before(g.fullAt)
		u, retry, ok := s.leader.Update(s.now, g.id, urgent)
		if !urgent {
			g.fullAt = s.now.Add(feedInterval)
		}
		if g.lastUpdate, g.updateAt = s.now, g.fullAt; retry && s.now.Add(retryInterval).Before(g.fullAt) {
			g.updateAt = s.now.Add(retryInterval)
		}
		if ok {
			s.send(message{host: i, update: &u})
		}
	}
	if s.now.Before(g.pausedTill) {
		return
	}
	if !g.documentAt.IsZero() && !s.now.Before(g.documentAt) {
		g.documentAt, g.limits = time.Time{}, s.limits()
		s.decide(g, g.limiter.SetLimits(s.now, g.limits))
	}
	s.decide(g, g.limiter.Tick(s.now))
	if !s.now.Before(g.reportAt) || g.limiter.Urgent() && s.now.Sub(g.lastReport) >= leastInterval {
		urgent := s.now.Before(g.reportAt)
		if g.lastReport = s.now; !urgent {
			g.reportAt = s.now.Add(feedInterval)
		}
		if r, ok := g.limiter.Report(s.now, urgent); ok && s.leader != nil {
			s.send(message{host: i, report: &r})
		}
	}
}

// offer lets the requests of one step arrive at a gateway, and ends some without a run.
func (s *sim) offer(i int, g *simGateway) {
	if s.now.Before(g.joinsAt) || s.now.Before(g.pausedTill) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(g.waiting)) {
		p := g.waiting[id]
		if !p.endAt.IsZero() && !s.now.Before(p.endAt) {
			delete(g.waiting, id)
			g.limiter.Credit(s.now, p.charge)
		}
	}
	for c, l := range s.loads {
		mean := l.demand * l.limit.Rate / l.mean() * s.weights[c][i] * simStep.Seconds()
		for n := poisson(s.arrivals, mean); n > 0; n-- {
			cost := l.size(s.arrivals)
			s.nextID++
			g.waiting[s.nextID] = pending{customer: c, cost: cost}
			counts := !s.now.Before(s.counted)
			if counts {
				s.asked[c] += cost
			}
			s.ideal[c].offer(s.now, l.limit, cost, counts)
			s.decide(g, []quota.Decision{g.limiter.Offer(s.now, s.nextID, l.limit.Customer, cost, s.now.Add(maxRequestFor))})
		}
	}
}

// poisson returns a number with a Poisson distribution.
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); n++ {
		p *= r.Float64()
	}
	return n
}

// decide records decisions on requests.
func (s *sim) decide(g *simGateway, list []quota.Decision) {
	for _, d := range list {
		p, ok := g.waiting[d.ID]
		switch {
		case !ok:
			panic(fmt.Sprint("decision on an unknown request: ", d))
		case d.Action == quota.Wait:
			continue
		case d.Action == quota.Refuse:
			if !d.RetryAt.After(s.now) {
				panic("a refused caller is told to return in the past")
			}
			if !s.now.Before(s.counted) {
				s.refused[p.customer] += p.cost
			}
		case s.random.Float64() < s.lateEnd:
			p.charge, p.endAt = d.Charge, s.now.Add(time.Duration(s.random.Int64N(int64(400*time.Millisecond))))
			g.waiting[d.ID] = p
			continue
		default:
			s.runs[p.customer] = append(s.runs[p.customer], run{s.now, p.cost})
		}
		delete(g.waiting, d.ID)
	}
}

// usage returns the part of a customer's limit that was used from a time on, and that an
// ideal bucket for all gateways would have let through.
func (s *sim) usage(c int, from time.Time) (used, ideal float64) {
	sum := 0.0
	for _, r := range s.runs[c] {
		if !r.at.Before(from) {
			sum += r.cost
		}
	}
	limit := s.loads[c].limit.Rate * s.now.Sub(from).Seconds()
	return sum / limit, s.ideal[c].used / limit
}

// checkUsage fails the test if less than a part of what an ideal bucket lets through was
// used since s.counted.
func (s *sim) checkUsage(t *testing.T, part float64) {
	t.Helper()
	for c, l := range s.loads {
		used, ideal := s.usage(c, s.counted)
		t.Logf("%s: %.3f of the limit used, ideal %.3f", l.limit.Customer, used, ideal)
		if used < part*min(1, ideal) {
			t.Errorf("customer %s: %.3f of the limit used, ideal %.3f", l.limit.Customer, used, ideal)
		}
	}
}

// worst returns the largest ratio of what ran in a window to what the limit allows, and the
// end of that window. Windows that begin before a time are left out.
func worst(runs []run, l quota.Limit, from time.Time) (ratio float64, end time.Time) {
	slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	slack := simBounds.Slack
	if !l.Tokens {
		slack = 0
	}
	allowed := (l.Rate*window.Seconds()+l.Burst)*(1+simBounds.Overage) + slack
	first, sum := 0, 0.0
	for _, r := range runs {
		if r.at.Before(from) {
			first++
			continue
		}
		sum += r.cost
		for runs[first].at.Before(r.at.Add(-window)) {
			sum -= runs[first].cost
			first++
		}
		if sum/allowed > ratio {
			ratio, end = sum/allowed, r.at
		}
	}
	return ratio, end
}

// checkRule fails the test if a window breaks the rule.
func (s *sim) checkRule(t *testing.T, from time.Time) {
	t.Helper()
	t.Logf("largest sum of shares %.4f, of levels %.4f", s.share, s.level)
	if s.share > 1+1e-6 || s.level > 1+maxExtraLevel {
		t.Errorf("gateways use %.4f of a limit and hold %.4f of a burst at the same time", s.share, s.level)
	}
	for c, l := range s.loads {
		ratio, end := worst(s.runs[c], l.limit, from)
		t.Logf("%s: largest window %.3f of what is allowed, at %v", l.limit.Customer, ratio, end.Sub(s.start))
		if ratio > 1 {
			t.Errorf("customer %s: a window that ends at %v has %.3f of what is allowed", l.limit.Customer, end.Sub(s.start), ratio)
		}
	}
}

// token and plain return the limits of customers in tokens and in requests.
func token(name string, rate, burst float64) quota.Limit {
	return quota.Limit{Customer: fleet.Customer(name), Rate: rate, Burst: burst, Tokens: true}
}

func plain(name string, rate, burst float64) quota.Limit {
	return quota.Limit{Customer: fleet.Customer(name), Rate: rate, Burst: burst}
}

// usualLoads are customers of different size, with their demand as a multiple of the rate.
func usualLoads(demand float64, skewed bool) []load {
	return []load{
		{limit: token("large", 2_195_984, 2_195_984), demand: demand, smallest: 300, largest: 40_000, skewed: skewed},
		{limit: token("middle", 400_000, 400_000), demand: demand, smallest: 300, largest: 40_000, skewed: skewed},
		{limit: token("small", 60_000, 60_000), demand: demand, smallest: 300, largest: 40_000, skewed: skewed},
		{limit: plain("plain", 40, 40), demand: demand, smallest: 1, largest: 1, skewed: skewed},
	}
}
