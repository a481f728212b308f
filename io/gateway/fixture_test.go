package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"papayarock/core/catalog"
	"papayarock/core/connlimit"
	"papayarock/core/fleet"
	"papayarock/core/quota"
	"papayarock/core/roster"
	"papayarock/io/gateway"
	"papayarock/io/httpconn"
	"papayarock/io/upstream"
)

// testCodec is a minimal HeaderCodec for tests. Requests have Id, Key, After (last event
// id), Wait (milliseconds to the deadline), Prompt (tokens), Hint (tokens of the response)
// and Segments (ids of prompt segments). To targets it adds Target,
// Left (milliseconds to the deadline), Customer, Prefill and Cache. Responses have Id,
// Not-Run (not executed) and Mark (proof of origin).
type testCodec struct{}

func (testCodec) DecodeRequest(now time.Time, r *http.Request) gateway.RequestInfo {
	info := gateway.RequestInfo{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("After")}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		info.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	info.PromptTokens, _ = strconv.Atoi(r.Header.Get("Prompt"))
	info.LengthHint, _ = strconv.Atoi(r.Header.Get("Hint"))
	for _, id := range strings.Fields(r.Header.Get("Segments")) {
		info.Segments = append(info.Segments, gateway.PromptSegment{ID: id, Tokens: 1})
	}
	return info
}

func (testCodec) EncodeForward(now time.Time, h http.Header, f gateway.ForwardInfo) {
	for _, name := range []string{"Key", "Customer", "Cache", "Prefill"} {
		h.Del(name)
	}
	h.Set("Target", string(f.Target))
	h.Set("Left", strconv.FormatInt(f.Deadline.Sub(now).Milliseconds(), 10))
	if f.Customer != "" {
		h.Set("Customer", string(f.Customer))
	}
	if f.Prefill {
		h.Set("Prefill", "1")
	}
	if f.KVCache.Handle != "" {
		h.Set("Cache", f.KVCache.Handle)
	}
	if f.LastEventID != "" {
		h.Set("After", f.LastEventID)
	}
}

func (testCodec) MatchesRequest(id string, _ bool, _ int, h http.Header) bool {
	return h.Get("Id") == id
}

func (testCodec) DecodeResponse(_ time.Time, status int, h http.Header) gateway.ResponseInfo {
	return gateway.ResponseInfo{NotExecuted: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Authentic: h.Get("Mark") != ""}
}

func (testCodec) DecodeKVCacheHandle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (testCodec) KVCacheReleaseRequest(handle string) (method, uri string) {
	return http.MethodDelete, "/cache/" + handle
}

// receivedRequest is a request as received by a target.
type receivedRequest struct {
	target, method, uri, body string
	header                    http.Header
}

// fixture is a gateway with an HTTP server for callers and a set of target servers.
type fixture struct {
	t       testing.TB
	gateway *gateway.Gateway
	front   *httptest.Server
	limit   catalog.Limit // of the customer klang, for catalog
	engine  catalog.Engine

	mu       sync.Mutex
	received []receivedRequest
}

type targetHandler func(w http.ResponseWriter, r *http.Request)

func newFixture(t *testing.T) *fixture { return newFixtureWithLogger(t, hclog.NewNullLogger()) }

func newFixtureWithLogger(t testing.TB, log hclog.Logger) *fixture {
	x := &fixture{t: t, engine: catalog.Engine{CacheTokens: cacheTokens}}
	x.gateway = gateway.New(gateway.Options{
		DataCentre: "kt", Regions: map[fleet.DataCentre]fleet.Region{"kt": "east"}, HeaderCodec: testCodec{}, DecodeCatalog: decode,
		Upstream: &upstream.Pool{}, Log: log, Now: time.Now, RetryRatio: 0.2, RetryBurst: 50,
		UsageWindow: time.Hour, MemoryBytes: 64 << 20,
		Quota: quota.Bounds{Window: 8 * time.Second, Overage: 0.1},
	})
	x.front = httptest.NewUnstartedServer(x.gateway)
	x.front.Listener = httpconn.NewListener(x.front.Listener, httpconn.Options{
		Port: "callers", Limits: connlimit.Limits{Connections: 1000, HeadBytes: 16 << 20, IdleTime: time.Minute, SilentTime: time.Minute},
		HeaderTimeout: 10 * time.Second, HeadBytes: x.gateway.HeaderBytes, Log: hclog.NewNullLogger(), Metrics: httpconn.NewMetrics(prometheus.NewRegistry()),
	})
	httpconn.Configure(x.front.Config)
	x.front.Config.ErrorLog = nil
	x.front.Start()
	t.Cleanup(x.front.Close)
	return x
}

// decode parses a catalog document, which the tests encode as JSON.
func decode(text []byte) (catalog.Document, error) {
	var d catalog.Document
	err := json.Unmarshal(text, &d)
	return d, err
}

