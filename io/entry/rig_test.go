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

// rig is a whole path in memory: caller, entry, link, agent and target.
type rig struct {
	is     *is.I
	t      *testing.T
	agents []*agent.Agent
	entry  *entry.Entry
	index  atomic.Pointer[config.Index]
	client *http.Client
	log    *lockedLog
	links  []*memlink.Listener
	// damage makes the faults of the n-th link connection, from 0; nil for none.
	damage func(n int) *memlink.Fault
	dials  atomic.Int32
	refuse atomic.Bool // further dials
	stop   func()
	stopA  context.CancelFunc
}

// lockedLog lets goroutines share one buffer.
type lockedLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
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

// beside is a target and what its agent announces of it.
type beside struct {
	handler http.Handler
	target  fleet.Target // kind, role, place and slots
}

// newRig starts agents beside one target each; all targets share the handler.
func newRig(t *testing.T, target http.Handler, agents int) *rig {
	return newRigOf(t, slices.Repeat([]beside{{handler: target}}, agents)...)
}

// newRigOf starts an agent beside each target.
func newRigOf(t *testing.T, targets ...beside) *rig {
	r := &rig{is: is.New(t), t: t, log: &lockedLog{}}
	log := hclog.New(&hclog.LoggerOptions{Output: r.log, Level: hclog.Trace})
	ctx, cancel := context.WithCancel(context.Background())
	r.stopA = cancel
	var wg sync.WaitGroup
	var backServers []*http.Server
	var transports []*http.Transport
	for i, b := range targets {
		backend := memlink.NewListener()
		backServer := &http.Server{Handler: b.handler, ErrorLog: log.StandardLogger(nil)}
		wg.Go(func() { _ = backServer.Serve(backend) })
		backServers = append(backServers, backServer)
		l := memlink.NewListener()
		r.links = append(r.links, l)
		tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return backend.Dial(ctx)
		}}
		transports = append(transports, tr)
		b.target.Name, b.target.Host, b.target.Incarnation = fleet.TargetName("t"+string(rune('1'+i))), "h1", 7
		a := &agent.Agent{
			Listener: l, Links: &link.Pool{Dial: r.dialLink}, Target: &url.URL{Scheme: "http", Host: "127.0.0.1:1"}, Transport: tr, Log: log,
			Announcement: b.target,
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
		time.Sleep(10 * time.Minute) // running requests end by their deadlines
		for _, s := range backServers {
			_ = s.Close()
		}
		wg.Wait()
	}
	return r
}

func (r *rig) dialLink(ctx context.Context, a link.Address) (net.Conn, error) {
	if r.refuse.Load() {
		return nil, net.ErrClosed
	}
	n := int(r.dials.Add(1)) - 1
	near, far := net.Pipe()
	if r.damage != nil {
		if f := r.damage(n); f != nil {
			near, far = memlink.WithFault(near, f), memlink.WithFault(far, f)
		}
	}
	return near, r.links[a.AddrPort.Port()-1].Deliver(ctx, far)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // also of the body
}

func (r *rig) do(method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	r.is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

// register is a Control that follows the rules of claims in memory.
type register struct {
	mu     sync.Mutex
	claims map[state.ClaimKey]*claimed
	usage  map[state.UsageID]state.UsageRecord
	fail   bool
}

type claimed struct {
	claim   state.Claim
	settled *state.Settle
}

func (c *register) Claim(_ context.Context, m state.Claim) (state.ClaimResult, error) {
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

func (c *register) Settle(_ context.Context, m state.Settle) error {
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

func (c *register) ReportUsage(_ context.Context, records []state.UsageRecord) error {
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
