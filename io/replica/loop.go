package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/log"
	"papayarock/io/wire"
)

// loop is one run of Serve.
type loop struct {
	*Group
	node     *log.Node
	writer   *writer
	waiting  map[uint64]*request // by id
	results  map[uint64]any      // of Machine.Apply by index, within one step
	applied  uint64
	snapshot uint64 // index of the last snapshot
	bytes    uint64 // of commands applied since
}

func (l *loop) run(ctx context.Context) error {
	go l.writer.run()
	err := l.serve(ctx)
	l.end()
	if closeErr := l.writer.close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *loop) serve(ctx context.Context) error {
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
			err = l.take(r)
		case <-l.writer.synced:
			sequence, failed := l.writer.state()
			if failed != nil {
				_ = l.step(log.Failed{})
				return errors.Wrapf(failed, "replica %s", l.o.Self)
			}
			err = l.step(log.Synced{Sequence: sequence})
		case <-timer.C:
			err = l.step(log.Tick{})
		}
		if err != nil {
			return err
		}
		timer.Reset(time.Until(l.node.NextTick()))
	}
}

// take steps the queued requests, up to a bound; their proposals share a step.
func (l *loop) take(r *request) error {
	var batch log.Propose
	for taken := 1; ; taken++ {
		l.waiting[r.id] = r
		switch {
		case r.read:
			if err := l.step(log.Read{ID: r.id}); err != nil {
				return err
			}
		case r.release:
			if err := l.step(log.TransferLeadership{ID: r.id}); err != nil {
				return err
			}
		case r.change != nil:
			if err := l.step(log.Change{ID: r.id, Kind: r.change.Kind, Host: r.change.Host}); err != nil {
				return err
			}
		default:
			batch.Proposals = append(batch.Proposals, log.Proposal{ID: r.id, Command: r.command})
		}
		if taken >= maxBatch || len(l.requests) == 0 {
			break
		}
		r = <-l.requests
	}
	if len(batch.Proposals) == 0 {
		return nil
	}
	return l.step(batch)
}

func (l *loop) step(ev log.Event) error {
	l.mu.Lock()
	actions := l.node.Step(time.Now(), ev)
	lease := l.node.Lease()
	l.mu.Unlock()
	// A lease that ends is shown at once; one that begins only after the entries
	// of earlier terms have been applied, so that its holder reads no old state.
	ends := lease.Expires.IsZero()
	if ends {
		l.show(lease)
	}
	for _, a := range actions {
		if err := l.act(a); err != nil {
			return err
		}
	}
	if !ends {
		l.show(lease)
	}
	clear(l.results)
	return l.takeSnapshot()
}

func (l *loop) show(lease log.Lease) {
	if *l.lease.Load() != lease {
		l.lease.Store(&lease)
	}
}

func (l *loop) act(a log.Action) error {
	switch a := a.(type) {
	case log.Persist:
		l.writer.add(a)
	case log.Send:
		l.o.Transport.Send(a.Message.To, wire.EncodeLogMessage(a.Message))
	case log.Apply:
		l.apply(a.Entries)
	case log.Restore:
		if err := l.o.Machine.Restore(a.Snapshot.Data); err != nil {
			return errors.Wrapf(ErrMachine, "restore snapshot %d: %v", a.Snapshot.Index, err)
		}
		l.applied, l.snapshot, l.bytes = a.Snapshot.Index, a.Snapshot.Index, 0
	case log.Decided:
		l.finish(a.ID, result{l.results[a.Index], decidedError(a)})
	case log.LeadershipTransferred:
		l.finish(a.ID, result{})
	case log.ReadReady:
		l.finish(a.ID, result{})
	case log.ReadFailed:
		l.finish(a.ID, result{err: &NotLeaderError{Leader: a.Leader}})
	}
	return nil
}

func (l *loop) apply(list []log.Entry) {
	if l.results == nil {
		l.results = make(map[uint64]any)
	}
	for _, e := range list {
		l.applied = e.Index
		if e.Kind != log.Command {
			continue
		}
		value := l.o.Machine.Apply(e.Index, e.Term, e.Command)
		l.bytes += uint64(len(e.Command))
		if len(l.waiting) > 0 {
			l.results[e.Index] = value
		}
	}
}

func (l *loop) finish(id uint64, r result) {
	if w := l.waiting[id]; w != nil {
		delete(l.waiting, id)
		w.done <- r
	}
}

// takeSnapshot bounds the log that a restart has to read.
func (l *loop) takeSnapshot() error {
	if l.applied-l.snapshot < l.o.SnapshotEntries && l.bytes < l.o.SnapshotBytes {
		return nil
	}
	data, err := l.o.Machine.Snapshot()
	if err != nil {
		return errors.Wrapf(ErrMachine, "take snapshot at %d: %v", l.applied, err)
	}
	l.snapshot, l.bytes = l.applied, 0
	return l.step(log.SnapshotTaken{Index: l.applied, Data: data})
}

// end answers the calls that are still open.
func (l *loop) end() {
	l.mu.Lock()
	l.Group.node = nil
	l.mu.Unlock()
	l.lease.Store(&log.Lease{})
	for id := range l.waiting {
		l.finish(id, result{err: errors.Wrap(ErrUncertain, "the replica stopped")})
	}
}
