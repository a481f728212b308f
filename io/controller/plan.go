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

// addDemandReport queues a demand report for the planner or, on a relay, for the
// next report to the leader. If the queue is full, the older half is dropped. The
// caller holds mu.
func (c *Controller) addDemandReport(r capacity.Report) {
	if len(c.demandReports) >= maxDemandReports {
		c.demandReports = c.demandReports[len(c.demandReports)-maxDemandReports/2:]
	}
	c.demandReports = append(c.demandReports, r)
}

// resetPlanner creates an empty planner for a new term as leader.
func (c *Controller) resetPlanner() {
	c.planMu.Lock()
	defer c.planMu.Unlock()
	c.planner = capacity.New(capacity.Options{Platform: c.platform != nil})
	c.demand = capacity.Demand{}
}

// plan adds the queued demand reports and, when a planning step is due, commits
// the planner's proposals.
func (c *Controller) plan(ctx context.Context, lease authority.Gate) {
	now := time.Now()
	c.mu.Lock()
	reports := c.demandReports
	c.demandReports = nil
	c.mu.Unlock()
	c.planMu.Lock()
	defer c.planMu.Unlock()
	for _, r := range reports {
		c.demand.Add(now, r)
	}
	t := c.planner
	if !t.Due(now) {
		return
	}
	for _, p := range t.Step(now, lease, c.plannerInput(now)) {
		c.actions.Go(func() { c.commitProposal(ctx, t, p) })
	}
}

// plannerInput returns the planner's input. The caller holds planMu.
func (c *Controller) plannerInput(now time.Time) capacity.Input {
	in := capacity.Input{Rates: c.demand.Rates(now), AgentStatuses: make(map[fleet.TargetName]watch.AgentStatus)}
	c.machine.read(func(s *state.Machine) {
		in.Config = s.Config()
		in.Targets = s.Targets()
		in.LastStarts = s.PlannedStarts()
	})
	c.mu.Lock()
	in.LeaderSince = c.tracker.Since
	c.mu.Unlock()
	for name, s := range c.lastPolls() {
		if !s.At.Before(in.LeaderSince) {
			in.AgentStatuses[name] = s.AgentStatus
		}
	}
	return in
}

// commitProposal commits a proposal of the planner and reports its outcome to it.
func (c *Controller) commitProposal(ctx context.Context, t *capacity.TermPlanner, p capacity.Proposal) {
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
	c.planMu.Lock()
	defer c.planMu.Unlock()
	t.ProposalDone(time.Now(), p, uncertain, outcome)
}

// outcomeOf describes the result of a proposal for the planner's status.
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
		case state.OrderAlreadyClosed:
			return "ordered before"
		}
	}
	return "not allowed"
}

// planStatus returns the planner's status, if this replica leads.
func (c *Controller) planStatus() (capacity.Status, bool) {
	_, _, held := c.member.Lease()
	c.planMu.Lock()
	defer c.planMu.Unlock()
	if !held || c.planner == nil {
		return capacity.Status{}, false
	}
	return c.planner.Status(), true
}

// servePlan answers with the planner's status. Only the leader has one; other
// replicas answer with the leader's name.
func (c *Controller) servePlan(w http.ResponseWriter, _ *http.Request) {
	status, ok := c.planStatus()
	if !ok {
		e := &replica.NotLeaderError{Leader: c.member.Leader()}
		if e.Leader == c.self { // elected, but without a lease yet
			e.Leader = ""
		}
		c.refuseNotLeader(w, e)
		return
	}
	index, _ := c.machine.config()
	writeJSON(w, http.StatusOK, operatorPlan(index.Revision, status))
}

// operatorPlan converts the planner's status for the operator interface.
func operatorPlan(revision uint64, s capacity.Status) operator.Plan {
	p := operator.Plan{
		Revision: revision, WaitReason: s.Waiting, LastStep: s.Stepped,
		Groups: []operator.PlanGroup{}, Decisions: []operator.PlanDecision{},
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
		a := operator.PlanDecision{
			Time: r.At, Kind: decisionKinds[r.Kind], Pool: r.Pool, DataCentre: string(r.DataCentre), Target: string(r.Target),
			Gain: r.Gain, Outcome: r.Outcome,
		}
		if r.Kind == plan.ChangeRole {
			a.Role = r.Role.String()
		}
		p.Decisions = append(p.Decisions, a)
	}
	return p
}

var decisionKinds = map[plan.DecisionKind]string{
	plan.ChangeRole: "change-role", plan.OrderTarget: "order-target", plan.ReleaseTarget: "release-target",
}
