package memlink

import (
	"encoding/binary"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// Fault damages a connection once Left yamux frames have passed in both
// directions together: writes are swallowed while the connection stays open,
// or it is closed, or it stands still for a time.
type Fault struct {
	Left  atomic.Int64
	Close bool
	Pause time.Duration // 0 for a fault that lasts
	Hit   atomic.Bool
	Frame func() // called before each frame, if set
}

// damaged begins to swallow between frames only. Inside a frame, yamux blocks
// its readers on a mutex, which stops the clock of a bubble.
type damaged struct {
	net.Conn
	f     *Fault
	muted bool
	skip  int // bytes until the next frame header
}

// prefaceBytes come before the first frame.
const prefaceBytes = 16

// Damage returns one end of a connection with the fault f.
func Damage(c net.Conn, f *Fault) net.Conn { return &damaged{Conn: c, f: f, skip: prefaceBytes} }

// intact returns how much of b comes before the fault. A frame header is
// always in one write.
func (c *damaged) intact(b []byte) int {
	const headerBytes, lengthAt = 12, 8
	at := min(c.skip, len(b))
	c.skip -= at
	for at < len(b) {
		if c.f.Frame != nil {
			c.f.Frame()
		}
		if c.f.Left.Add(-1) < 0 {
			c.muted = true
			return at
		}
		h := b[at:]
		at += headerBytes
		if h[1] == 0 { // a data frame has a body
			body := int(binary.BigEndian.Uint32(h[lengthAt:]))
			c.skip = max(0, at+body-len(b))
			at = min(at+body, len(b))
		}
	}
	return at
}

// Write passes on what comes before the fault.
func (c *damaged) Write(b []byte) (int, error) {
	n := 0
	if !c.muted {
		n = c.intact(b)
	}
	if n > 0 {
		if _, err := c.Conn.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	if !c.muted {
		return len(b), nil
	}
	c.f.Hit.Store(true)
	switch {
	case c.f.Pause > 0:
		time.Sleep(c.f.Pause)
		c.f.Left.Store(math.MaxInt64)
		c.muted = false
		m, err := c.Write(b[n:])
		return n + m, err
	case c.f.Close:
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return len(b), nil
}
