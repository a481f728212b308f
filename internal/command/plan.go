package command

import (
	"context"
	"fmt"

	"papayarock/io/operator"
)

// Plan shows the state of the planner: the groups of engines with their demand, its
// latest decisions, and why it makes none if it waits.
func (s *Session) Plan(ctx context.Context) error {
	p, err := s.Client.Plan(ctx)
	if err != nil {
		return err
	}
	if err := s.showPlanGroups(p); err != nil || s.Out.JSON {
		return err
	}
	if p.WaitReason != "" {
		_, _ = fmt.Fprintf(s.Err, "the planner does not act: %s\n", p.WaitReason)
	}
	if len(p.Decisions) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(s.Out.W); err != nil {
		return err
	}
	type a = operator.PlanDecision
	return showTable(s.Out, p, p.Decisions,
		column[a]{"TIME", func(a a) any { return a.Time }},
		column[a]{"ACT", func(a a) any { return a.Kind }},
		column[a]{"POOL", func(a a) any { return a.Pool }},
		column[a]{"DATA CENTRE", func(a a) any { return a.DataCentre }},
		column[a]{"TARGET", func(a a) any { return a.Target }},
		column[a]{"ROLE", func(a a) any { return a.Role }},
		column[a]{"GAIN", func(a a) any { return fmt.Sprintf("%.1f s", a.Gain) }},
		column[a]{"OUTCOME", func(a a) any { return a.Outcome }})
}

func (s *Session) showPlanGroups(p operator.Plan) error {
	type g = operator.PlanGroup
	rate := func(v float64) string { return fmt.Sprintf("%.0f", v) }
	return showTable(s.Out, p, p.Groups,
		column[g]{"POOL", func(g g) any { return g.Pool }},
		column[g]{"DATA CENTRE", func(g g) any { return g.DataCentre }},
		column[g]{"MIXED", func(g g) any { return g.Mixed }},
		column[g]{"PREFILL", func(g g) any { return g.Prefill }},
		column[g]{"DECODE", func(g g) any { return g.Decode }},
		column[g]{"STARTING", func(g g) any { return g.Starting }},
		column[g]{"REQUESTS/S", func(g g) any { return fmt.Sprintf("%.1f", g.Requests) }},
		column[g]{"PROMPT TOKENS/S", func(g g) any { return rate(g.PromptTokens) }},
		column[g]{"OUTPUT TOKENS/S", func(g g) any { return rate(g.OutputTokens) }},
		column[g]{"URGENT", func(g g) any { return fmt.Sprintf("%.0f%%", 100*g.Urgent) }},
		column[g]{"PREFILL SPEED", func(g g) any { return rate(g.PrefillSpeed) }},
		column[g]{"DECODE SPEED", func(g g) any { return rate(g.DecodeSpeed) }})
}
