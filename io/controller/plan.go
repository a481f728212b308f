package controller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/authority"
	"papayarock/core/capacity"
	"papayarock/core/fleet"
	"papayarock/core/plan"
	"papayarock/core/state"
	"papayarock/core/watch"
	"papayarock/io/operator"
	"papayarock/io/replica"
)

// report keeps a demand report until it is passed on to the leader or taken in
// by it. The caller holds mu.
func (c *Controller) report(r capacity.Report) {
	if len(c.reports) >= maxDemand {
		c.reports = c.reports[len(c.reports)-maxDemand/2:]
	}
	c.reports = append(c.reports, r)
}

// newTerm starts the planner of a new leader, which has seen nothing.
func (c *Controller) newTerm() {
	c.planning.Lock()
	defer c.planning.Unlock()
	c.term = capacity.New(capacity.Options{Platform: c.platform != nil})
	c.demand = capacity.Demand{}
}

// plan takes in the demand and, when a step is due, commits what the planner
// decides.
func (c *Controller) plan(ctx context.Context, lease authority.Gate) {
	now := time.Now()
	c.mu.Lock()
	reports := c.reports
	c.reports = nil
	c.mu.Unlock()
	c.planning.Lock()
	defer c.planning.Unlock()
	for _, r := range reports {
		c.demand.Add(now, r)
	}
	t := c.term
	if !t.Due(now) {
		return
	}
	for _, p := range t.Step(now, lease, c.capacity(now)) {
		c.actions.Go(func() { c.adapt(ctx, t, p) })
	}
}

// capacity returns what the planner acts on. The caller holds planning.
func (c *Controller) capacity(now time.Time) capacity.Input {
	v := capacity.Input{Rates: c.demand.Rates(now), AgentStatuses: make(map[fleet.TargetName]watch.AgentStatus)}
	c.machine.read(func(s *state.Machine) {
		v.Config = s.Config()
		v.Targets = s.Targets()
		v.LastStarts = s.PlannedStarts()
	})
	c.mu.Lock()
	v.LeaderSince = c.tracker.Since
	c.mu.Unlock()
	for name, s := range c.signs() {
		if !s.At.Before(v.LeaderSince) {
			v.AgentStatuses[name] = s.AgentStatus
		}
	}
	return v
}

// adapt commits a decision of the planner.
func (c *Controller) adapt(ctx context.Context, t *capacity.Term, p capacity.Proposal) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result, err := c.Propose(ctx, p.Command)
	outcome := outcomeOf(result)
	uncertain := err != nil && !errors.Is(err, replica.ErrNotLeader) && !errors.Is(err, replica.ErrNotCommitted)
	if err != nil {
		outcome = err.Error()
	}
	c.log.Info("planned", "pool", p.Location.Pool, "data-centre", p.Location.DataCentre,
		"command", fmt.Sprintf("%T", p.Command), "outcome", outcome)
	c.planning.Lock()
	defer c.planning.Unlock()
	t.ProposalDone(time.Now(), p, uncertain, outcome)
}

func outcomeOf(r state.Result) string {
	switch r := r.(type) {
	case state.TargetResult:
		if r.Outcome == state.TargetUpdated {
			return "begun"
		}
	case state.PlatformResult:
		switch r.Outcome {
		case state.OrderPlaced:
			return fmt.Sprintf("ordered %s as %s", r.Order.Target, r.Order.Number)
		case state.OrderClosedBefore:
			return "ordered before"
		}
	}
	return "not allowed"
}

// shown returns the planner's view, if this replica leads.
func (c *Controller) shown() (capacity.Status, bool) {
	_, _, held := c.group.Lease()
	c.planning.Lock()
	defer c.planning.Unlock()
	if !held || c.term == nil {
		return capacity.Status{}, false
	}
	return c.term.Status(), true
}

// servePlan answers with the planner's view. Only the leader has one; another
// replica names it.
func (c *Controller) servePlan(w http.ResponseWriter, _ *http.Request) {
	shown, ok := c.shown()
	if !ok {
		e := &replica.NotLeaderError{Leader: c.group.Leader()}
		if e.Leader == c.self { // elected, but without a lease yet
			e.Leader = ""
		}
		c.refuseNotLeader(w, e)
		return
	}
	index, _ := c.machine.config()
	respond(w, http.StatusOK, planOf(index.Revision, shown))
}

func planOf(revision uint64, s capacity.Status) operator.Plan {
	p := operator.Plan{
		Revision: revision, Waiting: s.Waiting, Stepped: s.Stepped,
		Groups: []operator.PlanGroup{}, Acts: []operator.PlanAct{},
	}
	speeds := make(map[string]plan.LearnedSpeeds)
	for _, l := range s.Speeds {
		speeds[l.Pool] = l
	}
	for _, e := range s.Estimates {
		l := speeds[e.Pool]
		p.Groups = append(p.Groups, operator.PlanGroup{
			Pool: e.Pool, DataCentre: string(e.DataCentre), Mixed: e.Engines[fleet.Mixed],
			Prefill: e.Engines[fleet.Prefill], Decode: e.Engines[fleet.Decode], Starting: e.Starting,
			Requests: e.Fast.Requests, PromptTokens: e.Fast.Prefill, OutputTokens: e.Fast.Decode, Urgent: e.Urgent,
			SlowPromptTokens: e.Slow.Prefill, SlowOutputTokens: e.Slow.Decode,
			PrefillSpeed: l.Prefill, DecodeSpeed: l.Decode,
		})
	}
	for _, r := range s.Recent {
		a := operator.PlanAct{
			Time: r.At, Kind: actKinds[r.Kind], Pool: r.Pool, DataCentre: string(r.DataCentre), Target: string(r.Target),
			Gain: r.Gain, Outcome: r.Outcome,
		}
		if r.Kind == plan.ChangeRole {
			a.Role = r.Role.String()
		}
		p.Acts = append(p.Acts, a)
	}
	return p
}

var actKinds = map[plan.Kind]string{
	plan.ChangeRole: "change-role", plan.OrderTarget: "order-target", plan.ReleaseTarget: "release-target",
}
