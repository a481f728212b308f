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

// fixture is an agent on a loopback socket, with its target and one entry.
type fixture struct {
	is      *is.I
	agent   *agent.Agent
	links   *link.Pool
	address link.Address
	runs    atomic.Int32
	release chan struct{} // closed to let the target answer /held
	stop    func()
	creds   func(fleet.Host, identity.Role) *identity.Credentials
}

const incarnation = 42

func newFixture(t *testing.T, control agent.Control) *fixture {
	r := &fixture{is: is.New(t), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		body, _ := io.ReadAll(q.Body)
		switch q.URL.Path {
		case "/held":
			<-r.release
		case "/broken":
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s %s %s", body, q.Header.Get("Papayarock-Class"), q.Header.Get("User-Agent"))
	}))
	u, err := url.Parse(target.URL)
	r.is.NoErr(err)
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(time.Hour))
	r.is.NoErr(err)
	r.creds = func(h fleet.Host, role identity.Role) *identity.Credentials {
		c, err := authority.Issue(h, []identity.Role{role}, now, now.Add(time.Hour))
		r.is.NoErr(err)
		return c
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.is.NoErr(err)
	r.agent = &agent.Agent{
		Listener: l, Identity: r.creds("a1", identity.Agent), Target: u, Control: control,
		Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Phase: fleet.Ready},
	}
	r.address = link.Address{Host: "a1", AddrPort: netip.MustParseAddrPort(l.Addr().String())}
	r.links = &link.Pool{Identity: r.creds("e1", identity.Entry), Roles: []identity.Role{identity.Agent}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.agent.Serve(ctx) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			r.links.Close()
			cancel()
			r.is.NoErr(<-done)
			target.Close()
		})
	}
	t.Cleanup(r.stop)
	return r
}

func request(id byte, path string) wire.Request {
	return wire.Request{
		ID: fleet.RequestID{id}, Customer: "klang", Class: fleet.Urgent, Deadline: time.Now().Add(time.Minute),
		Method: http.MethodPost, Path: path, Route: "orders",
	}
}

// open sends a request and returns its stream.
func (r *fixture) open(q wire.Request) *link.Stream {
	s, err := r.links.Open(context.Background(), r.address, &wire.Open{Call: &wire.Open_Run{Run: wire.EncodeRun(q)}})
	r.is.NoErr(err)
	r.is.NoErr(s.Send(&wire.BodyPart{Data: []byte("stone "), Last: false}))
	r.is.NoErr(s.Send(&wire.BodyPart{Data: []byte("7"), Last: true}))
	return s
}

// read returns the body of an answer, and the last frame.
func (r *fixture) read(s *link.Stream) (string, *wire.Frame) {
	body := ""
	for {
		f := &wire.Frame{}
		r.is.NoErr(s.Receive(f))
		body += string(f.GetPart().GetData())
		if f.GetEnd() != nil || f.GetFailed() != nil {
			_ = s.Close()
			return body, f
		}
	}
}

func (r *fixture) query(id byte, bar bool, inc uint64) wire.Outcome_State {
	f, err := link.Call[wire.Frame](context.Background(), r.links, r.address, &wire.Open{Call: &wire.Open_Query{Query: &wire.Query{
		RequestId: append([]byte{id}, make([]byte, 15)...), Bar: bar, Incarnation: inc,
		DeadlineUnixNanos: time.Now().Add(time.Minute).UnixNano(),
	}}})
	r.is.NoErr(err)
	return f.GetOutcome().GetState()
}

// Guards against an agent that runs a request again when its id is resent, or
// that answers a resent request differently.
func TestRunsEachIDOnce(t *testing.T) {
	r := newFixture(t, nil)
	for range 3 {
		body, last := r.read(r.open(request(1, "/x")))
		r.is.Equal(body, "stone 7 urgent ")
		r.is.Equal(last.GetEnd().GetUsage().GetSequence(), uint64(1))
		r.is.Equal(last.GetEnd().GetUsage().GetPromptTokens(), uint64(2)) // 7 bytes
	}
	r.is.Equal(r.runs.Load(), int32(1))
}

// Guards against a barred request that starts nevertheless, and against an agent
// that reports a definite outcome for a request whose outcome it cannot know.
func TestBar(t *testing.T) {
	r := newFixture(t, nil)
	r.is.Equal(r.query(1, false, incarnation), wire.Outcome_UNKNOWN)
	r.is.Equal(r.query(1, true, incarnation), wire.Outcome_NOT_RUN_AND_BARRED)
	_, last := r.read(r.open(request(1, "/x")))
	r.is.True(last.GetFailed() != nil)
	r.is.Equal(r.runs.Load(), int32(0))
	r.is.Equal(r.query(2, true, incarnation-1), wire.Outcome_UNKNOWN) // another incarnation of the agent

	s := r.open(request(3, "/held"))
	for r.query(3, false, incarnation) != wire.Outcome_RUNNING {
		time.Sleep(time.Millisecond)
	}
	r.is.Equal(r.query(3, true, incarnation), wire.Outcome_RUNNING)
	close(r.release)
	_, last = r.read(s)
	r.is.True(last.GetEnd() != nil)
	r.is.Equal(r.query(3, true, incarnation), wire.Outcome_RAN)

	_, last = r.read(r.open(request(4, "/broken"))) // may or may not have run
	r.is.Equal(last.GetFailed().GetRan(), wire.Ran_RAN_UNKNOWN)
	r.is.Equal(r.query(4, true, incarnation), wire.Outcome_UNKNOWN)
}

