package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the gateways, each over new connections.
type clients struct {
	d    *deployment
	next atomic.Int64

	mu   sync.Mutex
	sent map[string]sentRequest // by request id
	// bodies holds the bodies of the answers by request id, or is nil.
	bodies map[string]string
}

// sentRequest is a request that a client has sent.
type sentRequest struct {
	at      time.Time
	gateway *machine
	status  int // 0 without an answer
}

// startClients sends requests to each gateway in turn, perSecond to each.
func startClients(d *deployment, perSecond int) *clients {
	c := &clients{d: d, sent: make(map[string]sentRequest)}
	for _, m := range d.machines() {
		go func() {
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for {
				select {
				case <-d.ctx.Done():
					return
				case <-tick.C:
				}
				go c.send(m, "read")
			}
		}()
	}
	return c
}

// send sends one request and returns the status of the answer, or 0.
func (c *clients) send(m *machine, route string) int {
	limit := 2500 * time.Millisecond
	if route == "stream" {
		limit = 15 * time.Second
	}
	id := fmt.Sprintf("%016x", c.next.Add(1))
	at := time.Now()
	c.mu.Lock()
	c.sent[id] = sentRequest{at, m, 0}
	c.mu.Unlock()
	q, err := http.NewRequestWithContext(c.d.ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/%s/%s", m.ip, c.d.front, route, id), http.NoBody)
	if err != nil {
		return 0
	}
	q.Host = hostName
	q.Header.Set(wire["request-id"], id)
	q.Header.Set(wire["deadline"], strconv.FormatInt(limit.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	r, err := (&http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	status := 0
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err == nil {
			status = r.StatusCode
		}
		if c.bodies != nil {
			c.mu.Lock()
			c.bodies[id] = string(body)
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	c.sent[id] = sentRequest{at, m, status}
	c.mu.Unlock()
	c.d.record.linef("client: %s to %s: status %d", id, m.name, status)
	return status
}

// all returns all requests that were sent.
func (c *clients) all() map[string]sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sent)
}

// request returns a request that was sent.
func (c *clients) request(id string) (sentRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.sent[id]
	return r, ok
}
