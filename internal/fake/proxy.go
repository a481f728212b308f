package fake

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	proxyChunkBytes = 16 << 10
	proxyChunks     = 64 // maximum number of chunks buffered in one direction of a connection
)

// Proxy forwards TCP connections to Target. It can delay, hold or close them to
// simulate slow networks, partitions and half-open connections. Held data is
// forwarded when the fault that holds it ends.
type Proxy struct {
	Target string
	// Dial connects to Target; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	faults  ProxyFaults
	changed chan struct{} // closed and replaced on each change
	conns   map[*proxyConn]bool
	total   int
}

// ProxyFaults are the faults injected into a Proxy.
type ProxyFaults struct {
	Refuse bool          // close new connections at once
	Hold   bool          // keep connections open without forwarding any bytes
	Delay  time.Duration // one-way latency; does not limit throughput
	// HoldTo and HoldFrom hold only the bytes to Target or from Target.
	HoldTo, HoldFrom bool
}

// proxyConn is a connection through a proxy.
type proxyConn struct {
	ctx  context.Context
	ends [2]net.Conn
	held bool // by HoldOpenConnections
}

func (c *proxyConn) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

// UpdateFaults changes the faults. It may be called while the proxy forwards
// connections. Faults that hold or delay data also apply to open connections.
func (p *Proxy) UpdateFaults(change func(f *ProxyFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notify()
}

// HoldOpenConnections permanently stops forwarding on all connections that are open
// now, without closing them. It does not affect new connections.
func (p *Proxy) HoldOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.held = true
	}
	p.notify()
}

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Connections returns the number of open connections and the number of all
// connections so far.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.total
}

// notify wakes all calls of waitReleased. The caller holds the mutex.
func (p *Proxy) notify() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// Serve forwards the connections that l accepts until ctx is cancelled or l fails.
// Then it closes all connections and returns.
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
	c := &proxyConn{ctx: ctx, ends: [2]net.Conn{client, server}}
	p.add(c)
	defer p.remove(c)
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.forwardOneWay(c, client, server, func(f ProxyFaults) bool { return f.Hold || f.HoldTo }) })
	wg.Go(func() { p.forwardOneWay(c, server, client, func(f ProxyFaults) bool { return f.Hold || f.HoldFrom }) })
	wg.Wait()
}

func (p *Proxy) add(c *proxyConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*proxyConn]bool)
	}
	p.conns[c] = true
	p.total++
}

func (p *Proxy) remove(c *proxyConn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// chunk is data read from one end of a connection.
type chunk struct {
	data   []byte
	readAt time.Time
}

// forwardOneWay copies data from one end of a connection to the other. heldByFault
// reports whether the faults hold this direction. When source is closed,
// forwardOneWay closes both ends, since links and HTTP do not use half-closed
// connections.
func (p *Proxy) forwardOneWay(c *proxyConn, source, destination net.Conn, heldByFault func(f ProxyFaults) bool) {
	chunks := make(chan chunk, proxyChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, proxyChunkBytes)
			n, err := source.Read(buf)
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
	for next := range chunks {
		if !p.waitReleased(c, next.readAt, heldByFault) {
			break
		}
		if _, err := destination.Write(next.data); err != nil {
			break
		}
	}
	if p.waitReleased(c, time.Now(), heldByFault) {
		c.close()
	}
	for range chunks {
		continue // wait until the reading goroutine ends
	}
}

// waitReleased waits until data that was read at readAt may be forwarded. It returns
// false if the connection ends first. The end of a connection is delayed and held
// like its data.
func (p *Proxy) waitReleased(c *proxyConn, readAt time.Time, heldByFault func(f ProxyFaults) bool) bool {
	for {
		p.mu.Lock()
		if p.changed == nil {
			p.notify()
		}
		changed, held := p.changed, heldByFault(p.faults) || c.held
		wait := time.Until(readAt.Add(p.faults.Delay))
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
