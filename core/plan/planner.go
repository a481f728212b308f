package plan

import (
	"math"
	"sort"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
)

const (
	headroom      = 1.1  // capacity over load below which queues grow for seconds
	fastShare     = 0.4  // weight of the fast estimate in the expected future; the rest is the history
	payback       = 1.5  // gain over loss at which a change is made
	windowPayback = 6.0  // the same within a window, where an engine that is away costs urgent work
	minGainShare  = 0.02 // of the group's work over the horizon; smaller gains are noise
	dwell         = 30 * time.Second
	engineDwell   = 90 * time.Second // between two role changes of one engine
	awayShare     = 0.1              // of a pool's engines that may be away at once, at least one
	idleShare     = 0.6              // utilisation after a release, at the highest load in the history
	growPatience  = time.Minute      // time for which the load must exceed the engines before an order
	windowLead    = 45 * time.Second
	leastHistory  = 6 // samples before the first change; fewer are dominated by chance
)

// Planner decides by data centre and pool. Use New.
type Planner struct {
	o       Options
	groups  map[groupKey]*group
	speeds  map[string]*speeds
	windows map[string]map[groupKey]load // highest load seen in windows of a name
}

type groupKey struct {
	pool       string
	dataCentre fleet.DataCentre
}

type group struct {
	key       groupKey
	estimate  estimate
	engines   []Engine
	changed   time.Time
	changes   map[fleet.TargetName]time.Time
	ordered   []time.Time // when each open target order is expected to be ready
	shortFrom time.Time   // since when the load has exceeded the engines
}

// New returns a planner that knows no engines.
func New(o Options) *Planner {
	if o.Horizon == 0 {
		o.Horizon = 5 * time.Minute
	}
	if o.Drain == 0 {
		o.Drain = 4 * time.Second
	}
	if o.First == 0 {
		o.First = 330 * time.Millisecond
	}
	if o.Prefill == 0 {
		o.Prefill = 10000
	}
	if o.Decode == 0 {
		o.Decode = 2000
	}
	return &Planner{
		o:       o,
		groups:  make(map[groupKey]*group),
		speeds:  make(map[string]*speeds),
		windows: make(map[string]map[groupKey]load),
	}
}

// Configure replaces the budget and the windows.
func (p *Planner) Configure(b config.Budget, w []config.Window) { p.o.Budget, p.o.Windows = b, w }

// Step takes in the demand and returns the orders to give now.
func (p *Planner) Step(now time.Time, d Demand) []Act {
	p.learn(now, d)
	keys := make([]groupKey, 0, len(p.groups))
	for k := range p.groups {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].pool != keys[j].pool {
			return keys[i].pool < keys[j].pool
		}
		return keys[i].dataCentre < keys[j].dataCentre
	})
	var acts []Act
	for _, k := range keys {
		g := p.groups[k]
		if len(g.engines) == 0 {
			continue
		}
		if a, ok := p.size(now, g); ok {
			acts = append(acts, a)
			continue
		}
		if a, ok := p.change(now, g); ok {
			acts = append(acts, a)
		}
	}
	return acts
}

func (p *Planner) learn(now time.Time, d Demand) {
	for _, g := range p.groups {
		g.engines = g.engines[:0]
	}
	for _, e := range d.Engines {
		g := p.group(groupKey{e.Pool, e.DataCentre})
		g.engines = append(g.engines, e)
		p.speed(e.Pool)
	}
	p.learnSpeeds(d)
	loads := make(map[groupKey]load)
	for _, r := range d.Rates {
		k := groupKey{r.Pool, r.DataCentre}
		l, s := loads[k], p.speed(r.Pool)
		l.prefill += r.Prefill
		l.decode += r.Decode
		l.requests += r.Requests
		if r.Class == fleet.Urgent {
			l.urgent += r.Prefill/s.prefill + r.Decode/s.decode // work, until divided below
		}
		loads[k] = l
	}
	for k, g := range p.groups {
		l, s := loads[k], p.speed(k.pool)
		if total := l.prefill/s.prefill + l.decode/s.decode; total > 0 {
			l.urgent /= total
		}
		g.estimate.add(now, l)
		p.remember(now, g)
	}
}

// learnSpeeds takes the median over the engines of a role, and only when at
// least half of them report: a single slow engine says nothing about the pool.
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
		p.speed(k.pool).learn(l[len(l)/2])
	}
}

func (p *Planner) group(k groupKey) *group {
	g := p.groups[k]
	if g == nil {
		g = &group{key: k, changes: make(map[fleet.TargetName]time.Time)}
		p.groups[k] = g
	}
	return g
}

func (p *Planner) speed(pool string) *speeds {
	s := p.speeds[pool]
	if s == nil {
		s = &speeds{prefill: p.o.Prefill, decode: p.o.Decode, mixed: 0.8, first: p.o.First.Seconds()}
		p.speeds[pool] = s
	}
	return s
}

