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

// stopTimeout bounds the graceful shutdown of a process.
const stopTimeout = 30 * time.Second

// process is a simulated process that can be killed, paused and restarted.
type process struct {
	mu       sync.Mutex
	instance *instance     // the latest one
	resumed  chan struct{} // nil unless paused
}

// instance is a process from one start until it is killed.
type instance struct {
	process  *process
	number   int             // 1 for the first instance of the process
	ctx      context.Context // done when the process is killed
	cancel   context.CancelFunc
	stop     func()        // begins the graceful shutdown of an agent
	stopped  chan struct{} // closed when that shutdown is complete
	listener *memlink.Listener
	entry    *entry.Entry
	agent    *agent.Agent

	mu    sync.Mutex
	conns []net.Conn
}

// current returns the latest instance, which may have been killed.
func (p *process) current() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// newInstance replaces the current instance by a new one. Its entry, agent or service
// remains to be started.
func (p *process) newInstance() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := &instance{process: p, number: 1, listener: memlink.NewListener()}
	if p.instance != nil {
		inst.number = p.instance.number + 1
	}
	inst.ctx, inst.cancel = context.WithCancel(context.Background())
	p.instance = inst
	return inst
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

// wait blocks while the process is paused.
func (p *process) wait() { p.waitUntil(nil) }

// waitUntil is like wait, but also returns once done is closed.
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

// terminate kills the instance. Its connections are closed, so that it can no longer
// affect other processes.
func (inst *instance) terminate() {
	inst.cancel()
	_ = inst.listener.Close()
	inst.mu.Lock()
	defer inst.mu.Unlock()
	for _, c := range inst.conns {
		_ = c.Close()
	}
	inst.conns = nil
}

// wrapConn registers c as a connection of the process and wraps it so that reads
// and writes block while the process is paused.
func (inst *instance) wrapConn(c net.Conn) net.Conn {
	inst.addConn(c)
	return &pausableConn{Conn: c, p: inst.process}
}

// addConn registers c as a connection of the process, to be closed when the
// process is killed.
func (inst *instance) addConn(c net.Conn) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.ctx.Err() != nil {
		_ = c.Close()
	}
	inst.conns = append(inst.conns, c)
}

// pausableConn is a connection that blocks while its process is paused.
type pausableConn struct {
	net.Conn
	p *process
}

func (c *pausableConn) Read(b []byte) (int, error)  { c.p.wait(); return c.Conn.Read(b) }
func (c *pausableConn) Write(b []byte) (int, error) { c.p.wait(); return c.Conn.Write(b) }

// connect opens a connection between two instances, unless one was killed.
func connect(from, to *instance) (near, far net.Conn, err error) {
	if from.ctx.Err() != nil || to.ctx.Err() != nil {
		return nil, nil, net.ErrClosed
	}
	near, far = net.Pipe()
	from.addConn(near)
	to.addConn(far)
	return near, far, nil
}

// recorder records the bytes that an entry sends on a link, for replay.
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

// dialLink connects an entry to an agent and injects the fault planned for the
// connection. Frames also wait while either process is paused.
func (sim *simulation) dialLink(ctx context.Context, from *instance, a link.Address) (net.Conn, error) {
	to := sim.agents[a.AddrPort.Port()-1].current()
	near, far, err := connect(from, to)
	if err != nil {
		return nil, err
	}
	f := &memlink.Fault{BeforeFrame: func() {
		sim.step()
		from.process.wait()
		to.process.wait()
	}}
	f.FramesLeft.Store(1 << 40) // no fault unless planned below
	var plan linkFault
	if n := int(sim.dials.Add(1)) - 1; n < nDials && !sim.faultsEnded.Load() {
		plan = sim.plan.linkFaults[n]
		if plan.frames >= 0 {
			f.FramesLeft.Store(plan.frames)
			f.Close, f.Pause = plan.close, plan.pause
		}
	}
	sim.mu.Lock()
	sim.linkFaults = append(sim.linkFaults, f)
	sim.mu.Unlock()
	recorded := &recorder{Conn: memlink.WithFault(near, f)}
	if plan.replay > 0 {
		go func() {
			time.Sleep(plan.replay)
			sim.replay(recorded, to)
		}()
	}
	if err := to.listener.Deliver(ctx, memlink.WithFault(far, f)); err != nil {
		return nil, err
	}
	return recorded, nil
}

// replay opens a second connection to the instance of an agent and sends it the
// complete frames that an entry has sent to it on the recorded connection.
func (sim *simulation) replay(r *recorder, to *instance) {
	const replayTimeout = time.Second
	r.mu.Lock()
	sent := append([]byte(nil), memlink.CompleteFrames(r.sent)...)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(to.ctx, replayTimeout)
	defer cancel()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	to.addConn(far)
	if to.listener.Deliver(ctx, far) != nil {
		return
	}
	sim.counts.replays.Add(1)
	go func() { discard(near) }()
	_ = near.SetWriteDeadline(time.Now().Add(replayTimeout))
	_, _ = near.Write(sent)
	<-ctx.Done()
}

