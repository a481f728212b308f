package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrNoTarget reports that no target of the pool may receive the request. The
// request has not been handed over.
var ErrNoTarget = errors.New("no target is available")

const (
	stages         = 2
	sentRing       = 64
	defaultPrefill = 8000.0 // prompt tokens/s until a target reports its speed
	defaultDecode  = 1500.0 // output tokens/s until a target reports its speed
	defaultService = 0.05   // seconds per request of a plain service until measured
)

// Options configures a Router.
type Options struct {
	DataCentre  fleet.DataCentre // of this node
	Region      fleet.Region     // of this node
	Random      *rand.Rand
	Delay       func(fleet.Region, fleet.DataCentre) time.Duration // one-way; nil means defaults of the environment
	BlockTokens float64                                            // tokens per prefix block; 0 means 256
}

// Router chooses targets. Use New.
type Router struct {
	Crossed map[fleet.Customer]uint64 // bytes sent and received across regions

	o       Options
	targets []target
	byName  map[fleet.TargetName]int32
	groups  []group
	pools   map[string]*pool
	cache   *cacheTable
	resync  []Resync
}

// pool lists the groups of one pool by stage, nearest first.
type pool struct{ byStage [stages][]int32 }

// group is the set of ready targets of one pool, stage and data centre.
type group struct {
	dataCentre  fleet.DataCentre
	delay       time.Duration // one-way
	distance    uint8         // 0 own data centre, 1 own region, 2 other region
	members     []int32
	work        float64 // sum over members in seconds
	summary     float64 // mean reported from outside
	summaryTime time.Time
}

type sent struct {
	at   time.Time
	work float64
}

type target struct {
	fleet.Target
	groups   [stages]int32 // -1 where the role does not serve the stage
	taken    time.Time     // of the last load report
	reported float64       // seconds of work in it
	since    float64       // own work handed over after taken
	own      int32         // own attempts without an outcome
	ring     [sentRing]sent
	head, n  int
	prefill  float64 // tokens/s
	decode   float64 // tokens/s
	service  float64 // seconds per request of a plain service
	health   health
	cache    cacheState
}

// New returns a Router without targets.
func New(o Options) *Router {
	if o.BlockTokens == 0 {
		o.BlockTokens = 256
	}
	if o.Delay == nil {
		o.Delay = func(r fleet.Region, d fleet.DataCentre) time.Duration {
			switch {
			case d == o.DataCentre:
				return 0
			case r == o.Region:
				return time.Millisecond
			}
			return 20 * time.Millisecond
		}
	}
	return &Router{
		Crossed: make(map[fleet.Customer]uint64),
		o:       o,
		byName:  make(map[fleet.TargetName]int32),
		pools:   make(map[string]*pool),
		cache:   newCacheTable(),
	}
}

// Step applies an event. The result asks for cache contents; it is valid until
// the next Step.
func (r *Router) Step(now time.Time, e Event) []Resync {
	r.resync = r.resync[:0]
	switch e := e.(type) {
	case Configure:
		r.configure(e.Targets)
	case Load:
		r.load(e)
	case Summary:
		r.summarise(e)
	case Outcome:
		r.outcome(now, e)
	case Cache:
		r.cached(e)
	}
	return r.resync
}

func (r *Router) configure(targets []fleet.Target) {
	old, oldByName := r.targets, r.byName
	r.targets = make([]target, 0, len(targets))
	r.byName = make(map[fleet.TargetName]int32, len(targets))
	r.groups, r.pools = nil, make(map[string]*pool)
	for _, t := range targets {
		n := target{prefill: defaultPrefill, decode: defaultDecode, service: defaultService, health: newHealth()}
		if i, ok := oldByName[t.Name]; ok && old[i].Incarnation == t.Incarnation {
			n = old[i]
		}
		if n.Role != t.Role {
			n.reported, n.since, n.n = 0, 0, 0
		}
		n.Target = t
		n.groups = [stages]int32{-1, -1}
		r.byName[t.Name] = int32(len(r.targets))
		r.targets = append(r.targets, n)
		if t.Phase == fleet.Ready {
			r.join(int32(len(r.targets) - 1))
		}
	}
	r.cache.renumber(old, r.byName)
	r.sortGroups()
}

