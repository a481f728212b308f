package registry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/log"
	"papayarock/core/quorum"
	"papayarock/io/link"
	"papayarock/io/replica"
	"papayarock/io/wire"
)

const (
	// memberPeriod is how often a replica looks whether it is a member, and the
	// leader whether a member must be promoted or replaced.
	memberPeriod = 150 * time.Millisecond
	// memberTimeout bounds one call about membership.
	memberTimeout = time.Second
	// silentAfter is how long a voter may be silent before a learner replaces
	// it. Shorter pauses are freezes and cuts that end by themselves.
	silentAfter = 8 * time.Second
)

// memberLoop makes this replica a member and, while it leads, keeps the wanted
// number of voters.
func (r *Registry) memberLoop(ctx context.Context) {
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
			r.repair(ctx, status)
			continue
		}
		me, member := status.Members.Find(r.self)
		if member && (me.Identity == 0 || me.Identity == status.Identity) && status.Leader != "" {
			continue
		}
		r.join(ctx, status)
	}
}

func (r *Registry) status() (log.Status, bool) {
	d, ok := r.group.Dump().(replica.Dump)
	return d.Status, ok && d.Running
}

// join asks the members and seeds, one after the other, to be taken in. A
// member that knows no leader asks too: it may have been removed while it was
// cut off.
func (r *Registry) join(ctx context.Context, status log.Status) {
	request := &wire.RegistryJoin{Host: string(r.self), Identity: uint64(status.Identity)}
	for _, a := range r.peers(status.Members) {
		if ctx.Err() != nil {
			return
		}
		limited, cancel := context.WithTimeout(ctx, memberTimeout)
		answer, err := link.Call[wire.RegistryJoinAnswer](limited, r.o.Links, link.Address{AddrPort: a}, request)
		cancel()
		if err != nil {
			r.log.Debug("join not answered", "peer", a, "error", err)
			continue
		}
		if answer.GetMember() {
			return
		}
		if leader, err := netip.ParseAddrPort(answer.GetLeader()); err == nil {
			r.learn(leader)
		}
	}
}

// peers returns the link addresses of the other replicas that this one knows.
func (r *Registry) peers(members log.Membership) []netip.AddrPort {
	r.mu.Lock()
	list := slices.Clone(r.seeds)
	for a := range r.learned {
		list = append(list, a)
	}
	r.mu.Unlock()
	for _, m := range members {
		if a, ok := address(m.Host); ok {
			list = append(list, a.AddrPort)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == r.o.Self })
}

func (r *Registry) learn(a netip.AddrPort) {
	const maxLearned = 64 // more replicas than a log has members
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.learned) < maxLearned {
		r.learned[a] = true
	}
}

// admit answers a replica that asks to be a member. Only the leader takes it in.
func (r *Registry) admit(ctx context.Context, m *wire.RegistryJoin) *wire.RegistryJoinAnswer {
	status, ok := r.status()
	if !ok || status.Role != log.Leader {
		return &wire.RegistryJoinAnswer{Leader: string(status.Leader)}
	}
	a := quorum.JoinRequest{Host: fleet.Host(m.GetHost()), Identity: log.Identity(m.GetIdentity())}
	c, wanted := quorum.Admit(status.Members, a, status.Peers[a.Host].Identity)
	if !wanted {
		return &wire.RegistryJoinAnswer{Member: true, Leader: string(r.self)}
	}
	r.change(ctx, c)
	return &wire.RegistryJoinAnswer{Leader: string(r.self)}
}

func (r *Registry) repair(ctx context.Context, status log.Status) {
	heard := make(map[fleet.Host]time.Time, len(status.Peers))
	for h, p := range status.Peers {
		heard[h] = p.Confirmed
	}
	if c, ok := quorum.Repair(status.Members, r.self, r.o.Voters, heard, time.Now().Add(-silentAfter)); ok {
		r.change(ctx, c)
	}
}

func (r *Registry) change(ctx context.Context, c quorum.Change) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var err error
	switch c.Kind {
	case log.AddLearner:
		err = r.group.AddLearner(ctx, c.Host)
	case log.Promote:
		err = r.group.Promote(ctx, c.Host)
	case log.Remove:
		err = r.group.Remove(ctx, c.Host)
	}
	kind := [...]string{"add-learner", "promote", "remove"}[c.Kind]
	if err != nil {
		r.log.Debug("membership change refused", "change", kind, "host", c.Host, "error", err)
		return
	}
	r.log.Info("membership changed", "change", kind, "host", c.Host)
}

// Members returns the members of the log that this replica knows.
func (r *Registry) Members() log.Membership { return r.group.Members() }
