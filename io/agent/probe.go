package agent

import (
	"context"
	"net/http"

	"papayarock/core/fleet"
)

// cancelIfUnresponsive cancels an order once checkFailures probes of the target in a
// row have failed. An order may take minutes, and its connection may break without an
// error; without the probes, the target would then be out of service until the
// deadline of the order.
func (a *Agent) cancelIfUnresponsive(ctx context.Context, cancel context.CancelFunc) {
	failures := 0
	for sleep(ctx, checkInterval) {
		callCtx, cancelCall := context.WithTimeout(ctx, checkTimeout)
		err := a.probe(callCtx)
		cancelCall()
		if failures++; err == nil {
			failures = 0
		}
		if failures >= checkFailures {
			cancel()
			return
		}
	}
}

// probe returns an error if the target does not respond at all. Unlike the health
// check, it succeeds while the target is executing an order.
func (a *Agent) probe(ctx context.Context) error {
	if a.Announcement.Kind != fleet.Engine {
		return a.dialTarget(ctx)
	}
	_, err := a.callTarget(ctx, http.MethodGet, "/state", nil, nil)
	return err
}
