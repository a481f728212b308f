package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, path   string
	front      int
	sent, done time.Time
	status     int // zero if there was no response
	whole      bool
	err        error
}

// callers send requests on connections that they keep open.
type callers struct {
	record *record
	fronts []string
	next   atomic.Int64

	mu   sync.Mutex
	list []outcome
}

// send sends one request and records its outcome. The body is written by pace.
func (c *callers) send(client *http.Client, front int, path string, body io.Reader, length int64, deadline time.Duration) outcome {
	id := fmt.Sprintf("%016x", c.next.Add(1))
	o := outcome{id: id, path: path, front: front, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fronts[front]+path, body)
	if err != nil {
		panic(err)
	}
	q.ContentLength = length
	q.Host = routeHost
	q.Header.Set(names["request-id"], id)
	q.Header.Set(names["deadline"], fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+key)
	r, err := client.Do(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		o.status, o.whole = r.StatusCode, err == nil && (r.StatusCode >= 300 || string(b) == answer(id))
	}
	o.done, o.err = time.Now(), err
	c.record.line("caller: %s %s at gateway %d: status %d, whole %v, after %v, error %v", id, path, front+1, o.status, o.whole, o.done.Sub(o.sent).Round(time.Millisecond), err)
	c.mu.Lock()
	c.list = append(c.list, o)
	c.mu.Unlock()
	return o
}

// steady sends requests of one kind on one connection, one after the other, until ctx ends.
func (c *callers) steady(ctx context.Context, front int, path string, pause time.Duration) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		b := bytes.Repeat([]byte("b"), 600)
		c.send(client, front, path, bytes.NewReader(b), int64(len(b)), 2500*time.Millisecond)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// newClient returns a client with one connection, which sends each request once.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}
