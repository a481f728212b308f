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
	minGain       = 0.06 // of the changed engine's time over the horizon; smaller gains are noise
	batchGain     = 0.14 // the same for a batch of engines; 0.06 caused 40 changes in a swing of 100 engines
	windowShare   = 0.8  // weight of a window's load in the expected future, from its preparation to its end
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
	unknown   int  // engines whose state is not known
	starting  int  // targets that were ordered and do not serve yet
	reported  bool // the present demand has a rate
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
	p.Learn(now, d)
	var acts []Act
	for _, k := range p.keys() {
		g := p.groups[k]
		if len(g.engines) == 0 || !g.reported {
			continue
		}
		if a, ok := p.size(now, g); ok {
			acts = append(acts, a)
			continue
		}
		acts = append(acts, p.change(now, g)...)
	}
	return acts
}

// Learn takes in the demand without giving orders.
func (p *Planner) Learn(now time.Time, d Demand) {
	p.arrange(d)
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
		l, ok := loads[k]
		if g.reported = ok; !ok {
			continue
		}
		s := p.speed(k.pool)
		if total := l.prefill/s.prefill + l.decode/s.decode; total > 0 {
			l.urgent /= total
		}
		g.estimate.add(now, l)
		p.remember(now, g)
	}
}

// arrange sorts the engines into their groups.
func (p *Planner) arrange(d Demand) {
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
		p.speed(e.Pool)
	}
	for _, s := range d.Starting {
		p.group(groupKey{s.Pool, s.DataCentre}).starting++
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
		known := [3]bool{}
		for r := range known {
			known[r] = len(reports[role{k.pool, fleet.Role(r)}]) > 0
		}
		p.speed(k.pool).learn(l[len(l)/2], known)
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

// coming returns the load of a window that is open or opens soon. Before the
// first window of a name has been seen, it is the present load with the urgent
// share that the window reserves.
func (p *Planner) coming(now time.Time, g *group) (load, bool) {
	for _, w := range p.o.Windows {
		if now.Before(w.Opens.Add(-windowLead)) || !now.Before(w.Closes) {
			continue
		}
		l, ok := p.windows[w.Name][g.key]
		if !ok {
			l = g.estimate.fast
			l.urgent = math.Max(l.urgent, w.Reserved)
		}
		return l, true
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
		v = (1-windowShare)*v + windowShare*s.value(n, l)
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
// pays. A large group changes several engines together.
func (p *Planner) change(now time.Time, g *group) []Act {
	k := max(1, int(awayShare*float64(len(g.engines))/3))
	if g.estimate.n < leastHistory || now.Sub(g.changed) < dwell || !p.mayLeave(now, g.key.pool, k) {
		return nil
	}
	c := p.best(now, g, k)
	if c.gain <= 0 {
		return nil
	}
	g.changed = now
	acts := make([]Act, 0, k)
	for _, name := range g.free(now, c.from, k) {
		g.changes[name] = now
		acts = append(acts, Act{
			Kind: ChangeRole, Pool: g.key.pool, DataCentre: g.key.dataCentre,
			Target: name, Role: c.to, Gain: c.gain / float64(k),
		})
	}
	return acts
}

// move is a change of k engines from one role to another.
type move struct {
	from, to fleet.Role
	gain     float64 // in seconds of engine work, loss subtracted
}

// best returns the move of k engines with the highest gain among those that
// pay, or a gain of 0.
func (p *Planner) best(now time.Time, g *group, k int) (best move) {
	all, s := g.split(), p.speed(g.key.pool)
	pays := payback
	if p.inWindow(now) {
		pays = windowPayback
	}
	least := minGain
	if k > 1 {
		least = batchGain
	}
	base, present := p.expected(now, g, all), s.value(all, g.estimate.fast)
	horizon, lost := p.o.Horizon.Seconds(), (p.o.Drain + p.o.Budget.RoleChangeDelay).Seconds()
	for from := range all {
		if len(g.free(now, fleet.Role(from), k)) < k {
			continue
		}
		during := all
		during[from] -= float64(k)
		loss := lost * (present - s.value(during, g.estimate.fast))
		for to := range all {
			n := during
			n[to] += float64(k)
			if from == to || !whole(n) {
				continue
			}
			gain := (horizon - lost) * (p.expected(now, g, n) - base)
			if gain >= pays*loss && gain >= least*float64(k)*horizon && gain-loss > best.gain {
				best = move{fleet.Role(from), fleet.Role(to), gain - loss}
			}
		}
	}
	return best
}

// mayLeave says whether k more engines of a pool may be away. The bound is on
// the whole pool, as data centres take over each other's load meanwhile.
func (p *Planner) mayLeave(now time.Time, pool string, k int) bool {
	engines, away := 0, 0
	for k, g := range p.groups {
		if k.pool != pool {
			continue
		}
		engines += len(g.engines) + g.unknown
		away += g.unknown
		for _, e := range g.engines {
			// An engine ordered in this step still looks ready.
			if !e.Ready || g.changes[e.Name].Equal(now) {
				away++
			}
		}
	}
	return float64(away+k) <= math.Max(1, awayShare*float64(engines))
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

// free returns at most k ready engines of a role that have not changed their
// role lately, least loaded first.
func (g *group) free(now time.Time, r fleet.Role, k int) []fleet.TargetName {
	var l []Engine
	for _, e := range g.engines {
		if e.Role == r && e.Ready && now.Sub(g.changes[e.Name]) >= engineDwell {
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
