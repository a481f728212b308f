package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/authority"
	"papayarock/core/dispatch"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// leadPeriod is how often the leader checks for due actions if nothing is
// committed in the meantime.
const leadPeriod = 100 * time.Millisecond

// minLeadInterval is the minimum time between two checks. A check copies all targets
// and agent statuses. With 1,100 targets, a check after every commit halves the
// commit rate.
const minLeadInterval = 20 * time.Millisecond

// leadLoop starts due actions while this replica leads, until ctx ends. Actions use
// the context running instead, so that a stopping replica can wait for their results.
func (c *Controller) leadLoop(ctx, running context.Context) {
	d := dispatch.New(dispatch.Options{UsageWindow: c.o.UsageWindow, Platform: c.platform != nil})
	var term uint64
	for ctx.Err() == nil {
		next := c.machine.nextCommand()
		lease := c.lease()
		if lease.Held && lease.Term != term {
			term = lease.Term
			c.resetPlanner()
			d = dispatch.New(dispatch.Options{UsageWindow: c.o.UsageWindow, Platform: c.platform != nil})
		}
		if lease.Held {
			c.updateLeading(time.Now())
			c.reportEndedActions(d)
			for _, a := range d.Step(time.Now(), lease, c.view()) {
				c.actions.Go(func() { c.runAction(running, a) })
			}
			c.plan(ctx, lease)
		}
		select {
		case <-ctx.Done():
		case <-time.After(minLeadInterval):
		}
		select {
		case <-ctx.Done():
		case <-time.After(leadPeriod - minLeadInterval):
		case <-next:
		}
	}
}

// lease returns the lease of this replica, which permits external actions. The group
// reports a lease as held only once the previous one must have expired.
func (c *Controller) lease() authority.Gate {
	term, expires, held := c.member.Lease()
	return authority.Gate{Held: held, Term: term, Expires: expires}
}

// reportEndedActions reports the actions that have ended to d.
func (c *Controller) reportEndedActions(d *dispatch.Dispatcher) {
	for {
		select {
		case k := <-c.endedActions:
			d.ActionDone(time.Now(), k)
		default:
			return
		}
	}
}

// view returns the state that the dispatcher decides on.
func (c *Controller) view() dispatch.View {
	v := dispatch.View{Polls: c.lastPolls()}
	c.machine.read(func(s *state.Machine) {
		v.Config = s.Config()
		v.Targets = s.Targets()
		v.Platform = s.OpenPlatformOrders()
		v.Windows = s.UnacknowledgedWindows()
		v.OpenWindow, v.OpenFrom = s.OpenWindow()
		v.LastTick = s.Now()
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	v.PollsSince = c.tracker.Since
	return v
}

// lastPolls returns the last poll of each target's agent.
func (c *Controller) lastPolls() map[fleet.TargetName]dispatch.LastPoll {
	assessments := c.assessments(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.TargetName]dispatch.LastPoll)
	for _, s := range c.tracker.Subscribers() {
		if s.Target.Name != "" {
			out[s.Target.Name] = dispatch.LastPoll{AgentStatus: s.Target, At: s.Heard, Condition: assessments[s.Target.Name].Condition}
		}
	}
	return out
}

// runAction executes one action and reports its end to the lead loop.
func (c *Controller) runAction(ctx context.Context, a dispatch.Action) {
	var key dispatch.Key
	var err error
	switch a := a.(type) {
	case dispatch.Propose:
		key = a.Key
		err = c.commit(ctx, a.Command)
	case dispatch.SendOrder:
		key = a.Key
		err = c.sendOrder(ctx, a)
	case dispatch.ReadTarget:
		key = a.Key
		err = c.readTarget(ctx, a)
	case dispatch.SendPlatform:
		key = a.Key
		err = c.sendPlatform(ctx, a)
	case dispatch.SendUsage:
		key = a.Key
		err = c.sendUsage(ctx, a)
	}
	if err != nil {
		c.log.Warn("action failed", "error", err)
		c.recordUnanswered(a)
	}
	select {
	case c.endedActions <- key:
	default: // queue full; the dispatcher repeats the action after a longer pause
	}
}

// commit commits a command of the leader and logs a result that changes a target or
// an order.
func (c *Controller) commit(ctx context.Context, command state.Command) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r, err := c.Propose(ctx, command)
	if err != nil {
		return errors.Wrapf(err, "propose %T", command)
	}
	switch r := r.(type) {
	case state.TargetResult:
		if r.Outcome == state.TargetUpdated {
			c.log.Info("target changed", "target", r.Target.Name, "phase", r.Target.Phase, "revision", r.Revision)
		}
	case state.OrderResult:
		c.log.Info("order", "number", r.Order.Number, "target", r.Order.Target, "outcome", r.Outcome)
	case state.PlatformResult:
		c.log.Info("platform order", "number", r.Order.Number, "target", r.Order.Target, "outcome", r.Outcome)
	}
	return nil
}

