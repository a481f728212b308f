package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

// submitTimeout limits the wait for a command to be committed.
const submitTimeout = 5 * time.Second

// serveSubmit commits a command for another process. A replica that does not lead
// forwards it to the leader, at most once.
func (c *Controller) serveSubmit(ctx context.Context, s *link.Stream, peer link.Peer, m *wire.ControlSubmit) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	command, err := wire.DecodeCommand(m.GetCommand())
	if err != nil {
		return s.Send(refusal(err))
	}
	if m.GetForwarded() && !hasRole(peer, identity.Control) {
		return s.Send(refusal(errors.Errorf("host %q may not forward commands", peer.Host)))
	}
	if !m.GetForwarded() {
		if err := checkPermission(peer, command); err != nil {
			return s.Send(refusal(err))
		}
	}
	result, err := c.Propose(ctx, command)
	if errors.Is(err, replica.ErrNotLeader) && !m.GetForwarded() {
		return c.forward(ctx, s, m)
	}
	return s.Send(submitAnswer(result, err))
}

// forward sends a command to the leader and passes the leader's response on.
func (c *Controller) forward(ctx context.Context, s *link.Stream, m *wire.ControlSubmit) error {
	_, addr, ok := c.leader()
	if !ok {
		return s.Send(submitAnswer(nil, errors.Wrap(ErrNoLeader, "forward command")))
	}
	m.Forwarded = true
	answer, err := link.Call[wire.ControlSubmitAnswer](ctx, c.links, addr, m)
	if err != nil {
		return s.Send(submitAnswer(nil, errors.Wrap(classifyCallError(err), "forward command")))
	}
	return s.Send(answer)
}

// classifyCallError returns replica.ErrNotCommitted for a call that the peer has
// certainly not handled, and replica.ErrUncertain for any other.
func classifyCallError(err error) error {
	if errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrRefused) {
		return errors.Wrap(replica.ErrNotCommitted, err.Error())
	}
	return errors.Wrap(replica.ErrUncertain, err.Error())
}

// hasRole reports whether a peer has a role. Over plain TCP, which is used only if
// the settings enable it, every peer has every role.
func hasRole(p link.Peer, role identity.Role) bool { return p.Plain || p.HasAnyRole(role) }

// Propose commits a command. It fails with replica.ErrNotLeader unless this replica
// leads, and otherwise with the errors of replica.Member.Propose. A command that
// cannot be encoded fails with wire.ErrCodec.
func (c *Controller) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	v, err := c.member.Propose(ctx, b)
	if err != nil {
		return nil, err
	}
	switch v := v.(type) {
	case state.Result:
		return v, nil
	case error:
		return nil, v
	}
	return nil, errors.Errorf("command %T has no result", command)
}

// checkPermission checks that the peer's role allows the command. Commands that only
// the leader issues are never accepted from other processes.
func checkPermission(p link.Peer, c state.Command) error {
	role := identity.Operator
	switch c := c.(type) {
	case state.Claim, state.Settle:
		role = identity.Entry
	case state.RegisterEntry:
		role = identity.Entry
		if !p.Plain && c.Entry != p.Host {
			return errors.Errorf("host %q requests the limit share of entry %q", p.Host, c.Entry)
		}
	case state.ReportUsage:
		if !p.Plain && p.HasAnyRole(identity.Agent) {
			return checkUsageNodes(p.Host, c)
		}
		role = identity.Entry
	case state.Announce:
		role = identity.Agent
		if !p.Plain && c.Target.Host != p.Host {
			return errors.Errorf("host %q announces a target of %q", p.Host, c.Target.Host)
		}
	case state.Change:
	default:
		return errors.Errorf("command %T is not accepted from other processes", c)
	}
	if !hasRole(p, role) {
		return errors.Errorf("host %q has no role that allows %T", p.Host, c)
	}
	return nil
}

// checkUsageNodes checks that an agent reports only requests that it served itself.
func checkUsageNodes(host fleet.Host, c state.ReportUsage) error {
	for _, r := range c.Records {
		if r.ID.Node != host {
			return errors.Errorf("host %q reports usage of %q", host, r.ID.Node)
		}
	}
	return nil
}

func refusal(err error) *wire.ControlSubmitAnswer {
	return &wire.ControlSubmitAnswer{Error: wire.ControlSubmitAnswer_REFUSED, Detail: err.Error()}
}

func submitAnswer(result state.Result, err error) *wire.ControlSubmitAnswer {
	switch {
	case err == nil:
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrNotCommitted), errors.Is(err, ErrNoLeader):
		return &wire.ControlSubmitAnswer{Error: wire.ControlSubmitAnswer_NOT_COMMITTED, Detail: err.Error()}
	case errors.Is(err, ErrInvalidState): // repeating the command does not help
		return refusal(err)
	default:
		return &wire.ControlSubmitAnswer{Error: wire.ControlSubmitAnswer_UNCERTAIN, Detail: err.Error()}
	}
	m, err := wire.EncodeResult(result)
	if err != nil {
		return refusal(err)
	}
	return &wire.ControlSubmitAnswer{Result: m}
}
