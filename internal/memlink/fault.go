package memlink

import (
	"encoding/binary"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// Fault is a fault of a connection. It takes effect after FramesLeft yamux frames,
// counted over both directions. Then the connection stalls for Pause, or is
// closed, or stays open while each end drops its writes from its next frame on.
type Fault struct {
	FramesLeft  atomic.Int64  // frames until the fault takes effect
	Close       bool          // close the connection
	Pause       time.Duration // duration of a temporary stall; 0 for a permanent fault
	Triggered   atomic.Bool   // the fault has taken effect
	BeforeFrame func()        // called before each frame if set; may block
}

// faultyConn applies faults only between frames. Within a frame, yamux blocks
// its readers on a mutex, which stops the fake clock of synctest.
type faultyConn struct {
	net.Conn
	fault      *Fault
	dropWrites bool
	frameLeft  int // bytes until the next frame header
}

// prefaceBytes is the number of bytes sent before the first frame.
const prefaceBytes = 16

// WithFault wraps one end of a connection to inject f. Both ends can share f.
func WithFault(c net.Conn, f *Fault) net.Conn {
	return &faultyConn{Conn: c, fault: f, frameLeft: prefaceBytes}
}

// frameBytes returns the length of the frame at the start of b. It relies on
// yamux writing each frame header in one piece.
func frameBytes(b []byte) int {
	const headerBytes, typeAt, lengthAt = 12, 1, 8
	if len(b) < headerBytes || b[typeAt] != 0 { // only data frames have a body
		return headerBytes
	}
	return headerBytes + int(binary.BigEndian.Uint32(b[lengthAt:]))
}

// CompleteFrames returns sent, the bytes sent since the start of a connection, without an
// incomplete frame at the end.
func CompleteFrames(sent []byte) []byte {
	end := prefaceBytes
	for end < len(sent) {
		n := frameBytes(sent[end:])
		if end+n > len(sent) {
			break
		}
		end += n
	}
	return sent[:min(end, len(sent))]
}

// Write forwards the frames before the fault. Dropped frames count as written.
func (c *faultyConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) && !c.dropWrites {
		if c.frameLeft == 0 {
			if err := c.beforeFrame(); err != nil {
				return written, err
			}
			c.frameLeft = frameBytes(b[written:])
			continue
		}
		n := min(c.frameLeft, len(b)-written)
		if _, err := c.Conn.Write(b[written : written+n]); err != nil {
			return written, err
		}
		c.frameLeft -= n
		written += n
	}
	return len(b), nil
}

// beforeFrame counts a frame and applies the fault if it is due.
func (c *faultyConn) beforeFrame() error {
	if c.fault.BeforeFrame != nil {
		c.fault.BeforeFrame()
	}
	if c.fault.FramesLeft.Add(-1) >= 0 {
		return nil
	}
	c.fault.Triggered.Store(true)
	switch {
	case c.fault.Pause > 0:
		time.Sleep(c.fault.Pause)
		c.fault.FramesLeft.Store(math.MaxInt64)
	case c.fault.Close:
		_ = c.Close()
		return net.ErrClosed
	default:
		c.dropWrites = true
	}
	return nil
}