// Guards against an agent that starts an invalid or expired request, or one for
// another incarnation.
func TestRefusesRequests(t *testing.T) {
	r := newFixture(t, nil)
	for name, change := range map[string]func(*wire.Request){
		"deadline passed":   func(q *wire.Request) { q.Deadline = time.Now().Add(-time.Second) },
		"deadline too far":  func(q *wire.Request) { q.Deadline = time.Now().Add(48 * time.Hour) },
		"other incarnation": func(q *wire.Request) { q.Incarnation = incarnation + 1 },
		"path":              func(q *wire.Request) { q.Path = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			q := request(9, "/x")
			change(&q)
			_, last := r.read(r.open(q))
			is.New(t).Equal(last.GetFailed().GetRan(), wire.Ran_RAN_NO)
		})
	}
	r.is.Equal(r.runs.Load(), int32(0))
}

// Guards against an agent that serves peers other than entries.
func TestServesEntriesOnly(t *testing.T) {
	r := newFixture(t, nil)
	for name, p := range map[string]*link.Pool{
		"no certificate": {},
		"control":        {Identity: r.creds("c1", identity.Control), Roles: []identity.Role{identity.Agent}},
		"other agent":    {Identity: r.creds("a2", identity.Agent), Roles: []identity.Role{identity.Agent}},
	} {
		t.Run(name, func(t *testing.T) {
			defer p.Close()
			_, err := link.Call[wire.Frame](t.Context(), p, r.address, &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}})
			is.New(t).True(err != nil) // served
		})
	}
	f, err := link.Call[wire.Frame](t.Context(), r.links, r.address, &wire.Open{Call: &wire.Open_LoadPoll{LoadPoll: &wire.LoadPoll{}}})
	r.is.NoErr(err)
	r.is.True(f.GetLoad() != nil)
}

// fakeControl returns an error for its first fail reports.
type fakeControl struct {
	mu       sync.Mutex
	fail     int
	records  map[state.UsageID]int
	reported chan struct{}
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
		return errors.New("answer lost")
	}
	close(c.reported)
	return nil
}

// Guards against usage records that are dropped before control acknowledges them.
func TestReportsUsageUntilAcknowledged(t *testing.T) {
	c := &fakeControl{fail: 1, records: map[state.UsageID]int{}, reported: make(chan struct{})}
	r := newFixture(t, c)
	r.read(r.open(request(1, "/x")))
	<-c.reported
	r.stop()
	r.is.Equal(c.records, map[state.UsageID]int{{Node: "a1", Incarnation: incarnation, Sequence: 1}: 2})
	r.is.Equal(r.agent.Dump().(agent.Dump).UsageWaiting, 0)
}

// Guards against an agent that does not pass on the speeds of its engine: the
// planner would continue to use its defaults.
func TestStatusCarriesSpeeds(t *testing.T) {
	for name, c := range map[string]struct {
		load            string
		prefill, decode float64
	}{
		"both":        {`{"prefill-speed": 9000, "decode-speed": 2200}`, 9000, 2200},
		"one":         {`{"decode-speed": 2200}`, 0, 2200},
		"none":        {`{}`, 0, 0},
		"not a speed": {`{"prefill-speed": -1, "decode-speed": 2200}`, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reads atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.WriteString(w, c.load)
				if q.URL.Path == "/load" {
					reads.Add(1)
				}
			}))
			defer engine.Close()
			u, err := url.Parse(engine.URL)
			is.NoErr(err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			a := &agent.Agent{
				Listener: l, Target: u, Control: &fakeControl{},
				Announcement: fleet.Target{Name: "t1", Host: "a1", Incarnation: incarnation, Kind: fleet.Engine},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- a.Serve(ctx) }()
			for reads.Load() < 2 { // the first one has been processed
				time.Sleep(time.Millisecond)
			}
			is.Equal(a.Status().Prefill, c.prefill)
			is.Equal(a.Status().Decode, c.decode)
			cancel()
			is.NoErr(<-done)
		})
	}
}

// Guards against a data race between Dump and the start of the agent.
func TestDumpWhileStarting(t *testing.T) {
	a := &agent.Agent{Listener: memlink.NewListener(), Target: &url.URL{}, StopTimeout: time.Millisecond}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { _ = a.Serve(ctx) })
	wg.Go(func() { _ = a.Dump() })
	cancel()
	wg.Wait()
}
