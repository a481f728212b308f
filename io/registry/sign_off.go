package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/roster"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// signOffTimeout limits the wait for the other replicas. It is below the 1 s after which
// targets give up a call.
const signOffTimeout = 800 * time.Millisecond

// ErrSignOffUnconfirmed is returned by SignOff if a majority of the replicas does not confirm
// the sign-off in time.
var ErrSignOffUnconfirmed = errors.New("too few replicas confirm the sign-off")

// SignOff applies the sign-off of a target, and returns nil once a majority of the voters of
// the log knows it. Each replica keeps the targets in memory: after the loss of the only one
// that knows a sign-off, gateways that start would take the target for ready. After
// ErrSignOffUnconfirmed the sign-off is in force at this replica and the gateways that follow
// it; the target should repeat it at another replica.
func (r *Registry) SignOff(ctx context.Context, a roster.Announcement) error {
	r.Announce(a)
	r.mu.Lock()
	record, ok := r.roster.Get(a.Target)
	r.mu.Unlock()
	if !ok || record.Condition != roster.Left {
		return nil // a later run of the target is known, which the sign-off does not end
	}
	status, ok := r.status()
	if !ok || len(status.Members) == 0 {
		return errors.Wrapf(ErrSignOffUnconfirmed, "target %q: this replica knows no members of the log", a.Target)
	}
	missing := status.Members.Quorum()
	if status.Members.IsVoter(r.self) {
		missing--
	}
	confirmed := r.pushSignOff(status.Members, record)
	timeout := time.NewTimer(signOffTimeout)
	defer timeout.Stop()
	for missing > 0 {
		select {
		case h := <-confirmed:
			if status.Members.IsVoter(h) {
				missing--
			}
		case <-timeout.C:
			r.log.Warn("sign-off not confirmed", "target", a.Target, "members", len(status.Members), "missing", missing)
			return errors.Wrapf(ErrSignOffUnconfirmed, "target %q: %d more needed", a.Target, missing)
		case <-ctx.Done():
			return errors.Wrapf(ErrSignOffUnconfirmed, "target %q: %v", a.Target, ctx.Err())
		}
	}
	return nil
}

// pushSignOff sends the record of a target to all other members, without waiting for them,
// and returns a channel that passes on those that have applied it.
func (r *Registry) pushSignOff(members log.Membership, record roster.Record) <-chan fleet.Host {
	confirmed := make(chan fleet.Host, len(members))
	request := &wire.RegistrySignOff{Target: wire.EncodeFeedTarget(time.Now(), record)}
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.running
	if running == nil {
		return confirmed
	}
	for _, m := range members {
		address, ok := linkAddress(m.Host)
		if m.Host == r.self || !ok {
			continue
		}
		r.pushes.Go(func() {
			ctx, cancel := context.WithTimeout(running, signOffTimeout)
			defer cancel()
			if _, err := link.Call[wire.RegistrySignOffAnswer](ctx, r.options.Links, address, request); err != nil {
				r.log.Info("sign-off not passed on", "target", record.Target, "peer", m.Host, "error", err)
				return
			}
			confirmed <- m.Host
		})
	}
	return confirmed
}

// receiveSignOff applies the record of a target that has signed off at another replica.
func (r *Registry) receiveSignOff(m *wire.RegistrySignOff) error {
	now := time.Now()
	record, err := wire.DecodeFeedTarget(now, m.GetTarget())
	if err != nil {
		return err
	}
	if record.Condition != roster.Left {
		return errors.Errorf("target %q has the condition %v in a sign-off", record.Target, record.Condition)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Announce(now, record.Announcement) == roster.Changed {
		r.log.Info("target signed off at another replica", "target", record.Target, "started", record.Started.UnixMilli())
		r.signalRosterChange()
	}
	return nil
}
