package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

// ErrNoTarget is returned by Pick when no target of the pool may receive the
// request. Pick has then counted no attempt.
var ErrNoTarget = errors.New("no target is available")

const (
	stageCount          = 2
	maxChanges          = 128    // recent changes of ownWork kept per target; 64 overflowed with reports 5 s late
	defaultPrefillSpeed = 8000.0 // prompt tokens/s until a target reports its speed
	defaultDecodeSpeed  = 1500.0 // output tokens/s until a target reports its speed
	defaultServiceTime  = 0.05   // seconds per request of a plain service until measured
)

// Options configures a Router.
type Options struct {
	DataCentre  fleet.DataCentre // of this node
	Region      fleet.Region     // of this node
	Random      *rand.Rand
	Delay       func(fleet.Region, fleet.DataCentre) time.Duration // one-way network delay; nil means 0 within the data centre, 1 ms within the region, 20 ms otherwise
	BlockTokens float64                                            // tokens per prefix block; 0 means 256
}

// Router chooses targets for requests. Use New to create one.
type Router struct {
	CrossRegionBytes map[fleet.Customer]uint64 // bytes sent to and received from other regions

	options                 Options
	targets                 []target
	byName                  map[fleet.TargetName]int32
	groups                  []group
	pools                   map[string]*pool
	cache                   *cacheTable
	resyncs                 []Resync
	transferSecondsPerToken float64 // time to transfer the KV cache of a prompt token; 0 until measured
	transferUpdatedAt       time.Time
}

// pool lists the groups of one pool by stage, in order of increasing delay.
type pool struct{ byStage [stageCount][]int32 }

// group is the set of ready targets of one pool, stage and data centre.
type group struct {
	dataCentre   fleet.DataCentre
	networkDelay time.Duration // one-way
	distance     uint8         // 0 for this node's data centre, 1 for its region, 2 for other regions
	stage        Stage
	members      []int32 // indexes of targets in the subset
	outside      []int32 // indexes of targets outside it
	decodeGroup  int32   // for a start group: index of the decode group in the same data centre, -1 if none
	otherWork    work    // work of other nodes, summed over members
	ownWork      work    // work of this node, summed over members
	summaryMean  float64 // MeanBacklog of the last Summary, in seconds
	summaryTime  time.Time
}

// work is the target time of the prefill and decode of requests, in seconds.
type work struct{ prefill, decode float64 }

func (w work) addScaled(o work, factor float64) work {
	return work{w.prefill + factor*o.prefill, w.decode + factor*o.decode}
}

func (w work) clampToZero() work { return work{math.Max(0, w.prefill), math.Max(0, w.decode)} }

// workChange is a change of this node's own work at a target.
type workChange struct {
	at    time.Time
	delta work
}

type target struct {
	fleet.Target
	groups                  [stageCount]int32      // -1 where the role does not serve the stage
	inSubset                bool                   // if set, its work is counted in the sums of its groups
	reportTime              time.Time              // when the last reported load was measured
	otherWork               work                   // of other nodes, from the last load report
	ownWork                 work                   // of this node's attempts in flight
	ownWorkSinceReport      work                   // change of ownWork after reportTime
	reportedRequests        uint32                 // running and waiting, from the last load report
	changes                 [maxChanges]workChange // ring buffer of changes after reportTime
	changesHead, changesLen int
	prefillSpeed            float64 // tokens/s
	decodeSpeed             float64 // tokens/s
	serviceTime             float64 // moving average in seconds per request, for plain services
	health                  health
	cache                   cacheState
}

// New returns a Router that has no targets yet.
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
		CrossRegionBytes: make(map[fleet.Customer]uint64),
		options:          o,
		byName:           make(map[fleet.TargetName]int32),
		pools:            make(map[string]*pool),
		cache:            newCacheTable(),
	}
}

// Step applies an event and returns the targets whose cache content must be
// requested. The result is valid until the next call of Step.
func (r *Router) Step(now time.Time, e Event) []Resync {
	r.resyncs = r.resyncs[:0]
	switch e := e.(type) {
	case Configure:
		r.configure(e)
	case Load:
		r.applyLoad(e)
	case Summary:
		r.applySummary(e)
	case FirstToken:
		r.applyFirstToken(now, e)
	case Outcome:
		r.applyOutcome(now, e)
	case KVTransferred:
		r.applyKVTransferred(now, e)
	case CacheUpdate:
		r.applyCacheUpdate(e)
	}
	return r.resyncs
}

