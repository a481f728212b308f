package pathsearch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/memlink"
	"papayarock/io/agent"
	"papayarock/io/entry"
	"papayarock/io/link"
)

// stopTimeout bounds the end in order of a process.
const stopTimeout = 30 * time.Second

// process is a process that can be killed, paused and started again.
type process struct {
	mu      sync.Mutex
	life    *life
	resumed chan struct{} // nil unless paused
}

// life is one run of a process, from its start until it is killed.
type life struct {
	process  *process
	number   int
	ctx      context.Context // ends when it is killed
	kill     context.CancelFunc
	stop     func()        // begins the end in order of an agent
	stopped  chan struct{} // closed at that end
	listener *memlink.Listener
	entry    *entry.Entry
	agent    *agent.Agent

	mu    sync.Mutex
	conns []net.Conn
}

func (p *process) current() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// begin starts a new life.
func (p *process) begin() *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &life{process: p, number: 1, listener: memlink.NewListener()}
	if p.life != nil {
		l.number = p.life.number + 1
	}
	l.ctx, l.kill = context.WithCancel(context.Background())
	p.life = l
	return l
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// wait returns once the process is not paused.
func (p *process) wait() { p.waitUntil(nil) }

// waitUntil is wait that also returns once done is closed.
func (p *process) waitUntil(done <-chan struct{}) {
	p.mu.Lock()
	c := p.resumed
	p.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-c:
	case <-done:
	}
}

// end kills the process: from here on it has no effect on others.
func (l *life) end() {
	l.kill()
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// own makes c a connection of the process, which stands still while the process
// is paused.
func (l *life) own(c net.Conn) net.Conn {
	l.keep(c)
	return &owned{Conn: c, p: l.process}
}

// keep makes c a connection of the process.
func (l *life) keep(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close()
	}
	l.conns = append(l.conns, c)
}

// owned is a connection that stands still while its process is paused.
type owned struct {
	net.Conn
	p *process
}

func (c *owned) Read(b []byte) (int, error)  { c.p.wait(); return c.Conn.Read(b) }
func (c *owned) Write(b []byte) (int, error) { c.p.wait(); return c.Conn.Write(b) }

// connect makes a connection between two processes.
func connect(from, to *life) (near, far net.Conn, err error) {
	if from.ctx.Err() != nil || to.ctx.Err() != nil {
		return nil, nil, net.ErrClosed
	}
	near, far = net.Pipe()
	from.keep(near)
	to.keep(far)
	return near, far, nil
}

// recorder keeps what an entry sends on a link.
type recorder struct {
	net.Conn
	mu   sync.Mutex
	sent []byte
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	r.sent = append(r.sent, b...)
	r.mu.Unlock()
	return r.Conn.Write(b)
}

func (w *world) dialLink(ctx context.Context, from *life, a link.Address) (net.Conn, error) {
	to := w.agents[a.AddrPort.Port()-1].current()
	near, far, err := connect(from, to)
	if err != nil {
		return nil, err
	}
	f := &memlink.Fault{BeforeFrame: func() {
		w.step()
		from.process.wait()
		to.process.wait()
	}}
	f.FramesLeft.Store(1 << 40)
	var plan linkFault
	if n := int(w.dials.Add(1)) - 1; n < nDials && !w.healed.Load() {
		plan = w.plan.links[n]
		if plan.frames >= 0 {
			f.FramesLeft.Store(plan.frames)
			f.Close, f.Pause = plan.close, plan.pause
		}
	}
	w.mu.Lock()
	w.damaged = append(w.damaged, f)
	w.mu.Unlock()
	record := &recorder{Conn: memlink.WithFault(near, f)}
	if plan.replay > 0 {
		go func() {
			time.Sleep(plan.replay)
			w.replay(record, to)
		}()
	}
	if err := to.listener.Deliver(ctx, memlink.WithFault(far, f)); err != nil {
		return nil, err
	}
	return record, nil
}

// replay delivers to the same run of an agent again what an entry has sent on
// a connection.
func (w *world) replay(r *recorder, to *life) {
	const stay = time.Second
	r.mu.Lock()
	sent := append([]byte(nil), memlink.CompleteFrames(r.sent)...)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(to.ctx, stay)
	defer cancel()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	to.keep(far)
	if to.listener.Deliver(ctx, far) != nil {
		return
	}
	w.counts.replays.Add(1)
	go func() { drain(near) }()
	_ = near.SetWriteDeadline(time.Now().Add(stay))
	_, _ = near.Write(sent)
	<-ctx.Done()
}

