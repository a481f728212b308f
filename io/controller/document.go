package controller

import (
	"context"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/state"
)

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
