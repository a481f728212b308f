package faulttest_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
	"papayarock/io/operator"
)

// lostAnswer is a step of a platform order at which the leader is lost.
type lostAnswer struct {
	step   string
	lose   int           // answers to orders that are lost
	slow   time.Duration // before the platform acts or answers
	atList bool          // the leader is lost once the order is open, not once the platform has acted
}

var lostAnswers = []lostAnswer{
	{step: "answer to the order", lose: 1},
	{step: "answers to all orders of the leader", lose: 10},
	{step: "answer to the order, slow platform", lose: 1, slow: 200 * time.Millisecond},
	{step: "list of targets", slow: 200 * time.Millisecond, atList: true},
	{step: "acknowledgement in the log"},
}

// Guards against a second target under one order number when the platform acts
// on an order, its answer is lost at any step, and the leader changes before it
// knows. The platform does not recognise repeated numbers.
func TestLostPlatformAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Hour)
	r.awaitLeader("")
	l := newLoad(r)
	l.announce(len(lostAnswers))
	for i, c := range lostAnswers {
		leader := fleet.Host(r.awaitLeader("").Host)
		r.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.LoseAnswers, f.Before = c.lose, c.slow })
		before := len(r.platform.Orders())
		accepted := make(chan bool, 1)
		go func() { accepted <- l.replace(i) }()
		r.await("an order", func() bool {
			if c.atList {
				return r.opened(leader, i)
			}
			return len(r.platform.Orders()) > before
		})
		r.kill(leader)
		next := r.awaitLeader("")
		r.start(leader)
		if !<-accepted {
			t.FailNow()
		}
		r.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.LoseAnswers = 0 })
		r.await("the end of the order", func() bool { return r.closed(i + 1) })
		t.Logf("%s: leader %s lost, then %s; %d acts", c.step, leader, next.Host, len(r.platform.Orders())-before)
	}
	r.killAll()
	image := r.finalState(r.hosts...)
	started := make(map[string]int)
	for _, x := range r.platform.Targets() {
		started[x.Order]++
	}
	if len(image.Platform) != len(lostAnswers) || len(started) != len(lostAnswers) {
		t.Errorf("%d orders were opened and %d numbers reached the platform, want %d", len(image.Platform), len(started), len(lostAnswers))
	}
	for _, p := range image.Platform {
		if n := started[p.Order.Number.String()]; p.Order.Kind != state.PlatformStart || !p.Done || n != 1 {
			t.Errorf("order %s: done %s, %d targets", p.Order.Number, strconv.FormatBool(p.Done), n)
		}
	}
}

// opened says whether a replica has an order after n earlier ones.
func (r *rig) opened(h fleet.Host, n int) bool {
	var list operator.List[operator.Order]
	resp, err := http.Get("http://" + r.operators[h].String() + "/v1/orders")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(&list) == nil && len(list.Items) > n
}

// closed says whether there are n orders and none is open.
func (r *rig) closed(n int) bool {
	list, err := r.status.Orders(r.t.Context())
	return err == nil && len(list.Items) == n &&
		!slices.ContainsFunc(list.Items, func(o operator.Order) bool { return o.State == "open" })
}
