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
	Frame func() // called before each frame, if set; may wait
}

// damaged acts between frames only. Inside a frame, yamux blocks its readers on
// a mutex, which stops the clock of a bubble.
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

// frameBytes returns the length of the frame that b begins with. A frame header
// is always in one write.
func frameBytes(b []byte) int {
	const headerBytes, typeAt, lengthAt = 12, 1, 8
	if len(b) < headerBytes || b[typeAt] != 0 { // only a data frame has a body
		return headerBytes
	}
	return headerBytes + int(binary.BigEndian.Uint32(b[lengthAt:]))
}

// Whole returns the part of what was sent from the start of a connection that
// ends with a whole frame.
func Whole(sent []byte) []byte {
	at := prefaceBytes
	for at < len(sent) {
		n := frameBytes(sent[at:])
		if at+n > len(sent) {
			break
		}
		at += n
	}
	return sent[:min(at, len(sent))]
}

// Write passes on what comes before the fault.
func (c *damaged) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) && !c.muted {
		if c.skip == 0 {
			if err := c.begin(); err != nil {
				return done, err
			}
			c.skip = frameBytes(b[done:])
			continue
		}
		n := min(c.skip, len(b)-done)
		if _, err := c.Conn.Write(b[done : done+n]); err != nil {
			return done, err
		}
		c.skip -= n
		done += n
	}
	return len(b), nil
}

// begin applies the fault before a frame.
func (c *damaged) begin() error {
	if c.f.Frame != nil {
		c.f.Frame()
	}
	if c.f.Left.Add(-1) >= 0 {
		return nil
	}
	c.f.Hit.Store(true)
	switch {
	case c.f.Pause > 0:
		time.Sleep(c.f.Pause)
		c.f.Left.Store(math.MaxInt64)
	case c.f.Close:
		_ = c.Close()
		return net.ErrClosed
	default:
		c.muted = true
	}
	return nil
}
