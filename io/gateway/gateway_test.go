package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/catalog"
	"papayarock/core/fleet"
	"papayarock/core/roster"
)

func nonIdempotent(r *catalog.Route) { r.Kind = catalog.NonIdempotent }
func stream(r *catalog.Route)        { r.Kind = catalog.Stream }
func resumable(r *catalog.Route)     { r.Kind, r.Resumable = catalog.Stream, true }

// quick is a resumable stream that stalls after 1 s, or 2 s before its first event.
func quick(r *catalog.Route) {
	resumable(r)
	r.Objective, r.MaxPause, r.Timeout = 100*time.Millisecond, 100*time.Millisecond, 5*time.Second
}

// Guards against duplicate execution of requests, 503 responses for requests that may
// have been executed, and failures although another target could respond.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		route       func(r *catalog.Route)
		first, then targetHandler
		status      int
		body        string
		requests    int  // number of requests received by both targets
		truncated   bool // the response to the caller is truncated
		retryAfter  bool
	}{
		"served":                          {nil, serves("one"), serves("two"), 200, "one", 1, false, false},
		"not executed, other target":      {nonIdempotent, respondsWith(503, "Not-Run"), serves("two"), 200, "two", 2, false, false},
		"not executed by any target":      {nonIdempotent, respondsWith(503, "Not-Run"), respondsWith(503, "Not-Run"), 503, "", 2, false, true},
		"not executed, endless body":      {nonIdempotent, respondsWithoutEnd(503, "Not-Run"), serves("two"), 200, "two", 2, false, false},
		"status 500, endless body":        {nil, respondsWithoutEnd(500, "Mark"), serves("two"), 200, "two", 2, false, false},
		"misdirected request":             {nonIdempotent, respondsWith(421), serves("two"), 200, "two", 2, false, false},
		"no response, idempotent":         {nil, resetsConnection, serves("two"), 200, "two", 2, false, false},
		"no response, non-idempotent":     {nonIdempotent, resetsConnection, serves("two"), 502, "", 1, false, false},
		"truncated, idempotent":           {nil, truncates, serves("two"), 200, "two", 2, false, false},
		"truncated, non-idempotent":       {nonIdempotent, truncates, serves("two"), 502, "", 1, false, false},
		"status 500, idempotent":          {nil, respondsWith(500, "Mark"), serves("two"), 200, "two", 2, false, false},
		"status 500, one attempt":         {func(r *catalog.Route) { r.Attempts = 1 }, respondsWith(500, "Mark"), serves("two"), 500, "", 1, false, false},
		"status 500, non-idempotent":      {nonIdempotent, respondsWith(500, "Mark"), serves("two"), 500, "", 1, false, false},
		"unconfirmed 503":                 {nonIdempotent, respondsWith(503, "Mark"), serves("two"), 502, "", 1, false, false},
		"success without proof of origin": {nonIdempotent, respondsWith(200), serves("two"), 502, "", 1, false, false},
		"status 404 from the target":      {nonIdempotent, respondsWith(404, "Mark"), serves("two"), 404, "", 1, false, false},
		"stream":                          {stream, streams(3, 0), nil, 200, eventText(3), 1, false, false},
		"stream truncated":                {stream, streams(3, 2), streams(3, 0), 200, eventText(2), 1, true, false},
		"stream resumed":                  {resumable, streams(5, 2), streams(5, 0), 200, eventText(5), 2, false, false},
		"stream without a first event":    {resumable, resetsConnection, streams(2, 0), 200, eventText(2), 2, false, false},
		"stream truncated twice":          {resumable, streams(5, 2), streams(5, 3), 200, eventText(3), 2, true, false},
		"resumable stream, complete":      {resumable, streams(5, 0), nil, 200, eventText(5), 1, false, false},
		"silent stream resumed":           {quick, stalls(2, ""), streams(5, 0), 200, eventText(5), 2, false, false},
		"dripping stream resumed":         {quick, stalls(2, ":"), streams(5, 0), 200, eventText(5), 2, false, false},
		"silent before the first event":   {quick, stalls(0, ""), streams(5, 0), 200, eventText(5), 2, false, false}, // after 2 s
		"stream stalled twice":            {quick, stalls(2, ""), stalls(3, ""), 200, eventText(3), 2, true, false},
		"resumed, events without an id":   {resumable, streams(5, 2), withComments(streams(5, 0)), 200, eventText(2) + ": comment\n\n" + eventText(5)[len(eventText(2)):] + ": comment\n\n", 2, false, false},
		"stream started again":            {resumable, streams(5, 2), restarts(5), 200, eventText(2), 2, true, false},
		"stream resumed by a 500":         {resumable, streams(5, 2), respondsWith(500, "Mark"), 200, eventText(2), 2, true, false},
		"stream resumed by a 404":         {resumable, streams(5, 2), respondsWith(404, "Mark"), 200, eventText(2), 2, true, false},
		"stream resumed by a redirect":    {resumable, streams(5, 2), respondsWith(302, "Mark"), 200, eventText(2), 2, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(test.route))
			// The second target is announced only while the first handles the request, so
			// that the first attempt always goes to the first.
			first := test.first
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				if test.then != nil {
					x.target("second", fleet.Mixed, test.then)
				}
				first(w, r)
			})
			a := x.send(nil)
			is.Equal(a.err != nil, test.truncated)
			is.Equal(a.status, test.status)
			is.Equal(a.body, test.body)
			is.Equal(len(x.requests()), test.requests)
			is.Equal(a.header.Get("Retry-After") != "", test.retryAfter)
			// A 5xx status other than 500 must come from the gateway, not from a target.
			is.True(a.status < 500 || a.status == 500 || a.header.Get("Mark") == "")
		})
	}
}

