package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/internal/memlink"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/link"
)

const secret = "pk-5d1f0c8e9a7b"

// rig is a complete in-memory setup of HTTP client, entry, links, agents and
// targets. An assertion that fails prints the comment on its line.
type rig struct {
	is     *is.I
	t      *testing.T
	agents []*agent.Agent
	entry  *entry.Entry
	index  atomic.Pointer[config.Index]
	client *http.Client
	log    *syncBuffer
	links  []*memlink.Listener
	// linkFault returns the fault of the n-th link connection, counted from 0, or
	// nil for none.
	linkFault   func(n int) *memlink.Fault
	dials       atomic.Int32
	refuseDials atomic.Bool // further dials fail
	stop        func()
	stopAgents  context.CancelFunc
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func routes() []config.Route {
	return []config.Route{
		{Name: "orders", Prefix: "/orders", Pool: "app", Promise: time.Minute, SafeReads: true},
		{Name: "reads", Prefix: "/reads", Pool: "app", Promise: time.Minute, Idempotent: true},
		{Name: "chat", Prefix: "/v1", Pool: "app", Promise: time.Minute, Idempotent: true, Protocol: config.Language, Class: fleet.Urgent},
		{Name: "letters", Prefix: "/letters", Pool: "app", Promise: time.Minute, Protocol: config.Language},
		{Name: "open", Prefix: "/open", Pool: "app", Promise: time.Minute, Idempotent: true, Open: true},
	}
}

func (r *rig) snapshot(revision uint64, keys ...config.Key) config.Snapshot {
	s := config.Snapshot{Revision: revision, Document: config.Document{Routes: routes()}, Keys: keys}
	for i, a := range r.agents {
		s.Targets = append(s.Targets, fleet.Target{
			Name: a.Announcement.Name, Pool: "app", Phase: fleet.Ready, Kind: a.Announcement.Kind, Role: a.Announcement.Role,
			Region: a.Announcement.Region, DataCentre: a.Announcement.DataCentre, Slots: a.Announcement.Slots,
			Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	return s
}

func key() config.Key {
	return config.Key{ID: "k1", Digest: sha256.Sum256([]byte(secret)), Customer: "klang"}
}

// agentTarget is a target and the properties that its agent announces.
type agentTarget struct {
	handler      http.Handler
	announcement fleet.Target // kind, role, location and slots
}

// newRig starts a rig of several agents with one target each, all with the same
// handler.
func newRig(t *testing.T, target http.Handler, agents int) *rig {
	return newRigWithTargets(t, slices.Repeat([]agentTarget{{handler: target}}, agents)...)
}

// newRigWithTargets starts a rig with an agent for each target. The rig must run in a
// synctest bubble.
func newRigWithTargets(t *testing.T, targets ...agentTarget) *rig {
	r := &rig{is: is.New(t), t: t, log: &syncBuffer{}}
	log := hclog.New(&hclog.LoggerOptions{Output: r.log, Level: hclog.Trace})
	ctx, cancel := context.WithCancel(context.Background())
	r.stopAgents = cancel
	var wg sync.WaitGroup
	var backServers []*http.Server
	var transports []*http.Transport
	for i, target := range targets {
		backend := memlink.NewListener()
		backServer := &http.Server{Handler: target.handler, ErrorLog: log.StandardLogger(nil)}
		wg.Go(func() { _ = backServer.Serve(backend) })
		backServers = append(backServers, backServer)
		l := memlink.NewListener()
		r.links = append(r.links, l)
		tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return backend.Dial(ctx)
		}}
		transports = append(transports, tr)
		target.announcement.Name, target.announcement.Host, target.announcement.Incarnation = fleet.TargetName("t"+string(rune('1'+i))), "h1", 7
		a := &agent.Agent{
			Listener: l, Links: &link.Pool{Dial: r.dialLink}, TargetURL: &url.URL{Scheme: "http", Host: "127.0.0.1:1"}, Transport: tr, Log: log,
			Announcement: target.announcement,
		}
		r.agents = append(r.agents, a)
		wg.Go(func() { _ = a.Serve(ctx) })
	}
	links := &link.Pool{Dial: r.dialLink}
	r.entry = &entry.Entry{Config: &r.index, Links: links, Log: log}
	r.index.Store(config.NewIndex(r.snapshot(1, key())))
	front := memlink.NewListener()
	frontServer := &http.Server{Handler: r.entry, ErrorLog: log.StandardLogger(nil)}
	entry.Limits{}.Apply(frontServer)
	wg.Go(func() { _ = frontServer.Serve(front) })
	out := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return front.Dial(ctx)
	}}
	r.client = &http.Client{Transport: out}
	r.stop = func() {
		out.CloseIdleConnections()
		_ = frontServer.Close()
		links.Close()
		for _, a := range r.agents {
			a.Links.Close()
		}
		cancel()
		for _, tr := range transports {
			tr.CloseIdleConnections()
		}
		time.Sleep(10 * time.Minute) // until running requests have reached their deadlines
		for _, s := range backServers {
			_ = s.Close()
		}
		wg.Wait()
	}
	return r
}

