package agent_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/agent"
	"papayarock/io/identity"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// fixture is an agent on a loopback socket, with its target and the links of one entry.
type fixture struct {
	is      *is.I
	agent   *agent.Agent
	links   *link.Pool
	address link.Address
	runs    atomic.Int32  // requests that the target has received
	release chan struct{} // closed to let the target respond to /held
	// orderStatus is the status, a string, with which the target responds to an order.
	orderStatus atomic.Value
	stop        func()
	issue       func(fleet.Host, identity.Role) *identity.Credentials
}

const incarnation = 42

func newFixture(t *testing.T, control agent.Control) *fixture {
	f := &fixture{is: is.New(t), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.runs.Add(1)
		body, _ := io.ReadAll(req.Body)
		if status, ok := strings.CutPrefix(req.URL.Path, "/status/"); ok {
			writeStatus(w, status)
			return
		}
		if status, ok := f.orderStatus.Load().(string); ok && req.URL.Path == "/order" {
			writeStatus(w, status)
			return
		}
		switch req.URL.Path {
		case "/held":
			<-f.release
		case "/broken":
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %s %s", body, req.Header.Get("Papayarock-Class"), req.Header.Get("User-Agent"))
	}))
	u, err := url.Parse(target.URL)
	f.is.NoErr(err)
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(time.Hour))
	f.is.NoErr(err)
	f.issue = func(h fleet.Host, role identity.Role) *identity.Credentials {
		c, err := authority.Issue(h, []identity.Role{role}, now, now.Add(time.Hour))
		f.is.NoErr(err)
		return c
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.agent = &agent.Agent{
		Listener: l, Identity: f.issue("a1", identity.Agent), TargetURL: u, Control: control,
		Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Phase: fleet.Ready},
	}
	f.address = link.Address{Host: "a1", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	f.links = &link.Pool{Credentials: f.issue("e1", identity.Entry), Roles: []identity.Role{identity.Agent}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.agent.Serve(ctx) }()
	var once sync.Once
	f.stop = func() {
		once.Do(func() {
			f.links.Close()
			cancel()
			f.is.NoErr(<-done)
			target.Close()
		})
	}
	t.Cleanup(f.stop)
	return f
}

func request(id byte, path string) wire.Request {
	return wire.Request{
		ID: fleet.RequestID{id}, Customer: "klang", Class: fleet.Urgent, Deadline: time.Now().Add(time.Minute),
		Method: http.MethodPost, Path: path, Route: "orders",
	}
}

// send sends a request with the body "stone 7" in two parts and returns its stream.
func (f *fixture) send(req wire.Request) *link.Stream {
	s, err := f.links.Open(context.Background(), f.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(req)}})
	f.is.NoErr(err)
	f.is.NoErr(s.Send(&wire.BodyPart{Data: []byte("stone "), Last: false}))
	f.is.NoErr(s.Send(&wire.BodyPart{Data: []byte("7"), Last: true}))
	return s
}

// read returns the body of a response, and the last frame.
func (f *fixture) read(s *link.Stream) (string, *wire.Frame) {
	body := ""
	for {
		frame := &wire.Frame{}
		f.is.NoErr(s.Receive(frame))
		body += string(frame.GetPart().GetData())
		if frame.GetEnd() != nil || frame.GetFailed() != nil {
			_ = s.Close()
			return body, frame
		}
	}
}

func (f *fixture) query(id byte, bar bool, agentIncarnation uint64) wire.Outcome_State {
	frame, err := link.Call[wire.Frame](context.Background(), f.links, f.address, &wire.Open{Call: &wire.Open_Query{Query: &wire.Query{
		RequestId: append([]byte{id}, make([]byte, 15)...), Bar: bar, Incarnation: agentIncarnation,
		DeadlineUnixNanos: time.Now().Add(time.Minute).UnixNano(),
	}}})
	f.is.NoErr(err)
	return frame.GetOutcome().GetState()
}

// Guards against an agent that runs a request again when the entry resends it, or that
// sends a different response or a second usage record for it.
func TestRunsEachIDOnce(t *testing.T) {
	f := newFixture(t, nil)
	for range 3 {
		body, last := f.read(f.send(request(1, "/x")))
		f.is.Equal(body, "stone 7 urgent ")
		f.is.Equal(last.GetEnd().GetUsage().GetSequence(), uint64(1))
		f.is.Equal(last.GetEnd().GetUsage().GetPromptTokens(), uint64(2)) // 7 bytes
	}
	f.is.Equal(f.runs.Load(), int32(1))
}

// Guards against an agent that starts a barred request, and against one that reports a
// definite outcome for a request whose outcome it cannot know, because it went to
// another incarnation or because the target closed the connection without a response.
func TestBar(t *testing.T) {
	f := newFixture(t, nil)
	f.is.Equal(f.query(1, false, incarnation), wire.Outcome_UNKNOWN)
	f.is.Equal(f.query(1, true, incarnation), wire.Outcome_NOT_RUN_AND_BARRED)
	_, last := f.read(f.send(request(1, "/x")))
	f.is.True(last.GetFailed() != nil)
	f.is.Equal(f.runs.Load(), int32(0))
	f.is.Equal(f.query(2, true, incarnation-1), wire.Outcome_UNKNOWN) // another incarnation of the agent

	s := f.send(request(3, "/held"))
	for f.query(3, false, incarnation) != wire.Outcome_RUNNING {
		time.Sleep(time.Millisecond)
	}
	f.is.Equal(f.query(3, true, incarnation), wire.Outcome_RUNNING)
	close(f.release)
	_, last = f.read(s)
	f.is.True(last.GetEnd() != nil)
	f.is.Equal(f.query(3, true, incarnation), wire.Outcome_RAN)

	_, last = f.read(f.send(request(4, "/broken"))) // the target closes the connection, so the request may or may not have run
	f.is.Equal(last.GetFailed().GetRan(), wire.Ran_RAN_UNKNOWN)
	f.is.Equal(f.query(4, true, incarnation), wire.Outcome_UNKNOWN)
}

