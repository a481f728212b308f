package fake

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	proxyChunkBytes = 16 << 10
	proxyChunks     = 64 // chunks under way in one direction of a connection
)

// Proxy forwards connections to Target and can delay, hold or drop them, as
// slow links, partitions and half-open connections do.
type Proxy struct {
	Target string
	// Dial connects to Target; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	faults  ProxyFaults
	changed chan struct{} // closed and replaced at each change
	conns   map[*proxied]bool
	total   int
}

// ProxyFaults are the faults a test sets.
type ProxyFaults struct {
	Refuse bool          // close new connections at once
	Hold   bool          // keep all connections open and pass nothing
	Delay  time.Duration // one-way, without a limit on throughput
	// HoldTo and HoldFrom hold what goes to Target, or comes from it.
	HoldTo, HoldFrom bool
}

// proxied is one connection through a proxy.
type proxied struct {
	ctx  context.Context
	ends [2]net.Conn
	held bool
}

func (c *proxied) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

// Set changes the faults while the proxy serves.
func (p *Proxy) Set(change func(f *ProxyFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notify()
}

// HoldOpen makes the connections that are open now silent for good. New ones
// pass.
func (p *Proxy) HoldOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.held = true
	}
	p.notify()
}

// Drop closes the connections that are open now.
func (p *Proxy) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Connections returns how many connections are open and how many there were.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.total
}

func (p *Proxy) notify() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// Serve forwards connections until ctx ends, then closes them and returns.
func (p *Proxy) Serve(ctx context.Context, l net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			cancel()
			return
		}
		wg.Go(func() { p.forward(ctx, c) })
	}
}

func (p *Proxy) forward(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	p.mu.Lock()
	refuse := p.faults.Refuse
	p.mu.Unlock()
	if refuse {
		return
	}
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	server, err := dial(ctx, "tcp", p.Target)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &proxied{ctx: ctx, ends: [2]net.Conn{client, server}}
	p.add(c)
	defer p.remove(c)
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(c, client, server, func(f ProxyFaults) bool { return f.Hold || f.HoldTo }) })
	wg.Go(func() { p.pipe(c, server, client, func(f ProxyFaults) bool { return f.Hold || f.HoldFrom }) })
	wg.Wait()
}

func (p *Proxy) add(c *proxied) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*proxied]bool)
	}
	p.conns[c] = true
	p.total++
}

func (p *Proxy) remove(c *proxied) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

type chunk struct {
	data []byte
	read time.Time
}

// pipe forwards one direction, which holds reports to be held. It closes the
// connection at its end, since links and HTTP do not use half-closed connections.
func (p *Proxy) pipe(c *proxied, from, to net.Conn, holds func(f ProxyFaults) bool) {
	chunks := make(chan chunk, proxyChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, proxyChunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now()}:
				case <-c.ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for k := range chunks {
		if !p.pass(c, k.read, holds) {
			break
		}
		if _, err := to.Write(k.data); err != nil {
			break
		}
	}
	if p.pass(c, time.Now(), holds) {
		c.close()
	}
	for range chunks {
		continue // until the reader ends
	}
}

// pass waits until bytes read at a time may go on, and reports false if the
// connection ended first. The end of a connection is held like its bytes.
func (p *Proxy) pass(c *proxied, read time.Time, holds func(f ProxyFaults) bool) bool {
	for {
		p.mu.Lock()
		if p.changed == nil {
			p.notify()
		}
		changed, held := p.changed, holds(p.faults) || c.held
		wait := time.Until(read.Add(p.faults.Delay))
		p.mu.Unlock()
		var due <-chan time.Time
		if !held {
			if wait <= 0 {
				return c.ctx.Err() == nil
			}
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}
