package main

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// path forwards connections to a replica until it is cut. A cut is silent: nothing is
// forwarded or closed any more.
type path struct {
	to  string
	cut atomic.Bool
	l   net.Listener
}

func newPath(ctx context.Context, to string) (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	p := &path{to: to, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(ctx, c)
		}
	}()
	return p, nil
}

func (p *path) forward(ctx context.Context, c net.Conn) {
	context.AfterFunc(ctx, func() { _ = c.Close() })
	if p.cut.Load() {
		return
	}
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go p.pump(s, c)
	p.pump(c, s)
}

func (p *path) pump(to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if p.cut.Load() {
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}

// leaveCase plays the deregistration of a target that loses its path to the replica that it
// announced itself to, and that therefore deregisters at another one.
func leaveCase(r *record, binary, dir string, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	usage, err := servePlatform(ctx)
	if err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	d, err := newDeployment(r, dir, binary, options{gateways: 3, beside: true, usage: usage})
	if err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	defer d.stop()
	routes := []route{{"read", "/read/", "idempotent", 1200, 2}, {"order", "/order/", "non_idempotent", 1200, 1}}
	if err := d.put(document(3, routes), 20*time.Second); err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	var targets []*target
	for i, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		t, err := newTarget(r, name, 60*time.Millisecond, d.controls, i)
		if err != nil {
			r.say("cannot run: %v", err)
			return notRun
		}
		defer t.end()
		targets = append(targets, t)
	}
	// The path from i-3 to its replica, the third, can be cut.
	link, err := newPath(ctx, d.controls[2])
	if err != nil {
		r.say("cannot run: %v", err)
		return notRun
	}
	leaver := targets[2]
	leaver.controls = []string{d.controls[0], d.controls[1], link.l.Addr().String()}
	for _, t := range targets {
		go t.announce(ctx)
	}
	if !d.ready(20 * time.Second) {
		r.say("cannot run: the gateways are not ready")
		return notRun
	}
	// All hosts are in touch once they have run undisturbed for contactTime.
	time.Sleep(contactTime + time.Second)
	// The callers use the gateways on the other five hosts: nothing is under way between i-3
	// and the host from which it is cut, in either direction.
	c := &callers{record: r, fronts: slices.Delete(slices.Clone(d.fronts), 2, 3)}
	callCtx, stopCalls := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range 24 {
		path := "/order/"
		if i%4 == 0 {
			path = "/read/"
		}
		wg.Go(func() { c.steady(callCtx, i%len(c.fronts), path, 40*time.Millisecond) })
	}
	time.Sleep(3 * time.Second)
	// Wait for an acknowledged announcement.
	leaver.mu.Lock()
	last := leaver.lastBeat
	leaver.mu.Unlock()
	for {
		leaver.mu.Lock()
		now := leaver.lastBeat
		leaver.mu.Unlock()
		if now != last {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		r.say("the path from i-3 to host 3 is cut for 5 s")
		link.cut.Store(true)
		time.AfterFunc(5*time.Second, func() { link.cut.Store(false) })
	}
	time.Sleep(300 * time.Millisecond)
	r.say("i-3 deregisters")
	acknowledged := leaver.leave(ctx)
	r.say("the deregistration of i-3 was acknowledged")
	// It serves for the drain time and a little longer.
	time.Sleep(time.Until(acknowledged.Add(drainTime + 1500*time.Millisecond)))
	leaver.end()
	ended := time.Now()
	r.say("i-3 ended")
	time.Sleep(2 * time.Second)
	stopCalls()
	wg.Wait()
	served, late, cut := 0, 0, 0
	sent := make(map[string]outcome)
	for _, o := range c.list {
		sent[o.id] = o
		if o.status == 200 && o.whole {
			served++
		}
	}
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for id, x := range leaver.runs {
		if x.start.After(acknowledged.Add(drainTime)) {
			late++
			r.line("late: %s %s reached i-3 %v after the acknowledgement; its caller sent it %v after it", id, x.path, x.start.Sub(acknowledged).Round(time.Millisecond), sent[id].sent.Sub(acknowledged).Round(time.Millisecond))
		}
		if o := sent[id]; !x.whole && x.path == "/order/" && o.status != 200 && x.start.Before(ended) {
			cut++
		}
	}
	r.say("%d requests, %d served; %d reached i-3 later than %v after the acknowledgement; %d orders broken off when it ended", len(c.list), served, late, drainTime, cut)
	if served < len(c.list)/2 {
		r.say("cannot judge: fewer than half of the requests were served")
		return notRun
	}
	if late > 0 {
		r.say("DRAIN broken")
		return broken
	}
	r.say("DRAIN held")
	return held
}