// Guards against an agent that starts an invalid or expired request, or one for
// another incarnation.
func TestRefusesRequests(t *testing.T) {
	f := newFixture(t, nil)
	for name, change := range map[string]func(*wire.Request){
		"deadline passed":   func(req *wire.Request) { req.Deadline = time.Now().Add(-time.Second) },
		"deadline too far":  func(req *wire.Request) { req.Deadline = time.Now().Add(48 * time.Hour) },
		"other incarnation": func(req *wire.Request) { req.Incarnation = incarnation + 1 },
		"path":              func(req *wire.Request) { req.Path = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			req := request(9, "/x")
			change(&req)
			_, last := f.read(f.send(req))
			is.New(t).Equal(last.GetFailed().GetRan(), wire.Ran_RAN_NO)
		})
	}
	f.is.Equal(f.runs.Load(), int32(0))
}

// Guards against an agent that serves peers other than entries.
func TestServesEntriesOnly(t *testing.T) {
	f := newFixture(t, nil)
	for name, p := range map[string]*link.Pool{
		"no certificate": {},
		"control":        {Credentials: f.issue("c1", identity.Control), Roles: []identity.Role{identity.Agent}},
		"other agent":    {Credentials: f.issue("a2", identity.Agent), Roles: []identity.Role{identity.Agent}},
	} {
		t.Run(name, func(t *testing.T) {
			defer p.Close()
			_, err := link.Call[wire.Frame](t.Context(), p, f.address, &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}})
			is.New(t).True(err != nil) // the call must be refused
		})
	}
	frame, err := link.Call[wire.Frame](t.Context(), f.links, f.address, &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}})
	f.is.NoErr(err)
	f.is.True(frame.GetLoad() != nil)
}

// fakeControl counts the usage records that it receives. It returns an error for the
// first reports.
type fakeControl struct {
	mu       sync.Mutex
	fail     int                   // number of further reports that return an error
	records  map[state.UsageID]int // how often each record was reported
	reported chan struct{}         // closed after the first successful report
}

func (c *fakeControl) Announce(context.Context, fleet.Target) error { return nil }

func (c *fakeControl) ReportUsage(_ context.Context, records []state.UsageRecord) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range records {
		c.records[u.ID]++
	}
	if c.fail > 0 {
		c.fail--
		return errors.New("acknowledgement lost")
	}
	close(c.reported)
	return nil
}

// Guards against an agent that drops usage records after a failed report, before
// control has acknowledged them.
func TestReportsUsageUntilAcknowledged(t *testing.T) {
	c := &fakeControl{fail: 1, records: map[state.UsageID]int{}, reported: make(chan struct{})}
	f := newFixture(t, c)
	f.read(f.send(request(1, "/x")))
	<-c.reported
	f.stop()
	f.is.Equal(c.records, map[state.UsageID]int{{Node: "a1", Incarnation: incarnation, Sequence: 1}: 2})
	f.is.Equal(f.agent.Dump().(agent.Dump).UsageWaiting, 0)
}

// Guards against an agent that does not report the speeds of its engine to control,
// whose planner would continue to use its defaults, and against one that reports
// invalid speeds.
func TestStatusCarriesSpeeds(t *testing.T) {
	for name, c := range map[string]struct {
		load            string
		prefill, decode float64
	}{
		"both":     {`{"prefill-speed": 9000, "decode-speed": 2200}`, 9000, 2200},
		"one":      {`{"decode-speed": 2200}`, 0, 2200},
		"none":     {`{}`, 0, 0},
		"negative": {`{"prefill-speed": -1, "decode-speed": 2200}`, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reads atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.WriteString(w, c.load)
				if req.URL.Path == "/load" {
					reads.Add(1)
				}
			}))
			defer engine.Close()
			u, err := url.Parse(engine.URL)
			is.NoErr(err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			a := &agent.Agent{
				Listener: l, TargetURL: u, Control: &fakeControl{},
				Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Kind: fleet.Engine},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- a.Serve(ctx) }()
			for reads.Load() < 2 { // by then the agent has processed the first response
				time.Sleep(time.Millisecond)
			}
			is.Equal(a.Status().Prefill, c.prefill)
			is.Equal(a.Status().Decode, c.decode)
			cancel()
			is.NoErr(<-done)
		})
	}
}

// Guards against a data race between Serve and Dump, which both initialise the agent.
func TestDumpWhileStarting(t *testing.T) {
	a := &agent.Agent{Listener: memlink.NewListener(), TargetURL: &url.URL{}, StopTimeout: time.Millisecond}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { _ = a.Serve(ctx) })
	wg.Go(func() { _ = a.Dump() })
	cancel()
	wg.Wait()
}
