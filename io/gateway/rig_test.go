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
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
	"papayarock/io/gateway"
	"papayarock/io/upstream"
)

// dialect is a small dialect of its own.
type dialect struct{}

func (dialect) Ask(now time.Time, r *http.Request) gateway.Ask {
	a := gateway.Ask{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), After: r.Header.Get("After")}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		a.Expires = now.Add(time.Duration(ms) * time.Millisecond)
	}
	a.Prompt, _ = strconv.Atoi(r.Header.Get("Prompt"))
	return a
}

func (dialect) Forward(now time.Time, h http.Header, f gateway.Forward) {
	for _, name := range []string{"Key", "Customer", "Cache", "Prefill"} {
		h.Del(name)
	}
	h.Set("Target", string(f.Target))
	h.Set("Left", strconv.FormatInt(f.Expires.Sub(now).Milliseconds(), 10))
	if f.Customer != "" {
		h.Set("Customer", string(f.Customer))
	}
	if f.Prefill {
		h.Set("Prefill", "1")
	}
	if f.Cache.Handle != "" {
		h.Set("Cache", f.Cache.Handle)
	}
	if f.After != "" {
		h.Set("After", f.After)
	}
}

func (dialect) Mine(id string, _ int, h http.Header) bool { return h.Get("Id") == id }

func (dialect) Verdict(status int, h http.Header) gateway.Verdict {
	return gateway.Verdict{NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Genuine: h.Get("Mark") != ""}
}

func (dialect) Handle(body []byte) (string, error) {
	if len(body) == 0 {
		return "", errors.New("no handle")
	}
	return string(body), nil
}

func (dialect) Release(handle string) (method, uri string) {
	return http.MethodDelete, "/cache/" + handle
}

// seen is a request as a target saw it.
type seen struct {
	target, method, uri, body string
	header                    http.Header
}

// rig is a gateway with its callers' server and targets.
type rig struct {
	t       testing.TB
	gateway *gateway.Gateway
	front   *httptest.Server

	mu   sync.Mutex
	seen []seen
}

// behave answers a request at a target.
type behave func(w http.ResponseWriter, r *http.Request)

func newRig(t *testing.T) *rig { return newRigWith(t, hclog.NewNullLogger()) }

func newRigWith(t testing.TB, log hclog.Logger) *rig {
	x := &rig{t: t}
	x.gateway = gateway.New(gateway.Options{
		DataCentre: "kt", Regions: map[fleet.DataCentre]fleet.Region{"kt": "east"}, Dialect: dialect{}, Decode: decode,
		Conns: &upstream.Pool{}, Log: log, Now: time.Now, RetryShare: 0.2, RetrySlack: 50,
		UsageWindow: time.Hour, MemoryBytes: 64 << 20,
	})
	x.front = httptest.NewUnstartedServer(x.gateway)
	x.front.Listener = gateway.Guard(x.front.Listener)
	x.front.Config.ConnContext = gateway.ConnContext
	x.front.Config.ErrorLog = nil
	x.front.Start()
	t.Cleanup(x.front.Close)
	return x
}

// decode reads documents that tests write as JSON of the domain type.
func decode(text []byte) (catalog.Document, error) {
	var d catalog.Document
	err := json.Unmarshal(text, &d)
	return d, err
}

func (x *rig) catalog(version uint64, routes ...catalog.Route) {
	d := catalog.Document{
		Version: version, Routes: routes, Pools: []catalog.Pool{{Name: "pool"}},
		Customers: []catalog.Customer{{Name: "klang", Keys: []string{"secret"}}},
		Limits:    catalog.Limits{BodyBytes: 1 << 20},
	}
	text, err := json.Marshal(d)
	if err != nil {
		x.t.Fatal(err)
	}
	x.gateway.Catalog(version, text)
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

// target starts a target and announces it.
func (x *rig) target(name string, role fleet.Role, f behave) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		x.mu.Lock()
		x.seen = append(x.seen, seen{name, r.Method, r.RequestURI, string(b), r.Header.Clone()})
		x.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		f(w, r)
	}))
	x.t.Cleanup(s.Close)
	x.announce(name, role, s.Listener.Addr().(*net.TCPAddr).AddrPort(), roster.Ready)
	return s
}

func (x *rig) announce(name string, role fleet.Role, a netip.AddrPort, c roster.Condition) {
	x.gateway.Targets([]roster.Record{{Heard: time.Now(), Announcement: roster.Announcement{
		Target: fleet.TargetName(name), Started: time.UnixMilli(1000), Sequence: uint64(c), Pool: "pool", Address: a,
		DataCentre: "kt", Slots: 8, Role: role, Condition: c,
	}}}, 1)
}

// requests returns what targets saw, less the releases of KV caches.
func (x *rig) requests() (list []seen) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.seen {
		if s.method != http.MethodDelete {
			list = append(list, s)
		}
	}
	return list
}

func (x *rig) released() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.seen {
		if s.method == http.MethodDelete && s.uri == "/cache/handle" {
			return true
		}
	}
	return false
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the exchange or the body
}

func (x *rig) ask(change func(q *http.Request)) answer {
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
		return answer{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return answer{r.StatusCode, r.Header, string(b), err}
}

// Behaviours of targets.

func serves(body string) behave {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Mark", "m")
		_, _ = io.WriteString(w, body)
	}
}

func answers(status int, fields ...string) behave {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, f := range fields {
			w.Header().Set(f, "1")
		}
		w.WriteHeader(status)
	}
}

// loses runs the request and resets the connection.
func loses(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// cuts begins an answer and breaks it off.
func cuts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Mark", "m")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

// streams sends events with ids from the one after the caller's, and breaks off
// after the one that cut names.
func streams(last, cut int) behave {
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

func pieces(last int) (out string) {
	for i := 1; i <= last; i++ {
		out += "id: " + strconv.Itoa(i) + "\ndata: piece " + strconv.Itoa(i) + "\n\n"
	}
	return out
}
