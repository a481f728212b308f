package registry

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/catalog"
	"papayarock/core/quota"
	"papayarock/io/wire"
)

// quotaRetryInterval is the interval of updates to a gateway whose requests wait for a grant
// that was not possible yet. Such requests wait for 75 ms at an objective of 300 ms.
const quotaRetryInterval = 40 * time.Millisecond

// quotaLeader assigns the limits of customers while this replica leads. It has a lock of its
// own, so that deployments without limits only pay for the check of the catalog's version.
type quotaLeader struct {
	bounds quota.Bounds
	decode func(document []byte) (catalog.Document, error)
	log    hclog.Logger

	mu      sync.Mutex
	term    uint64
	leader  *quota.Leader[gatewayRun] // of term; nil if no customer has a limit
	version uint64                    // of the catalog with limits
	limits  []quota.Limit
}

// prepare makes the assignment current for a term and a catalog. It returns false if no
// customer has a limit. The caller holds mu.
func (q *quotaLeader) prepare(now time.Time, term, version uint64, document []byte) bool {
	if version > q.version && q.decode != nil {
		q.setCatalog(now, version, document)
	}
	if len(q.limits) == 0 {
		return false
	}
	if q.leader == nil || term != q.term {
		q.leader, q.term = quota.NewLeader[gatewayRun](now, term, q.bounds), term
		q.leader.SetLimits(now, q.limits)
		q.log.Info("assigning customer limits", "term", term, "customers", len(q.limits), "renewing-for", quota.Lifetime)
	}
	return true
}

// setCatalog takes the limits of a catalog over. After an error, those of the last one stay.
func (q *quotaLeader) setCatalog(now time.Time, version uint64, document []byte) {
	q.version = version
	d, err := q.decode(document)
	if err != nil {
		q.log.Error("customer limits not updated: catalog cannot be decoded", "version", version, "error", err)
		return
	}
	q.limits = d.QuotaLimits()
	if q.leader != nil {
		q.leader.SetLimits(now, q.limits)
	}
	if len(q.limits) > 0 {
		q.log.Info("customer limits updated", "version", version, "customers", len(q.limits))
	}
}

// report records the report of a gateway. It reports whether the gateway waits for a grant.
func (q *quotaLeader) report(now time.Time, from gatewayRun, m *wire.FeedQuotaReport) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader != nil && q.leader.Report(now, from, wire.DecodeFeedQuotaReport(m))
}

// update returns the next update for a gateway, or nil if there is nothing to send. An urgent
// one has only the customers whose requests wait for a grant. Retry reports whether requests of the
// gateway wait for a grant that was not possible yet.
func (q *quotaLeader) update(now time.Time, term, version uint64, document []byte, to gatewayRun, urgent bool) (m *wire.FeedQuotaUpdate, retry bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.prepare(now, term, version, document) {
		return nil, false
	}
	u, retry, ok := q.leader.Update(now, to, urgent)
	if !ok {
		return nil, false
	}
	return wire.EncodeFeedQuotaUpdate(u), retry
}

// assignments returns the state of all limits, or nothing on a replica that has not led.
func (q *quotaLeader) assignments(now time.Time) []quota.Assignment {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leader == nil {
		return nil
	}
	return q.leader.Assignments(now)
}

// addQuota adds the limits of customers to an update of a feed while this replica leads.
func (r *Registry) addQuota(now time.Time, state *feedState, update *wire.FeedUpdate) {
	state.quotaRetry = false
	if state.observer {
		return
	}
	// The lease is checked after now was read, so that what is assigned is assigned within it.
	term, _, held := r.member.Lease()
	if !held {
		return
	}
	version, document, _ := r.machine.catalog()
	update.Quota, state.quotaRetry = r.quota.update(now, term, version, document, state.gateway, state.quotaOnly)
}

// nextQuotaUpdate returns an update that contains nothing but the limits of customers whose
// requests wait for a grant, or nil if there are none.
func (r *Registry) nextQuotaUpdate(now time.Time, state *feedState) *wire.FeedUpdate {
	update := &wire.FeedUpdate{QuotaOnly: true, Version: state.newest, Leads: state.leads, Gateways: uint32(state.gateways)}
	if r.addQuota(now, state, update); update.Quota == nil {
		return nil
	}
	return update
}
