package subscribe

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// attemptTimeout limits one submission to one replica.
	attemptTimeout = 2 * time.Second
	// announceTimeout is how long an announced target may take to become ready.
	announceTimeout = 10 * time.Minute
)

// Submit commits an idempotent command and returns its result. It tries the replicas
// in turn until one returns a result or ErrRefused, or until ctx ends. ErrNotCommitted
// means that no attempt has been committed or will be; ErrUncertain, that one may have
// been.
func (c *Client) Submit(ctx context.Context, command state.Command) (state.Result, error) {
	b, err := wire.EncodeCommand(command)
	if err != nil {
		return nil, errors.Wrap(ErrRefused, err.Error())
	}
	uncertain := false
	for i := 0; ; i++ {
		addr, ok := c.replicaAt(i)
		if !ok {
			return nil, errors.Wrap(ErrNotCommitted, "no control address is set")
		}
		r, err := c.submit(ctx, addr, b)
		if err == nil || errors.Is(err, ErrRefused) {
			return r, err
		}
		uncertain = uncertain || errors.Is(err, ErrUncertain)
		select {
		case <-ctx.Done():
			if uncertain {
				return nil, errors.Wrapf(ErrUncertain, "%v", err)
			}
			return nil, errors.Wrapf(ErrNotCommitted, "%v", err)
		case <-time.After(retryDelay):
		}
	}
}

// replicaAt returns the i-th replica to try, starting with the one in use.
func (c *Client) replicaAt(i int) (link.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.o.Addresses)
	if n == 0 {
		return link.Address{}, false
	}
	return c.o.Addresses[(c.replicaIndex+i)%n], true
}

func (c *Client) submit(ctx context.Context, addr link.Address, command []byte) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := link.Call[wire.ControlSubmitAnswer](ctx, c.o.Links, addr, &wire.ControlSubmit{Command: command})
	switch {
	case errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrRefused):
		return nil, errors.Wrap(ErrNotCommitted, err.Error()) // no replica has handled it
	case err != nil:
		return nil, errors.Wrap(ErrUncertain, err.Error())
	}
	switch answer.GetError() {
	case wire.ControlSubmitAnswer_NONE:
	case wire.ControlSubmitAnswer_NOT_COMMITTED:
		return nil, errors.Wrap(ErrNotCommitted, answer.GetDetail())
	case wire.ControlSubmitAnswer_REFUSED:
		return nil, errors.Wrap(ErrRefused, answer.GetDetail())
	default:
		return nil, errors.Wrap(ErrUncertain, answer.GetDetail())
	}
	r, err := wire.DecodeResult(answer.GetResult())
	if err != nil {
		return nil, errors.Wrap(ErrUncertain, err.Error())
	}
	return r, nil
}

// submitAs submits a command and checks the type of its result.
func submitAs[R state.Result](ctx context.Context, c *Client, command state.Command) (R, error) {
	r, err := c.Submit(ctx, command)
	if err != nil {
		var zero R
		return zero, err
	}
	out, ok := r.(R)
	if !ok {
		return out, errors.Wrapf(ErrInvalidResponse, "command %T has result %T", command, r)
	}
	return out, nil
}

// Claim requests permission to send a non-idempotent request to a target. A claim
// repeated for the same request is granted again.
func (c *Client) Claim(ctx context.Context, claim state.Claim) (state.ClaimResult, error) {
	return submitAs[state.ClaimResult](ctx, c, claim)
}

// Settle reports the result of a claimed request, which ends the claim. A nil error
// does not imply that the request held the claim.
func (c *Client) Settle(ctx context.Context, s state.Settle) error {
	_, err := submitAs[state.SettleResult](ctx, c, s)
	return err
}

// Change submits an operator's change.
func (c *Client) Change(ctx context.Context, ch state.Change) (state.ChangeResult, error) {
	return submitAs[state.ChangeResult](ctx, c, ch)
}

// Share requests this entry's share of the customer limits, valid from now to until.
// held is the share that the entry applies from now on, in parts of state.ShareUnit,
// or 0 if it has none.
func (c *Client) Share(ctx context.Context, now, until time.Time, held uint32) (state.ShareResult, error) {
	return submitAs[state.ShareResult](ctx, c, state.RegisterEntry{Entry: c.o.Host, Time: now, Until: until, CurrentParts: held})
}

// Announce registers a target. It returns ErrRefused if control rejects the target,
// for example for an outdated incarnation.
func (c *Client) Announce(ctx context.Context, t fleet.Target) error {
	now := time.Now()
	r, err := submitAs[state.TargetResult](ctx, c, state.Announce{Target: t, Until: now.Add(announceTimeout), Time: now})
	if err != nil {
		return err
	}
	if r.Outcome != state.TargetUpdated && r.Outcome != state.TargetUnchanged {
		return errors.Wrapf(ErrRefused, "target %q: outcome %d, registered incarnation %d", t.Name, r.Outcome, r.Target.Incarnation)
	}
	return nil
}

// ReportUsage reports served requests. It returns an error unless every record has
// been counted or can never be counted.
func (c *Client) ReportUsage(ctx context.Context, records []state.UsageRecord) error {
	r, err := submitAs[state.UsageResult](ctx, c, state.ReportUsage{Records: records})
	if err != nil {
		return err
	}
	if len(r.TooLate) > 0 {
		c.o.Log.Error("usage records are too late to be counted", "records", len(r.TooLate))
	}
	if len(r.Refused) > 0 {
		return errors.Wrapf(ErrNotCommitted, "%d usage records", len(r.Refused))
	}
	return nil
}
