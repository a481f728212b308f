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

// usage is what the process has used up to a moment.
type usage struct {
	wall time.Time
	cpu  time.Duration
}

func used() usage {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // fails for a wrong argument only
	return usage{time.Now(), time.Duration(r.Utime.Nano() + r.Stime.Nano())}
}

// cores returns the CPU time per second since u.
func (u usage) cores() float64 {
	now := used()
	return (now.cpu - u.cpu).Seconds() / now.wall.Sub(u.wall).Seconds()
}

// memory returns the bytes of live heap and of stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}

// traffic counts what passes connections, below TLS and above TCP.
type traffic struct{ in, out, reads, writes atomic.Int64 }

func (t *traffic) bytes() float64 { return float64(t.in.Load() + t.out.Load()) }
func (t *traffic) calls() float64 { return float64(t.reads.Load() + t.writes.Load()) }

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(int64(n))
	c.t.reads.Add(1)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.out.Add(int64(n))
	c.t.writes.Add(1)
	return n, err
}

// dialTo dials another address in place of the one that is asked for, and notes it.
func dialTo(dial func(context.Context, link.Address) (net.Conn, error), to link.Address, note func(link.Address)) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, a link.Address) (net.Conn, error) {
		note(a)
		return dial(ctx, to)
	}
}

// dialCounted returns a Dial of a link.Pool that counts into t.
func dialCounted(t func(a link.Address) *traffic) func(context.Context, link.Address) (net.Conn, error) {
	return func(ctx context.Context, a link.Address) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.AddrPort.String())
		if err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		return countedConn{c, t(a)}, nil
	}
}

// await polls until ok holds or the time is over.
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
