package connlimit_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/connlimit"
)

var (
	limits = connlimit.Limits{Connections: 4, HeadBytes: 100, IdleTime: 15 * time.Second, SilentTime: 3 * time.Second}
	start  = time.Unix(1000, 0)
	one    = netip.MustParseAddr("10.0.0.1")
	two    = netip.MustParseAddr("10.0.0.2")
)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// Guards against a bound that is exceeded or a wrong victim when the connections are used
// up. Each case opens four connections of the given addresses, one each 0.1 s, and then a
// fifth one of address one.
func TestOpen(t *testing.T) {
	for name, test := range map[string]struct {
		clients [4]netip.Addr
		prepare func(x *connlimit.Table, c []*connlimit.Conn)
		when    float64
		victim  int // index of the connection that is closed; -1 if the client is refused
	}{
		"all busy": {[4]netip.Addr{one, one, one, one}, func(x *connlimit.Table, c []*connlimit.Conn) {
			for _, y := range c {
				x.EndHead(at(1), y)
			}
		}, 100, -1},
		"silent for long": {[4]netip.Addr{two, one, one, one}, nil, 3.2, 0},
		"idle for long": {[4]netip.Addr{one, one, one, one}, func(x *connlimit.Table, c []*connlimit.Conn) {
			for i, y := range c {
				x.EndHead(at(1), y)
				x.Idle(at(float64(5-i)), y)
			}
		}, 17.5, 3},
		"abandoned": {[4]netip.Addr{one, one, one, one}, func(x *connlimit.Table, c []*connlimit.Conn) {
			x.BeginHead(at(0.4), c[2])
			x.Charge(c[2], 50)
			x.Abandon(c[2])
		}, 0.5, 2},
		"just opened by the same client":    {[4]netip.Addr{one, one, one, one}, nil, 0.5, -1},
		"just opened by a heavier client":   {[4]netip.Addr{two, two, two, two}, nil, 0.5, 0},
		"no client is heavier":              {[4]netip.Addr{two, two, one, one}, nil, 0.5, -1},
		"opened earlier by the same client": {[4]netip.Addr{one, one, one, one}, nil, 1.5, 0},
		"busy ones of a heavier client": {[4]netip.Addr{two, two, two, two}, func(x *connlimit.Table, c []*connlimit.Conn) {
			x.EndHead(at(0.4), c[0])
			x.BeginHead(at(0.4), c[1])
		}, 0.5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := connlimit.New(limits)
			var conns []*connlimit.Conn
			for i, a := range test.clients {
				c, evicted := x.Open(at(0.1*float64(i)), a)
				is.True(c != nil && evicted == nil)
				conns = append(conns, c)
			}
			if test.prepare != nil {
				test.prepare(x, conns)
			}
			c, evicted := x.Open(at(test.when), one)
			is.Equal(c != nil, test.victim >= 0)
			if test.victim >= 0 {
				is.True(evicted == conns[test.victim])
			}
			is.Equal(x.Connections(), 4)
		})
	}
}

// Guards against heads that take more than the budget, and against a victim other than the
// oldest incomplete head of the address that holds most.
func TestCharge(t *testing.T) {
	is := is.New(t)
	x := connlimit.New(limits)
	open := func(a netip.Addr, s float64) *connlimit.Conn {
		c, _ := x.Open(at(s), a)
		x.BeginHead(at(s), c)
		return c
	}
	small, first, second := open(one, 0), open(two, 1), open(two, 2)
	is.Equal(len(x.Charge(small, 30)), 0)
	is.Equal(len(x.Charge(first, 30)), 0)
	is.Equal(len(x.Charge(second, 40)), 0)
	evicted := x.Charge(second, 20)
	is.Equal(len(evicted), 1)
	is.True(evicted[0] == first) // small is older, but its address holds less
	is.Equal(x.HeadBytes(), int64(90))
	is.True(!x.EndHead(at(3), first)) // evicted: the request must not run
	is.True(x.EndHead(at(3), second))
	is.Equal(x.HeadBytes(), int64(90))
	evicted = x.Charge(small, 80) // the only incomplete head; second is complete
	is.Equal(len(evicted), 1)
	is.True(evicted[0] == small)
	is.Equal(x.HeadBytes(), int64(60))
	is.Equal(x.Connections(), 1)
	x.Idle(at(4), second)
	is.Equal(x.HeadBytes(), int64(0))
}

// Replays 1,200 clients of a few addresses that open connections and send heads without an
// end for 30 s, and one ordinary client. Guards against bounds that are exceeded at any
// time, and against an ordinary client that is refused or evicted.
func TestReplayHeldHeads(t *testing.T) {
	is := is.New(t)
	l := connlimit.Limits{Connections: 400, HeadBytes: 1 << 20, IdleTime: 15 * time.Second, SilentTime: 3 * time.Second}
	x := connlimit.New(l)
	gone := make(map[*connlimit.Conn]bool)
	var heads []*connlimit.Conn
	for step := range 30_000 {
		now := at(float64(step) / 1000)
		a := netip.AddrFrom4([4]byte{10, 1, 0, byte(step % 7)})
		if c, evicted := x.Open(now, a); c != nil {
			gone[evicted] = true
			x.BeginHead(now, c)
			heads = append(heads, c)
		}
		if c := heads[(step*31)%len(heads)]; !gone[c] {
			for _, e := range x.Charge(c, 4<<10) {
				gone[e] = true
			}
		}
		is.True(x.HeadBytes() <= l.HeadBytes)
		is.True(x.Connections() <= l.Connections)
		if step%100 == 99 {
			c, evicted := x.Open(now, one)
			is.True(c != nil)
			gone[evicted] = true
			x.BeginHead(now, c)
			is.Equal(len(x.Charge(c, 0)), 0)
			x.EndHead(now, c)
			x.Idle(now, c)
			x.Close(c)
		}
	}
}