// remember learns what load the windows of a name bring.
func (p *Planner) remember(now time.Time, g *group) {
	for _, w := range p.o.Windows {
		if now.Before(w.Opens) || !now.Before(w.Closes) {
			continue
		}
		if p.windows[w.Name] == nil {
			p.windows[w.Name] = make(map[groupKey]load)
		}
		old := p.windows[w.Name][g.key]
		if f := g.estimate.fast; f.prefill+f.decode > old.prefill+old.decode {
			p.windows[w.Name][g.key] = f
		}
	}
}

// coming returns the load of a window that is open or opens soon.
func (p *Planner) coming(now time.Time, g *group) (load, bool) {
	for _, w := range p.o.Windows {
		if now.Before(w.Opens.Add(-windowLead)) || !now.Before(w.Closes) {
			continue
		}
		if l, ok := p.windows[w.Name][g.key]; ok {
			return l, true
		}
	}
	return load{}, false
}

// expected is the mean value of a split over the loads that the near future
// may bring: the present one, those of the history, and a known window's.
func (p *Planner) expected(now time.Time, g *group, n split) float64 {
	s := p.speed(g.key.pool)
	e := &g.estimate
	past := 0.0
	for i := range e.n {
		past += s.value(n, e.history[i])
	}
	if e.n > 0 {
		past /= float64(e.n)
	}
	v := fastShare*s.value(n, e.fast) + (1-fastShare)*past
	if l, ok := p.coming(now, g); ok {
		v = 0.5*v + 0.5*s.value(n, l)
	}
	return v
}

func (g *group) split() (all split) {
	for _, e := range g.engines {
		all[e.Role]++
	}
	return all
}

// change finds the role change with the highest gain and returns it if it
// pays.
func (p *Planner) change(now time.Time, g *group) (Act, bool) {
	all := g.split()
	if g.estimate.n < leastHistory || now.Sub(g.changed) < dwell || !p.mayLeave(now, g.key.pool) {
		return Act{}, false
	}
	pays := payback
	if p.inWindow(now) {
		pays = windowPayback
	}
	s := p.speed(g.key.pool)
	base := p.expected(now, g, all)
	horizon, lost := p.o.Horizon.Seconds(), (p.o.Drain + p.o.Budget.RoleChangeDelay).Seconds()
	best := Act{Kind: ChangeRole, Pool: g.key.pool, DataCentre: g.key.dataCentre}
	for from := range all {
		for to := range all {
			n := all
			n[from]--
			during := n
			n[to]++
			if from == to || all[from] == 0 || !whole(n) {
				continue
			}
			name, ok := g.free(now, fleet.Role(from))
			if !ok {
				continue
			}
			loss := lost * (s.value(all, g.estimate.fast) - s.value(during, g.estimate.fast))
			gain := (horizon - lost) * (p.expected(now, g, n) - base)
			if gain < pays*loss || gain < minGainShare*horizon*base {
				continue
			}
			if gain-loss > best.Gain {
				best.Gain, best.Target, best.Role = gain-loss, name, fleet.Role(to)
			}
		}
	}
	if best.Target == "" {
		return Act{}, false
	}
	g.changed = now
	g.changes[best.Target] = now
	return best, true
}

// mayLeave says whether one more engine of a pool may be away. The bound is on
// the whole pool, as data centres take over each other's load meanwhile.
func (p *Planner) mayLeave(now time.Time, pool string) bool {
	engines, away := 0, 0
	for k, g := range p.groups {
		if k.pool != pool {
			continue
		}
		engines += len(g.engines)
		for _, e := range g.engines {
			// An engine ordered in this step still looks ready.
			if !e.Ready || g.changes[e.Name].Equal(now) {
				away++
			}
		}
	}
	return float64(away+1) <= math.Max(1, awayShare*float64(engines))
}

func (p *Planner) inWindow(now time.Time) bool {
	for _, w := range p.o.Windows {
		if !now.Before(w.Opens) && now.Before(w.Closes) {
			return true
		}
	}
	return false
}

// whole says whether a split can serve both phases.
func whole(n split) bool {
	return n[fleet.Mixed] > 0 || (n[fleet.Prefill] > 0 && n[fleet.Decode] > 0)
}

// free returns the least loaded ready engine of a role that has not changed
// its role lately.
func (g *group) free(now time.Time, r fleet.Role) (name fleet.TargetName, ok bool) {
	least := math.Inf(1)
	for _, e := range g.engines {
		if e.Role != r || !e.Ready || now.Sub(g.changes[e.Name]) < engineDwell || e.Load >= least {
			continue
		}
		least, name, ok = e.Load, e.Name, true
	}
	return name, ok
}