func (r *Router) configure(e Configure) {
	targets := e.Targets
	old, oldByName := r.targets, r.byName
	r.targets = make([]target, 0, len(targets))
	r.byName = make(map[fleet.TargetName]int32, len(targets))
	r.groups, r.pools = nil, make(map[string]*pool)
	for _, t := range targets {
		n := target{prefillSpeed: defaultPrefillSpeed, decodeSpeed: defaultDecodeSpeed, serviceTime: defaultServiceTime, health: newHealth()}
		if i, ok := oldByName[t.Name]; ok && old[i].Incarnation == t.Incarnation {
			n = old[i]
		}
		if n.Role != t.Role {
			n.otherWork, n.ownWork, n.ownWorkSinceReport, n.changesLen = work{}, work{}, work{}, 0
		}
		n.Target = t
		n.groups = [stageCount]int32{-1, -1}
		n.inSubset = e.Subset.Contains(t.Name)
		r.byName[t.Name] = int32(len(r.targets))
		r.targets = append(r.targets, n)
		if t.Phase == fleet.Ready {
			r.addToGroups(int32(len(r.targets) - 1))
		}
	}
	r.cache.renumber(old, r.byName)
	r.pairGroups()
	r.sortGroups()
}

// addToGroups adds a ready target to the group of each stage that its role
// serves.
func (r *Router) addToGroups(i int32) {
	t := &r.targets[i]
	p := r.pools[t.Pool]
	if p == nil {
		p = &pool{}
		r.pools[t.Pool] = p
	}
	for s := range stageCount {
		if !serves(&t.Target, Stage(s)) {
			continue
		}
		g := r.groupOf(p, s, &t.Target)
		t.groups[s] = g
		if !t.inSubset {
			r.groups[g].outside = append(r.groups[g].outside, i)
			continue
		}
		r.groups[g].members = append(r.groups[g].members, i)
		r.groups[g].otherWork = r.groups[g].otherWork.addScaled(t.otherWork, 1)
		r.groups[g].ownWork = r.groups[g].ownWork.addScaled(t.ownWork, 1)
	}
}

// serves reports whether the role of a target includes the stage. Services serve
// only Start, mixed engines both stages.
func serves(t *fleet.Target, stage Stage) bool {
	if t.Kind == fleet.Service {
		return stage == Start
	}
	return t.Role == fleet.Mixed || (t.Role == fleet.Decode) == (stage == Decode)
}

// groupOf returns the group of a target in a stage of p and creates it if it does
// not exist.
func (r *Router) groupOf(p *pool, stage int, t *fleet.Target) int32 {
	for _, g := range p.byStage[stage] {
		if r.groups[g].dataCentre == t.DataCentre {
			return g
		}
	}
	g := group{dataCentre: t.DataCentre, stage: Stage(stage), networkDelay: r.options.Delay(t.Region, t.DataCentre), distance: 2}
	switch {
	case t.DataCentre == r.options.DataCentre:
		g.distance = 0
	case t.Region == r.options.Region:
		g.distance = 1
	}
	r.groups = append(r.groups, g)
	p.byStage[stage] = append(p.byStage[stage], int32(len(r.groups)-1))
	return int32(len(r.groups) - 1)
}

// pairGroups sets the decode group of each start group. A start group of engines
// without a decode group in its data centre is emptied: transferring KV caches
// between data centres costs more than starting the request in another one.
func (r *Router) pairGroups() {
	for _, p := range r.pools {
		for _, s := range p.byStage[Start] {
			g := &r.groups[s]
			g.decodeGroup = r.groupIn(p.byStage[Decode], g.dataCentre)
			if g.decodeGroup < 0 && r.kind(g) == fleet.Engine {
				for _, m := range slices.Concat(g.members, g.outside) {
					r.targets[m].groups[Start] = -1
				}
				g.members, g.outside, g.otherWork, g.ownWork = nil, nil, work{}, work{}
			}
		}
	}
}

