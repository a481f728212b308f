package registry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/quorum"
	"papayarock/io/link"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

const (
	// memberPeriod is the interval at which a replica checks that it is a member,
	// and the leader checks whether to promote or replace a member.
	memberPeriod = 150 * time.Millisecond
	// memberTimeout limits one join request or membership change.
	memberTimeout = time.Second
	// voterTimeout is how long a voter may be silent before a learner replaces it. A
	// host that is lost no longer counts as lost a few seconds after the start of its
	// successor, and the log must bear the next loss by then. A voter that was only
	// silent for a while joins again as a learner, without a copy of the log. The timeout
	// is longer than a lease, within which some heartbeats may be lost.
	voterTimeout = log.DefaultLease + log.DefaultLease/2
	// answerTimeout is the part of voterTimeout within which a voter must have answered a
	// new leader. The former leader has been silent for more than a lease when another one
	// is elected.
	answerTimeout = voterTimeout - log.DefaultLease
	// learnerTimeout is how long a learner may be silent before it is removed. It covers a
	// restart; a learner that returns later joins again with its copy of the log.
	learnerTimeout = 10 * time.Second
)

// memberLoop joins this replica to the log. While this replica leads, it also
// maintains the configured number of voters.
func (r *Registry) memberLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberPeriod):
		}
		status, ok := r.status()
		if !ok {
			continue
		}
		if status.Role == log.Leader {
			for r.repairMembership(ctx) {
			}
			continue
		}
		if r.shuttingDown.Load() {
			continue
		}
		// A member that knows the leader need not join, unless the log records another
		// data directory under its address.
		self, isMember := status.Members.Find(r.self)
		if isMember && (self.Identity == 0 || self.Identity == status.Identity) && status.Leader != "" {
			continue
		}
		r.join(ctx, &calls, status)
	}
}

// status returns the state of the local replica of the log, and false while that is
// not running.
func (r *Registry) status() (log.Status, bool) {
	d, ok := r.member.Dump().(replica.Dump)
	return d.Status, ok && d.Running
}

// join asks all known members and seeds at once to add this replica to the log, except
// those that have not answered an earlier request yet: hosts that are lost must not delay
// the others. It does not wait for the answers. A member that knows no leader joins
// again, since it may have been removed while it was partitioned.
func (r *Registry) join(ctx context.Context, calls *sync.WaitGroup, status log.Status) {
	request := &wire.RegistryJoin{Host: string(r.self), Identity: uint64(status.Identity)}
	for _, peer := range r.peers(status.Members) {
		if !r.beginJoin(peer) {
			continue
		}
		calls.Go(func() {
			defer r.endJoin(peer)
			ctx, cancel := context.WithTimeout(ctx, memberTimeout)
			defer cancel()
			answer, err := link.Call[wire.RegistryJoinAnswer](ctx, r.options.Links, link.Address{AddrPort: peer}, request)
			if err != nil {
				r.log.Debug("join request failed", "peer", peer, "error", err)
				return
			}
			if leader, err := netip.ParseAddrPort(answer.GetLeader()); err == nil {
				r.addPeer(leader)
			}
		})
	}
}

// beginJoin records a join request to a peer, and returns false if there is one without
// an answer.
func (r *Registry) beginJoin(peer netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openJoins[peer] {
		return false
	}
	r.openJoins[peer] = true
	return true
}

func (r *Registry) endJoin(peer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openJoins, peer)
}

// peers returns the link addresses of all other replicas known to this one.
func (r *Registry) peers(members log.Membership) []netip.AddrPort {
	r.mu.Lock()
	list := slices.Clone(r.seeds)
	for a := range r.knownPeers {
		list = append(list, a)
	}
	r.mu.Unlock()
	for _, m := range members {
		if a, ok := linkAddress(m.Host); ok {
			list = append(list, a.AddrPort)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == r.options.Self })
}

