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
	id       int
	order    int
	kind     orderKind
	customer string
	body     string
	entry    *instance
	began    time.Time
	ended    time.Time
	status   int
	header   http.Header
	text     string
	notRun   string // the not-run member of a refusal
	err      error
}

// refused reports whether the response is a refusal by the entry itself.
func (s *send) refused() bool {
	return s.err == nil && s.header.Get("Content-Type") == "application/problem+json"
}

// call runs one caller, which sends the requests planned for an order.
func (sim *simulation) call(n int, o order) {
	time.Sleep(o.start)
	for _, p := range o.sends {
		s := sim.send(n, o, p)
		switch {
		case o.kind == unkeyed && s.notRun != "true":
			return // must not be retried
		case o.kind == read && s.err == nil && !s.refused():
			return
		}
		time.Sleep(p.pause)
	}
}

func (sim *simulation) send(n int, o order, p sendPlan) *send {
	inst := sim.entries[p.entry].current()
	s := &send{order: n, kind: o.kind, customer: customers[o.customer], body: fmt.Sprintf("order %d", n) + strings.Repeat(".", o.bodySize), entry: inst, began: time.Now()}
	if p.otherBody && o.kind == keyed {
		s.body += " changed"
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

func (sim *simulation) post(s *send, o order, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	path, method := "/orders", http.MethodPost
	if o.kind == read {
		path, method = "/reads", http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(s.body))
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
	s.status, s.header, s.text, s.err = resp.StatusCode, resp.Header, string(b), err
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
