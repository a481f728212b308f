// Package connlimit decides which connections of clients a process keeps. It bounds the
// number of connections and the bytes of incomplete request heads, and selects the
// connection to close when a bound is reached.
//
// A Table is a value: events and the time go in, decisions come out. It isn't safe for
// concurrent use.
package connlimit

import (
	"net/netip"
	"time"
)

const (
	// minIdle is how long a connection must have been idle before a client of the same
	// address can displace it. Without it, clients that open connections faster than
	// the process responds would displace each other.
	minIdle = time.Second
	// ipv6GroupBits is the length of the prefix that counts as one IPv6 client address,
	// since a client usually has a whole subnet.
	ipv6GroupBits = 64
)

// Limits bound the connections of one port.
type Limits struct {
	Connections int   // maximum number of open connections
	HeadBytes   int64 // maximum size of all heads that are charged: incomplete ones, and those of requests that run
	// IdleTime is how long a connection between two requests, and SilentTime how long one
	// without its first request, may be idle before it is the first to be closed for a
	// new one. Ordinary clients stay below both.
	IdleTime, SilentTime time.Duration
}

type state uint8

const (
	silent  state = iota // nothing has arrived yet
	reading              // a head is incomplete
	busy                 // a complete head has not been answered
	idle                 // between two requests
)

// Conn is the entry of an open connection in a table.
type Conn struct {
	group  *group
	state  state
	since  time.Time // when the connection entered the state
	bytes  int64     // charged for its head
	index  int       // in Table.conns
	closed bool
}

// group holds the sums over the connections of one client address.
type group struct {
	prefix netip.Prefix
	conns  int
	bytes  int64
}

// Table holds the open connections of one port.
type Table struct {
	limits Limits
	conns  []*Conn
	groups map[netip.Prefix]*group
	bytes  int64
}

// New returns an empty table.
func New(l Limits) *Table { return &Table{limits: l, groups: make(map[netip.Prefix]*group)} }

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.conns) }

// HeadBytes returns the bytes charged for heads.
func (t *Table) HeadBytes() int64 { return t.bytes }

// Open adds a connection of a client. If there is no room for it, Open first removes the
// connection that it returns as evicted, which must be closed. It returns no connection if
// the client must be refused.
func (t *Table) Open(now time.Time, client netip.Addr) (c, evicted *Conn) {
	prefix := groupOf(client)
	if len(t.conns) >= t.limits.Connections {
		if evicted = t.unused(now); evicted == nil {
			evicted = t.displaced(now, prefix)
		}
		if evicted == nil {
			return nil, nil
		}
		t.Close(evicted)
	}
	g := t.groups[prefix]
	if g == nil {
		g = &group{prefix: prefix}
		t.groups[prefix] = g
	}
	g.conns++
	c = &Conn{group: g, since: now, index: len(t.conns)}
	t.conns = append(t.conns, c)
	return c, evicted
}

func groupOf(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := a.BitLen()
	if a.Is6() {
		bits = ipv6GroupBits
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return netip.Prefix{} // of an invalid address; all of these are one group
	}
	return p
}

// unused returns the connection that has been idle longest, if that is longer than ordinary
// clients keep one idle.
func (t *Table) unused(now time.Time) (oldest *Conn) {
	for _, c := range t.conns {
		limit := t.limits.IdleTime
		if c.state == silent {
			limit = t.limits.SilentTime
		}
		if (c.state == idle || c.state == silent) && now.Sub(c.since) > limit && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// displaced returns the connection without a request that makes room for a new one of
// prefix: the oldest of the address with the most connections. If that is the address of
// the new one, or has only one connection more, the time of minIdle must have passed.
func (t *Table) displaced(now time.Time, prefix netip.Prefix) (oldest *Conn) {
	var heaviest *group
	for _, g := range t.groups {
		if heaviest == nil || g.conns > heaviest.conns {
			heaviest = g
		}
	}
	own := 0
	if g := t.groups[prefix]; g != nil {
		own = g.conns
	}
	unfair := heaviest.prefix != prefix && heaviest.conns > own+1
	for _, c := range t.conns {
		if c.state == busy || c.group != heaviest || oldest != nil && !c.since.Before(oldest.since) {
			continue
		}
		if unfair || now.Sub(c.since) > minIdle {
			oldest = c
		}
	}
	return oldest
}

// Charge charges n bytes for the head of c before they are read. If there is no room for
// them, Charge first removes the connections that it returns, which must be closed. If c is
// one of them, nothing has been charged.
func (t *Table) Charge(c *Conn, n int64) (evicted []*Conn) {
	for !c.closed && t.bytes+n > t.limits.HeadBytes {
		oldest := t.heaviestHead()
		if oldest == nil {
			oldest = c
		}
		t.Close(oldest)
		evicted = append(evicted, oldest)
	}
	if !c.closed {
		c.bytes += n
		c.group.bytes += n
		t.bytes += n
	}
	return evicted
}

// heaviestHead returns the connection with the oldest incomplete head of the client address
// that is charged most.
func (t *Table) heaviestHead() (oldest *Conn) {
	for _, c := range t.conns {
		if c.state == busy || c.bytes == 0 {
			continue
		}
		if oldest == nil || c.group.bytes > oldest.group.bytes || c.group == oldest.group && c.since.Before(oldest.since) {
			oldest = c
		}
	}
	return oldest
}

// BeginHead records that the first byte of a head has arrived.
func (t *Table) BeginHead(now time.Time, c *Conn) { c.state, c.since = reading, now }

// EndHead records that the head is complete. The connection isn't evicted until Idle, and
// the head stays charged. EndHead returns false if the connection has been evicted: the
// request must not run.
func (t *Table) EndHead(now time.Time, c *Conn) bool {
	c.state, c.since = busy, now
	return !c.closed
}

// Idle records that all requests have been answered.
func (t *Table) Idle(now time.Time, c *Conn) {
	t.release(c)
	c.state, c.since = idle, now
}

// Abandon records that a connection is about to be closed. It is the first to be closed for a
// new one, and nothing stays charged for it.
func (t *Table) Abandon(c *Conn) {
	t.release(c)
	c.state, c.since = silent, time.Time{}
}

// Close removes a connection, unless it has been removed before.
func (t *Table) Close(c *Conn) {
	if c.closed {
		return
	}
	t.release(c)
	c.closed = true
	last := len(t.conns) - 1
	t.conns[c.index] = t.conns[last]
	t.conns[c.index].index = c.index
	t.conns[last] = nil
	t.conns = t.conns[:last]
	if c.group.conns--; c.group.conns == 0 {
		delete(t.groups, c.group.prefix)
	}
}

func (t *Table) release(c *Conn) {
	t.bytes -= c.bytes
	c.group.bytes -= c.bytes
	c.bytes = 0
}