// Guards against forwarded requests whose method, URI, body or other fields were changed,
// or that contain the caller's API key, fields of the caller's connection, or values of
// the caller in fields that are reserved for the gateway.
func TestForwarded(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	x.target("first", fleet.Mixed, serves("one"))
	a := x.send(func(q *http.Request) {
		q.Header.Set("Customer", "borneo")
		q.Header.Set("Cache", "stolen")
		q.Header.Set("Prefill", "1")
		q.Header.Set("Other", "kept")
		q.Header.Set("Connection", "Private")
		q.Header.Set("Private", "1")
		q.Header.Set("Wait", "1500")
	})
	is.Equal(a.status, 200)
	s := x.requests()[0]
	is.Equal([]string{s.method, s.uri, s.body}, []string{"POST", "/r/1?x=2", "order"})
	for name, want := range map[string]string{
		"Customer": "klang", "Key": "", "Cache": "", "Prefill": "", "Other": "kept", "Private": "", "Target": "first", "Id": "id-1",
	} {
		is.Equal(s.header.Get(name), want) // name
	}
	is.True(len(s.header.Get("Left")) <= 4) // within the caller's deadline
}

// Guards against serving requests that the catalog does not allow, and rejecting
// those that it allows.
func TestAdmission(t *testing.T) {
	for name, test := range map[string]struct {
		change func(q *http.Request)
		status int
	}{
		"allowed":     {nil, 200},
		"unknown key": {func(q *http.Request) { q.Header.Set("Key", "wrong") }, 401},
		"no key":      {func(q *http.Request) { q.Header.Del("Key") }, 401},
		"other host":  {func(q *http.Request) { q.Host = "other.example" }, 404},
		"other path":  {func(q *http.Request) { q.URL.Path = "/x/" }, 404},
		"large body": {func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
		}, 413},
		"large chunked body": {func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), -1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			is.Equal(x.send(nil).status, 503) // no catalog yet
			x.catalog(1, route(nil))
			x.target("first", fleet.Mixed, serves("one"))
			is.Equal(x.send(test.change).status, test.status)
			is.Equal(len(x.requests()) == 1, test.status == 200)
		})
	}
}

// Guards against request smuggling: a request hidden in the body of a request whose length
// is ambiguous must not be executed.
func TestAmbiguousLength(t *testing.T) {
	const head = "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\n"
	const hidden = "POST /r/hidden HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-2\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		text     string
		executed []string
	}{
		"Content-Length":            {head + "Content-Length: 2\r\n\r\nok", []string{"/r/1"}},
		"chunked":                   {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", []string{"/r/1"}},
		"pipelined requests":        {head + "Content-Length: 2\r\n\r\nok" + hidden, []string{"/r/1", "/r/hidden"}},
		"both framing fields":       {head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, nil},
		"both, reverse order":       {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, nil},
		"both, lower case":          {head + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n" + hidden, nil},
		"two Content-Length fields": {head + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nok" + hidden, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(nil))
			x.target("first", fleet.Mixed, serves("one"))
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, test.text)
			is.NoErr(err)
			r := bufio.NewReader(c)
			for range max(1, len(test.executed)) {
				a, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, a.Body)
				is.Equal(a.StatusCode == 200, test.executed != nil)
				is.True(test.executed != nil || a.StatusCode == 400)
			}
			if test.executed == nil {
				_, err = r.ReadByte()
				is.True(err != nil) // closed
			}
			var executed []string
			for _, s := range x.requests() {
				executed = append(executed, s.uri)
			}
			is.Equal(executed, test.executed)
		})
	}
}