func drain(c net.Conn) {
	b := make([]byte, 4096)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

func (w *world) startEntry(i int) {
	l := w.entries[i].begin()
	links := &link.Pool{Dial: func(ctx context.Context, a link.Address) (net.Conn, error) { return w.dialLink(ctx, l, a) }}
	l.entry = &entry.Entry{Config: &w.config, Links: links, Control: &endpoint{w.control, l}, Admitter: queue{w}, Log: w.log}
	server := &http.Server{Handler: l.entry, ErrorLog: w.log.StandardLogger(nil)}
	entry.Limits{}.Apply(server)
	go func() { _ = server.Serve(l.listener) }()
	go func() { _ = l.entry.Serve(l.ctx) }()
	go func() {
		<-l.ctx.Done()
		links.Close()
		_ = server.Close()
	}()
}

// queue lets requests wait, or refuses them, as planned.
type queue struct{ w *world }

func (q queue) Admit(ctx context.Context, _ entry.Request) (func(entry.Outcome), error) {
	n := int(q.w.admissions.Add(1)) - 1
	if n >= nAdmitted || q.w.healed.Load() {
		return func(entry.Outcome) {}, nil
	}
	a := q.w.plan.admitted[n]
	select {
	case <-time.After(a.wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if a.refuse {
		return nil, &entry.Refusal{Status: http.StatusServiceUnavailable, Type: "queue-full", Title: "too many requests wait"}
	}
	return func(entry.Outcome) {}, nil
}

// startAgent needs w.mu once the run has begun.
func (w *world) startAgent(i int) {
	l := w.agents[i].begin()
	w.lives = append(w.lives, l)
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		to := w.services[i].current()
		near, far, err := connect(l, to)
		if err != nil {
			return nil, err
		}
		return &owned{near, l.process}, to.listener.Deliver(ctx, &owned{far, to.process})
	}}
	target := w.target(i)
	target.Incarnation = fleet.Incarnation(l.number)
	l.agent = &agent.Agent{
		Listener: l.listener, Target: &url.URL{Scheme: "http", Host: fmt.Sprintf("127.0.0.1:%d", l.number)}, Transport: transport,
		Control: &endpoint{w.control, l}, Log: w.log, Announcement: target, StopTimeout: stopTimeout,
	}
	l.agent.Configured(config.NewIndex(config.Snapshot{Revision: 1, Targets: []fleet.Target{target}}))
	listener := l.listener
	if w.v.relay != nil || w.v.run != nil {
		// The relay takes the connections of entries and has its own to the agent.
		behind := memlink.NewListener()
		l.agent.Listener = behind
		w.startRelay(l, listener, behind)
	}
	serve, stop := context.WithCancel(l.ctx)
	l.stop, l.stopped = stop, make(chan struct{})
	go func() {
		defer close(l.stopped)
		_ = l.agent.Serve(serve)
	}()
}

func (w *world) startService(i int) {
	l := w.services[i].begin()
	server := &http.Server{Handler: w.service(i, l), ErrorLog: w.log.StandardLogger(nil)}
	go func() { _ = server.Serve(l.listener) }()
	go func() {
		<-l.ctx.Done()
		_ = server.Close()
	}()
}

// act carries out a fault of a process and ends it after a time.
func (w *world) act(a action) {
	w.counts.actions.Add(1)
	if a.kind == controlProcess {
		w.control.fail(a.verb != pause)
		time.Sleep(a.down)
		w.control.recover()
		return
	}
	p := [][]*process{w.entries, w.agents, w.services}[a.kind][a.i]
	if a.verb == pause {
		p.pause()
		time.Sleep(a.down)
		p.resume()
		return
	}
	l := p.current()
	if l.ctx.Err() != nil {
		return // already down
	}
	switch {
	case a.verb == cut && a.kind == entryProcess:
		l.entry.CancelKey(customers[a.i])
		return
	case a.verb == stop && a.kind == entryProcess:
		ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
		l.entry.Stop(ctx)
		cancel()
	case a.verb == stop && a.kind == agentProcess:
		l.stop()
		<-l.stopped
	}
	l.end()
	time.Sleep(a.down)
	w.restart(a.kind, a.i, l)
}

func (w *world) restart(kind processKind, i int, dead *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := [][]*process{w.entries, w.agents, w.services}[kind][i]
	if p.current() != dead {
		return // started again by another fault or by heal
	}
	switch kind {
	case entryProcess:
		w.startEntry(i)
	case agentProcess:
		w.startAgent(i)
	default:
		w.startService(i)
	}
}
