package agent

import (
	"context"
	"net/http"

	"papayarock/core/fleet"
)

// giveUpSilent ends an order once the target has not answered for as many
// checks as make it count as not answering. An order may take minutes, and its
// connection may have gone silent: without this, the target stayed out of
// service until the deadline of the order.
func (a *Agent) giveUpSilent(ctx context.Context, cancel context.CancelFunc) {
	silent := 0
	for pause(ctx, checkInterval) {
		one, end := context.WithTimeout(ctx, checkTimeout)
		err := a.hear(one)
		end()
		if silent++; err == nil {
			silent = 0
		}
		if silent >= checkFailures {
			cancel()
			return
		}
	}
}

// hear returns an error if the target gives no answer at all. One that carries
// out an order answers.
func (a *Agent) hear(ctx context.Context) error {
	if a.Announcement.Kind != fleet.Engine {
		return a.reach(ctx)
	}
	_, err := a.callTarget(ctx, http.MethodGet, "/state", nil, nil)
	return err
}