// discard reads from c until it is closed.
func discard(c net.Conn) {
	b := make([]byte, 4096)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

func (sim *simulation) startEntry(i int) {
	inst := sim.entries[i].newInstance()
	links := &link.Pool{Dial: func(ctx context.Context, a link.Address) (net.Conn, error) { return sim.dialLink(ctx, inst, a) }}
	inst.entry = &entry.Entry{Config: &sim.config, Links: links, Control: &controlClient{sim.control, inst}, Admitter: plannedAdmitter{sim}, Log: sim.log}
	server := &http.Server{Handler: inst.entry, ErrorLog: sim.log.StandardLogger(nil)}
	entry.Limits{}.Apply(server)
	go func() { _ = server.Serve(inst.listener) }()
	go func() { _ = inst.entry.Serve(inst.ctx) }()
	go func() {
		<-inst.ctx.Done()
		links.Close()
		_ = server.Close()
	}()
}

// plannedAdmitter is the admitter of an entry, which delays or refuses requests as
// planned.
type plannedAdmitter struct{ sim *simulation }

func (p plannedAdmitter) Admit(ctx context.Context, _ entry.Request) (func(entry.Outcome), error) {
	n := int(p.sim.admissions.Add(1)) - 1
	if n >= nAdmissions || p.sim.faultsEnded.Load() {
		return func(entry.Outcome) {}, nil
	}
	a := p.sim.plan.admissions[n]
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

// startAgent starts the i-th agent. Once callers send requests, sim.mu must be held,
// which guards sim.agentInstances. The agent sends its instance number to the service
// as the port of the Host header.
func (sim *simulation) startAgent(i int) {
	inst := sim.agents[i].newInstance()
	sim.agentInstances = append(sim.agentInstances, inst)
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		to := sim.services[i].current()
		near, far, err := connect(inst, to)
		if err != nil {
			return nil, err
		}
		return &pausableConn{near, inst.process}, to.listener.Deliver(ctx, &pausableConn{far, to.process})
	}}
	target := sim.target(i)
	target.Incarnation = fleet.Incarnation(inst.number)
	inst.agent = &agent.Agent{
		Listener: inst.listener, TargetURL: &url.URL{Scheme: "http", Host: fmt.Sprintf("127.0.0.1:%d", inst.number)}, Transport: transport,
		Control: &controlClient{sim.control, inst}, Log: sim.log, Announcement: target, StopTimeout: stopTimeout,
	}
	inst.agent.ApplyConfiguration(config.NewIndex(config.Snapshot{Revision: 1, Targets: []fleet.Target{target}}))
	listener := inst.listener
	if sim.variant.alterQuery != nil || sim.variant.alterRun != nil {
		// Entries connect to the relay, which connects to the agent.
		agentListener := memlink.NewListener()
		inst.agent.Listener = agentListener
		sim.startRelay(inst, listener, agentListener)
	}
	serve, stop := context.WithCancel(inst.ctx)
	inst.stop, inst.stopped = stop, make(chan struct{})
	go func() {
		defer close(inst.stopped)
		_ = inst.agent.Serve(serve)
	}()
}

func (sim *simulation) startService(i int) {
	inst := sim.services[i].newInstance()
	server := &http.Server{Handler: sim.service(i, inst), ErrorLog: sim.log.StandardLogger(nil)}
	go func() { _ = server.Serve(inst.listener) }()
	go func() {
		<-inst.ctx.Done()
		_ = server.Close()
	}()
}

// injectProcessFault injects a fault of a process and ends it after its duration.
func (sim *simulation) injectProcessFault(f processFault) {
	sim.counts.processFaults.Add(1)
	if f.kind == controlProcess {
		sim.control.injectFault(f.op != opPause)
		time.Sleep(f.duration)
		sim.control.endFault()
		return
	}
	p := [][]*process{sim.entries, sim.agents, sim.services}[f.kind][f.index]
	if f.op == opPause {
		p.pause()
		time.Sleep(f.duration)
		p.resume()
		return
	}
	inst := p.current()
	if inst.ctx.Err() != nil {
		return // killed by another fault
	}
	switch {
	case f.op == opCancelKey && f.kind == entryProcess:
		inst.entry.CancelKey(customers[f.index])
		return
	case f.op == opStop && f.kind == entryProcess:
		ctx, cancel := context.WithTimeout(inst.ctx, stopTimeout)
		inst.entry.Stop(ctx)
		cancel()
	case f.op == opStop && f.kind == agentProcess:
		inst.stop()
		<-inst.stopped
	}
	inst.terminate()
	time.Sleep(f.duration)
	sim.restart(f.kind, f.index, inst)
}

// restart starts a process again unless another fault has already replaced the
// killed instance.
func (sim *simulation) restart(kind processKind, i int, killed *instance) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	p := [][]*process{sim.entries, sim.agents, sim.services}[kind][i]
	if p.current() != killed {
		return
	}
	switch kind {
	case entryProcess:
		sim.startEntry(i)
	case agentProcess:
		sim.startAgent(i)
	default:
		sim.startService(i)
	}
}