// sendOrder sends an order to the agent of its target, and commits the outcome once
// the order has ended.
func (c *Controller) sendOrder(ctx context.Context, a dispatch.SendOrder) error {
	answer, err := callAgent[wire.ControlOrderAnswer](ctx, c, a.Target, a.Deadline, &wire.ControlOrder{Order: wire.EncodeOrder(a.Order)})
	if err != nil {
		return errors.Wrapf(err, "order %s to target %q", a.Order.Number, a.Target.Name)
	}
	switch answer.GetOutcome() {
	case wire.ControlOrderAnswer_RUNNING:
		return nil
	case wire.ControlOrderAnswer_LOST: // the agent does not know the order's effect
		term, _, _ := c.member.Lease()
		return c.commit(ctx, state.AbandonOrder{Term: term, Number: a.Order.Number, Target: a.Target.Name, Time: time.Now()})
	}
	return c.commit(ctx, state.AcknowledgeOrder{
		Number: a.Order.Number, Target: a.Target.Name, Incarnation: a.Order.Incarnation,
		Done: answer.GetOutcome() == wire.ControlOrderAnswer_DONE, Detail: answer.GetDetail(), Time: time.Now(),
	})
}

// observedTimeout is how long a target may take to become ready after its state has
// been read from its agent.
const observedTimeout = 10 * time.Minute

// readTarget reads the actual state of a target from its agent and commits it. An
// abandoned order leaves this state unknown.
func (c *Controller) readTarget(ctx context.Context, a dispatch.ReadTarget) error {
	answer, err := callAgent[wire.ControlReadAnswer](ctx, c, a.Target, a.Deadline, &wire.ControlRead{
		Number: wire.EncodeOrderNumber(a.Number), Target: string(a.Target.Name), Incarnation: uint64(a.Target.Incarnation),
	})
	if err != nil {
		return errors.Wrapf(err, "read target %q", a.Target.Name)
	}
	if !answer.GetKnown() {
		return errors.Errorf("read target %q: %s", a.Target.Name, answer.GetDetail())
	}
	loaded, err := wire.DecodeOrderContent(answer.GetLoaded())
	if err != nil {
		return errors.Wrapf(err, "read target %q", a.Target.Name)
	}
	return c.commit(ctx, state.Observed{
		Target: a.Target.Name, Incarnation: a.Target.Incarnation, Number: a.Number,
		Role: loaded.Role, Loaded: loaded, Until: time.Now().Add(observedTimeout), Time: time.Now(),
	})
}

// callAgent makes one call to the agent of t. It sends nothing after the deadline.
func callAgent[Resp any, P interface {
	*Resp
	proto.Message
}](ctx context.Context, c *Controller, t fleet.Target, deadline time.Time, request proto.Message) (*Resp, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return link.Call[Resp, P](ctx, c.links, link.Address{Host: t.Host, AddrPort: t.Agent}, request)
}