// addPeer records a replica that was named as the leader. Of more than maxKnownPeers, the one
// that was named the longest time ago is forgotten.
func (r *Registry) addPeer(a netip.AddrPort) {
	const maxKnownPeers = 16 // leaders named shortly after each other
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knownPeers[a] = time.Now()
	if len(r.knownPeers) <= maxKnownPeers {
		return
	}
	oldest := a
	for peer, named := range r.knownPeers {
		if named.Before(r.knownPeers[oldest]) {
			oldest = peer
		}
	}
	delete(r.knownPeers, oldest)
}

// admit handles a join request. Only the leader adds the replica; others respond
// with the address of the leader. Member is set in the response if the replica is
// already a member and no change is needed.
func (r *Registry) admit(ctx context.Context, m *wire.RegistryJoin) *wire.RegistryJoinAnswer {
	status, ok := r.status()
	if !ok || status.Role != log.Leader {
		return &wire.RegistryJoinAnswer{Leader: string(status.Leader)}
	}
	request := quorum.JoinRequest{Host: fleet.Host(m.GetHost()), Identity: log.DirectoryID(m.GetIdentity())}
	r.setLeaving(request.Host, time.Time{}) // it has started again
	peer := status.Peers[request.Host]
	live := peer.Confirmed.After(r.member.Now().Add(-voterTimeout))
	change, needed := quorum.NextJoinChange(status.Members, request, peer.Identity, live)
	if !needed {
		return &wire.RegistryJoinAnswer{Member: true, Leader: string(r.self)}
	}
	r.changeMembership(ctx, change)
	return &wire.RegistryJoinAnswer{Leader: string(r.self)}
}

// repairMembership makes one change that the number of voters or the replacement of a
// voter needs, and reports whether it has done so.
func (r *Registry) repairMembership(ctx context.Context) bool {
	status, ok := r.status()
	if !ok || status.Role != log.Leader {
		return false
	}
	c, ok := quorum.NextRepairChange(r.membershipView(status))
	return ok && r.changeMembership(ctx, c)
}

// membershipView returns what this replica knows about the members as their leader.
func (r *Registry) membershipView(status log.Status) quorum.View {
	v := quorum.View{
		Members: status.Members, Self: r.self, Voters: r.options.Voters,
		Peers: make(map[fleet.Host]quorum.Peer, len(status.Peers)+1), SilentSince: r.member.Now().Add(-voterTimeout),
		LearnersSilentSince: r.member.Now().Add(-learnerTimeout), NewLeader: r.member.Now().Before(status.ElectedAt.Add(answerTimeout)),
	}
	v.Peers[r.self] = quorum.Peer{Leaving: r.shuttingDown.Load()}
	silentUntilElected := status.ElectedAt.Add(answerTimeout - voterTimeout)
	for h, p := range status.Peers {
		heard := p.Confirmed
		if heard.Before(silentUntilElected) {
			heard = silentUntilElected
		}
		v.Peers[h] = quorum.Peer{Added: p.Added, LastHeard: heard, CaughtUp: p.CaughtUp, Leaving: r.isLeaving(h)}
	}
	return v
}

// changeMembership makes a change and reports whether it has been committed.
func (r *Registry) changeMembership(ctx context.Context, c quorum.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var err error
	switch c.Kind {
	case log.AddLearner:
		err = r.member.AddLearner(ctx, c.Host)
	case log.Promote:
		err = r.member.Promote(ctx, c.Host)
	case log.Remove:
		err = r.member.Remove(ctx, c.Host)
	}
	kind := [...]string{"add-learner", "promote", "remove"}[c.Kind]
	if err != nil {
		r.log.Debug("membership change failed", "change", kind, "host", c.Host, "error", err)
		return false
	}
	r.log.Info("membership changed", "change", kind, "host", c.Host)
	return true
}

// Members returns the members of the log as known to this replica.
func (r *Registry) Members() log.Membership { return r.member.Members() }

func countMembers(members log.Membership) (voters, learners int) {
	for _, m := range members {
		if m.Learner {
			learners++
		} else {
			voters++
		}
	}
	return voters, learners
}

// Leads reports whether this replica leads the log and holds the lease.
func (r *Registry) Leads() bool {
	_, _, held := r.member.Lease()
	return held
}
