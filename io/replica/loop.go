package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/io/wire"
)

// loop is the event loop of one call of Serve.
type loop struct {
	*Member
	node          *log.Node
	writer        *writer
	pending       map[uint64]*request // requests without a result, by id
	results       map[uint64]any      // of StateMachine.Apply in the current step, by index
	appliedIndex  uint64
	snapshotIndex uint64        // index of the last snapshot
	logBytes      uint64        // written to the log since the last snapshot
	suspended     time.Duration // of the host, as last logged
}

func (l *loop) run(ctx context.Context) error {
	go l.writer.run()
	err := l.processEvents(ctx)
	l.shutDown()
	if closeErr := l.writer.close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *loop) processEvents(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.messages:
			err = l.step(log.Receive{Message: m})
		case r := <-l.requests:
			err = l.stepRequests(r)
		case <-l.writer.synced:
			sequence, writeErr := l.writer.progress()
			if writeErr != nil {
				_ = l.step(log.StorageFailure{})
				return errors.Wrapf(writeErr, "replica %s", l.o.Self)
			}
			err = l.step(log.Synced{Sequence: sequence})
		case <-timer.C:
			err = l.step(log.Tick{})
		}
		if err != nil {
			return err
		}
		timer.Reset(l.node.NextTick().Sub(l.o.Clock.now()))
		l.logSuspension()
	}
}

// minLoggedSuspension is the shortest suspension that is logged.
const minLoggedSuspension = 10 * time.Millisecond

// logSuspension logs that the host has been suspended since the last call.
func (l *loop) logSuspension() {
	total := l.o.Clock.Suspended()
	if total-l.suspended < minLoggedSuspension {
		return
	}
	l.o.Log.Warn("the host was suspended", "for", total-l.suspended, "leads", !l.lease.Load().Expires.IsZero())
	l.suspended = total
}

// stepRequests passes r and the requests queued behind it to the node, up to maxBatch.
// All commands are proposed in one step, so that they share a write.
func (l *loop) stepRequests(r *request) error {
	var batch log.Propose
	for count := 1; ; count++ {
		l.pending[r.id] = r
		switch {
		case r.read:
			if err := l.step(log.Read{ID: r.id}); err != nil {
				return err
			}
		case r.transfer:
			if err := l.step(log.TransferLeadership{ID: r.id}); err != nil {
				return err
			}
		case r.change != nil:
			if err := l.step(log.ChangeMembership{ID: r.id, Kind: r.change.Kind, Host: r.change.Host}); err != nil {
				return err
			}
		default:
			batch.Proposals = append(batch.Proposals, log.Proposal{ID: r.id, Command: r.command})
		}
		if count >= maxBatch || len(l.requests) == 0 {
			break
		}
		r = <-l.requests
	}
	if len(batch.Proposals) == 0 {
		return nil
	}
	return l.step(batch)
}

// step passes an event to the node and carries out the resulting actions.
func (l *loop) step(ev log.Event) error {
	l.mu.Lock()
	actions := l.node.Step(l.o.Clock.now(), ev)
	lease := l.node.Lease()
	l.mu.Unlock()
	// The loss of the lease is published before the actions are carried out, and a lease
	// only afterwards: the actions may apply entries of earlier terms, and the holder of
	// the lease must not read the state without them.
	noLease := lease.Expires.IsZero()
	if noLease {
		l.publishLease(lease)
	}
	for _, a := range actions {
		if err := l.execute(a); err != nil {
			return err
		}
	}
	if !noLease {
		l.publishLease(lease)
	}
	clear(l.results)
	return l.takeSnapshot()
}

func (l *loop) publishLease(lease log.Lease) {
	if *l.lease.Load() != lease {
		l.lease.Store(&lease)
	}
}

func (l *loop) execute(a log.Action) error {
	switch a := a.(type) {
	case log.Persist:
		l.countWritten(a)
		l.writer.enqueue(a)
	case log.Send:
		l.o.Transport.Send(a.Message.To, wire.EncodeLogMessage(a.Message))
	case log.Apply:
		l.apply(a.Entries)
	case log.Restore:
		if err := l.o.StateMachine.Restore(a.Snapshot.Data); err != nil {
			return errors.Wrapf(ErrStateMachine, "restore snapshot %d: %v", a.Snapshot.Index, err)
		}
		l.appliedIndex, l.snapshotIndex = a.Snapshot.Index, a.Snapshot.Index
	case log.Decided:
		l.complete(a.ID, result{l.results[a.Index], outcomeError(a)})
	case log.TransferEnded:
		l.complete(a.ID, result{})
	case log.ReadReady:
		l.complete(a.ID, result{})
	case log.ReadFailed:
		l.complete(a.ID, result{err: &NotLeaderError{Leader: a.Leader}})
	}
	return nil
}

func (l *loop) apply(entries []log.Entry) {
	if l.results == nil {
		l.results = make(map[uint64]any)
	}
	for _, e := range entries {
		l.appliedIndex = e.Index
		if e.Kind != log.Command {
			continue
		}
		value := l.o.StateMachine.Apply(e.Index, e.Term, e.Command)
		if len(l.pending) > 0 { // otherwise nobody waits for the result
			l.results[e.Index] = value
		}
	}
}

func (l *loop) complete(id uint64, r result) {
	if waiting := l.pending[id]; waiting != nil {
		delete(l.pending, id)
		waiting.done <- r
	}
}

// countWritten adds the size of a write to logBytes. Entries that are never committed
// count as well, since they take space on the disk until the log is rewritten.
func (l *loop) countWritten(p log.Persist) {
	if p.Snapshot != nil {
		l.logBytes = 0
		return
	}
	l.logBytes += entryBytes(p.Entries)
}

func entryBytes(list []log.Entry) uint64 {
	sum := 0
	for _, e := range list {
		sum += e.Size()
	}
	return uint64(sum)
}

// takeSnapshot takes a snapshot if enough entries have been applied or enough bytes have
// been written since the last one. This bounds the log on disk and the part of it that a
// restart has to read.
func (l *loop) takeSnapshot() error {
	applied := l.appliedIndex - l.snapshotIndex
	if applied == 0 || (applied < l.o.SnapshotEntries && l.logBytes < l.o.SnapshotBytes) {
		return nil
	}
	data, err := l.o.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrapf(ErrStateMachine, "take snapshot at %d: %v", l.appliedIndex, err)
	}
	l.snapshotIndex = l.appliedIndex
	return l.step(log.SnapshotTaken{Index: l.appliedIndex, Data: data})
}

// shutDown removes the node and its lease from the Member, and completes the pending
// requests with ErrUncertain.
func (l *loop) shutDown() {
	l.mu.Lock()
	l.Member.node = nil
	l.mu.Unlock()
	l.lease.Store(&log.Lease{})
	for id := range l.pending {
		l.complete(id, result{err: errors.Wrap(ErrUncertain, "the replica has stopped")})
	}
}
