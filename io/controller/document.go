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

// restagePause bounds the drawn pause before pieces are sent anew, so that two
// operators who replace each other's pieces do not go on doing so.
const restagePause = 200 * time.Millisecond

// editDocument turns a document into what differs from the one at the base of
// the change. A copy at or after the base serves: only operators change the
// document, and a change is refused as a conflict when another was accepted
// after its base.
func (c *Controller) editDocument(ctx context.Context, base uint64, d config.Document) (state.Action, error) {
	index, _ := c.machine.config()
	if index.Revision < base {
		if err := c.group.Read(ctx); err != nil {
			return nil, errors.Wrapf(err, "catch up with base revision %d", base)
		}
		index, _ = c.machine.config()
	}
	return state.Edit(index, d)
}

// pieces returns the actions that make up a change: itself, or the pieces of an
// edit that exceeds a log entry.
func pieces(change state.Change) []state.Action {
	a, ok := change.Action.(state.EditDocument)
	if b, err := wire.EncodeCommand(change); !ok || err == nil && len(b) <= log.MaxCommandBytes {
		return []state.Action{change.Action}
	}
	return a.Split(config.PieceEntries)
}

// commitPieces commits the pieces of a change in order, and again from the
// first while others replace them or they expire.
func (c *Controller) commitPieces(ctx context.Context, change state.Change, parts []state.Action) (state.ChangeResult, error) {
	for {
		var r state.ChangeResult
		var err error
		for i, a := range parts {
			change.Action = a
			r, err = c.commitChange(ctx, change)
			if err != nil && i < len(parts)-1 {
				// Only the last piece makes the change.
				return r, errors.Wrapf(replica.ErrNotCommitted, "piece %d of %d: %v", i+1, len(parts), err)
			}
			if err != nil || r.Outcome != state.ChangeStaged {
				break
			}
		}
		if err != nil || r.Outcome != state.ChangeMismatch || len(parts) == 1 {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, nil
		case <-time.After(rand.N(restagePause)):
		}
	}
}