// cacheTokens is the capacity of the KV cache of each target.
const cacheTokens = 100_000

func (x *fixture) catalog(version uint64, routes ...catalog.Route) {
	d := catalog.Document{
		Version: version, Routes: routes, Pools: []catalog.Pool{{Name: "pool", Engine: &x.engine}},
		Customers: []catalog.Customer{{Name: "klang", Keys: []string{"secret"}, Limit: x.limit}},
		Limits:    catalog.Limits{BodyBytes: 1 << 20},
	}
	text, err := json.Marshal(d)
	if err != nil {
		x.t.Fatal(err)
	}
	x.gateway.UpdateCatalog(version, text)
}

func route(change func(r *catalog.Route)) catalog.Route {
	r := catalog.Route{
		Name: "r", Host: "h.example", Prefix: "/r/", Timeout: 20 * time.Second, Objective: 10 * time.Second, Attempts: 2,
		Shares: []catalog.Share{{Pool: "pool", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

// target starts a target server and announces it to the gateway.
func (x *fixture) target(name string, role fleet.Role, f targetHandler) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		x.mu.Lock()
		x.received = append(x.received, receivedRequest{name, r.Method, r.RequestURI, string(b), r.Header.Clone()})
		x.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		f(w, r)
	}))
	x.t.Cleanup(s.Close)
	x.announce(name, role, s.Listener.Addr().(*net.TCPAddr).AddrPort(), roster.Ready)
	return s
}

// announce announces a target. The sequence number is the condition, so that a later
// condition of the same target takes effect.
func (x *fixture) announce(name string, role fleet.Role, a netip.AddrPort, c roster.Condition) {
	x.gateway.UpdateTargets([]roster.Record{{Heard: time.Now(), Announcement: roster.Announcement{
		Target: fleet.TargetName(name), Started: time.UnixMilli(1000), Sequence: uint64(c), Pool: "pool", Address: a,
		DataCentre: "kt", Slots: 8, Role: role, Condition: c,
	}}}, 1)
}

// requests returns the requests received by targets, except releases of KV caches.
func (x *fixture) requests() (list []receivedRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.received {
		if s.method != http.MethodDelete {
			list = append(list, s)
		}
	}
	return list
}

// released reports whether a target was asked to drop the KV cache "handle".
func (x *fixture) released() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.received {
		if s.method == http.MethodDelete && s.uri == "/cache/handle" {
			return true
		}
	}
	return false
}

// response is the response received by a caller.
type response struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

// send sends a request of the customer klang, which change may modify.
func (x *fixture) send(change func(q *http.Request)) response {
	x.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, x.front.URL+"/r/1?x=2", bytes.NewReader([]byte("order")))
	if err != nil {
		x.t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set("Key", "secret")
	q.Header.Set("Id", "id-1")
	if change != nil {
		change(q)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return response{r.StatusCode, r.Header, string(b), err}
}

// serves sends a complete response with a proof of origin.
func serves(body string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Mark", "m")
		_, _ = io.WriteString(w, body)
	}
}

// respondsWith sends a response without a body and with the given header fields.
func respondsWith(status int, fields ...string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, f := range fields {
			w.Header().Set(f, "1")
		}
		w.WriteHeader(status)
	}
}

// resetsConnection stands for a target that executes the request and then resets the
// connection without a response.
func resetsConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// truncates sends a part of a response and aborts it.
func truncates(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Mark", "m")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

// streams sends events with consecutive ids, from the one after the caller's last event
// up to last. After the event with id cut it sends a part of the next one and aborts;
// zero disables this.
func streams(last, cut int) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mark", "m")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("After"))
		for i := from + 1; i <= last; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: piece "+strconv.Itoa(i)+"\n\n")
			_ = http.NewResponseController(w).Flush()
			if i == cut {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(i+1)+"\ndata: par")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// restarts sends events from the first one on, whatever the caller has received.
func restarts(last int) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("After")
		streams(last, 0)(w, r)
	}
}

// withComments sends an event without an id before and after those of f.
func withComments(f targetHandler) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mark", "m")
		_, _ = io.WriteString(w, ": comment\n\n")
		f(w, r)
		_, _ = io.WriteString(w, ": comment\n\n")
	}
}

// respondsWithoutEnd sends a status, header fields, and a body that never ends.
func respondsWithoutEnd(status int, fields ...string) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, name := range fields {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(status)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stalls sends events after the one that the caller has, up to last, and then at most
// incomplete ones until the gateway closes the connection.
func stalls(last int, drip string) targetHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mark", "m")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("After"))
		for i := from + 1; i <= last; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: piece "+strconv.Itoa(i)+"\n\n")
		}
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, drip)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func eventText(last int) (out string) {
	for i := 1; i <= last; i++ {
		out += "id: " + strconv.Itoa(i) + "\ndata: piece " + strconv.Itoa(i) + "\n\n"
	}
	return out
}
