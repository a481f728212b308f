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

// engineFixture is an agent with a fake engine. Its links serve as those of the control
// leader and of an entry: without certificates, the agent accepts any call from them.
type engineFixture struct {
	is      *is.I
	engine  *fake.Engine
	agent   *agent.Agent
	links   *link.Pool
	address link.Address
}

func newEngineFixture(t *testing.T, engine *fake.Engine) *engineFixture {
	f := &engineFixture{is: is.New(t), engine: engine, links: &link.Pool{}}
	target := httptest.NewServer(engine)
	u, err := url.Parse(target.URL)
	f.is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.agent = &agent.Agent{
		Listener: l, TargetURL: u,
		Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Kind: fleet.Engine},
	}
	f.address = link.Address{AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.agent.Serve(ctx) }()
	t.Cleanup(func() {
		engine.Crash() // ends requests that still run
		cancel()
		f.is.NoErr(<-done)
		// The links are closed last. Otherwise the agent would wait for an entry to
		// resume the responses that were cut off.
		f.links.Close()
		target.Close()
	})
	return f
}

func loadOrder(sequence uint64, version string) state.Order {
	return state.Order{
		Number: fleet.OrderNumber{Term: 1, Sequence: sequence}, Target: "t1", Incarnation: incarnation,
		Kind: state.OrderLoad, Content: state.OrderContent{Model: "notes", Version: version}, Deadline: time.Now().Add(time.Minute),
	}
}

func (f *engineFixture) send(o state.Order) *wire.ControlOrderAnswer {
	reply, err := link.Call[wire.ControlOrderAnswer](context.Background(), f.links, f.address, &wire.ControlOrder{Order: wire.EncodeOrder(o)})
	f.is.NoErr(err)
	return reply
}

// finish sends an order repeatedly until it has ended, as the leader does, and returns
// its outcome.
func (f *engineFixture) finish(o state.Order) wire.ControlOrderAnswer_Outcome {
	for range 1000 {
		if reply := f.send(o); reply.GetOutcome() != wire.ControlOrderAnswer_RUNNING {
			return reply.GetOutcome()
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Fail() // the order did not end
	return 0
}

// read reads the state of the target under an order number.
func (f *engineFixture) read(sequence uint64) *wire.ControlReadAnswer {
	reply, err := link.Call[wire.ControlReadAnswer](context.Background(), f.links, f.address, &wire.ControlRead{
		Number: wire.EncodeOrderNumber(fleet.OrderNumber{Term: 1, Sequence: sequence}), Target: "t1", Incarnation: incarnation,
	})
	f.is.NoErr(err)
	return reply
}

// Guards against an agent that passes on an order that is resent, older than the last
// one, or for another incarnation of the agent. The engine does not check the numbers
// of orders itself.
func TestOrdersAreFencedForEngineThatDoesNotCheck(t *testing.T) {
	f := newEngineFixture(t, &fake.Engine{LoadTime: 20 * time.Millisecond})
	f.is.Equal(f.finish(loadOrder(5, "v2")), wire.ControlOrderAnswer_DONE)
	f.is.Equal(f.finish(loadOrder(5, "v2")), wire.ControlOrderAnswer_DONE)   // resent
	f.is.Equal(f.finish(loadOrder(4, "v1")), wire.ControlOrderAnswer_FAILED) // older
	f.is.Equal(f.finish(loadOrder(5, "v3")), wire.ControlOrderAnswer_FAILED) // other content
	other := loadOrder(9, "v9")
	other.Incarnation++
	f.is.Equal(f.finish(other), wire.ControlOrderAnswer_FAILED)
	f.is.Equal(f.engine.State().Version, "v2")
	f.is.Equal(f.engine.Counts().OrdersRun, 1)
}

// Guards against an agent that sends a second order while the engine executes the first.
func TestSecondOrderIsRefusedWhileFirstRuns(t *testing.T) {
	fetched := make(chan struct{}) // closed to let the first order end
	f := newEngineFixture(t, &fake.Engine{Fetch: func(string, string) error { <-fetched; return nil }})
	f.is.Equal(f.send(loadOrder(1, "v1")).GetOutcome(), wire.ControlOrderAnswer_RUNNING)
	f.is.Equal(f.send(loadOrder(2, "v2")).GetOutcome(), wire.ControlOrderAnswer_FAILED) // busy
	close(fetched)
	f.is.Equal(f.finish(loadOrder(1, "v1")), wire.ControlOrderAnswer_DONE)
	f.is.Equal(f.engine.Counts().OrderConflicts, 0)
}

// Guards against an agent that waits for an unresponsive engine until the deadline of an
// order. The target would be out of service for that time, up to two minutes.
func TestOrderToUnresponsiveEngineIsCancelled(t *testing.T) {
	t.Parallel()
	f := newEngineFixture(t, &fake.Engine{})
	f.engine.UpdateFaults(func(faults *fake.EngineFaults) { faults.Silent = true })
	o := loadOrder(1, "v2")
	o.Deadline = time.Now().Add(time.Hour) // beyond the time limit of the test
	outcome := wire.ControlOrderAnswer_RUNNING
	for outcome == wire.ControlOrderAnswer_RUNNING {
		time.Sleep(100 * time.Millisecond)
		outcome = f.send(o).GetOutcome()
	}
	f.is.Equal(outcome, wire.ControlOrderAnswer_LOST)
	f.is.True(!f.read(2).GetKnown())
	f.engine.UpdateFaults(func(faults *fake.EngineFaults) { faults.Silent = false })
	f.is.True(f.read(3).GetKnown())
}

// Guards against an agent that reports an order as failed or done although the engine
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
			f := newEngineFixture(t, &fake.Engine{LoadTime: 20 * time.Millisecond})
			f.engine.UpdateFaults(func(faults *fake.EngineFaults) { faults.CrashInOrder, faults.CrashKeepsChange = true, tt.kept })
			f.is.Equal(f.finish(loadOrder(1, "v2")), wire.ControlOrderAnswer_LOST)
			f.is.True(!f.read(2).GetKnown()) // the engine is down
			f.engine.Restart()
			reply := f.read(3)
			f.is.True(reply.GetKnown())
			f.is.Equal(reply.GetLoaded().GetVersion(), tt.version)
			f.is.Equal(f.finish(loadOrder(1, "v2")), wire.ControlOrderAnswer_FAILED) // fenced off by the read
		})
	}
}