// groupIn returns the index of the group in a data centre, or -1.
func (r *Router) groupIn(groups []int32, d fleet.DataCentre) int32 {
	for _, g := range groups {
		if r.groups[g].dataCentre == d {
			return g
		}
	}
	return -1
}

// sortGroups sorts the groups of each pool and stage by network delay.
func (r *Router) sortGroups() {
	for _, p := range r.pools {
		for s := range stageCount {
			groups := p.byStage[s]
			for i := 1; i < len(groups); i++ { // insertion sort; there is at most one group per data centre
				for j := i; j > 0 && r.groups[groups[j]].networkDelay < r.groups[groups[j-1]].networkDelay; j-- {
					groups[j], groups[j-1] = groups[j-1], groups[j]
				}
			}
		}
	}
}

// applyLoad derives the work of other nodes from a load report. It ignores reports
// of unknown targets and reports older than the last one.
func (r *Router) applyLoad(e Load) {
	i, ok := r.byName[e.Target]
	if !ok || e.MeasuredAt.Before(r.targets[i].reportTime) {
		return
	}
	t := &r.targets[i]
	if e.PrefillSpeed > 0 {
		t.prefillSpeed = e.PrefillSpeed
	}
	if e.DecodeSpeed > 0 {
		t.decodeSpeed = e.DecodeSpeed
	}
	t.reportTime, t.reportedRequests = e.MeasuredAt, e.Requests
	reported := work{e.PrefillTokens / t.prefillSpeed, e.DecodeTokens / t.decodeSpeed}
	if t.Kind == fleet.Service {
		reported = work{prefill: float64(e.Requests) * t.serviceTime / float64(max(t.Slots, 1))}
	}
	for t.changesLen > 0 && !t.changes[t.changesHead].at.After(e.MeasuredAt) {
		t.ownWorkSinceReport = t.ownWorkSinceReport.addScaled(t.changes[t.changesHead].delta, -1)
		t.changesHead = (t.changesHead + 1) % maxChanges
		t.changesLen--
	}
	if t.changesLen == 0 {
		t.ownWorkSinceReport = work{}
	}
	// The reported work includes the work of this node at e.MeasuredAt. Subtract it.
	ownAtReport := t.ownWork.addScaled(t.ownWorkSinceReport, -1)
	otherWork := reported.addScaled(ownAtReport, -1).clampToZero()
	for _, g := range t.groups {
		if g >= 0 && t.inSubset {
			r.groups[g].otherWork = r.groups[g].otherWork.addScaled(otherWork, 1).addScaled(t.otherWork, -1).clampToZero()
		}
	}
	t.otherWork = otherWork
}

func (r *Router) applySummary(e Summary) {
	p := r.pools[e.Pool]
	if p == nil || int(e.Stage) >= stageCount {
		return
	}
	for _, i := range p.byStage[e.Stage] {
		g := &r.groups[i]
		if g.dataCentre == e.DataCentre && e.ComputedAt.After(g.summaryTime) {
			g.summaryMean, g.summaryTime = e.MeanBacklog, e.ComputedAt
		}
	}
}

// addOwnWork adds delta to this node's own work at a target. When the ring buffer
// is full, delta is merged into the newest change, and the own work at the time of
// a report is then only approximate.
func (r *Router) addOwnWork(now time.Time, t *target, delta work) {
	t.ownWork = t.ownWork.addScaled(delta, 1).clampToZero()
	t.ownWorkSinceReport = t.ownWorkSinceReport.addScaled(delta, 1)
	for _, g := range t.groups {
		if g >= 0 && t.inSubset {
			r.groups[g].ownWork = r.groups[g].ownWork.addScaled(delta, 1).clampToZero()
		}
	}
	if t.changesLen == maxChanges {
		last := &t.changes[(t.changesHead+t.changesLen-1)%maxChanges]
		last.at, last.delta = now, last.delta.addScaled(delta, 1)
		return
	}
	t.changes[(t.changesHead+t.changesLen)%maxChanges] = workChange{now, delta}
	t.changesLen++
}
