package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/link"
)

const secret = "pk-5d1f0c8e9a7b"

// bubble runs f under synctest. yamux keeps timers in a global pool; two
// collections empty it, so that no timer passes from one bubble to the next.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	empty := func() { runtime.GC(); runtime.GC() }
	empty()
	synctest.Test(t, f)
	empty()
}

// pipes is a listener whose connections are made in memory.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (p *pipes) dial(ctx context.Context) (net.Conn, net.Conn, error) {
	a, b := net.Pipe()
	return a, b, p.give(ctx, b)
}

func (p *pipes) give(ctx context.Context, c net.Conn) error {
	select {
	case p.conns <- c:
		return nil
	case <-p.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fault damages a connection: after left yamux frames in both directions
// together, writes are swallowed while the connection stays open, or it is
// closed.
type fault struct {
	left  atomic.Int64
	close bool
	hit   atomic.Bool
}

// faulty begins to swallow between frames only. Inside a frame, yamux blocks
// its readers on a mutex, which stops the clock of a bubble.
type faulty struct {
	net.Conn
	f     *fault
	muted bool
	skip  int // bytes until the next frame header
}

// prefaceBytes come before the first frame.
const prefaceBytes = 16

func newFaulty(c net.Conn, f *fault) *faulty { return &faulty{Conn: c, f: f, skip: prefaceBytes} }

// intact returns how much of b comes before the fault. A frame header is
// always in one write.
func (c *faulty) intact(b []byte) int {
	const headerBytes, lengthAt = 12, 8
	at := min(c.skip, len(b))
	c.skip -= at
	for at < len(b) {
		if c.f.left.Add(-1) < 0 {
			c.muted = true
			return at
		}
		h := b[at:]
		at += headerBytes
		if h[1] == 0 { // a data frame has a body
			body := int(binary.BigEndian.Uint32(h[lengthAt:]))
			c.skip = max(0, at+body-len(b))
			at = min(at+body, len(b))
		}
	}
	return at
}

func (c *faulty) Write(b []byte) (int, error) {
	n := 0
	if !c.muted {
		n = c.intact(b)
	}
	if n > 0 {
		if _, err := c.Conn.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	if !c.muted {
		return len(b), nil
	}
	c.f.hit.Store(true)
	if c.f.close {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// rig is a whole path in memory: caller, entry, link, agent and target.
type rig struct {
	is     *is.I
	t      *testing.T
	agents []*agent.Agent
	entry  *entry.Entry
	index  atomic.Pointer[config.Index]
	client *http.Client
	log    *lockedLog
	links  []*pipes
	// damage makes the faults of the n-th link connection, from 0; nil for none.
	damage func(n int) *fault
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
		backend := newPipes()
		backServer := &http.Server{Handler: b.handler, ErrorLog: log.StandardLogger(nil)}
		wg.Go(func() { _ = backServer.Serve(backend) })
		backServers = append(backServers, backServer)
		l := newPipes()
		r.links = append(r.links, l)
		tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			c, _, err := backend.dial(ctx)
			return c, err
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
	front := newPipes()
	frontServer := &http.Server{Handler: r.entry, ErrorLog: log.StandardLogger(nil)}
	entry.Limits{}.Apply(frontServer)
	wg.Go(func() { _ = frontServer.Serve(front) })
	out := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, _, err := front.dial(ctx)
		return c, err
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
			near, far = newFaulty(near, f), newFaulty(far, f)
		}
	}
	return near, r.links[a.AddrPort.Port()-1].give(ctx, far)
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
	case held.settled.Answer != nil:
		result.Outcome, result.Answer = state.ClaimAnswered, *held.settled.Answer
	default:
		result.Outcome = state.ClaimRan
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