// Guards against an agent that sends an order to the engine while a request runs, and
// against one that starts a request while the target is being drained.
func TestOrderAndRequestsExcludeEachOther(t *testing.T) {
	// At this speed 60 tokens take two minutes, so the request runs until it is cancelled.
	f := newEngineFixture(t, &fake.Engine{DecodeTokensPerSecond: 0.5})
	req := request(1, "/v1/completions")
	req.Idempotent = true // only idempotent requests can be cancelled
	s, err := f.links.Open(context.Background(), f.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(req)}})
	f.is.NoErr(err)
	f.is.NoErr(s.Send(&wire.BodyPart{Data: []byte(`{"model": "notes", "prompt": "stone", "max_tokens": 60, "stream": true}`), Last: true}))
	for f.agent.Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	f.is.Equal(f.finish(loadOrder(1, "v1")), wire.ControlOrderAnswer_FAILED)
	f.is.Equal(f.engine.Counts().Interrupted, 0)
	f.is.NoErr(s.Send(&wire.Open{Call: &wire.Open_Cancel{Cancel: &wire.Cancel{RequestId: req.ID[:]}}}))
	_ = s.Close()

	f.agent.ApplyConfiguration(config.NewIndex(config.Snapshot{Revision: 1, Targets: []fleet.Target{
		{Name: "t1", Incarnation: incarnation, Phase: fleet.Draining},
	}}))
	f.is.True(f.agent.Status().Refusing)
	s, err = f.links.Open(context.Background(), f.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(request(2, "/v1/completions"))}})
	f.is.NoErr(err)
	f.is.NoErr(s.Send(&wire.BodyPart{Last: true}))
	var frame wire.Frame
	f.is.NoErr(s.Receive(&frame))
	f.is.Equal(frame.GetFailed().GetRan(), wire.Ran_RAN_NO)
	_ = s.Close()
}
