package registry

import (
	"context"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// leaveRetention is how long the leader regards a replica as shutting down after its last
// RegistryLeave, which it sends each memberPeriod.
const leaveRetention = 2 * memberTimeout

// Leave prepares the shutdown of this replica. If it is a voter and a learner can replace
// it, Leave waits until that has happened or ctx ends: the host may be gone for good, and
// others may be shut down at the same moment. The replica must run until Leave returns.
func (r *Registry) Leave(ctx context.Context) {
	r.shuttingDown.Store(true)
	start, waited := time.Now(), false
	for {
		status, ok := r.status()
		if !ok || !r.neededAtShutdown(ctx, status) {
			if waited {
				r.log.Info("shutdown goes on", "waited", time.Since(start))
			}
			return
		}
		if !waited {
			waited = true
			r.log.Info("shutdown waits until a learner has replaced this voter", "leader", status.Leader, "members", len(status.Members))
		}
		select {
		case <-ctx.Done():
			r.log.Warn("shutdown goes on although no learner has replaced this voter", "waited", time.Since(start), "leader", status.Leader)
			return
		case <-time.After(memberPeriod):
		}
	}
}

// neededAtShutdown tells the leader that this replica shuts down, and reports whether it
// must keep running for now.
func (r *Registry) neededAtShutdown(ctx context.Context, status log.Status) bool {
	if voters, learners := countMembers(status.Members); learners == 0 && voters%2 == 1 {
		return false // nobody can replace it, and no replacement is under way
	}
	votes := status.Members.IsVoter(r.self)
	if status.Role == log.Leader {
		return !status.MembersCommitted || r.membershipView(status).Needed(r.self)
	}
	leader, ok := linkAddress(status.Leader)
	if !ok {
		return votes
	}
	callCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	answer, err := link.Call[wire.RegistryLeaveAnswer](callCtx, r.options.Links, leader, &wire.RegistryLeave{Host: string(r.self)})
	if err != nil {
		r.log.Debug("leave request failed", "leader", status.Leader, "error", err)
		return votes
	}
	return answer.GetNeeded()
}

// release handles the request of a replica that shuts down. A replica that does not lead
// responds that the sender is needed, so that it asks again.
func (r *Registry) release(m *wire.RegistryLeave) *wire.RegistryLeaveAnswer {
	host := fleet.Host(m.GetHost())
	status, ok := r.status()
	if !ok || status.Role != log.Leader {
		return &wire.RegistryLeaveAnswer{Needed: true}
	}
	r.setLeaving(host, time.Now().Add(leaveRetention))
	// A removal that is not committed may still fail.
	return &wire.RegistryLeaveAnswer{Needed: !status.MembersCommitted || r.membershipView(status).Needed(host)}
}

// setLeaving records that a replica shuts down, or with the zero time that it does not.
func (r *Registry) setLeaving(h fleet.Host, expires time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaving, h)
	if expires.IsZero() {
		return
	}
	for other, t := range r.leaving {
		if !time.Now().Before(t) {
			delete(r.leaving, other)
		}
	}
	r.leaving[h] = expires
}

func (r *Registry) isLeaving(h fleet.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.leaving[h])
}
