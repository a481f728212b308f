package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/log"
	"papayarock/core/state"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

// maxRestagePause limits the random pause before the pieces of a change are sent
// again. The jitter keeps two operators from replacing each other's pieces forever.
const maxRestagePause = 200 * time.Millisecond

// editDocument returns the difference between d and the current document. A copy
// that includes the base revision suffices: only operators change the document, and
// a change is refused as a conflict if another was accepted after its base.
func (c *Controller) editDocument(ctx context.Context, base uint64, d config.Document) (state.Action, error) {
	index, _ := c.machine.config()
	if index.Revision < base {
		if err := c.member.ReadBarrier(ctx); err != nil {
			return nil, errors.Wrapf(err, "catch up with base revision %d", base)
		}
		index, _ = c.machine.config()
	}
	return state.EditAction(index, d)
}

// splitChange returns the actions that make up a change: its own action, or the
// pieces of an edit that exceeds the size limit of a log entry.
func splitChange(change state.Change) []state.Action {
	a, ok := change.Action.(state.EditDocument)
	if b, err := wire.EncodeCommand(change); !ok || err == nil && len(b) <= log.MaxCommandBytes {
		return []state.Action{change.Action}
	}
	return a.Split(config.MaxPieceItems)
}

// commitPieces commits the pieces of a change in order. It starts again from the
// first if they expire or another change replaces them.
func (c *Controller) commitPieces(ctx context.Context, change state.Change, pieces []state.Action) (state.ChangeResult, error) {
	for {
		var r state.ChangeResult
		var err error
		for i, a := range pieces {
			change.Action = a
			r, err = c.commitChange(ctx, change)
			if err != nil && i < len(pieces)-1 {
				// The change takes effect only with the last piece.
				return r, errors.Wrapf(replica.ErrNotCommitted, "piece %d of %d: %v", i+1, len(pieces), err)
			}
			if err != nil || r.Outcome != state.ChangeStaged {
				break
			}
		}
		if err != nil || r.Outcome != state.ChangeMismatch || len(pieces) == 1 {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, nil
		case <-time.After(rand.N(maxRestagePause)):
		}
	}
}
