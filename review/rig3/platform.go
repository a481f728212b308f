package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one call to the platform, as it arrived.
type call struct {
	at                       time.Time
	path, holder, generation string
	body                     string
}

// platform stands for the platform's API: it accepts every usage report.
type platform struct {
	address string
	calls   chan call

	mu   sync.Mutex
	send func(m *machine) // called when a machine sends its next call, once
}

// onSend sets a function that is called when a machine has sent a call that has not arrived yet.
func (p *platform) onSend(f func(m *machine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send = f
}

// sending is called by the network for each piece of data that a machine sends to the platform.
func (p *platform) sending(m *machine) {
	p.mu.Lock()
	f := p.send
	p.send = nil
	p.mu.Unlock()
	if f != nil {
		f(m)
	}
}

func newPlatform(d *deployment) (*platform, error) {
	l, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", d.net+".60:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: l.Addr().String(), calls: make(chan call, 10000)}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		c := call{time.Now(), r.URL.Path, r.Header.Get(wire["holder"]), r.Header.Get(wire["generation"]), string(body)}
		d.record.linef("platform: %s from %s, generation %s: %s", c.path, c.holder, c.generation, c.body)
		p.calls <- c
	})}
	go func() { _ = s.Serve(l) }()
	return p, nil
}
