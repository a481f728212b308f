package slopes

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"papayarock/io/link"
)

// resourceUsage is the CPU time used by the process up to a point in time.
type resourceUsage struct {
	wall time.Time
	cpu  time.Duration
}

func currentUsage() resourceUsage {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // fails only for an invalid argument
	return resourceUsage{time.Now(), time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// cores returns the CPU time used per second since u.
func (u resourceUsage) cores() float64 {
	now := currentUsage()
	return (now.cpu - u.cpu).Seconds() / now.wall.Sub(u.wall).Seconds()
}

// memory returns the bytes of the live heap and of stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// traffic counts the bytes, reads and writes of TCP connections, including what TLS
// adds.
type traffic struct{ in, out, reads, writes atomic.Int64 }

func (t *traffic) bytes() float64 { return float64(t.in.Load() + t.out.Load()) }
func (t *traffic) calls() float64 { return float64(t.reads.Load() + t.writes.Load()) }

type countingConn struct {
	net.Conn
	t *traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(int64(n))
	c.t.reads.Add(1)
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.out.Add(int64(n))
	c.t.writes.Add(1)
	return n, err
}

// dialTo returns a dial function that calls onDial with the requested address and
// connects to the address to instead.
func dialTo(dial func(context.Context, link.Address) (net.Conn, error), to link.Address, onDial func(link.Address)) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, a link.Address) (net.Conn, error) {
		onDial(a)
		return dial(ctx, to)
	}
}

// dialCounting returns a dial function for a link.Pool. It counts the traffic of a
// connection in the counter that t returns for its address.
func dialCounting(t func(a link.Address) *traffic) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, a link.Address) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.AddrPort.String())
		if err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		return countingConn{c, t(a)}, nil
	}
}

// await polls until ok returns true, or returns an error after the limit. The error
// starts with what, the state that was not left.
func await(ctx context.Context, what string, limit time.Duration, ok func() bool) error {
	end := time.Now().Add(limit)
	for !ok() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			return errors.Errorf("%s: not within %v", what, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}
