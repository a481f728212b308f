package plan

import (
	"math"
	"sort"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

const (
	headroom            = 1.1              // ratio of capacity to load below which queues grow for seconds
	currentWeight       = 0.4              // weight of the fast estimate in the expected goodput; the history has the rest
	minGainToLoss       = 1.5              // minimum ratio of gain to loss for a role change
	windowMinGainToLoss = 6.0              // the same within a window, where an unavailable engine costs urgent work
	minRelativeGain     = 0.06             // minimum gain as a fraction of the changed engine's time over the horizon; smaller gains are noise
	minBatchGain        = 0.14             // the same for a batch of engines; 0.06 caused 40 changes in one load swing with 100 engines
	windowWeight        = 0.8              // weight of a window's load in the expected goodput, from windowLeadTime before it opens until it closes
	groupDwell          = 30 * time.Second // minimum time between two role changes in one group
	engineDwell         = 90 * time.Second // minimum time between two role changes of one engine
	maxUnavailableShare = 0.1              // maximum fraction of a pool's engines that may be unavailable at once; one engine always may
	releaseUtilisation  = 0.6              // maximum utilisation after a release, at the highest load in the history
	overloadDelay       = time.Minute      // time for which the load must exceed the capacity before a target is ordered
	windowLeadTime      = 45 * time.Second // time before a window opens at which its load is taken into account
	minHistory          = 6                // samples required before the first role change; fewer are dominated by noise
)

// Planner plans roles and target counts for each group, that is, the engines of
// one pool in one data centre. Create it with New.
type Planner struct {
	o           Options
	groups      map[groupKey]*group
	speeds      map[string]*speeds
	windowLoads map[string]map[groupKey]load // highest load observed, by window name and group
}

type groupKey struct {
	pool       string
	dataCentre fleet.DataCentre
}

type group struct {
	key             groupKey
	estimate        estimate
	engines         []Engine
	unknown         int  // number of engines whose state is not known
	starting        int  // number of ordered targets that are not in service yet, as reported
	reported        bool // the current demand contains a rate
	lastChange      time.Time
	engineChanges   map[fleet.TargetName]time.Time
	readyTimes      []time.Time // expected ready time of each pending target order
	overloadedSince time.Time   // start of the current overload, or time of the last order during it; zero if there is none
}

// New returns a Planner without engines or load estimates.
func New(o Options) *Planner {
	if o.Horizon == 0 {
		o.Horizon = 5 * time.Minute
	}
	if o.Drain == 0 {
		o.Drain = 4 * time.Second
	}
	if o.FirstTokenObjective == 0 {
		o.FirstTokenObjective = 330 * time.Millisecond
	}
	if o.PrefillSpeed == 0 {
		o.PrefillSpeed = 10000
	}
	if o.DecodeSpeed == 0 {
		o.DecodeSpeed = 2000
	}
	return &Planner{
		o:           o,
		groups:      make(map[groupKey]*group),
		speeds:      make(map[string]*speeds),
		windowLoads: make(map[string]map[groupKey]load),
	}
}

// Configure sets the budget and the windows.
func (p *Planner) Configure(b config.Budget, w []config.Window) { p.o.Budget, p.o.Windows = b, w }

// Step updates the estimates from the demand and returns the planned changes.
func (p *Planner) Step(now time.Time, d Demand) []Decision {
	p.Observe(now, d)
	var decisions []Decision
	for _, k := range p.sortedKeys() {
		g := p.groups[k]
		if len(g.engines) == 0 || !g.reported {
			continue
		}
		if decision, ok := p.resize(now, g); ok {
			decisions = append(decisions, decision)
			continue
		}
		decisions = append(decisions, p.changeRoles(now, g)...)
	}
	return decisions
}

// Observe updates the estimates from the demand without making decisions.
func (p *Planner) Observe(now time.Time, d Demand) {
	p.groupEngines(d)
	p.learnSpeeds(d)
	loads := make(map[groupKey]load)
	for _, r := range d.Rates {
		k := groupKey{r.Pool, r.DataCentre}
		l, s := loads[k], p.poolSpeeds(r.Pool)
		l.prefill += r.Prefill
		l.decode += r.Decode
		l.requests += r.Requests
		if r.Class == fleet.Urgent {
			l.urgent += r.Prefill/s.prefill + r.Decode/s.decode // in seconds of work; divided by the total below
		}
		loads[k] = l
	}
	for k, g := range p.groups {
		l, ok := loads[k]
		if g.reported = ok; !ok {
			continue
		}
		s := p.poolSpeeds(k.pool)
		if total := l.prefill/s.prefill + l.decode/s.decode; total > 0 {
			l.urgent /= total
		}
		g.estimate.update(now, l)
		p.recordWindowLoad(now, g)
	}
}

// groupEngines assigns the engines and starting targets to their groups.
func (p *Planner) groupEngines(d Demand) {
	for _, g := range p.groups {
		g.engines, g.unknown, g.starting = g.engines[:0], 0, 0
	}
	for _, e := range d.Engines {
		g := p.group(groupKey{e.Pool, e.DataCentre})
		if e.Unknown {
			g.unknown++
		} else {
			g.engines = append(g.engines, e)
		}
		p.poolSpeeds(e.Pool)
	}
	for _, s := range d.Starting {
		p.group(groupKey{s.Pool, s.DataCentre}).starting++
	}
}

// learnSpeeds updates the speeds of each pool with the median over the engines
// of a role. At least half of these engines must have reported, because a single
// slow engine is not representative of the pool.
func (p *Planner) learnSpeeds(d Demand) {
	type role struct {
		pool string
		role fleet.Role
	}
	engines := make(map[role]int)
	for _, e := range d.Engines {
		engines[role{e.Pool, e.Role}]++
	}
	reports := make(map[role][]Speed)
	for _, s := range d.Speeds {
		reports[role{s.Pool, s.Role}] = append(reports[role{s.Pool, s.Role}], s)
	}
	for k, l := range reports {
		if 2*len(l) < engines[k] {
			continue
		}
		sort.Slice(l, func(i, j int) bool { return l[i].Prefill+l[i].Decode < l[j].Prefill+l[j].Decode })
		reported := [3]bool{}
		for r := range reported {
			reported[r] = len(reports[role{k.pool, fleet.Role(r)}]) > 0
		}
		p.poolSpeeds(k.pool).update(l[len(l)/2], reported)
	}
}

func (p *Planner) group(k groupKey) *group {
	g := p.groups[k]
	if g == nil {
		g = &group{key: k, engineChanges: make(map[fleet.TargetName]time.Time)}
		p.groups[k] = g
	}
	return g
}

// poolSpeeds returns the speeds of a pool. For a new pool it sets them to the
// configured values.
func (p *Planner) poolSpeeds(pool string) *speeds {
	s := p.speeds[pool]
	if s == nil {
		s = &speeds{prefill: p.o.PrefillSpeed, decode: p.o.DecodeSpeed, mixed: 0.8, firstTokenObjective: p.o.FirstTokenObjective.Seconds()}
		p.speeds[pool] = s
	}
	return s
}

// recordWindowLoad records the highest load of the group in each open window,
// by window name.
func (p *Planner) recordWindowLoad(now time.Time, g *group) {
	for _, w := range p.o.Windows {
		if now.Before(w.Opens) || !now.Before(w.Closes) {
			continue
		}
		if p.windowLoads[w.Name] == nil {
			p.windowLoads[w.Name] = make(map[groupKey]load)
		}
		old := p.windowLoads[w.Name][g.key]
		if f := g.estimate.fast; f.prefill+f.decode > old.prefill+old.decode {
			p.windowLoads[w.Name][g.key] = f
		}
	}
}

// expectedWindowLoad returns the load expected in a window that is open or opens
// within windowLeadTime. If no load is recorded for the window's name, this is
// the current load with at least the urgent share that the window reserves. It
// determines the roles; upcomingWindowLoad determines the number of targets, for
// which more time is needed.
func (p *Planner) expectedWindowLoad(now time.Time, g *group) (load, bool) {
	for _, w := range p.o.Windows {
		if now.Before(w.Opens.Add(-windowLeadTime)) || !now.Before(w.Closes) {
			continue
		}
		l, ok := p.windowLoads[w.Name][g.key]
		if !ok {
			l = g.estimate.fast
			l.urgent = math.Max(l.urgent, w.Reserved)
		}
		return l, true
	}
	return load{}, false
}

// expectedGoodput returns the weighted mean goodput of a role assignment over
// the loads that may occur next: the current load, those of the history, and the
// load of a window.
func (p *Planner) expectedGoodput(now time.Time, g *group, n roleCounts) float64 {
	s := p.poolSpeeds(g.key.pool)
	e := &g.estimate
	history := 0.0
	for i := range e.samples {
		history += s.goodput(n, e.history[i])
	}
	if e.samples > 0 {
		history /= float64(e.samples)
	}
	v := currentWeight*s.goodput(n, e.fast) + (1-currentWeight)*history
	if l, ok := p.expectedWindowLoad(now, g); ok {
		v = (1-windowWeight)*v + windowWeight*s.goodput(n, l)
	}
	return v
}

func (g *group) roleCounts() (all roleCounts) {
	for _, e := range g.engines {
		all[e.Role]++
	}
	return all
}

// changeRoles returns the role changes of the move with the highest gain, if one is
// worthwhile. In a large group several engines change together: a third of
// maxUnavailableShare.
func (p *Planner) changeRoles(now time.Time, g *group) []Decision {
	k := max(1, int(maxUnavailableShare*float64(len(g.engines))/3))
	if g.estimate.samples < minHistory || now.Sub(g.lastChange) < groupDwell || !p.canTakeOut(now, g.key.pool, k) {
		return nil
	}
	best := p.bestMove(now, g, k)
	if best.gain <= 0 {
		return nil
	}
	g.lastChange = now
	decisions := make([]Decision, 0, k)
	for _, name := range g.changeable(now, best.from, k) {
		g.engineChanges[name] = now
		decisions = append(decisions, Decision{
			Kind: ChangeRole, Pool: g.key.pool, DataCentre: g.key.dataCentre,
			Target: name, Role: best.to, Gain: best.gain / float64(k),
		})
	}
	return decisions
}

// roleMove is a change of several engines from one role to another.
type roleMove struct {
	from, to fleet.Role
	gain     float64 // net gain in seconds of engine work
}

// bestMove returns the worthwhile move of k engines with the highest net gain.
// The gain is 0 if there is none.
func (p *Planner) bestMove(now time.Time, g *group, k int) (best roleMove) {
	all, s := g.roleCounts(), p.poolSpeeds(g.key.pool)
	minRatio := minGainToLoss
	if p.inWindow(now) {
		minRatio = windowMinGainToLoss
	}
	minGain := minRelativeGain
	if k > 1 {
		minGain = minBatchGain
	}
	baseline, currentGoodput := p.expectedGoodput(now, g, all), s.goodput(all, g.estimate.fast)
	horizon, downtime := p.o.Horizon.Seconds(), (p.o.Drain + p.o.Budget.RoleChangeDelay).Seconds()
	for from := range all {
		if len(g.changeable(now, fleet.Role(from), k)) < k {
			continue
		}
		remaining := all
		remaining[from] -= float64(k)
		loss := downtime * (currentGoodput - s.goodput(remaining, g.estimate.fast))
		for to := range all {
			n := remaining
			n[to] += float64(k)
			if from == to || !servesBothPhases(n) {
				continue
			}
			gain := (horizon - downtime) * (p.expectedGoodput(now, g, n) - baseline)
			if gain >= minRatio*loss && gain >= minGain*float64(k)*horizon && gain-loss > best.gain {
				best = roleMove{fleet.Role(from), fleet.Role(to), gain - loss}
			}
		}
	}
	return best
}

// canTakeOut reports whether k more engines of a pool may become unavailable.
// The limit applies to the whole pool, because data centres take over each
// other's load in the meantime.
func (p *Planner) canTakeOut(now time.Time, pool string, k int) bool {
	engines, unavailable := 0, 0
	for key, g := range p.groups {
		if key.pool != pool {
			continue
		}
		engines += len(g.engines) + g.unknown
		unavailable += g.unknown
		for _, e := range g.engines {
			// An engine changed earlier in this step is still reported as ready.
			if !e.Ready || g.engineChanges[e.Name].Equal(now) {
				unavailable++
			}
		}
	}
	return float64(unavailable+k) <= math.Max(1, maxUnavailableShare*float64(engines))
}

func (p *Planner) inWindow(now time.Time) bool {
	for _, w := range p.o.Windows {
		if !now.Before(w.Opens) && now.Before(w.Closes) {
			return true
		}
	}
	return false
}

// servesBothPhases reports whether the engines can serve both prefill and decode.
func servesBothPhases(n roleCounts) bool {
	return n[fleet.Mixed] > 0 || (n[fleet.Prefill] > 0 && n[fleet.Decode] > 0)
}

// changeable returns up to k ready engines of a role that have not changed role
// within engineDwell, least loaded first.
func (g *group) changeable(now time.Time, r fleet.Role, k int) []fleet.TargetName {
	var l []Engine
	for _, e := range g.engines {
		if e.Role == r && e.Ready && now.Sub(g.engineChanges[e.Name]) >= engineDwell {
			l = append(l, e)
		}
	}
	sort.SliceStable(l, func(i, j int) bool { return l[i].Load < l[j].Load })
	names := make([]fleet.TargetName, 0, k)
	for _, e := range l[:min(k, len(l))] {
		names = append(names, e.Name)
	}
	return names
}
