package pathsearch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var (
	customers = [2]string{"klang", "kuala"}
	secrets   = [2]string{"pk-klang-5d1f0c8e9a7b", "pk-kuala-77ab10c3d2e4"}
)

// send is one request that a caller sends to an entry, and its result.
type send struct {
	id           int // index in simulation.sends
	order        int // index in plan.orders
	kind         orderKind
	customer     string
	requestBody  string
	entry        *instance
	began        time.Time
	ended        time.Time
	status       int
	header       http.Header
	responseBody string
	notRun       string // the not-run member of a refusal: true, false or unknown
	err          error
}

// refused reports whether the response is a refusal by the entry itself.
func (s *send) refused() bool {
	return s.err == nil && s.header.Get("Content-Type") == "application/problem+json"
}

// call sends the requests planned for an order, one after the other. For a keyed
// order it sends all of them, also after a response, to cover replays.
func (sim *simulation) call(n int, o order) {
	time.Sleep(o.start)
	for _, p := range o.sends {
		s := sim.sendRequest(n, o, p)
		switch {
		case o.kind == unkeyed && s.notRun != "true":
			return // may have run, so it must not be sent again
		case o.kind == read && s.err == nil && !s.refused():
			return
		}
		time.Sleep(p.pause)
	}
}

// sendRequest sends one request for the n-th order and records it in sim.sends.
func (sim *simulation) sendRequest(n int, o order, p sendPlan) *send {
	inst := sim.entries[p.entry].current()
	s := &send{order: n, kind: o.kind, customer: customers[o.customer], requestBody: fmt.Sprintf("order %d", n) + strings.Repeat(".", o.bodySize), entry: inst, began: time.Now()}
	if p.otherBody && o.kind == keyed {
		s.requestBody += " changed"
	}
	sim.mu.Lock()
	s.id = len(sim.sends)
	sim.sends = append(sim.sends, s)
	sim.mu.Unlock()
	sim.post(s, o, p.timeout)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.ended = time.Now()
	return s
}

// post sends s and stores the response in it.
func (sim *simulation) post(s *send, o order, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	path, method := "/orders", http.MethodPost
	if o.kind == read {
		path, method = "/reads", http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(s.requestBody))
	if err != nil {
		sim.failf("create request: %v", err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+secrets[o.customer])
	req.Header.Set("Send", strconv.Itoa(s.id))
	if o.kind == keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("key %d", s.order))
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		near, far := net.Pipe()
		return near, s.entry.listener.Deliver(ctx, s.entry.wrapConn(far))
	}}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.err = err
		return
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.status, s.header, s.responseBody, s.err = resp.StatusCode, resp.Header, string(b), err
	if s.refused() {
		var m struct {
			NotRun string `json:"not-run"`
		}
		if err := json.Unmarshal(b, &m); err != nil {
			sim.failf("decode refusal %q: %v", b, err)
		}
		s.notRun = m.NotRun
	}
}
