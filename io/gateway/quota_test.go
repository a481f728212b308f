package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/quota"
)

// grants puts a lease without a share in force with which the customer klang may send n
// requests in all, and no more.
func (x *fixture) grants(n float64) {
	x.t.Helper()
	r, ok := x.gateway.QuotaReport(false)
	if !ok {
		x.t.Fatal("the gateway reports no limits")
	}
	x.gateway.ApplyQuota(quota.Update{Term: 1, Sequence: r.Sequence, Seen: r.Sequence, Gateways: 4, Leases: []quota.Lease{{Customer: "klang", Granted: n}}})
}

// limitedFixture is a gateway whose customer klang has a limit.
func limitedFixture(t *testing.T) *fixture {
	x := newFixture(t)
	x.limit = catalog.Limit{Rate: 10, Burst: 10}
	x.catalog(1, route(nil))
	return x
}

// Guards against requests above the limit of their customer that are sent to a target, or
// refused without the time at which the customer may return, and against a limit that
// applies to another customer.
func TestCustomerLimit(t *testing.T) {
	is := is.New(t)
	x := limitedFixture(t)
	x.target("t", fleet.Mixed, serves("ok"))
	x.grants(2)
	is.Equal(x.send(nil).status, http.StatusOK)
	is.Equal(x.send(nil).status, http.StatusOK)
	r := x.send(nil)
	is.Equal(r.status, http.StatusTooManyRequests)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(len(x.requests()), 2)
	x.catalog(2, route(func(r *catalog.Route) { r.Open = true }))
	is.Equal(x.send(func(q *http.Request) { q.Header.Del("Key") }).status, http.StatusOK)
}

// Guards against a request that is charged for each of its attempts.
func TestAttemptsAreChargedOnce(t *testing.T) {
	is := is.New(t)
	x := limitedFixture(t)
	x.target("t1", fleet.Mixed, respondsWith(http.StatusServiceUnavailable, "Not-Run"))
	x.target("t2", fleet.Mixed, serves("ok"))
	x.grants(1)
	is.Equal(x.send(nil).status, http.StatusOK)
	is.Equal(x.send(nil).status, http.StatusTooManyRequests)
}

// Guards against a caller that is charged for a request that no target has run, and again
// when it repeats the request.
func TestRequestThatDidNotRunIsCredited(t *testing.T) {
	is := is.New(t)
	x := limitedFixture(t)
	x.grants(1)
	is.Equal(x.send(nil).status, http.StatusServiceUnavailable) // there is no target
	is.Equal(x.send(nil).status, http.StatusServiceUnavailable)
	x.target("t", fleet.Mixed, serves("ok"))
	is.Equal(x.send(nil).status, http.StatusOK)
	is.Equal(x.send(nil).status, http.StatusTooManyRequests)
}

// Guards against a request that waits for its charge beyond a quarter of its objective, and
// against one that is refused although the leader grants it in that time.
func TestRequestWaitsForGrant(t *testing.T) {
	is := is.New(t)
	x := limitedFixture(t)
	x.target("t", fleet.Mixed, serves("ok"))
	x.catalog(2, route(func(r *catalog.Route) { r.Objective = 800 * time.Millisecond }))
	start := time.Now()
	is.Equal(x.send(nil).status, http.StatusTooManyRequests) // there is no lease yet
	took := time.Since(start)
	is.True(took >= 200*time.Millisecond)
	is.True(took < 800*time.Millisecond)
	<-x.gateway.QuotaUrgent()
	x.catalog(3, route(nil)) // waits for up to half a second
	done := make(chan response, 1)
	go func() { done <- x.send(nil) }()
	<-x.gateway.QuotaUrgent()
	x.grants(1)
	is.Equal((<-done).status, http.StatusOK)
}

// Guards against bytes in the feed of a deployment without limits.
func TestNoReportWithoutLimits(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	_, ok := x.gateway.QuotaReport(false)
	is.True(!ok)
}
