package capacity

import (
	"fmt"
	"time"

	"papayarock/core/authority"
	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
	"papayarock/core/watch"
)

const (
	// Period is the time between two steps.
	Period = 2 * time.Second
	// observe is how long a new leader only learns. An engine rests for 90 s
	// between two role changes, so that a new leader, which has not seen the
	// last one, cannot reverse it early. The speeds are learned within it: after
	// 45 steps 1% of the assumed speed is left.
	observe = 90 * time.Second
	// drainFor is the deadline of the drain before a role change; an engine that
	// is still draining then no longer counts as one that comes back.
	drainFor = 2 * time.Minute
	// releaseFor is the deadline of the drain before a release, the longest time
	// that requests there may still take.
	releaseFor = 10 * time.Minute
	// startFor is the least deadline of a target order.
	startFor = 10 * time.Minute
	// repeatFor is how long a target order without an answer is repeated. After
	// that the planner decides anew; the id is the same as long as none of the
	// repetitions has been committed.
	repeatFor = 30 * time.Second
	// settle is the pause of a group after a command without an answer, which
	// may still take effect. It is twice the time that a command has.
	settle = 10 * time.Second
	// maxRecent bounds the acts kept for operators.
	maxRecent = 32
)

// View is what the leader knows at a step.
type View struct {
	Config  *config.Index
	Targets []state.TargetRecord
	Starts  map[state.Place]fleet.OrderNumber // from state.Machine.PlannedStarts
	Signs   map[fleet.TargetName]watch.Sign   // of agents heard since this leader began
	Since   time.Time                         // when this leader began to receive polls
	Rates   []plan.Rate
}

// Proposal is a command to commit. Tell Done what became of it.
type Proposal struct {
	Place   state.Place
	Command state.Command
}

// Options configure a Term.
type Options struct {
	Platform bool // the platform starts and stops targets
}

// Term runs the planner during one term of one leader. Use New.
type Term struct {
	o       Options
	planner *plan.Planner
	stepped time.Time
	busy    map[state.Place]time.Time // no act before this
	starts  map[state.Place]start
	rates   []plan.Rate
	recent  []Recent
	waiting string // why nothing is proposed
}

// start is a target order whose answer is not known.
type start struct {
	region fleet.Region
	until  time.Time
	after  fleet.OrderNumber
}

// New returns a Term that has seen nothing.
func New(o Options) *Term {
	return &Term{o: o, busy: make(map[state.Place]time.Time), starts: make(map[state.Place]start)}
}

// Due says whether a step is due.
func (t *Term) Due(now time.Time) bool { return now.Sub(t.stepped) >= Period }

// Step feeds the planner and returns the commands to commit now. Without a held
// lease there are none, and nothing is learned.
func (t *Term) Step(now time.Time, lease authority.Gate, v View) []Proposal {
	if !lease.Held || now.Before(lease.NotBefore) || !now.Before(lease.Expires) || v.Config == nil {
		return nil
	}
	t.stepped, t.rates = now, v.Rates
	g := v.Config.General
	if t.planner == nil {
		t.planner = plan.New(plan.Options{FirstTokenObjective: firstToken(g.Routes), FixedSize: !t.o.Platform})
	}
	t.planner.Configure(g.Budget, g.Windows)
	d := demand(now, v)
	if t.waiting = waits(now, v); t.waiting != "" {
		t.planner.Observe(now, d)
		return nil
	}
	s := step{Term: t, now: now, lease: lease, view: v}
	s.repeat()
	for _, a := range t.planner.Step(now, d) {
		s.act(a)
	}
	return s.out
}

// waits says why the leader only learns for now.
func waits(now time.Time, v View) string {
	if left := v.Since.Add(observe).Sub(now); left > 0 || v.Since.IsZero() {
		return "the leader is new and observes"
	}
	if len(v.Rates) == 0 {
		return "no entry reports demand"
	}
	for _, r := range v.Targets {
		t := r.Target
		if t.Kind != fleet.Engine || t.Phase != fleet.Ready {
			continue
		}
		if s, ok := v.Signs[t.Name]; !ok || s.Incarnation != t.Incarnation {
			return fmt.Sprintf("target %q has not been heard", t.Name)
		}
	}
	return ""
}

// firstToken returns the shortest promise of a first token; 0 if there is none.
func firstToken(routes []config.Route) (shortest time.Duration) {
	for _, r := range routes {
		if r.Class == fleet.Urgent && r.FirstToken > 0 && (shortest == 0 || r.FirstToken < shortest) {
			shortest = r.FirstToken
		}
	}
	return shortest
}

// Done tells what became of a proposal. An uncertain command may still take
// effect, so its group rests.
func (t *Term) Done(now time.Time, p Proposal, uncertain bool, outcome string) {
	t.busy[p.Place] = now
	if uncertain {
		t.busy[p.Place] = now.Add(settle)
	} else if _, ok := p.Command.(state.PlacePlatformOrder); ok {
		delete(t.starts, p.Place)
	}
	for i := len(t.recent) - 1; i >= 0; i-- {
		if r := &t.recent[i]; r.place() == p.Place {
			r.Outcome = outcome
			return
		}
	}
}
