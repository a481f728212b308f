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

// lostAnswerCase describes when the leader is killed while it has an order to the
// platform carried out.
type lostAnswerCase struct {
	step        string        // the step that the leader does not complete
	lostAnswers int           // number of responses to orders that are lost
	delay       time.Duration // before the platform carries out an order or responds
	whenOpen    bool          // kill the leader once the order is open; otherwise, once the platform has carried it out
}

var lostAnswers = []lostAnswerCase{
	{step: "answer to the order", lostAnswers: 1},
	{step: "answers to all orders of the leader", lostAnswers: 10},
	{step: "answer to the order, slow platform", lostAnswers: 1, delay: 200 * time.Millisecond},
	{step: "list of targets", delay: 200 * time.Millisecond, whenOpen: true},
	{step: "acknowledgement in the log"},
}

// Guards against a second target started under one order number. The platform
// carries out an order, but the leader is killed before it has recorded the result,
// so the next leader must find out whether the target was started. The fake platform
// does not recognise repeated order numbers.
func TestLostPlatformAnswers(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	l.announce(len(lostAnswers))
	for i, c := range lostAnswers {
		leader := fleet.Host(cl.awaitLeader("").Host)
		cl.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.LoseAnswers, f.Before = c.lostAnswers, c.delay })
		before := len(cl.platform.Orders())
		accepted := make(chan bool, 1)
		go func() { accepted <- l.replaceTarget(i) }()
		cl.await("a new order", func() bool {
			if c.whenOpen {
				return cl.hasMoreOrders(leader, i)
			}
			return len(cl.platform.Orders()) > before
		})
		cl.kill(leader)
		next := cl.awaitLeader("")
		cl.start(leader)
		if !<-accepted {
			t.FailNow()
		}
		cl.platform.UpdateFaults(func(f *fake.PlatformFaults) { f.LoseAnswers = 0 })
		cl.await("the order to close", func() bool { return cl.allOrdersClosed(i + 1) })
		t.Logf("%s: leader %s killed, then %s led; %d orders reached the platform", c.step, leader, next.Host, len(cl.platform.Orders())-before)
	}
	cl.killAll()
	image := cl.finalState(cl.hosts...)
	started := make(map[string]int)
	for _, x := range cl.platform.Targets() {
		started[x.OrderNumber]++
	}
	if len(image.Platform) != len(lostAnswers) || len(started) != len(lostAnswers) {
		t.Errorf("%d orders were opened and %d order numbers reached the platform, want %d of each", len(image.Platform), len(started), len(lostAnswers))
	}
	for _, p := range image.Platform {
		if n := started[p.Order.Number.String()]; p.Order.Kind != state.PlatformStart || !p.Done || n != 1 {
			t.Errorf("order %s: kind %v, done %s, %d targets started, want a start order that is done, one target", p.Order.Number, p.Order.Kind, strconv.FormatBool(p.Done), n)
		}
	}
}

// hasMoreOrders reports whether the replica on h lists more than n orders.
func (cl *cluster) hasMoreOrders(h fleet.Host, n int) bool {
	var list operator.List[operator.Order]
	resp, err := http.Get("http://" + cl.operatorAddresses[h].String() + "/v1/orders")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(&list) == nil && len(list.Items) > n
}

// allOrdersClosed reports whether there are n orders and none is open.
func (cl *cluster) allOrdersClosed(n int) bool {
	list, err := cl.operatorClient.Orders(cl.t.Context())
	return err == nil && len(list.Items) == n &&
		!slices.ContainsFunc(list.Items, func(o operator.Order) bool { return o.State == "open" })
}