// join adds a ready target to the group of each stage that its role serves.
func (r *Router) join(i int32) {
	t := &r.targets[i]
	p := r.pools[t.Pool]
	if p == nil {
		p = &pool{}
		r.pools[t.Pool] = p
	}
	for s := range stages {
		if !serves(&t.Target, Stage(s)) {
			continue
		}
		g := r.groupOf(p, s, &t.Target)
		t.groups[s] = g
		r.groups[g].members = append(r.groups[g].members, i)
		r.groups[g].work += t.work()
	}
}

func serves(t *fleet.Target, stage Stage) bool {
	if t.Kind == fleet.Service {
		return stage == Start
	}
	return t.Role == fleet.Mixed || (t.Role == fleet.Decode) == (stage == Decode)
}

func (r *Router) groupOf(p *pool, stage int, t *fleet.Target) int32 {
	for _, g := range p.byStage[stage] {
		if r.groups[g].dataCentre == t.DataCentre {
			return g
		}
	}
	g := group{dataCentre: t.DataCentre, delay: r.o.Delay(t.Region, t.DataCentre), distance: 2}
	switch {
	case t.DataCentre == r.o.DataCentre:
		g.distance = 0
	case t.Region == r.o.Region:
		g.distance = 1
	}
	r.groups = append(r.groups, g)
	p.byStage[stage] = append(p.byStage[stage], int32(len(r.groups)-1))
	return int32(len(r.groups) - 1)
}

func (r *Router) sortGroups() {
	for _, p := range r.pools {
		for s := range stages {
			l := p.byStage[s]
			for i := 1; i < len(l); i++ { // at most one entry per data centre
				for j := i; j > 0 && r.groups[l[j]].delay < r.groups[l[j-1]].delay; j-- {
					l[j], l[j-1] = l[j-1], l[j]
				}
			}
		}
	}
}

func (r *Router) load(e Load) {
	i, ok := r.byName[e.Target]
	if !ok || e.Taken.Before(r.targets[i].taken) {
		return
	}
	t := &r.targets[i]
	before := t.work()
	if e.PrefillSpeed > 0 {
		t.prefill = e.PrefillSpeed
	}
	if e.DecodeSpeed > 0 {
		t.decode = e.DecodeSpeed
	}
	t.taken = e.Taken
	t.reported = e.PrefillTokens/t.prefill + e.DecodeTokens/t.decode
	if t.Kind == fleet.Service {
		t.reported = float64(e.Requests) * t.service / float64(max(t.Slots, 1))
	}
	for t.n > 0 && !t.ring[t.head].at.After(e.Taken) {
		t.since -= t.ring[t.head].work
		t.head = (t.head + 1) % sentRing
		t.n--
	}
	if t.n == 0 {
		t.since = 0
	}
	r.changed(t, before)
}

func (r *Router) summarise(e Summary) {
	p := r.pools[e.Pool]
	if p == nil || int(e.Stage) >= stages {
		return
	}
	for _, i := range p.byStage[e.Stage] {
		g := &r.groups[i]
		if g.dataCentre == e.DataCentre && e.Taken.After(g.summaryTime) {
			g.summary, g.summaryTime = e.Work, e.Taken
		}
	}
}

// changed carries a change of a target's work into the sums of its groups.
func (r *Router) changed(t *target, before float64) {
	d := t.work() - before
	for _, g := range t.groups {
		if g >= 0 {
			r.groups[g].work = math.Max(0, r.groups[g].work+d)
		}
	}
}

func (t *target) work() float64 { return t.reported + t.since }

// add records work handed over now. A full ring merges into its newest entry.
func (t *target) add(now time.Time, work float64) {
	t.since += work
	t.own++
	if t.n == sentRing {
		last := &t.ring[(t.head+t.n-1)%sentRing]
		last.at, last.work = now, last.work+work
		return
	}
	t.ring[(t.head+t.n)%sentRing] = sent{now, work}
	t.n++
}

// remove takes back work that ended. Work handed over before the last report
// is part of the report.
func (t *target) remove(at time.Time, work float64) {
	t.own = max(0, t.own-1)
	if !at.After(t.taken) {
		t.reported = math.Max(0, t.reported-work)
		return
	}
	for i := range t.n {
		s := &t.ring[(t.head+i)%sentRing]
		if !s.at.Before(at) {
			work = math.Min(work, s.work)
			s.work -= work
			t.since = math.Max(0, t.since-work)
			return
		}
	}
}
