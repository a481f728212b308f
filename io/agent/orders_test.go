package agent_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/fake"
	"papayarock/io/agent"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// engineFixture is an agent with a fake engine, and the links of the leader.
type engineFixture struct {
	is      *is.I
	engine  *fake.Engine
	agent   *agent.Agent
	links   *link.Pool
	address link.Address
}

func newEngineFixture(t *testing.T, engine *fake.Engine) *engineFixture {
	c := &engineFixture{is: is.New(t), engine: engine, links: &link.Pool{}}
	target := httptest.NewServer(engine)
	u, err := url.Parse(target.URL)
	c.is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.is.NoErr(err)
	c.agent = &agent.Agent{
		Listener: l, Target: u,
		Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Kind: fleet.Engine},
	}
	c.address = link.Address{AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.agent.Serve(ctx) }()
	t.Cleanup(func() {
		engine.Crash() // ends requests that still run
		cancel()
		c.is.NoErr(<-done)
		// The links are closed last: an agent that loses a link waits for its entry
		// to resume.
		c.links.Close()
		target.Close()
	})
	return c
}

func loadOrder(sequence uint64, version string) state.Order {
	return state.Order{
		Number: fleet.OrderNumber{Term: 1, Sequence: sequence}, Target: "t1", Incarnation: incarnation,
		Kind: state.OrderLoad, Content: state.OrderContent{Model: "notes", Version: version}, Deadline: time.Now().Add(time.Minute),
	}
}

func (c *engineFixture) send(o state.Order) *wire.ControlOrderAnswer {
	a, err := link.Call[wire.ControlOrderAnswer](context.Background(), c.links, c.address, &wire.ControlOrder{Order: wire.EncodeOrder(o)})
	c.is.NoErr(err)
	return a
}

