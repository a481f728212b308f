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

// startAgent runs an agent beside an engine and returns its link address.
func (r *rig) startAgent(name fleet.TargetName, e *fake.Engine) link.Address {
	r.t.Helper()
	server := httptest.NewServer(e)
	r.t.Cleanup(server.Close)
	u, err := url.Parse(server.URL)
	if err != nil {
		r.t.Fatal(err)
	}
	listen := freePorts(r.t, 1)[0]
	s := settings.Settings{
		Host: "a1", Region: "klang", DataCentre: "klang", Addresses: []netip.Addr{listen.Addr()},
		Links: settings.Links{Plain: true}, Shutdown: time.Second,
		Agent: &settings.Agent{Listen: listen, Target: u, Name: name, Kind: fleet.Engine, Pool: "grades", Slots: 8},
	}
	for _, h := range r.hosts {
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Host: h, Address: r.links[h]})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx, s, hclog.NewNullLogger()); err != nil {
			r.t.Errorf("agent: %v", err)
		}
	}()
	r.t.Cleanup(func() {
		cancel()
		<-done
	})
	return link.Address{Host: s.Host, AddrPort: listen}
}

// awaitRole waits until the only target serves in a role.
func (r *rig) awaitRole(role fleet.Role) (incarnation fleet.Incarnation) {
	r.t.Helper()
	r.await("a ready target in role "+role.String(), func() bool {
		list, err := r.status.Targets(r.t.Context())
		if err != nil || len(list.Items) != 1 {
			return false
		}
		x := list.Items[0]
		incarnation = fleet.Incarnation(x.Incarnation)
		return x.Role == role.String() && x.Phase == fleet.Ready.String()
	})
	return incarnation
}

// Guards against an order of a leader that was paused during it and takes
// effect after a newer one. The engine does not check numbers.
func TestPausedLeaderOldOrder(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Hour)
	r.awaitLeader("")
	l := newLoad(r)
	engine := &fake.Engine{RoleChangeTime: 700 * time.Millisecond}
	agent := r.startAgent("t0", engine)
	incarnation := r.awaitRole(fleet.Mixed)

	set := func(id string, role fleet.Role) {
		if !l.change(id, state.SetRole{Target: "t0", Role: role, Until: time.Now().Add(time.Minute)}) {
			t.FailNow()
		}
	}
	set("to-decode", fleet.Decode)
	r.await("the first order at the engine", func() bool { return engine.State().Changing })
	old := fleet.Host(r.awaitLeader("").Host)
	r.signal(old, syscall.SIGSTOP)
	r.awaitLeader(old)
	r.awaitRole(fleet.Decode)
	set("to-prefill", fleet.Prefill)
	r.awaitRole(fleet.Prefill)
	r.signal(old, syscall.SIGCONT)
	time.Sleep(afterRelease)

	orders := engine.Orders()
	if len(orders) != 2 || orders[0].Number().Compare(orders[1].Number()) >= 0 {
		t.Fatalf("the engine carried out %+v, want two orders with rising numbers", orders)
	}
	pool := &link.Pool{}
	defer pool.Close()
	answer, err := link.Call[wire.ControlOrderAnswer](t.Context(), pool, agent, &wire.ControlOrder{Order: wire.EncodeOrder(state.Order{
		Number: orders[0].Number(), Target: "t0", Incarnation: incarnation, Kind: state.OrderRole,
		Content: state.OrderContent{Role: fleet.Decode}, Deadline: time.Now().Add(time.Minute),
	})})
	if err != nil || answer.GetOutcome() != wire.ControlOrderAnswer_FAILED || !strings.Contains(answer.GetDetail(), orders[1].Number().String()) {
		t.Errorf("the agent answers the old order with %v, %v", answer, err)
	}
	if c := engine.Counts(); c.OrdersRun != 2 || c.OldOrdersRun+c.OrdersRepeated+c.OrderConflicts+c.ContentConflict > 0 {
		t.Errorf("orders at the engine: %+v", c)
	}
}
