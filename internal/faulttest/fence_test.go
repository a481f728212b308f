package faulttest_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
	"papayarock/io/daemon"
	"papayarock/io/link"
	"papayarock/io/settings"
	"papayarock/io/wire"
)

// startAgent runs an engine and its agent in the test process, and returns the link
// address of the agent.
func (cl *cluster) startAgent(name fleet.TargetName, e *fake.Engine) link.Address {
	cl.t.Helper()
	server := httptest.NewServer(e)
	cl.t.Cleanup(server.Close)
	u, err := url.Parse(server.URL)
	if err != nil {
		cl.t.Fatal(err)
	}
	listen := reserveAddresses(cl.t, 1)[0]
	s := settings.Settings{
		Host: "a1", Region: "klang", DataCentre: "klang", Addresses: []netip.Addr{listen.Addr()},
		Links: settings.Links{Plain: true}, ShutdownTimeout: time.Second,
		Agent: &settings.Agent{Listen: listen, Target: u, Name: name, Kind: fleet.Engine, Pool: "grades", Slots: 8},
	}
	for _, h := range cl.hosts {
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Host: h, Address: cl.linkAddresses[h]})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx, s, hclog.NewNullLogger()); err != nil {
			cl.t.Errorf("run agent: %v", err)
		}
	}()
	cl.t.Cleanup(func() {
		cancel()
		<-done
	})
	return link.Address{Host: s.Host, AddrPort: listen}
}

// awaitRole waits until the only target is ready and has a role. It returns the
// incarnation of the target.
func (cl *cluster) awaitRole(role fleet.Role) (incarnation fleet.Incarnation) {
	cl.t.Helper()
	cl.await("a ready target in role "+role.String(), func() bool {
		list, err := cl.operatorClient.Targets(cl.t.Context())
		if err != nil || len(list.Items) != 1 {
			return false
		}
		x := list.Items[0]
		incarnation = fleet.Incarnation(x.Incarnation)
		return x.Role == role.String() && x.Phase == fleet.Ready.String()
	})
	return incarnation
}

// Guards against an order of an old leader that takes effect after a newer order. The
// old leader is paused while the engine carries out its order, and resumes after the
// next leader has had a newer one carried out. The agent must then refuse the old
// order, since the engine does not check order numbers.
func TestPausedLeaderOldOrder(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, time.Hour)
	cl.awaitLeader("")
	l := newLoad(cl)
	engine := &fake.Engine{RoleChangeTime: 700 * time.Millisecond}
	agent := cl.startAgent("t0", engine)
	incarnation := cl.awaitRole(fleet.Mixed)

	setRole := func(id string, role fleet.Role) {
		if !l.change(id, state.SetRole{Target: "t0", Role: role, Until: time.Now().Add(time.Minute)}) {
			t.FailNow()
		}
	}
	setRole("to-decode", fleet.Decode)
	cl.await("the first order to reach the engine", func() bool { return engine.State().Changing })
	old := fleet.Host(cl.awaitLeader("").Host)
	cl.signal(old, syscall.SIGSTOP)
	cl.awaitLeader(old)
	cl.awaitRole(fleet.Decode)
	setRole("to-prefill", fleet.Prefill)
	cl.awaitRole(fleet.Prefill)
	cl.signal(old, syscall.SIGCONT)
	time.Sleep(afterResume)

	orders := engine.Orders()
	if len(orders) != 2 || orders[0].Number().Compare(orders[1].Number()) >= 0 {
		t.Fatalf("orders at the engine: %+v, want two with ascending numbers", orders)
	}
	pool := &link.Pool{}
	defer pool.Close()
	answer, err := link.Call[wire.ControlOrderAnswer](t.Context(), pool, agent, &wire.ControlOrder{Order: wire.EncodeOrder(state.Order{
		Number: orders[0].Number(), Target: "t0", Incarnation: incarnation, Kind: state.OrderRole,
		Content: state.OrderContent{Role: fleet.Decode}, Deadline: time.Now().Add(time.Minute),
	})})
	if err != nil || answer.GetOutcome() != wire.ControlOrderAnswer_FAILED || !strings.Contains(answer.GetDetail(), orders[1].Number().String()) {
		t.Errorf("old order: got answer %v, error %v, want FAILED naming the newer order", answer, err)
	}
	if c := engine.Counts(); c.OrdersRun != 2 || c.OldOrdersRun+c.OrdersRepeated+c.OrderConflicts+c.ContentConflict > 0 {
		t.Errorf("counts at the engine: %+v, want two orders run and none old, repeated or in conflict", c)
	}
}