// exchange sends text to the gateway and returns the status of the next response, or zero
// if the connection is closed.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, text string) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

const (
	ambiguous  = "POST /r/2 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-2\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	unreadBody = "POST /none/1 HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nId: id-1\r\nContent-Length: 21\r\n\r\nContent-Length: 1\r\n\r\n"
)

// Guards against a head that is not validated because the handler did not read the
// body of the previous request.
func TestAmbiguousLengthAfterRefusal(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	x.target("first", fleet.Mixed, serves("one"))
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	is.Equal(exchange(t, c, r, unreadBody), 404)
	is.Equal(exchange(t, c, r, ambiguous), 400)
	is.Equal(len(x.requests()), 0)
}

// Guards against a head that is not validated because it arrived in the same read as
// the previous request.
func TestAmbiguousLengthPipelined(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	x.target("first", fleet.Mixed, serves("one"))
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", x.front.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	is.Equal(exchange(t, c, r, unreadBody+ambiguous), 404)
	is.Equal(exchange(t, c, r, ""), 400)
	is.Equal(len(x.requests()), 0)
}

// Guards against long prompts that are processed by a decode engine, KV caches that
// are never released, and requests that are served from the cache of another request.
func TestPrefill(t *testing.T) {
	for name, test := range map[string]struct {
		prompt          string
		prefill, decode targetHandler
		status          int
		sent            []string // targets, with the cache handle
		released        bool
	}{
		"split":                    {"2000", serves("handle"), streams(2, 0), 200, []string{"prefill", "decode handle"}, false},
		"short prompt":             {"100", serves("handle"), streams(2, 0), 200, []string{"decode"}, false},
		"prefill full":             {"2000", respondsWith(503, "Not-Run"), streams(2, 0), 200, []string{"prefill", "decode"}, false},
		"no response to prefill":   {"2000", resetsConnection, streams(2, 0), 200, []string{"prefill", "decode"}, false},
		"prefill fails":            {"2000", respondsWith(500), streams(2, 0), 200, []string{"prefill", "decode"}, false},
		"no handle":                {"2000", respondsWith(200), streams(2, 0), 200, []string{"prefill", "decode"}, false},
		"decode refuses":           {"2000", serves("handle"), respondsWith(503, "Not-Run"), 503, []string{"prefill", "decode handle"}, true},
		"decode sends no response": {"2000", serves("handle"), resetsConnection, 502, []string{"prefill", "decode handle"}, true},
		"decode truncates":         {"2000", serves("handle"), streams(3, 1), 200, []string{"prefill", "decode handle"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(stream))
			x.target("prefill", fleet.Prefill, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					return
				}
				is.Equal(r.Header.Get("Prefill"), "1")
				test.prefill(w, r)
			})
			x.target("decode", fleet.Decode, test.decode)
			a := x.send(func(q *http.Request) { q.Header.Set("Prompt", test.prompt) })
			is.Equal(a.status, test.status)
			var sent []string
			for _, s := range x.requests() {
				sent = append(sent, strings.TrimSpace(s.target+" "+s.header.Get("Cache")))
			}
			is.Equal(sent, test.sent)
			for end := time.Now().Add(10 * time.Second); test.released && !x.released() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(x.released(), test.released)
		})
	}
}

// Guards against a single request with an absurd number of tokens that makes all gateways
// avoid an engine, since they tell each other of their backlogs.
func TestAbsurdPrompt(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(stream))
	var reported int
	x.target("prefill", fleet.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			reported = x.gateway.Backlogs()["prefill"].Tokens
		}
		serves("handle")(w, r)
	})
	x.target("decode", fleet.Decode, streams(2, 0))
	is.Equal(x.send(func(q *http.Request) { q.Header.Set("Prompt", "9000000000000000000") }).status, 200)
	is.True(reported > 0)
	is.True(reported <= cacheTokens)
}

// Guards against a request that outlives the timeout of its route, and against
// status 503 for a timed-out request that may have been executed.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(func(r *catalog.Route) { r.Timeout = 100 * time.Millisecond }))
	cancelled := make(chan struct{})
	x.target("first", fleet.Mixed, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	is.Equal(x.send(nil).status, 504)
	<-cancelled // the request to the target must be cancelled
}

// Guards against targets that continue to process a request after the caller has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	begun, ended := make(chan struct{}), make(chan struct{})
	x.target("first", fleet.Mixed, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	a := x.send(func(q *http.Request) { *q = *q.WithContext(ctx) })
	is.True(a.err != nil)
	<-ended
	is.Equal(len(x.requests()), 1)
}

