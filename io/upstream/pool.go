package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/fleet"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the target does
	// not state an idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states. The
	// target's timer starts earlier than the one here, and the target closes the
	// connection without notice.
	idleMargin = 500 * time.Millisecond
	// connectTimeout limits an attempt to connect. A lost SYN is retransmitted only
	// after a second, so trying another target is faster.
	connectTimeout = 500 * time.Millisecond
	// keepAliveIdle is the idle time after which the kernel sends TCP keep-alive
	// probes, which detect an unreachable peer.
	keepAliveIdle = 5 * time.Second
	// sweepPeriod is how often expired idle connections are closed.
	sweepPeriod = time.Second
)

// Endpoint identifies one run of a target, that is, one lifetime of its process.
type Endpoint struct {
	Target  fleet.TargetName
	Started int64 // start time of the run in Unix milliseconds
	Address netip.AddrPort
}

// Pool is a pool of idle connections to all targets. The zero value is ready to
// use.
type Pool struct {
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error) // opens a connection; TCP if nil

	Dials  atomic.Uint64 // attempts to connect, including failed ones
	Reuses atomic.Uint64 // requests sent on a pooled connection

	lateUploads atomic.Int64 // bytes of the requests that are being written after their responses

	mu   sync.Mutex
	idle map[Endpoint][]*conn // the most recently used last
}

// acquire returns an idle connection that is still usable, unless onNew is set, or else a
// new one. dialTime is the time spent dialling, which is zero for an idle connection.
func (p *Pool) acquire(ctx context.Context, endpoint Endpoint, onNew bool) (c *conn, dialTime time.Duration, err error) {
	now := time.Now()
	for !onNew {
		c := p.popIdle(endpoint)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.checkIdle() == nil {
			p.Reuses.Add(1)
			return c, 0, nil
		}
		_ = c.Close()
	}
	p.Dials.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.dial(dialCtx, endpoint.Address)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "dial target %q", endpoint.Target)
	}
	return newConn(raw), time.Since(now), nil
}

func (p *Pool) dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, a)
	}
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}}
	return d.DialContext(ctx, "tcp", a.String())
}

func (p *Pool) popIdle(endpoint Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[endpoint]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[endpoint] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(endpoint Endpoint, c *conn, expires time.Time) {
	c.kept, c.expires = true, expires
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[Endpoint][]*conn)
	}
	p.idle[endpoint] = append(p.idle[endpoint], c)
}

// Retain closes the idle connections to all endpoints for which keep returns false.
func (p *Pool) Retain(keep func(Endpoint) bool) {
	var removed []*conn
	p.mu.Lock()
	for endpoint, list := range p.idle {
		if !keep(endpoint) {
			removed = append(removed, list...)
			delete(p.idle, endpoint)
		}
	}
	p.mu.Unlock()
	closeAll(removed)
}

// Serve periodically closes expired idle connections until ctx ends, and then closes
// all idle connections.
func (p *Pool) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			p.Retain(func(Endpoint) bool { return false })
			return nil
		case <-time.After(sweepPeriod):
		}
		p.closeExpired(time.Now())
	}
}

func (p *Pool) closeExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for endpoint, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				live = append(live, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(live):])
		if p.idle[endpoint] = live; len(live) == 0 {
			delete(p.idle, endpoint)
		}
	}
	p.mu.Unlock()
	closeAll(expired)
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
