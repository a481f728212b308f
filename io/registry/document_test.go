package registry_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"papayarock/core/roster"
	"papayarock/io/feed"
	"papayarock/io/link"
	"papayarock/io/wire"
)

// slowLink limits the bytes that all connections of one host receive together.
type slowLink struct {
	bytesPerSecond float64
	mu             sync.Mutex
}

func (l *slowLink) dial(ctx context.Context, a link.Address) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.AddrPort.String())
	return slowConn{c, l}, err
}

type slowConn struct {
	net.Conn
	link *slowLink
}

// Read returns at most one packet at a time, so that the connections take turns.
func (c slowConn) Read(p []byte) (int, error) {
	const packetBytes = 1500
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	time.Sleep(time.Duration(float64(n) / c.link.bytesPerSecond * float64(time.Second)))
	return n, err
}

// Guards against gateways that never get a large document after a restart: all replicas
// sent it at once, and each transfer was cut by a timeout and started again.
func TestLargeDocumentReachesGatewayOverSlowLink(t *testing.T) {
	g := newGroup(t, 3, "z1", "z2", "z3")
	// The lines differ, so that the document can't be reduced to almost nothing.
	var document bytes.Buffer
	for i := range 8000 {
		route := strings.Repeat(string(rune('a'+i%26)), i%7) + time.Unix(int64(i)*7919, 0).UTC().String()
		document.WriteString(route + "\n")
	}
	g.put(4, document.String())
	for i := range g.nodes {
		g.eventually("applied", func() bool { return g.hasCatalog(i, 4, document.String()) })
	}
	slow := &slowLink{bytesPerSecond: 256 << 10}
	var received atomic.Bool
	c := feed.New(feed.Options{
		Host: "gateway", DataCentre: "z1", Region: "z1", Run: 1, Seeds: g.addrs, Log: hclog.NewNullLogger(),
		NewLinkPool:    func() *link.Pool { return &link.Pool{Dial: slow.dial} },
		CatalogVersion: func() uint64 { return 0 },
		OnCatalog: func(version uint64, text []byte) {
			received.Store(version == 4 && bytes.Equal(text, document.Bytes()))
		},
		OnTargets:   func([]roster.Record, int) {},
		UsageCounts: func() []*wire.FeedCount { return nil },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	g.eventually("document received", received.Load)
}

// Guards against all replicas sending the document at once to a gateway that has started
// without one: after a restart of all hosts, that is one copy for each gateway and replica.
func TestOnlyNearReplicaSendsDocumentAtOnce(t *testing.T) {
	g := newGroup(t, 3, "z1", "z2", "z3")
	g.put(4, "four")
	var pool link.Pool
	t.Cleanup(pool.Close)
	for i := range g.nodes {
		g.eventually("applied", func() bool { return g.hasCatalog(i, 4, "four") })
		t.Run(string(g.centres[i]), func(t *testing.T) {
			is := is.New(t)
			s, err := pool.Open(t.Context(), link.Address{AddrPort: g.addrs[i]}, &wire.FeedOpen{Host: "gateway", Run: 1, DataCentre: "z2", Region: "z2"})
			is.NoErr(err)
			defer func() { is.NoErr(s.Close()) }()
			var m wire.FeedUpdate
			is.NoErr(s.Receive(&m))
			is.Equal(string(m.GetDocument()) == "four", g.centres[i] == "z2") // in the first update
			for len(m.GetDocument()) == 0 {
				m.Reset()
				is.NoErr(s.Receive(&m)) // the others send it later
			}
		})
	}
}
