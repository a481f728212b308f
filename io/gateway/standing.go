package gateway

import (
	"time"

	"papayarock/core/place"
)

// noteStanding records the place of a request in the queue if it is refused for lack of
// capacity.
func (j *job) noteStanding(reason place.Reason, request place.Request) {
	if reason != place.Full {
		return
	}
	j.g.mu.Lock()
	defer j.g.mu.Unlock()
	j.standing = j.g.placer.Standing(time.Now(), request)
}

// standingFields returns the log fields of a request that was refused for lack of capacity.
func (j *job) standingFields() []any {
	if j.standing.Customers == 0 {
		return nil
	}
	return []any{"ahead", j.standing.Ahead, "customers", j.standing.Customers, "share", j.standing.Share}
}
