package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayarock/core/catalog"
	"papayarock/core/quota"
)

const (
	// quotaWaitDivisor is the part of a route's objective that a request may wait for its
	// charge, as a divisor.
	quotaWaitDivisor = 4
	// maxQuotaWait limits that wait on routes whose objective is long.
	maxQuotaWait = 500 * time.Millisecond
	// reasonCustomerLimit is the reason to refuse a request above the limit of its customer.
	reasonCustomerLimit = "customer-limit"
)

// quotas applies the limits of customers. Its lock is not taken for requests of customers
// without a limit.
type quotas struct {
	mu            sync.Mutex
	limiter       *quota.Limiter
	nextID        uint64
	waiting       map[uint64]chan quota.Decision
	wakeScheduled bool
	urgent        chan struct{} // signals that a report is urgent
	leased        bool          // whether leases were valid at the last report
}

func newQuotas(b quota.Bounds) *quotas {
	return &quotas{limiter: quota.NewLimiter(b), waiting: make(map[uint64]chan quota.Decision), urgent: make(chan struct{}, 1)}
}

// setLimits applies the limits of the active catalog, which may have been replaced again
// meanwhile.
func (q *quotas) setLimits(now time.Time, active *atomic.Pointer[catalog.Index]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.limiter.SetLimits(now, active.Load().Limits()))
}

// deliver passes decisions to the waiting requests, and asks for a report to the leader if it
// is urgent. The caller holds mu.
func (q *quotas) deliver(list []quota.Decision) {
	if q.limiter.Urgent() {
		select {
		case q.urgent <- struct{}{}:
		default:
		}
	}
	for _, d := range list {
		if c := q.waiting[d.ID]; c != nil {
			delete(q.waiting, d.ID)
			c <- d
		}
	}
}

// scheduleWake sets a timer, unless one is set, for the next decision on a waiting request.
// The caller holds mu.
func (q *quotas) scheduleWake() {
	at := q.limiter.NextWake(time.Now())
	if at.IsZero() || q.wakeScheduled {
		return
	}
	q.wakeScheduled = true
	time.AfterFunc(max(minWakeInterval, time.Until(at)), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.wakeScheduled = false
		q.deliver(q.limiter.Tick(time.Now()))
		q.scheduleWake()
	})
}

// charge charges a request, which it lets wait until giveUp if the share or the leader is
// expected to cover it by then.
func (q *quotas) charge(ctx context.Context, c *catalog.Customer, cost float64, giveUp time.Time) quota.Decision {
	q.mu.Lock()
	q.nextID++
	id := q.nextID
	d := q.limiter.Offer(time.Now(), id, c.Name, cost, giveUp)
	if d.Action != quota.Wait {
		q.mu.Unlock()
		return d
	}
	decided := make(chan quota.Decision, 1)
	q.waiting[id] = decided
	q.scheduleWake()
	q.deliver(nil)
	q.mu.Unlock()
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	if !q.limiter.Withdraw(c.Name, id) {
		return <-decided // decided before the request was withdrawn
	}
	d.Action, d.RetryAt = quota.Refuse, time.Now().Add(minRetryAfter)
	return d
}

// charge charges the request to the limit of its customer, once for all attempts. If the
// limit does not allow that, it rejects the request and returns false.
func (j *job) charge(ctx context.Context) bool {
	if j.limited == nil {
		return true
	}
	start := time.Now()
	wait := min(j.objective()/quotaWaitDivisor, maxQuotaWait)
	giveUp := start.Add(wait)
	if last := j.deadline.Add(-minSendTime); last.Before(giveUp) {
		giveUp = last
	}
	cost := j.limited.Limit.Cost(j.params.PromptTokens, j.params.MaxOutputTokens, j.params.StatesTokens)
	d := j.g.quotas.charge(ctx, j.limited, cost, giveUp)
	j.quotaWait = time.Since(start)
	j.g.metrics.quotaWait.Observe(j.quotaWait.Seconds())
	j.charged = d.Charge
	if d.Action == quota.Admit {
		return true
	}
	if j.r.Context().Err() != nil {
		j.recordEnd(reasonCallerLeft, 0)
		return false
	}
	j.g.log.Info("customer limit reached", "id", j.params.ID, "customer", j.customer, "cost", cost, "level", d.Level, "share", d.Share,
		"leased", d.Leased, "queued", d.Queued, "waited", j.quotaWait, "retry-after", time.Until(d.RetryAt))
	return j.reject(http.StatusTooManyRequests, reasonCustomerLimit, d.RetryAt)
}

// credit returns the charge of a request that has ended without having run.
func (j *job) credit() {
	if j.charged.Amount == 0 {
		return
	}
	q := j.g.quotas
	q.mu.Lock()
	credited := q.limiter.Credit(time.Now(), j.charged)
	q.deliver(q.limiter.Tick(time.Now()))
	q.mu.Unlock()
	outcome := "credited"
	if !credited {
		outcome = "too-late"
	}
	j.g.metrics.quotaCredits.WithLabelValues(outcome).Inc()
	j.charged.Amount = 0
}

// QuotaReport returns the next report on customer limits for the leader of the registry,
// which the caller sends at once. If urgent is set, it has only the customers whose requests
// wait. It returns false if there is nothing to report.
func (g *Gateway) QuotaReport(urgent bool) (quota.Report, bool) {
	q, now := g.quotas, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.limiter.Report(now, urgent)
	if ok {
		g.logLeases(q.limiter.Leased(now))
	}
	return r, ok
}

// logLeases logs that leases were received or have expired since the last report. The caller
// holds mu of the quotas.
func (g *Gateway) logLeases(leased bool) {
	if leased == g.quotas.leased {
		return
	}
	g.quotas.leased = leased
	if leased {
		g.log.Info("leases of customer limits received")
	} else {
		g.log.Warn("leases of customer limits have expired, using the fallback shares", "replicas", g.replicas())
	}
}

// ApplyQuota applies an update of the leader on customer limits.
func (g *Gateway) ApplyQuota(u quota.Update) {
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.limiter.Apply(time.Now(), u))
	q.scheduleWake()
}

// QuotaUrgent returns a channel that signals that requests have begun to wait for a grant of
// the leader, so that the next report is not to be delayed.
func (g *Gateway) QuotaUrgent() <-chan struct{} { return g.quotas.urgent }