func (r *rig) dialLink(ctx context.Context, a link.Address) (net.Conn, error) {
	if r.refuseDials.Load() {
		return nil, net.ErrClosed
	}
	n := int(r.dials.Add(1)) - 1
	near, far := net.Pipe()
	if r.linkFault != nil {
		if f := r.linkFault(n); f != nil {
			near, far = memlink.WithFault(near, f), memlink.WithFault(far, f)
		}
	}
	return near, r.links[a.AddrPort.Port()-1].Deliver(ctx, far)
}

type response struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

// do sends a request with the API key and additional header fields, given as names
// and values in turn.
func (r *rig) do(method, path, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	r.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{resp.StatusCode, resp.Header, string(b), err}
}

// memoryControl is an in-memory Control. It grants one claim for each
// Idempotency-Key. If fail is set, claims fail.
type memoryControl struct {
	mu     sync.Mutex
	claims map[state.ClaimKey]*claimed
	usage  map[state.UsageID]state.UsageRecord
	fail   bool
}

type claimed struct {
	claim   state.Claim
	settled *state.Settle
}

func (c *memoryControl) Claim(_ context.Context, m state.Claim) (state.ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail {
		return state.ClaimResult{}, context.DeadlineExceeded
	}
	if c.claims == nil {
		c.claims = make(map[state.ClaimKey]*claimed)
	}
	held := c.claims[m.Key]
	if held == nil {
		c.claims[m.Key] = &claimed{claim: m}
		return state.ClaimResult{Outcome: state.ClaimGranted, Index: 1, Holder: m.Request, Target: m.Target}, nil
	}
	result := state.ClaimResult{Holder: held.claim.Request, Target: held.claim.Target}
	switch {
	case held.claim.Body != m.Body:
		result.Outcome = state.ClaimMismatch
	case held.settled == nil:
		result.Outcome = state.ClaimRunning
	case held.settled.Settlement == state.SettledUnknown:
		result.Outcome = state.ClaimUnknown
	case held.settled.Answer != nil:
		result.Outcome, result.Answer = state.ClaimReplayed, *held.settled.Answer
	default:
		result.Outcome = state.ClaimCompleted
	}
	return result, nil
}

func (c *memoryControl) Settle(_ context.Context, m state.Settle) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.claims[m.Key]
	if held == nil || held.claim.Request != m.Request {
		return nil
	}
	if m.Settlement == state.SettledBarred {
		delete(c.claims, m.Key)
		return nil
	}
	held.settled = &m
	return nil
}

func (c *memoryControl) ReportUsage(_ context.Context, records []state.UsageRecord) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usage == nil {
		c.usage = make(map[state.UsageID]state.UsageRecord)
	}
	for _, u := range records {
		c.usage[u.ID] = u
	}
	return nil
}