// Guards against a catalog that replaces a newer one or one of the same version, and
// against an undecodable catalog that replaces a valid one.
func TestCatalogNeverGoesBack(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	is.True(!x.gateway.Ready())
	x.catalog(5, route(nil))
	is.True(x.gateway.Ready())
	x.catalog(4, route(func(r *catalog.Route) { r.Prefix = "/old/" }))
	x.catalog(5, route(func(r *catalog.Route) { r.Prefix = "/other/" }))
	x.gateway.UpdateCatalog(9, []byte("not a document"))
	is.Equal(x.gateway.CatalogVersion(), uint64(5))
	x.target("first", fleet.Mixed, serves("one"))
	is.Equal(x.send(nil).status, 200)
}

// Guards against sending requests to draining targets, and against status 503
// without Retry-After.
func TestDrainingTarget(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	s := x.target("first", fleet.Mixed, serves("one"))
	is.Equal(x.send(nil).status, 200)
	x.announce("first", fleet.Mixed, s.Listener.Addr().(*net.TCPAddr).AddrPort(), roster.Draining)
	a := x.send(nil)
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(x.requests()), 1)
}

// Guards against giving up a running request, or running it again, because its target is
// not announced any more: it may only be slow to announce itself.
func TestRunningRequestOfSilentTarget(t *testing.T) {
	for name, condition := range map[string]roster.Condition{"draining": roster.Draining, "left": roster.Left} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(stream))
			var first *httptest.Server
			first = x.target("first", fleet.Mixed, func(w http.ResponseWriter, r *http.Request) {
				streams(2, 0)(w, r)
				x.target("second", fleet.Mixed, streams(3, 0))
				x.announce("first", fleet.Mixed, first.Listener.Addr().(*net.TCPAddr).AddrPort(), condition)
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(w, "id: 3\ndata: piece 3\n\n")
			})
			a := x.send(nil)
			is.NoErr(a.err)
			is.Equal(a.body, eventText(3))
			is.Equal(len(x.requests()), 1)
		})
	}
}

// Guards against missing usage counts and counts for requests that were not executed.
// Execution of a plain request starts on arrival, even if its response is lost;
// execution of a stream starts with its first event.
func TestUsage(t *testing.T) {
	plain := func(r *catalog.Route) { r.Attempts = 1 }
	streamed := func(r *catalog.Route) { r.Attempts, r.Kind = 1, catalog.Stream }
	for name, test := range map[string]struct {
		route  func(r *catalog.Route)
		target targetHandler
		want   uint64
	}{
		"served":                       {plain, serves("one"), 1},
		"refused":                      {plain, respondsWith(503, "Not-Run"), 0},
		"failed":                       {plain, respondsWith(500, "Mark"), 1},
		"no response":                  {plain, resetsConnection, 1},
		"truncated":                    {plain, truncates, 1},
		"stream":                       {streamed, streams(2, 0), 1},
		"stream without a first event": {streamed, resetsConnection, 0},
		"stream truncated":             {streamed, streams(3, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.catalog(1, route(test.route))
			x.target("first", fleet.Mixed, test.target)
			x.send(nil)
			var n uint64
			for _, c := range x.gateway.UsageCounts() {
				is.Equal(c.GetCustomer(), "klang")
				n += c.GetCount()
			}
			is.Equal(n, test.want)
		})
	}
}

// Guards against a shutdown that rejects requests before the load balancer has
// noticed, or does not return when its context is cancelled.
func TestStop(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.catalog(1, route(nil))
	x.target("first", fleet.Mixed, serves("one"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); x.gateway.Drain(ctx) }()
	for x.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
	a := x.send(nil)
	is.Equal(a.status, 200)
	is.Equal(a.body, "one")
	cancel()
	<-done
}

// Guards against taking a target for healthy whose large responses break off after a part of
// them has been forwarded.
func TestLargeResponseTruncated(t *testing.T) {
	const whole = 1 << 20 // more than the gateway buffers
	for name, sent := range map[string]int{"complete": whole, "truncated": whole / 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, logs, _ := newFixtureWithLog(t)
			x.catalog(1, route(nil))
			x.target("first", fleet.Mixed, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Mark", "m")
				w.Header().Set("Content-Length", strconv.Itoa(whole))
				_, _ = w.Write(make([]byte, sent))
				if sent < whole {
					panic(http.ErrAbortHandler)
				}
			})
			got := x.send(nil)
			is.Equal(got.err != nil, sent < whole)
			is.Equal(len(got.body) == whole, sent == whole)
			is.Equal(strings.Contains(logs.linesFor("id-1"), "outcome=failed"), sent < whole) // counts against the target
		})
	}
}