// finish resends an order until it has ended, as the leader does.
func (c *engineFixture) finish(o state.Order) wire.ControlOrderAnswer_Outcome {
	for range 1000 {
		if a := c.send(o); a.GetOutcome() != wire.ControlOrderAnswer_RUNNING {
			return a.GetOutcome()
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.is.Fail() // the order did not end
	return 0
}

func (c *engineFixture) read(sequence uint64) *wire.ControlReadAnswer {
	a, err := link.Call[wire.ControlReadAnswer](context.Background(), c.links, c.address, &wire.ControlRead{
		Number: wire.EncodeOrderNumber(fleet.OrderNumber{Term: 1, Sequence: sequence}), Target: "t1", Incarnation: incarnation,
	})
	c.is.NoErr(err)
	return a
}

// Guards against an engine that does not check order numbers and receives a
// resent order, an older one, or one for another incarnation of the agent.
func TestOrdersAreFencedForEngineThatDoesNotCheck(t *testing.T) {
	c := newEngineFixture(t, &fake.Engine{LoadTime: 20 * time.Millisecond})
	c.is.Equal(c.finish(loadOrder(5, "v2")), wire.ControlOrderAnswer_DONE)
	c.is.Equal(c.finish(loadOrder(5, "v2")), wire.ControlOrderAnswer_DONE)   // resent
	c.is.Equal(c.finish(loadOrder(4, "v1")), wire.ControlOrderAnswer_FAILED) // older
	c.is.Equal(c.finish(loadOrder(5, "v3")), wire.ControlOrderAnswer_FAILED) // other content
	other := loadOrder(9, "v9")
	other.Incarnation++
	c.is.Equal(c.finish(other), wire.ControlOrderAnswer_FAILED)
	c.is.Equal(c.engine.State().Version, "v2")
	c.is.Equal(c.engine.Counts().OrdersRun, 1)
}

// Guards against two orders that run at an engine at the same time.
func TestSecondOrderIsRefusedWhileFirstRuns(t *testing.T) {
	fetched := make(chan struct{}) // closed to let the first order end
	c := newEngineFixture(t, &fake.Engine{Fetch: func(string, string) error { <-fetched; return nil }})
	c.is.Equal(c.send(loadOrder(1, "v1")).GetOutcome(), wire.ControlOrderAnswer_RUNNING)
	c.is.Equal(c.send(loadOrder(2, "v2")).GetOutcome(), wire.ControlOrderAnswer_FAILED) // busy
	close(fetched)
	c.is.Equal(c.finish(loadOrder(1, "v1")), wire.ControlOrderAnswer_DONE)
	c.is.Equal(c.engine.Counts().OrderConflicts, 0)
}

// Guards against an order that waits for an unresponsive engine until the deadline
// of the order, which kept the target out of service for up to two minutes.
func TestOrderToUnresponsiveEngineIsCancelled(t *testing.T) {
	t.Parallel()
	c := newEngineFixture(t, &fake.Engine{})
	c.engine.UpdateFaults(func(f *fake.EngineFaults) { f.Silent = true })
	o := loadOrder(1, "v2")
	o.Deadline = time.Now().Add(time.Hour) // beyond the time limit of the test
	outcome := wire.ControlOrderAnswer_RUNNING
	for outcome == wire.ControlOrderAnswer_RUNNING {
		time.Sleep(100 * time.Millisecond)
		outcome = c.send(o).GetOutcome()
	}
	c.is.Equal(outcome, wire.ControlOrderAnswer_LOST)
	c.is.True(!c.read(2).GetKnown())
	c.engine.UpdateFaults(func(f *fake.EngineFaults) { f.Silent = false })
	c.is.True(c.read(3).GetKnown())
}

// Guards against an order that is reported as failed or done when the engine
// crashed during it. Only a read shows whether the change was made.
func TestCrashInOrderLeavesTargetUnknown(t *testing.T) {
	tests := map[string]struct {
		kept    bool
		version string
	}{
		"change lost": {false, ""},
		"change kept": {true, "v2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newEngineFixture(t, &fake.Engine{LoadTime: 20 * time.Millisecond})
			c.engine.UpdateFaults(func(f *fake.EngineFaults) { f.CrashInOrder, f.CrashKeepsChange = true, tt.kept })
			c.is.Equal(c.finish(loadOrder(1, "v2")), wire.ControlOrderAnswer_LOST)
			c.is.True(!c.read(2).GetKnown()) // the engine is down
			c.engine.Restart()
			a := c.read(3)
			c.is.True(a.GetKnown())
			c.is.Equal(a.GetLoaded().GetVersion(), tt.version)
			c.is.Equal(c.finish(loadOrder(1, "v2")), wire.ControlOrderAnswer_FAILED) // fenced off by the read
		})
	}
}

// Guards against an order that interrupts requests, and against a request that
// starts while the target is being drained.
func TestOrderAndRequestsExcludeEachOther(t *testing.T) {
	// Generating 60 tokens takes so long that the request runs until it is cancelled.
	c := newEngineFixture(t, &fake.Engine{DecodeTokensPerSecond: 0.5})
	q := request(1, "/v1/completions")
	q.Idempotent = true // only idempotent requests can be cancelled
	s, err := c.links.Open(context.Background(), c.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(q)}})
	c.is.NoErr(err)
	c.is.NoErr(s.Send(&wire.BodyPart{Data: []byte(`{"model": "notes", "prompt": "stone", "max_tokens": 60, "stream": true}`), Last: true}))
	for c.agent.Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	c.is.Equal(c.finish(loadOrder(1, "v1")), wire.ControlOrderAnswer_FAILED)
	c.is.Equal(c.engine.Counts().Interrupted, 0)
	c.is.NoErr(s.Send(&wire.Open{Call: &wire.Open_Cancel{Cancel: &wire.Cancel{RequestId: q.ID[:]}}}))
	_ = s.Close()

	c.agent.Configured(config.NewIndex(config.Snapshot{Revision: 1, Targets: []fleet.Target{
		{Name: "t1", Incarnation: incarnation, Phase: fleet.Draining},
	}}))
	c.is.True(c.agent.Status().Refusing)
	s, err = c.links.Open(context.Background(), c.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(request(2, "/v1/completions"))}})
	c.is.NoErr(err)
	c.is.NoErr(s.Send(&wire.BodyPart{Last: true}))
	var f wire.Frame
	c.is.NoErr(s.Receive(&f))
	c.is.Equal(f.GetFailed().GetRan(), wire.Ran_RAN_NO)
	_ = s.Close()
}
