package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/core/roster"
	"papayarock/io/link"
	"papayarock/io/wire"
)

const (
	// signOffTimeout limits the wait for the commit of a sign-off. It is below the 1 s after
	// which targets give up a call.
	signOffTimeout = 800 * time.Millisecond
	// signOffRetryDelay is the delay before another attempt to commit a sign-off, for example
	// while no leader is known.
	signOffRetryDelay = 50 * time.Millisecond
)

// ErrSignOffUnconfirmed is returned by SignOff if the sign-off is not known to be committed
// in time.
var ErrSignOffUnconfirmed = errors.New("the sign-off is not known to be committed")

// SignOff applies the announcement with which a run of a target leaves: it drains or has
// ended. It returns nil once the log holds that, since the replicas keep all other
// announcements in memory only: after a restart of all of them, a late announcement would
// make the target count as ready again. After ErrSignOffUnconfirmed the sign-off is in force
// at this replica and the gateways that follow it; the target should repeat it at another
// replica.
func (r *Registry) SignOff(ctx context.Context, a roster.Announcement) error {
	r.Announce(a)
	r.mu.Lock()
	record, ok := r.roster.Get(a.Target)
	r.mu.Unlock()
	if !ok || record.Condition == roster.Ready {
		return nil // a later run of the target is known, which the sign-off does not end
	}
	if status, ok := r.status(); !ok || len(status.Members) == 0 {
		return errors.Wrapf(ErrSignOffUnconfirmed, "target %q: this replica knows no members of the log", a.Target)
	}
	ctx, cancel := context.WithTimeout(ctx, signOffTimeout)
	defer cancel()
	for !r.machine.hasSignOff(record.Announcement) {
		err := r.requestSignOff(ctx, record)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(signOffRetryDelay):
		case <-ctx.Done():
			r.log.Warn("sign-off not committed", "target", a.Target, "condition", record.Condition, "error", err)
			return errors.Wrapf(ErrSignOffUnconfirmed, "target %q: %v", a.Target, err)
		}
	}
	return nil
}

// requestSignOff has the leader commit the record of a target that leaves.
func (r *Registry) requestSignOff(ctx context.Context, record roster.Record) error {
	status, ok := r.status()
	if !ok {
		return errors.New("the replica of the log does not run")
	}
	if status.Role == log.Leader {
		return r.commitSignOff(ctx, record)
	}
	leader, ok := linkAddress(status.Leader)
	if !ok {
		return ErrNoLeader
	}
	request := &wire.RegistrySignOff{Target: wire.EncodeFeedTarget(time.Now(), record)}
	answer, err := link.Call[wire.RegistrySignOffAnswer](ctx, r.options.Links, leader, request)
	if err != nil {
		return err
	}
	if !answer.GetCommitted() {
		return errors.Errorf("the leader %s has not committed it", status.Leader)
	}
	return nil
}

// commitSignOff commits the record of a target that leaves. It fails on a replica that does
// not lead.
func (r *Registry) commitSignOff(ctx context.Context, record roster.Record) error {
	if r.machine.hasSignOff(record.Announcement) {
		return nil
	}
	return r.commit(ctx, &wire.RegistryCommand{Command: &wire.RegistryCommand_SignOff{
		SignOff: wire.EncodeTargetSignOff(r.options.Now(), record.Announcement),
	}})
}

// receiveSignOff handles the request of another replica to commit a sign-off.
func (r *Registry) receiveSignOff(ctx context.Context, m *wire.RegistrySignOff) (*wire.RegistrySignOffAnswer, error) {
	record, err := wire.DecodeFeedTarget(time.Now(), m.GetTarget())
	if err != nil {
		return nil, err
	}
	if record.Condition == roster.Ready {
		return nil, errors.Errorf("target %q has the condition %v in a sign-off", record.Target, record.Condition)
	}
	err = r.commitSignOff(ctx, record)
	if err != nil {
		r.log.Info("sign-off not committed for another replica", "target", record.Target, "error", err)
	}
	return &wire.RegistrySignOffAnswer{Committed: err == nil}, nil
}

// applySignOff applies a committed sign-off to the targets in memory.
func (r *Registry) applySignOff(a roster.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Announce(time.Now(), a) == roster.Changed {
		r.log.Info("target leaves by the log", "target", a.Target, "started", a.Started.UnixMilli(), "condition", a.Condition)
		r.signalRosterChange()
	}
}
