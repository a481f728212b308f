package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// request is one call that waits for the loop.
type request struct {
	id      uint64
	command []byte
	change  *log.Change
	read    bool
	release bool        // hands over
	done    chan result // has room for the one result
}

type result struct {
	value any
	err   error
}

// Propose commits a command and returns what Machine.Apply returned for it.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	return g.call(ctx, &request{command: command})
}

// AddLearner adds a host that receives the log but does not vote.
func (g *Group) AddLearner(ctx context.Context, h fleet.Host) error {
	return g.changeMember(ctx, log.AddLearner, h)
}

// Promote makes a learner that has caught up a voter.
func (g *Group) Promote(ctx context.Context, h fleet.Host) error {
	return g.changeMember(ctx, log.Promote, h)
}

// Remove removes a voter or learner.
func (g *Group) Remove(ctx context.Context, h fleet.Host) error {
	return g.changeMember(ctx, log.Remove, h)
}

func (g *Group) changeMember(ctx context.Context, kind log.ChangeKind, h fleet.Host) error {
	_, err := g.call(ctx, &request{change: &log.Change{Kind: kind, Host: h}})
	return errors.Wrapf(err, "change member %s", h)
}

// Read returns once the local machine has applied everything that was committed
// when Read was called.
func (g *Group) Read(ctx context.Context) error {
	_, err := g.call(ctx, &request{read: true})
	return err
}

// handOverPoll is how often a member that hands over looks for the new leader.
const handOverPoll = 10 * time.Millisecond

// HandOver gives the lease up, has another voter stand for election, and returns
// once that one leads. The caller must have begun no external action that may
// still run, and must begin none. It fails at once on a member that holds no
// lease.
func (g *Group) HandOver(ctx context.Context) error {
	if _, err := g.call(ctx, &request{release: true}); err != nil {
		return errors.Wrap(err, "hand over")
	}
	// Until the new leader is heard from, it may need this member's vote.
	for g.Leader() == "" {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "hand over: no new leader is known")
		case <-time.After(handOverPoll):
		}
	}
	return nil
}

func (g *Group) call(ctx context.Context, r *request) (any, error) {
	r.id = g.nextID.Add(1)
	r.done = make(chan result, 1)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(ErrNotCommitted, err.Error())
	}
	select {
	case g.requests <- r:
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotCommitted, "the queue is full: %v", ctx.Err())
	}
	select {
	case x := <-r.done:
		return x.value, x.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUncertain, ctx.Err().Error())
	}
}

func decidedError(d log.Decided) error {
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
