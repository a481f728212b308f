package registry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/place"
	"papayarock/core/roles"
	"papayarock/core/roster"
	"papayarock/io/wire"
)

const (
	// rolesPeriod is the interval at which the leader decides on the roles of engines.
	rolesPeriod = 500 * time.Millisecond
	// orderTimeout limits one order to an engine. It is below usageTimeout, the longest
	// action that a new leader waits for.
	orderTimeout = time.Second
	// maxAnnouncementAge is the age of the last announcement from which a target is not
	// considered any more.
	maxAnnouncementAge = 10 * time.Second
	// roleChangeNotice is the time between telling the gateways of role changes and
	// ordering them. It covers the way to the gateways and the requests on their way to
	// the engines, which would be rejected.
	roleChangeNotice = 150 * time.Millisecond
)

// EngineClient orders engines to change their roles.
type EngineClient interface {
	// ChangeRole orders a run of an engine to take a role. It returns ErrSuperseded if
	// the engine has seen a higher term, and ErrOrderRefused if it has not accepted the
	// order. After any other error the engine may carry out the order.
	ChangeRole(ctx context.Context, holder string, term uint64, target roster.Record, role fleet.Role) error
}

// ErrOrderRefused is returned by an EngineClient for an order that will not be carried
// out.
var ErrOrderRefused = errors.New("order refused")

// recordLoad records the load that a gateway puts on the engines of a pool. The caller
// holds mu.
func (r *Registry) recordLoad(from gatewayRun, l *wire.FeedLoad) {
	pool, counters := wire.DecodeFeedLoad(l)
	if r.meters[pool] == nil {
		r.meters[pool] = &roles.Meter[gatewayRun]{}
	}
	r.meters[pool].Add(time.Now(), from, counters)
}

// rolesLoop changes the roles of engines while this replica leads. Each leadership
// starts with new planners, so that the first decision is based on a whole window of
// load.
func (r *Registry) rolesLoop(ctx context.Context) {
	if r.options.Engines == nil || r.options.WatchTargets == nil {
		return
	}
	defer func() { // the next leader decides anew
		r.mu.Lock()
		defer r.mu.Unlock()
		clear(r.roleChanges)
	}()
	var planners map[string]*roles.Planner
	var planned uint64 // term of the planners
	var watching sync.WaitGroup
	defer watching.Wait()
	stopWatching := func() {}
	defer func() { stopWatching() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rolesPeriod):
		}
		term, _, held := r.member.Lease()
		if planners != nil && (!held || planned != term) {
			stopWatching()
			watching.Wait()
			planners = nil
		}
		if !held {
			continue
		}
		if planners == nil {
			planners, planned = make(map[string]*roles.Planner), term
			r.mu.Lock()
			r.watched = roster.Roster{}
			clear(r.roleChanges)
			r.mu.Unlock()
			watchCtx, cancel := context.WithCancel(ctx)
			stopWatching = cancel
			watching.Go(func() { r.options.WatchTargets(watchCtx, r.updateWatched) })
		}
		r.planRoles(ctx, term, planners)
	}
}

// updateWatched applies the target records that a replica has sent.
func (r *Registry) updateWatched(records []roster.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		r.watched.Announce(record.Heard, record.Announcement)
	}
}

// planRoles decides on the roles of the engines of all pools and orders the changes.
func (r *Registry) planRoles(ctx context.Context, term uint64, planners map[string]*roles.Planner) {
	_, text, _ := r.machine.catalog()
	if len(text) == 0 {
		return
	}
	d, err := r.options.DecodeCatalog(text)
	if err != nil {
		r.log.Warn("roles not planned: catalog cannot be decoded", "error", err)
		return
	}
	for _, pool := range d.Pools {
		if pool.Engine == nil {
			continue
		}
		if planners[pool.Name] == nil {
			planners[pool.Name] = &roles.Planner{}
		}
		r.planPool(ctx, term, pool, planners[pool.Name])
	}
}

func (r *Registry) planPool(ctx context.Context, term uint64, pool catalog.Pool, planner *roles.Planner) {
	now := time.Now()
	records := make(map[fleet.TargetName]roster.Record)
	var engines []roles.Engine
	var load roles.Load
	r.mu.Lock()
	r.watched.Expire(now.Add(-maxAnnouncementAge))
	for _, record := range r.watched.ChangedSince(0) {
		if record.Pool == pool.Name && record.Condition == roster.Ready {
			records[record.Target] = record
			engines = append(engines, roles.Engine{
				Target: record.Target, Started: record.Started, Region: r.options.Regions[record.DataCentre], Role: record.Role, Slots: record.Slots,
			})
		}
	}
	if m := r.meters[pool.Name]; m != nil {
		load = m.Load(now)
	}
	superseded := term <= r.supersededTerm
	r.mu.Unlock()
	if superseded {
		return
	}
	changes := planner.Plan(now, engines, load, pool.Engine.RoleChange)
	r.setRoleChanges(pool.Name, records, planner)
	if len(changes) == 0 {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(roleChangeNotice):
	}
	accepted := make([]bool, len(changes))
	var wg sync.WaitGroup
	for i, change := range changes {
		wg.Go(func() { accepted[i] = r.orderRole(ctx, term, records[change.Target], change.Role, load) })
	}
	wg.Wait()
	for i, change := range changes {
		if !accepted[i] {
			planner.Fail(change)
		}
	}
}

// setRoleChanges makes the feeds tell the gateways of the pending changes of a pool.
func (r *Registry) setRoleChanges(pool string, records map[fleet.TargetName]roster.Record, planner *roles.Planner) {
	pending := make(map[fleet.TargetName]place.RoleChange)
	for _, c := range planner.Pending() {
		pending[c.Target] = place.RoleChange{Target: c.Target, Started: c.Started, Role: c.Role, Expires: planner.Deadline()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for target := range r.roleChanges {
		if _, known := records[target]; known && pending[target] != r.roleChanges[target] {
			delete(r.roleChanges, target)
			changed = true
		}
	}
	for target, c := range pending {
		changed = changed || r.roleChanges[target] != c
		r.roleChanges[target] = c
	}
	if changed {
		r.log.Info("role changes in progress", "pool", pool, "engines", len(pending))
		close(r.rosterChanged)
		r.rosterChanged = make(chan struct{})
	}
}

// orderRole orders an engine to take a role, while the lease lasts. It returns false if
// the engine will not carry out the order.
func (r *Registry) orderRole(ctx context.Context, term uint64, target roster.Record, role fleet.Role, load roles.Load) bool {
	current, expires, held := r.member.Lease()
	if !held || current != term || time.Until(expires) <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.options.Engines.ChangeRole(ctx, r.options.HostName, term, target, role)
	r.log.Info("role change ordered", "target", target.Target, "started", target.Started.UnixMilli(), "role", role, "term", term,
		"prompts", load.Prefills, "delayed", load.Delayed, "streams", load.Streams, "pace", load.Pace,
		"imports", load.Imports, "refused-imports", load.RefusedImports, "transfers", load.Transfers, "prefill-busy", load.PrefillBusy,
		"engine-pace", load.Paces[target.Target].Mean, "unsteady", load.Paces[target.Target].Unsteady, "error", err)
	if errors.Is(err, ErrSuperseded) {
		r.mu.Lock()
		r.recordSuperseded(term)
		r.mu.Unlock()
		return false
	}
	return !errors.Is(err, ErrOrderRefused)
}
