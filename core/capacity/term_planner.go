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
	// observationTime is the period in which a new leader only observes. It
	// equals the minimum time between two role changes of an engine, 90 s, so
	// that a new leader, which does not know the last change, cannot reverse it
	// early. It also suffices to learn the speeds: after 45 steps the assumed speed has
	// a weight of 1%.
	observationTime = 90 * time.Second
	// roleDrainTimeout limits the drain before a role change. An engine that is
	// still draining after it is no longer expected to return to service.
	roleDrainTimeout = 2 * time.Minute
	// releaseDrainTimeout limits the drain before a release. It is the longest
	// time that requests in progress may take.
	releaseDrainTimeout = 10 * time.Minute
	// minStartTimeout is the minimum deadline of a target order.
	minStartTimeout = 10 * time.Minute
	// orderRetryTime is how long a target order without a result is retried. After
	// that the planner decides again. The ID stays the same as long as no attempt
	// has been committed.
	orderRetryTime = 30 * time.Second
	// uncertainPause is the pause of a pool in a data centre after a command without a result,
	// which may still take effect. It is twice the timeout of a command.
	uncertainPause = 10 * time.Second
	// maxRecent is the number of recent decisions kept for operators.
	maxRecent = 32
)

// Input is the input of one step: the leader's current knowledge.
type Input struct {
	Config        *config.Index
	Targets       []state.TargetRecord
	LastStarts    map[state.PoolLocation]fleet.OrderNumber // from state.Machine.PlannedStarts
	AgentStatuses map[fleet.TargetName]watch.AgentStatus   // last poll of each agent under this leader
	LeaderSince   time.Time                                // when this leader started to receive polls
	Rates         []plan.Rate
}

// Proposal is a command to commit. Its result must be passed to
// TermPlanner.ProposalDone.
type Proposal struct {
	Location state.PoolLocation
	Command  state.Command
}

// Options configures a TermPlanner.
type Options struct {
	Platform bool // whether the platform starts and stops targets on request
}

// TermPlanner runs the planner during one term of a leader. Create it with New.
type TermPlanner struct {
	o             Options
	planner       *plan.Planner
	lastStep      time.Time
	pausedUntil   map[state.PoolLocation]time.Time // no proposal for the location before this time
	pendingOrders map[state.PoolLocation]pendingOrder
	rates         []plan.Rate
	recent        []RecentDecision
	waitReason    string // why nothing is proposed; empty if the planner is active
}

// pendingOrder is a target order whose result is not known.
type pendingOrder struct {
	region     fleet.Region
	retryUntil time.Time
	lastOrder  fleet.OrderNumber
}

// New returns a TermPlanner without observations.
func New(o Options) *TermPlanner {
	return &TermPlanner{o: o, pausedUntil: make(map[state.PoolLocation]time.Time), pendingOrders: make(map[state.PoolLocation]pendingOrder)}
}

// Due reports whether a step is due.
func (t *TermPlanner) Due(now time.Time) bool { return now.Sub(t.lastStep) >= Period }

// Step passes the current demand to the planner and returns the commands to
// commit now. Without a valid lease or a configuration it does neither.
func (t *TermPlanner) Step(now time.Time, lease authority.Gate, v Input) []Proposal {
	if !lease.Held || now.Before(lease.NotBefore) || !now.Before(lease.Expires) || v.Config == nil {
		return nil
	}
	t.lastStep, t.rates = now, v.Rates
	g := v.Config.General
	if t.planner == nil {
		t.planner = plan.New(plan.Options{FirstTokenObjective: minFirstTokenObjective(g.Routes), FixedSize: !t.o.Platform})
	}
	t.planner.Configure(g.Budget, g.Windows)
	d := planDemand(now, v)
	if t.waitReason = waitReasonFor(now, v); t.waitReason != "" {
		t.planner.Observe(now, d)
		return nil
	}
	s := step{TermPlanner: t, now: now, lease: lease, input: v}
	s.retryOrders()
	for _, a := range t.planner.Step(now, d) {
		s.propose(a)
	}
	return s.proposals
}

// waitReasonFor returns why the leader may only observe for now. It is empty if
// the planner may act.
func waitReasonFor(now time.Time, v Input) string {
	if remaining := v.LeaderSince.Add(observationTime).Sub(now); remaining > 0 || v.LeaderSince.IsZero() {
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
		if s, ok := v.AgentStatuses[t.Name]; !ok || s.Incarnation != t.Incarnation {
			return fmt.Sprintf("target %q has not polled since this leader started", t.Name)
		}
	}
	return ""
}

// minFirstTokenObjective returns the shortest time-to-first-token objective of the
// urgent routes, or 0 if there is none.
func minFirstTokenObjective(routes []config.Route) (shortest time.Duration) {
	for _, r := range routes {
		if r.Class == fleet.Urgent && r.FirstToken > 0 && (shortest == 0 || r.FirstToken < shortest) {
			shortest = r.FirstToken
		}
	}
	return shortest
}

// ProposalDone records the result of a proposal. If it is uncertain, the command may
// still take effect, so its location pauses for uncertainPause (10 s). The outcome is
// kept with the last decision for that location.
func (t *TermPlanner) ProposalDone(now time.Time, p Proposal, uncertain bool, outcome string) {
	t.pausedUntil[p.Location] = now
	if uncertain {
		t.pausedUntil[p.Location] = now.Add(uncertainPause)
	} else if _, ok := p.Command.(state.PlacePlatformOrder); ok {
		delete(t.pendingOrders, p.Location)
	}
	for i := len(t.recent) - 1; i >= 0; i-- {
		if r := &t.recent[i]; r.location() == p.Location {
			r.Outcome = outcome
			return
		}
	}
}
