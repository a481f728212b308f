package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	workTime        = 60 * time.Millisecond
)

// arrival is one request at a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	ran    bool
}

// server is a plain server of the service: it answers each request after workTime.
type server struct {
	d        *deployment
	id       string
	born     time.Time
	zone     string
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	sequence int
	arrivals []arrival
	quiet    bool // sends no heartbeats of its own
}

// newServer starts a server that announces itself as ready.
func newServer(d *deployment, id, zone string, host int) (*server, error) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", fmt.Sprintf("%s.%d:0", d.net, host))
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, born: time.Now(), zone: zone, listener: l}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	go s.announce()
	return s, nil
}

// ServeHTTP runs a request that names this server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire["request-id"])
	w.Header().Set(wire["request-id"], id)
	ran := r.Header.Get(wire["expect"]) == "" || r.Header.Get(wire["expect"]) == s.id
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), s.id, id, ran})
	s.mu.Unlock()
	if !ran {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.d.record.linef("server %s runs %s", s.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(workTime)
	w.Header().Set(wire["signature"], "of-"+id)
	_, _ = io.WriteString(w, strings.Repeat("answer to "+id+"\n", 20))
}

// beat returns the body of the next heartbeat.
func (s *server) beat(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	b, err := json.Marshal(map[string]any{
		"service": service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return b
}

// announce sends heartbeats to one replica until a call fails there, and then to the next one.
func (s *server) announce() {
	for n := 0; s.d.ctx.Err() == nil; time.Sleep(heartbeatPeriod) {
		s.mu.Lock()
		quiet := s.quiet
		s.mu.Unlock()
		if quiet {
			return
		}
		body := s.beat("ready")
		for tries := 0; tries < 6; tries++ {
			if s.d.post(s.d.core[n%len(s.d.core)], wire["heartbeat"]+s.id, body) == http.StatusOK {
				break
			}
			n++
			time.Sleep(50 * time.Millisecond << tries)
		}
	}
}

// stop ends the heartbeats of the server's own.
func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet = true
}

// deregister sends the deregistration to one replica after the other until it is acknowledged.
func (s *server) deregister() (acknowledged time.Time, by *machine, err error) {
	body, err := json.Marshal(map[string]any{"born": s.born.UnixMilli()})
	if err != nil {
		return time.Time{}, nil, err
	}
	for n := range 12 {
		m := s.d.core[n%len(s.d.core)]
		status := s.d.post(m, wire["deregister"]+s.id, body)
		s.d.record.linef("server %s: deregistration to %s: status %d", s.id, m.name, status)
		if status == http.StatusOK {
			return time.Now(), m, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, nil, fmt.Errorf("%w: the deregistration was not acknowledged", errNoRun)
}

// list returns the arrivals so far.
func (s *server) list() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
