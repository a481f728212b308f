package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// request is a call of a method of Member, which the event loop processes. It is a read,
// a leadership transfer, a membership change, or otherwise a command to propose.
type request struct {
	id       uint64
	command  []byte
	change   *log.ChangeMembership
	read     bool
	transfer bool
	done     chan result // has room for the one result
}

type result struct {
	value any // of StateMachine.Apply, for a command
	err   error
}

// Propose commits a command and returns the result of StateMachine.Apply on this
// member. It succeeds only on the leader, as do AddLearner, Promote and Remove.
func (m *Member) Propose(ctx context.Context, command []byte) (any, error) {
	return m.call(ctx, &request{command: command})
}

// AddLearner adds a host as a learner, which receives the log but does not vote.
func (m *Member) AddLearner(ctx context.Context, h fleet.Host) error {
	return m.changeMember(ctx, log.AddLearner, h)
}

// Promote turns a learner that has caught up with the log into a voter.
func (m *Member) Promote(ctx context.Context, h fleet.Host) error {
	return m.changeMember(ctx, log.Promote, h)
}

// Remove removes a voter or learner.
func (m *Member) Remove(ctx context.Context, h fleet.Host) error {
	return m.changeMember(ctx, log.Remove, h)
}

func (m *Member) changeMember(ctx context.Context, kind log.MembershipChangeKind, h fleet.Host) error {
	_, err := m.call(ctx, &request{change: &log.ChangeMembership{Kind: kind, Host: h}})
	return errors.Wrapf(err, "change member %s", h)
}

// ReadBarrier waits until the local state machine has applied all entries that were
// committed when ReadBarrier was called. After that a read of its state is
// linearizable.
func (m *Member) ReadBarrier(ctx context.Context) error {
	_, err := m.call(ctx, &request{read: true})
	return err
}

// transferPollInterval is the time between checks for a new leader during a
// transfer of leadership.
const transferPollInterval = 10 * time.Millisecond

// TransferLeadership gives up the lease, asks another voter to start an election, and
// returns once a new leader is known. No external action that was begun under the lease
// may still be running, and the caller must not begin another. On a member that holds
// no lease, TransferLeadership fails at once.
func (m *Member) TransferLeadership(ctx context.Context) error {
	if _, err := m.call(ctx, &request{transfer: true}); err != nil {
		return errors.Wrap(err, "transfer leadership")
	}
	// This member must keep running until the new leader is known, since the
	// election may need its vote.
	for m.Leader() == "" {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "transfer leadership: no new leader is known")
		case <-time.After(transferPollInterval):
		}
	}
	return nil
}

func (m *Member) call(ctx context.Context, r *request) (any, error) {
	r.id = m.nextID.Add(1)
	r.done = make(chan result, 1)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(ErrNotCommitted, err.Error())
	}
	select {
	case m.requests <- r:
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotCommitted, "request queue is full: %v", ctx.Err())
	}
	select {
	case outcome := <-r.done:
		return outcome.value, outcome.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUncertain, ctx.Err().Error())
	}
}

// outcomeError returns the error for an outcome, which is nil for Committed.
func outcomeError(d log.Decided) error {
	switch d.Outcome {
	case log.Committed:
		return nil
	case log.NotLeader:
		return &NotLeaderError{Leader: d.Leader}
	case log.NotCommitted:
		return errors.Wrap(ErrNotCommitted, string(d.Reason))
	}
	return errors.Wrap(ErrUncertain, string(d.Reason))
}
