package agent

import (
	"context"
	"net/http"

	"papayarock/core/fleet"
)

// cancelIfUnresponsive cancels an order once the target has failed checkFailures
// probes in a row. An order may take minutes, and its connection may be dead
// without an error; the target would then be out of service until the deadline
// of the order.
func (a *Agent) cancelIfUnresponsive(ctx context.Context, cancel context.CancelFunc) {
	failed := 0
	for sleep(ctx, checkInterval) {
		callCtx, cancelCall := context.WithTimeout(ctx, checkTimeout)
		err := a.probe(callCtx)
		cancelCall()
		if failed++; err == nil {
			failed = 0
		}
		if failed >= checkFailures {
			cancel()
			return
		}
	}
}

// probe returns an error if the target does not answer at all. A target that is
// executing an order does answer.
func (a *Agent) probe(ctx context.Context) error {
	if a.Announcement.Kind != fleet.Engine {
		return a.dialTarget(ctx)
	}
	_, err := a.callTarget(ctx, http.MethodGet, "/state", nil, nil)
	return err
}
