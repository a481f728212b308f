package memlink

import (
	"encoding/binary"
	"math"
	"net"
	"sync/atomic"
	"time"
)

// Fault is a fault to inject into a connection. It takes effect after FramesLeft
// yamux frames, counted over both directions. If neither Pause nor Close is set,
// the connection then stays open, but each wrapped end discards all data that it
// writes, starting with its next frame.
type Fault struct {
	FramesLeft  atomic.Int64  // frames until the fault takes effect
	Close       bool          // close the connection, unless Pause is set
	Pause       time.Duration // stall for this time, then forward all further frames
	Triggered   atomic.Bool   // the fault has taken effect
	BeforeFrame func()        // called before each frame if set; may block
}

// faultyConn applies its fault only between frames. While yamux receives the body
// of a frame, it holds a mutex for which readers of the stream wait. The fake
// clock of synctest stops while a goroutine waits for a mutex, so that a stall
// within a frame would never end.
type faultyConn struct {
	net.Conn
	fault            *Fault
	dropWrites       bool
	bytesToNextFrame int
}

// prefaceBytes is the length of the preface that package link sends in each
// direction before the first frame.
const prefaceBytes = 16

// WithFault wraps one end of a connection to inject f before a frame that this end
// writes. Both ends can share f.
func WithFault(c net.Conn, f *Fault) net.Conn {
	return &faultyConn{Conn: c, fault: f, bytesToNextFrame: prefaceBytes}
}

// frameBytes returns the length of the frame at the start of b, or of a frame
// header if b is shorter. It relies on yamux writing each frame header with a
// single call of Write.
func frameBytes(b []byte) int {
	const headerBytes, typeAt, lengthAt = 12, 1, 8
	if len(b) < headerBytes || b[typeAt] != 0 { // only data frames have a body
		return headerBytes
	}
	return headerBytes + int(binary.BigEndian.Uint32(b[lengthAt:]))
}

// CompleteFrames returns the preface and the complete frames in sent, which holds
// all bytes that one end of a connection has sent.
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

// Write forwards b frame by frame. When the fault discards data, Write reports
// success for it.
func (c *faultyConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) && !c.dropWrites {
		if c.bytesToNextFrame == 0 {
			if err := c.beforeFrame(); err != nil {
				return written, err
			}
			c.bytesToNextFrame = frameBytes(b[written:])
			continue
		}
		n := min(c.bytesToNextFrame, len(b)-written)
		if _, err := c.Conn.Write(b[written : written+n]); err != nil {
			return written, err
		}
		c.bytesToNextFrame -= n
		written += n
	}
	return len(b), nil
}

// beforeFrame counts a frame and applies the fault when FramesLeft is used up.
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
