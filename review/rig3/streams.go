package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// eventPause is the time before each event of a stream, and before other answers. eventCount is the
// number of events of a stream.
const (
	eventPause = 120 * time.Millisecond
	eventCount = 40
)

// action is what a stream server does with a request.
type action int

const (
	runAll   action = iota // streams the answer
	breakOff               // streams some events, and resets the connection
	refuse                 // is full: says that it has not run the request
	refuse2                // the same, and sends that answer once more before its next answer on the connection
)

// streamRun is one run of a request at a stream server. end is zero while it lasts.
type streamRun struct {
	server, id string
	start, end time.Time
	how        string
}

// streamServers are the servers of one service, which know what to do with a request together.
type streamServers struct {
	d      *deployment
	decide func(server, id string) action

	mu   sync.Mutex
	runs []*streamRun
}

// add starts a server that announces itself as ready.
func (s *streamServers) add(id, zone string, host int) error {
	l, err := (&net.ListenConfig{}).Listen(s.d.ctx, "tcp", fmt.Sprintf("%s.%d:0", s.d.net, host))
	if err != nil {
		return err
	}
	go func() {
		<-s.d.ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(id, c)
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; s.d.ctx.Err() == nil; sequence++ {
			b, err := json.Marshal(map[string]any{
				"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
				"cold_remaining_ms": 0, "sequence": sequence, "born": born,
			})
			if err == nil {
				for n := range 3 {
					if s.d.post(s.d.core[(sequence+n)%len(s.d.core)], wire["heartbeat"]+id, b) == http.StatusOK {
						break
					}
				}
			}
			time.Sleep(heartbeatPeriod)
		}
	}()
	return nil
}

// serve handles the requests of one connection, one at a time.
func (s *streamServers) serve(server string, c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	extra := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := q.Header.Get(wire["request-id"])
		head := func(status string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n", status, wire["request-id"], id)
		}
		if x := q.Header.Get(wire["expect"]); x != "" && x != server {
			_, _ = fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", head("421 Misdirected Request"))
			continue
		}
		if !strings.HasPrefix(q.URL.Path, "/stream/") {
			s.decide(server, "") // only counts the answer
			time.Sleep(eventPause)
			body := "answer to " + id
			_, _ = fmt.Fprintf(c, "%s%s: of-%s\r\nContent-Length: %d\r\n\r\n%s", head("200 OK"), wire["signature"], id, len(body), body)
			continue
		}
		if extra != "" {
			s.d.record.linef("server %s sends its last answer on this connection once more", server)
			_, _ = c.Write([]byte(extra))
			extra = ""
		}
		switch a := s.decide(server, id); a {
		case refuse, refuse2:
			s.d.record.linef("server %s has no room for %s", server, id)
			answer := fmt.Sprintf("%s%s: 1\r\nContent-Length: 0\r\n\r\n", head("503 Service Unavailable"), wire["not-executed"])
			_, _ = c.Write([]byte(answer))
			if a == refuse2 {
				extra = answer
			}
		default:
			if !s.run(server, id, q, c, r, head("200 OK"), a == breakOff) {
				return
			}
		}
	}
}

// run streams the answer to a request. It returns false if the connection has ended.
func (s *streamServers) run(server, id string, q *http.Request, c net.Conn, r *bufio.Reader, head string, breaks bool) bool {
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
	x := &streamRun{server: server, id: id, start: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.d.record.linef("server %s runs %s from event %d on", server, id, from+1)
	end := func(how string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		x.end, x.how = time.Now(), how
		s.d.record.linef("server %s: the run of %s ends: %s", server, id, how)
	}
	closed := make(chan struct{})
	go func() {
		_ = c.SetReadDeadline(time.Time{})
		var timeout net.Error
		if _, err := r.Peek(1); err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			close(closed)
		}
	}()
	_, _ = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\n%s: of-%s\r\nTransfer-Encoding: chunked\r\n\r\n", head, wire["signature"], id)
	for n := from + 1; n <= eventCount; n++ {
		select {
		case <-closed:
			end("its connection was closed")
			return false
		case <-time.After(eventPause):
		}
		if breaks && n > from+5 {
			end("it breaks off")
			abort(c)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			end("its connection was reset")
			return false
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	end("complete")
	if err != nil {
		return false
	}
	// The goroutine above ends with the first byte of the next request.
	return true
}

// list returns copies of the runs so far.
func (s *streamServers) list() (out []streamRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.runs {
		out = append(out, *x)
	}
	return out
}

// events returns the ids of the events in a stream, or an error if it is not that of the request.
func events(body, id string) (ids []int, err error) {
	for part := range strings.SplitAfterSeq(body, "\n\n") {
		if part == "" {
			continue
		}
		var n, m int
		var of string
		if _, err := fmt.Sscanf(part, "id: %d\ndata: piece %d of %s\n\n", &n, &m, &of); err != nil || n != m || of != id {
			return ids, fmt.Errorf("event %q", part)
		}
		ids = append(ids, n)
	}
	return ids, nil
}
