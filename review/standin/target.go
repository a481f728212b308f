package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one execution of a request at a target.
type run struct {
	id, path string
	start    time.Time
	whole    bool // the response was written
}

// target is a sound back end. It announces itself to one registry replica, and to the next
// one after a failure.
type target struct {
	name     string
	work     time.Duration
	record   *record
	controls []string // addresses of the registry replicas, as this target reaches them
	next     int      // index of the replica for the next announcement
	listener net.Listener
	server   *http.Server
	born     int64

	mu       sync.Mutex
	sequence int
	leaving  bool
	runs     map[string]*run
	lastBeat time.Time // acknowledged
}

func newTarget(r *record, name string, work time.Duration, controls []string, first int) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		name: name, work: work, record: r, controls: controls, next: first, listener: l, born: time.Now().UnixMilli(),
		runs: make(map[string]*run),
	}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// announce sends announcements until ctx ends or the target leaves.
func (t *target) announce(ctx context.Context) {
	for {
		t.mu.Lock()
		t.sequence++
		body, err := json.Marshal(map[string]any{
			"service": pool, "address": t.listener.Addr().String(), "zone": "z", "version": "v1", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": t.sequence, "born": t.born,
		})
		leaving := t.leaving
		t.mu.Unlock()
		if err != nil || leaving {
			return
		}
		if t.call(ctx, names["beat"]+t.name, body) {
			t.mu.Lock()
			t.lastBeat = time.Now()
			t.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatPeriod):
		}
	}
}

// leave sends the deregistration until a replica acknowledges it, as a target does that
// never reports that it drains. It returns when that was.
func (t *target) leave(ctx context.Context) time.Time {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	for ctx.Err() == nil {
		if t.call(ctx, names["leave"]+t.name, nil) {
			return time.Now()
		}
	}
	return time.Time{}
}

// call posts to the current replica. Without an acknowledgement within a second it moves on
// to the next one and returns false.
func (t *target) call(ctx context.Context, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	at := t.next % len(t.controls)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.controls[at]+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	r, err := http.DefaultTransport.RoundTrip(q)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	if err != nil || r.StatusCode >= 300 {
		t.record.line("%s: %s to replica %d not acknowledged: %v", t.name, path, at+1, err)
		t.next++
		return false
	}
	if len(body) == 0 {
		t.record.line("%s: %s acknowledged by replica %d with status %d", t.name, path, at+1, r.StatusCode)
	}
	return true
}

// ServeHTTP runs a request, unless it is meant for another target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request-id"])
	w.Header().Set(names["request-id"], id)
	if expect := r.Header.Get(names["expect"]); expect != "" && expect != t.name {
		w.Header().Set(names["not-run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := &run{id: id, path: r.URL.Path, start: time.Now()}
	t.mu.Lock()
	t.runs[id] = x
	t.mu.Unlock()
	n, _ := io.Copy(io.Discard, r.Body)
	t.record.line("%s runs %s %s, %d bytes", t.name, id, r.URL.Path, n)
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(names["signature"], "of-"+id)
	if _, err := io.WriteString(w, answer(id)); err == nil {
		t.mu.Lock()
		x.whole = true
		t.mu.Unlock()
	}
}

// answer returns the response to a request.
func answer(id string) string { return strings.Repeat(fmt.Sprintf("answer to %s\n", id), 20) }

// ran reports whether the target has run a request.
func (t *target) ran(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id] != nil
}

// end closes the target and all its connections.
func (t *target) end() { _ = t.server.Close() }
