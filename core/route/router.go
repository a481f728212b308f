package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrNoTarget reports that no target of the pool may receive the request. The
// request has not been handed over.
var ErrNoTarget = errors.New("no target is available")

const (
	stages         = 2
	changeRing     = 128    // own changes remembered per target; 64 overflowed with reports 5 s late
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
	move    float64 // seconds to move the KV cache of a prompt token; 0 until seen
	movedAt time.Time
}

// pool lists the groups of one pool by stage, nearest first.
type pool struct{ byStage [stages][]int32 }

// group is the set of ready targets of one pool, stage and data centre.
type group struct {
	dataCentre  fleet.DataCentre
	delay       time.Duration // one-way
	distance    uint8         // 0 own data centre, 1 own region, 2 other region
	stage       Stage
	members     []int32 // in the subset
	rest        []int32 // outside of it
	pair        int32   // decode group of the data centre, of a start group; -1 if none
	others      work    // sums over members
	own         work
	summary     float64 // mean reported from outside
	summaryTime time.Time
}

// work is target time in seconds.
type work struct{ prefill, decode float64 }

func (w work) plus(o work, factor float64) work {
	return work{w.prefill + factor*o.prefill, w.decode + factor*o.decode}
}

func (w work) positive() work { return work{math.Max(0, w.prefill), math.Max(0, w.decode)} }

// change is a change of this node's own work at a target.
type change struct {
	at time.Time
	by work
}

type target struct {
	fleet.Target
	groups  [stages]int32 // -1 where the role does not serve the stage
	drawn   bool          // in the subset: counted in the sums of its groups
	taken   time.Time     // of the last load report
	others  work          // in that report, without this node's own
	own     work          // of this node, handed over and not ended
	since   work          // change of own after taken
	count   uint32        // requests in that report
	ring    [changeRing]change
	head, n int
	prefill float64 // tokens/s
	decode  float64 // tokens/s
	service float64 // seconds per request of a plain service
	health  health
	cache   cacheState
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
		r.configure(e)
	case Load:
		r.load(e)
	case Summary:
		r.summarise(e)
	case FirstToken:
		r.firstToken(now, e)
	case Outcome:
		r.outcome(now, e)
	case Moved:
		r.moved(now, e)
	case Cache:
		r.cached(e)
	}
	return r.resync
}

func (r *Router) configure(e Configure) {
	targets := e.Targets
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
			n.others, n.own, n.since, n.n = work{}, work{}, work{}, 0
		}
		n.Target = t
		n.groups = [stages]int32{-1, -1}
		n.drawn = e.Subset.Has(t.Name)
		r.byName[t.Name] = int32(len(r.targets))
		r.targets = append(r.targets, n)
		if t.Phase == fleet.Ready {
			r.join(int32(len(r.targets) - 1))
		}
	}
	r.cache.renumber(old, r.byName)
	r.pairGroups()
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
		if !t.drawn {
			r.groups[g].rest = append(r.groups[g].rest, i)
			continue
		}
		r.groups[g].members = append(r.groups[g].members, i)
		r.groups[g].others = r.groups[g].others.plus(t.others, 1)
		r.groups[g].own = r.groups[g].own.plus(t.own, 1)
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
	g := group{dataCentre: t.DataCentre, stage: Stage(stage), delay: r.o.Delay(t.Region, t.DataCentre), distance: 2}
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

// pairGroups finds the decode group of each start group. A start group of
// engines without one is emptied: moving KV caches between data centres costs
// more than starting elsewhere.
func (r *Router) pairGroups() {
	for _, p := range r.pools {
		for _, s := range p.byStage[Start] {
			g := &r.groups[s]
			g.pair = r.find(p.byStage[Decode], g.dataCentre)
			if g.pair < 0 && r.kind(g) == fleet.Engine {
				for _, m := range slices.Concat(g.members, g.rest) {
					r.targets[m].groups[Start] = -1
				}
				g.members, g.rest, g.others, g.own = nil, nil, work{}, work{}
			}
		}
	}
}

// find returns the group of a data centre, or -1.
func (r *Router) find(groups []int32, d fleet.DataCentre) int32 {
	for _, g := range groups {
		if r.groups[g].dataCentre == d {
			return g
		}
	}
	return -1
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
	if e.PrefillSpeed > 0 {
		t.prefill = e.PrefillSpeed
	}
	if e.DecodeSpeed > 0 {
		t.decode = e.DecodeSpeed
	}
	t.taken, t.count = e.Taken, e.Requests
	reported := work{e.PrefillTokens / t.prefill, e.DecodeTokens / t.decode}
	if t.Kind == fleet.Service {
		reported = work{prefill: float64(e.Requests) * t.service / float64(max(t.Slots, 1))}
	}
	for t.n > 0 && !t.ring[t.head].at.After(e.Taken) {
		t.since = t.since.plus(t.ring[t.head].by, -1)
		t.head = (t.head + 1) % changeRing
		t.n--
	}
	if t.n == 0 {
		t.since = work{}
	}
	// The report contains this node's work of that time, which is known.
	ownThen := t.own.plus(t.since, -1)
	others := reported.plus(ownThen, -1).positive()
	for _, g := range t.groups {
		if g >= 0 && t.drawn {
			r.groups[g].others = r.groups[g].others.plus(others, 1).plus(t.others, -1).positive()
		}
	}
	t.others = others
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

// shift changes this node's own work at a target. A full ring merges into its
// newest entry.
func (r *Router) shift(now time.Time, t *target, by work) {
	t.own = t.own.plus(by, 1).positive()
	t.since = t.since.plus(by, 1)
	for _, g := range t.groups {
		if g >= 0 && t.drawn {
			r.groups[g].own = r.groups[g].own.plus(by, 1).positive()
		}
	}
	if t.n == changeRing {
		last := &t.ring[(t.head+t.n-1)%changeRing]
		last.at, last.by = now, last.by.plus(by, 1)
		return
	}
	t.ring[(t.head+t.n)%changeRing] = change{now, by}
	t.n++
}
